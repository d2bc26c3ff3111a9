//! Processes find each other.

mod fixture;

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use expect_test::expect;
use hyssopstair_flows::outbox::Destination;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_wire::carried::BalancerHello;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::HelloMessage;
use hyssopstair_wire::carried::HelloRole;

use crate::fixture::*;

fn balancer_hello(number: u32) -> CarryMessage {
    CarryMessage::Hello(HelloMessage {
        started: 1,
        number,
        zone: "utr-a".to_owned(),
        routes: 1,
        wants_answer: false,
        role: HelloRole::Balancer(BalancerHello {
            is_stopping: false,
            wants_flows: false,
            hosts: 0,
            balancers: Default::default(),
        }),
    })
}

/// Returns the balancers that the hellos to a peer name.
fn told_to(peer: Ipv4Addr, outbox: &FlowOutbox) -> Vec<Ipv4Addr> {
    let mut told = Vec::new();
    for (destination, bytes) in outbox.datagrams() {
        if destination != Destination::Peer(peer) {
            continue;
        }
        if let Some((CarryMessage::Hello(hello), _)) = CarryMessage::decode(bytes)
            && let HelloRole::Balancer(balancer) = hello.role
        {
            told.extend(balancer.balancers);
        }
    }
    told
}

#[test]
fn hellos_name_all_balancers_in_turn() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer();
    greet(&mut balancer, 1, &host_hello(1, 0), at(10), &mut outbox);
    for number in 2..=50 {
        let from = balancer_address(number);
        balancer.receive_peer(from, &balancer_hello(1), None, &[], at(10), &mut outbox);
    }
    outbox.clear();
    let mut told = BTreeSet::new();
    let mut counts = Vec::new();
    for millis in (500..4_000).step_by(500) {
        balancer.tick(at(millis), &mut outbox);
        told.extend(told_to(host(1), &outbox));
        counts.push(told.len().to_string());
        outbox.clear();
    }
    expect!["16, 28, 40, 49, 49, 49, 49"].assert_eq(&counts.join(", "));
}

#[test]
fn a_balancer_that_was_just_met_is_named_at_once() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer();
    greet(&mut balancer, 1, &host_hello(1, 0), at(10), &mut outbox);
    for number in 3..=50 {
        let from = balancer_address(number);
        balancer.receive_peer(from, &balancer_hello(1), None, &[], at(10), &mut outbox);
    }
    balancer.receive_peer(
        balancer_address(2),
        &balancer_hello(1),
        None,
        &[],
        at(400),
        &mut outbox,
    );
    outbox.clear();
    balancer.tick(at(1_000), &mut outbox);
    let is_named = told_to(host(1), &outbox).contains(&balancer_address(2));
    expect!["true"].assert_eq(&is_named.to_string());
}
