//! New flows at a balancer: offered, offered again, held and refused.

mod fixture;

use expect_test::expect;
use hyssopstair_flows::balancer::FlowBalancer;
use hyssopstair_flows::event::FlowEvent;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::ServerState;

use crate::fixture::*;

/// Runs all ticks between two times, as the loop of a process does.
fn run(balancer: &mut FlowBalancer, from: u64, until: u64, outbox: &mut FlowOutbox) {
    for millis in from..=until {
        if balancer.next_tick() <= at(millis) {
            balancer.tick(at(millis), outbox);
        }
    }
}

fn with_hosts(numbers: &[u8], outbox: &mut FlowOutbox) -> FlowBalancer {
    let mut balancer = balancer();
    for number in numbers {
        greet(
            &mut balancer,
            *number,
            &host_hello(1, u16::from(*number)),
            at(10),
            outbox,
        );
    }
    run(&mut balancer, 10, 900, outbox);
    for number in numbers {
        greet(
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

fn return_opening(balancer: &mut FlowBalancer, number: u8, millis: u64, outbox: &mut FlowOutbox) {
    let returned = CarryMessage::Returned {
        purpose: ForwardPurpose::Open,
    };
    let opening = opening(4_001);
    let packet = raw(&opening);
    balancer.receive_peer(
        host(number),
        &returned,
        Some(&packet),
        b"packet",
        at(millis),
        outbox,
    );
}

#[test]
fn a_flow_is_offered_to_the_least_busy_host_with_the_others_to_follow() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = with_hosts(&[3, 1, 2], &mut outbox);
    balancer.receive_caller_packet(&raw(&opening(4_001)), at(910), &mut outbox);
    expect!["Peer(10.0.1.1): forward Open best None next [10.0.1.2, 10.0.1.3] + 6 bytes"]
        .assert_eq(&drain(&mut outbox));
}

#[test]
fn a_flow_that_a_host_does_not_take_in_time_goes_to_another() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = with_hosts(&[1, 2], &mut outbox);
    balancer.receive_caller_packet(&raw(&opening(4_001)), at(910), &mut outbox);
    run(&mut balancer, 910, 995, &mut outbox);
    let placed = events(&mut outbox, |event| {
        matches!(event, FlowEvent::Placed { .. })
    });
    expect![[r#"
        Placed { flow: FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }, host: 10.0.1.1, routes: 1, in_progress: 1, report_age_millis: 10, attempt: 0 }
        Placed { flow: FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }, host: 10.0.1.2, routes: 1, in_progress: 2, report_age_millis: 70, attempt: 1 }"#]]
    .assert_eq(&placed);
}

#[test]
fn a_flow_that_all_hosts_pass_on_waits_and_is_offered_again() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = with_hosts(&[1], &mut outbox);
    balancer.receive_caller_packet(&raw(&opening(4_001)), at(910), &mut outbox);
    outbox.clear();
    return_opening(&mut balancer, 1, 911, &mut outbox);
    expect![""].assert_eq(&drain(&mut outbox));
    run(&mut balancer, 912, 912, &mut outbox);
    expect!["Peer(10.0.1.1): forward Open best None next [] + 6 bytes"]
        .assert_eq(&drain(&mut outbox));
}

#[test]
fn a_flow_that_waited_for_a_quarter_of_its_time_is_refused() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = with_hosts(&[1], &mut outbox);
    balancer.receive_caller_packet(&raw(&opening(4_001)), at(910), &mut outbox);
    let mut refused = Vec::new();
    for millis in (911..1_400).step_by(10) {
        return_opening(&mut balancer, 1, millis, &mut outbox);
        run(&mut balancer, millis, millis, &mut outbox);
        let text = events(&mut outbox, |event| {
            matches!(event, FlowEvent::Refused { .. })
        });
        if !text.is_empty() {
            refused.push(format!("{millis} ms: {text}"));
        }
    }
    expect!["1111 ms: Refused { flow: FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }, reason: NoCapacity, routes: 1 }"]
        .assert_eq(&refused.join("\n"));
}

#[test]
fn a_flow_without_a_host_is_refused_at_once() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = with_hosts(&[1], &mut outbox);
    let draining = host_hello_of(3, 0, ServerState::Draining);
    greet(&mut balancer, 1, &draining, at(901), &mut outbox);
    outbox.clear();
    balancer.receive_caller_packet(&raw(&opening(4_001)), at(910), &mut outbox);
    expect!["reset 100.64.0.7:4001 at 0"].assert_eq(&drain(&mut outbox));
}

#[test]
fn a_flow_without_a_route_is_refused_at_once() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = with_hosts(&[1], &mut outbox);
    let mut foreign = opening(4_001);
    foreign.destination.set_port(444);
    balancer.receive_caller_packet(&raw(&foreign), at(910), &mut outbox);
    expect!["reset 100.64.0.7:4001 at 0"].assert_eq(&drain(&mut outbox));
}

#[test]
fn a_flow_that_comes_before_any_host_is_known_waits_for_one() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer();
    balancer.receive_caller_packet(&raw(&opening(4_001)), at(5), &mut outbox);
    run(&mut balancer, 5, 100, &mut outbox);
    outbox.clear();
    greet(&mut balancer, 1, &host_hello(1, 0), at(105), &mut outbox);
    outbox.clear();
    run(&mut balancer, 106, 130, &mut outbox);
    expect!["Peer(10.0.1.1): forward Open best None next [] + 6 bytes"]
        .assert_eq(&drain(&mut outbox));
}

#[test]
fn copies_of_an_opening_packet_meet_the_same_host() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = with_hosts(&[1, 2], &mut outbox);
    balancer.receive_caller_packet(&raw(&opening(4_001)), at(910), &mut outbox);
    let owned = CarryMessage::Owned {
        flow: opening(4_001).caller_flow(),
        load: Default::default(),
    };
    balancer.receive_peer(host(2), &owned, None, &[], at(912), &mut outbox);
    outbox.clear();
    let mut copy = opening(4_001);
    copy.acknowledged = 1;
    balancer.receive_caller_packet(&raw(&copy), at(1_110), &mut outbox);
    expect!["Peer(10.0.1.2): forward Owner best None next [] + 6 bytes"]
        .assert_eq(&drain(&mut outbox));
}
