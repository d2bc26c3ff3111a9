//! Discovery of peers: the balancers that hellos announce.

mod fixture;

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use expect_test::expect;
use hyssopstair_flows::outbox::Destination;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::HelloRole;

use crate::fixture::*;

/// Returns the balancers that the hellos to a peer announce.
fn announced_balancers(peer: Ipv4Addr, outbox: &FlowOutbox) -> Vec<Ipv4Addr> {
    let mut announced = Vec::new();
    for (destination, bytes) in outbox.datagrams() {
        if destination != Destination::Peer(peer) {
            continue;
        }
        if let Some((CarryMessage::Hello(hello), _)) = CarryMessage::decode(bytes)
            && let HelloRole::Balancer(balancer) = hello.role
        {
            announced.extend(balancer.balancers);
        }
    }
    announced
}

#[test]
fn successive_hellos_announce_all_balancers() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer();
    receive_host_hello(&mut balancer, 1, &host_hello(1, 0), at(10), &mut outbox);
    for number in 2..=50 {
        let from = balancer_address(number);
        balancer.receive_peer_message(
            from,
            &balancer_hello_with_hosts(1, 0),
            None,
            &[],
            at(10),
            &mut outbox,
        );
    }
    outbox.clear();
    let mut announced = BTreeSet::new();
    let mut counts = Vec::new();
    for millis in (500..4_000).step_by(500) {
        balancer.tick(at(millis), &mut outbox);
        announced.extend(announced_balancers(host_address(1), &outbox));
        counts.push(announced.len().to_string());
        outbox.clear();
    }
    expect!["16, 28, 40, 49, 49, 49, 49"].assert_eq(&counts.join(", "));
}

#[test]
fn a_new_balancer_is_announced_in_the_next_hello() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer();
    receive_host_hello(&mut balancer, 1, &host_hello(1, 0), at(10), &mut outbox);
    for number in 3..=50 {
        let from = balancer_address(number);
        balancer.receive_peer_message(
            from,
            &balancer_hello_with_hosts(1, 0),
            None,
            &[],
            at(10),
            &mut outbox,
        );
    }
    balancer.receive_peer_message(
        balancer_address(2),
        &balancer_hello_with_hosts(1, 0),
        None,
        &[],
        at(400),
        &mut outbox,
    );
    outbox.clear();
    balancer.tick(at(1_000), &mut outbox);
    let is_announced = announced_balancers(host_address(1), &outbox).contains(&balancer_address(2));
    expect!["true"].assert_eq(&is_announced.to_string());
}
