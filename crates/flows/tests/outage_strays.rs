//! When power returns, hosts of servers that have left may run for a moment, say hello, and
//! end for good. Balancers took each for one whose server may hold flows, and reset no flow
//! until it had been silent for three seconds: callers sent their next requests on flows that
//! no longer existed, and the orders among them were lost.

mod fixture;

use expect_test::expect;
use hyssopstair_flows::balancer::FlowBalancer;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::HelloRole;
use hyssopstair_wire::carried::ServerState;

use crate::fixture::*;

/// The age of the servers that hosts report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServerAge {
    New,
    Old,
}

/// Returns a hello of a host in this state.
fn hello_of(number: u32, server: ServerState, age: ServerAge) -> CarryMessage {
    let CarryMessage::Hello(mut hello) = host_hello_with_state(number, 0, server) else {
        panic!("the fixture returned a message other than a hello");
    };
    if let HelloRole::Host(host) = &mut hello.role {
        host.is_server_new = age == ServerAge::New;
    }
    CarryMessage::Hello(hello)
}

/// Returns the time in milliseconds at which a flow of before the outage is reset, or `None`
/// if it is not reset within three seconds.
///
/// At 10 ms a balancer meets `stray_count` hosts that do not know their server and end, and
/// eight that go on, with servers of this age. A peer knows the strays as well. The caller's
/// packet arrives at 300 ms and twice more; the eight deny the flow each time.
fn find_reset_time(stray_count: u8, age: ServerAge) -> Option<u64> {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer();
    for number in 9..9 + stray_count {
        let hello = hello_of(1, ServerState::Unknown, ServerAge::Old);
        receive_host_hello(&mut balancer, number, &hello, at(10), &mut outbox);
    }
    for millis in (10..3_300).step_by(10) {
        outbox.clear();
        if millis % 250 == 10 {
            greet(&mut balancer, millis, age, &mut outbox);
        }
        if [300, 500, 900].contains(&millis) {
            let packet = request_packet(4_001);
            balancer.receive_caller_packet(&raw_packet(&packet), at(millis), &mut outbox);
        }
        balancer.tick(at(millis), &mut outbox);
        let denial = CarryMessage::NotHeld {
            flows: vec![request_packet(4_001).caller_flow()],
            is_certain: true,
        };
        for number in 1..=8 {
            let from = host_address(number);
            balancer.receive_peer_message(from, &denial, None, &[], at(millis), &mut outbox);
        }
        if !outbox.resets().is_empty() {
            return Some(millis);
        }
    }
    None
}

/// Delivers hellos of the eight hosts and of a balancer that knows them.
fn greet(balancer: &mut FlowBalancer, millis: u64, age: ServerAge, outbox: &mut FlowOutbox) {
    let number = millis as u32 + 1;
    for host in 1..=8 {
        let hello = hello_of(number, ServerState::Ready, age);
        receive_host_hello(balancer, host, &hello, at(millis), outbox);
    }
    let hello = balancer_hello_with_hosts(number, 8);
    balancer.receive_peer_message(balancer_address(2), &hello, None, &[], at(millis), outbox);
}

#[test]
fn hosts_that_end_after_an_outage_do_not_hold_up_resets() {
    let resets = [0, 1, 2].map(|strays| find_reset_time(strays, ServerAge::New));
    expect!["[Some(300), Some(400), Some(400)]"].assert_eq(&format!("{resets:?}"));
}

#[test]
fn hosts_that_do_not_know_their_server_count_if_they_are_many() {
    expect!["None"].assert_eq(&format!("{:?}", find_reset_time(3, ServerAge::New)));
}

#[test]
fn a_host_that_does_not_know_its_server_counts_if_other_servers_are_old() {
    expect!["None"].assert_eq(&format!("{:?}", find_reset_time(1, ServerAge::Old)));
}
