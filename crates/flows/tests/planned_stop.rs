//! Balancers that stop as planned hand their flow tables over.

mod fixture;

use expect_test::expect;
use hyssopstair_flows::balancer::FlowBalancer;
use hyssopstair_flows::outbox::Destination;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::packet::PacketHeader;
use hyssopstair_wire::carried::CarryMessage;

use crate::fixture::*;

/// Lets a host claim a flow that a caller has opened through the balancer.
fn claim_flow(balancer: &mut FlowBalancer, port: u16, millis: u64) {
    let mut outbox = FlowOutbox::default();
    let opening = opening_packet(port);
    balancer.receive_caller_packet(&raw_packet(&opening), at(millis), &mut outbox);
    let claim = CarryMessage::Owned {
        flow: opening.caller_flow(),
        load: Default::default(),
    };
    let from = host_address(1 + (port % 2) as u8);
    balancer.receive_peer_message(from, &claim, None, &[], at(millis), &mut outbox);
}

/// Delivers the caller's last packet of a flow.
fn finish_flow(balancer: &mut FlowBalancer, port: u16, millis: u64) {
    let packet = PacketHeader {
        is_finish: true,
        data_length: 0,
        ..request_packet(port)
    };
    balancer.receive_caller_packet(&raw_packet(&packet), at(millis), &mut FlowOutbox::default());
}

/// Returns the ports of the flows in the messages to a peer, and the number of messages.
fn shared_ports(outbox: &FlowOutbox, peer: Destination) -> (Vec<u16>, usize) {
    let mut ports = Vec::new();
    let mut message_count = 0;
    for (destination, bytes) in outbox.datagrams() {
        let message = CarryMessage::decode(bytes).map(|(message, _)| message);
        if destination != peer {
            continue;
        }
        if let Some(CarryMessage::Flows { flows, .. }) = message {
            message_count += 1;
            ports.extend(flows.iter().map(|flow| flow.caller.port()));
        }
    }
    ports.sort_unstable();
    (ports, message_count)
}

/// Failure: callers open a flow for each request, so that the table of a balancer names
/// thousands of flows that have ended. When it stops, the other balancers take so long to
/// read its table that they answer opening packets too late.
#[test]
fn a_balancer_that_stops_hands_over_the_flows_that_are_open() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer();
    for number in [1, 2] {
        receive_host_hello(&mut balancer, number, &host_hello(1, 0), at(1), &mut outbox);
    }
    let peer = balancer_address(2);
    balancer.receive_peer_message(peer, &balancer_hello(1), None, &[], at(1), &mut outbox);
    for port in 5_000..9_000 {
        claim_flow(&mut balancer, port, 700);
        finish_flow(&mut balancer, port, 720);
    }
    claim_flow(&mut balancer, 4_001, 800);
    claim_flow(&mut balancer, 4_002, 800);
    finish_flow(&mut balancer, 4_003, 900);
    claim_flow(&mut balancer, 4_004, 1_400);
    finish_flow(&mut balancer, 4_004, 1_450);
    outbox.clear();
    balancer.stop(at(1_500), &mut outbox);
    let (ports, message_count) = shared_ports(&outbox, Destination::Peer(peer));
    expect!["[4001, 4002, 4004] in 2 messages"]
        .assert_eq(&format!("{ports:?} in {message_count} messages"));
}
