//! Balancers that stop as planned hand their flow tables over.

mod fixture;

use expect_test::expect;
use hyssopstair_flows::balancer::FlowBalancer;
use hyssopstair_flows::outbox::Destination;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::packet::PacketHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::HelloRole;

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

/// Returns a hello of a balancer in a zone, which asks for flow tables if it `wants_flows`.
fn hello_from_zone(zone: &str, wants_flows: bool) -> CarryMessage {
    let CarryMessage::Hello(mut hello) = balancer_hello(1) else {
        panic!("not a hello");
    };
    hello.zone = zone.to_owned();
    if let HelloRole::Balancer(balancer) = &mut hello.role {
        balancer.wants_flows = wants_flows;
    }
    CarryMessage::Hello(hello)
}

/// Failure: each balancer passes on what it has from others as well, to all balancers of all
/// zones, and a small one does nothing else for a second before it stops.
#[test]
fn flows_go_to_the_balancers_of_the_zone_from_the_one_that_carries_them() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer();
    for number in [1, 2] {
        receive_host_hello(&mut balancer, number, &host_hello(1, 0), at(1), &mut outbox);
    }
    let zones = [(2, "utr-a"), (3, "ame-b")];
    for (number, zone) in zones {
        let from = balancer_address(number);
        let hello = hello_from_zone(zone, false);
        balancer.receive_peer_message(from, &hello, None, &[], at(1), &mut outbox);
    }
    let learned = CarryMessage::Flows {
        owner: host_address(1),
        flows: vec![opening_packet(6_001).caller_flow()],
    };
    let from = balancer_address(2);
    balancer.receive_peer_message(from, &learned, None, &[], at(2), &mut outbox);
    claim_flow(&mut balancer, 4_001, 700);
    // The first balancer of a third zone, and one more of the second, start and ask.
    let mut lines = Vec::new();
    for (number, zone) in [(4, "zei-c"), (5, "ame-b"), (6, "utr-a")] {
        outbox.clear();
        let from = balancer_address(number);
        let hello = hello_from_zone(zone, true);
        balancer.receive_peer_message(from, &hello, None, &[], at(800), &mut outbox);
        let (ports, _) = shared_ports(&outbox, Destination::Peer(from));
        lines.push(format!("{zone} asks: {ports:?}"));
    }
    outbox.clear();
    balancer.stop(at(900), &mut outbox);
    for number in 2..=6 {
        let (ports, _) = shared_ports(&outbox, Destination::Peer(balancer_address(number)));
        lines.push(format!("stop, balancer {number}: {ports:?}"));
    }
    expect![[r#"
        zei-c asks: [4001]
        ame-b asks: []
        utr-a asks: [4001]
        stop, balancer 2: [4001]
        stop, balancer 3: []
        stop, balancer 4: []
        stop, balancer 5: []
        stop, balancer 6: [4001]"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn flows_that_still_wait_when_the_process_ends_are_refused() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer();
    assert!(!balancer.has_waiting_flows());
    let opening = opening_packet(4_001);
    balancer.receive_caller_packet(&raw_packet(&opening), at(5), &mut outbox);
    assert!(balancer.has_waiting_flows());
    outbox.clear();
    balancer.refuse_waiting_flows(&mut outbox);
    expect!["reset 100.64.0.7:4001 at 0"].assert_eq(&take_output(&mut outbox));
    assert!(!balancer.has_waiting_flows());
}
