//! New flows at a balancer, which are offered to hosts, held, offered again or refused.

mod fixture;

use expect_test::expect;
use hyssopstair_flows::balancer::FlowBalancer;
use hyssopstair_flows::event::FlowEvent;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::ServerState;

use crate::fixture::*;

/// Runs all ticks that are due between two times in milliseconds, as the event loop of a
/// process does.
fn run_ticks(balancer: &mut FlowBalancer, from: u64, until: u64, outbox: &mut FlowOutbox) {
    for millis in from..=until {
        if balancer.next_tick_at() <= at(millis) {
            balancer.tick(at(millis), outbox);
        }
    }
}

/// Creates a balancer and delivers hellos of the given hosts until 900 ms. Each host
/// reports as many requests in progress as its number.
fn new_balancer_with_hosts(numbers: &[u8], outbox: &mut FlowOutbox) -> FlowBalancer {
    let mut balancer = new_balancer();
    for number in numbers {
        receive_host_hello(
            &mut balancer,
            *number,
            &host_hello(1, u16::from(*number)),
            at(10),
            outbox,
        );
    }
    run_ticks(&mut balancer, 10, 900, outbox);
    for number in numbers {
        receive_host_hello(
            &mut balancer,
            *number,
            &host_hello(2, u16::from(*number)),
            at(900),
            outbox,
        );
    }
    outbox.clear();
    balancer
}

/// Delivers an opening packet that a host returns to the balancer.
fn return_opening(balancer: &mut FlowBalancer, number: u8, millis: u64, outbox: &mut FlowOutbox) {
    let returned = CarryMessage::Returned {
        purpose: ForwardPurpose::Open,
    };
    let opening = opening_packet(4_001);
    let packet = raw_packet(&opening);
    balancer.receive_peer_message(
        host_address(number),
        &returned,
        Some(&packet),
        b"packet",
        at(millis),
        outbox,
    );
}

#[test]
fn a_flow_is_offered_to_the_least_loaded_host_with_the_others_as_alternatives() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&[3, 1, 2], &mut outbox);
    balancer.receive_caller_packet(&raw_packet(&opening_packet(4_001)), at(910), &mut outbox);
    expect!["Peer(10.0.1.1): forward Open best None next [10.0.1.2, 10.0.1.3] + 6 bytes"]
        .assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_flow_that_a_host_does_not_claim_in_time_is_offered_to_another() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&[1, 2], &mut outbox);
    balancer.receive_caller_packet(&raw_packet(&opening_packet(4_001)), at(910), &mut outbox);
    run_ticks(&mut balancer, 910, 995, &mut outbox);
    let placed = take_events(&mut outbox, |event| {
        matches!(event, FlowEvent::Placed { .. })
    });
    expect![[r#"
        Placed { flow: FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }, host: 10.0.1.1, service: "lessons", hello_age_millis: 10, routes: 1, in_progress: 1, report_age_millis: 10, attempt: 0 }
        Placed { flow: FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }, host: 10.0.1.2, service: "lessons", hello_age_millis: 70, routes: 1, in_progress: 2, report_age_millis: 70, attempt: 1 }"#]]
    .assert_eq(&placed);
}

#[test]
fn a_flow_that_all_hosts_return_is_held_and_offered_again() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&[1], &mut outbox);
    balancer.receive_caller_packet(&raw_packet(&opening_packet(4_001)), at(910), &mut outbox);
    outbox.clear();
    return_opening(&mut balancer, 1, 911, &mut outbox);
    expect![""].assert_eq(&take_output(&mut outbox));
    // The host counts as full for 5 ms, and the next tick is due within 20 ms of that.
    run_ticks(&mut balancer, 912, 915, &mut outbox);
    expect![""].assert_eq(&take_output(&mut outbox));
    run_ticks(&mut balancer, 916, 936, &mut outbox);
    expect!["Peer(10.0.1.1): forward Open best None next [] + 6 bytes"]
        .assert_eq(&take_output(&mut outbox));
}

// Requests of the route time out after 800 ms, and the host takes 20 ms to answer.
#[test]
fn a_flow_is_refused_when_its_request_can_no_longer_be_answered() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&[1], &mut outbox);
    balancer.receive_caller_packet(&raw_packet(&opening_packet(4_001)), at(910), &mut outbox);
    let mut refused = Vec::new();
    for millis in (911..2_000).step_by(10) {
        return_opening(&mut balancer, 1, millis, &mut outbox);
        run_ticks(&mut balancer, millis, millis, &mut outbox);
        let text = take_events(&mut outbox, |event| {
            matches!(event, FlowEvent::Refused { .. })
        });
        if !text.is_empty() {
            refused.push(format!("{millis} ms: {text}"));
        }
    }
    expect!["1691 ms: Refused { flow: FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }, reason: NoCapacity, routes: 1 }"]
        .assert_eq(&refused.join("\n"));
}

#[test]
fn a_flow_without_a_host_is_refused_at_once() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&[1], &mut outbox);
    let draining = host_hello_with_state(3, 0, ServerState::Draining);
    receive_host_hello(&mut balancer, 1, &draining, at(901), &mut outbox);
    outbox.clear();
    balancer.receive_caller_packet(&raw_packet(&opening_packet(4_001)), at(910), &mut outbox);
    expect!["reset 100.64.0.7:4001 at 0"].assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_flow_without_a_route_is_refused_at_once() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&[1], &mut outbox);
    let mut unrouted = opening_packet(4_001);
    unrouted.destination.set_port(444);
    balancer.receive_caller_packet(&raw_packet(&unrouted), at(910), &mut outbox);
    expect!["reset 100.64.0.7:4001 at 0"].assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_flow_that_arrives_before_any_host_is_known_is_held() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer();
    balancer.receive_caller_packet(&raw_packet(&opening_packet(4_001)), at(5), &mut outbox);
    run_ticks(&mut balancer, 5, 100, &mut outbox);
    outbox.clear();
    receive_host_hello(&mut balancer, 1, &host_hello(1, 0), at(105), &mut outbox);
    outbox.clear();
    run_ticks(&mut balancer, 106, 130, &mut outbox);
    expect!["Peer(10.0.1.1): forward Open best None next [] + 6 bytes"]
        .assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_retransmitted_opening_packet_is_forwarded_to_the_owner() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&[1, 2], &mut outbox);
    balancer.receive_caller_packet(&raw_packet(&opening_packet(4_001)), at(910), &mut outbox);
    let claim = CarryMessage::Owned {
        flow: opening_packet(4_001).caller_flow(),
        load: Default::default(),
    };
    balancer.receive_peer_message(host_address(2), &claim, None, &[], at(912), &mut outbox);
    outbox.clear();
    let mut retransmitted = opening_packet(4_001);
    retransmitted.acknowledged = 1;
    balancer.receive_caller_packet(&raw_packet(&retransmitted), at(1_110), &mut outbox);
    expect!["Peer(10.0.1.2): forward Owner best None next [] + 6 bytes"]
        .assert_eq(&take_output(&mut outbox));
}
