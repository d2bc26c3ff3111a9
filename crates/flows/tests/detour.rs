//! Two availability zones do not reach each other while a third reaches both.
//!
//! An open flow stays with its host, and routers keep sending its packets to balancers of the
//! caller's zone. Without a way around, every request on a flow between the two zones is lost
//! until the link works again.

mod fixture;
mod model;

use std::net::Ipv4Addr;
use std::time::Duration;

use expect_test::expect;
use hyssopstair_flows::balancer::FlowBalancer;
use hyssopstair_flows::detour::PeerWay;
use hyssopstair_flows::detour::read_datagram;
use hyssopstair_flows::event::DropReason;
use hyssopstair_flows::event::FlowEvent;
use hyssopstair_flows::host::FlowHost;
use hyssopstair_flows::outbox::Destination;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::packet::PacketHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::HelloExtension;
use hyssopstair_wire::carried::HelloMessage;
use hyssopstair_wire::carried::PeerVersion;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixture::*;
use crate::model::caller::CallerTally;
use crate::model::world::Fault;
use crate::model::world::World;
use crate::model::world::WorldPlan;

/// Number of seeds of the simulation with random faults of links.
const FUZZ_SEEDS: u64 = 40;

/// Returns a fleet of three zones without faults, in which no server is busy.
fn three_zones() -> WorldPlan {
    WorldPlan {
        balancers: 6,
        hosts: 12,
        callers: 60,
        slots: 4,
        work_micros: (10_000, 30_000),
        max_pause_millis: 400,
        zones: 3,
        duration_millis: 16_000,
        ..WorldPlan::default()
    }
}

/// Runs a plan with three seeds, and adds up what callers got.
fn run_seeds(plan: &WorldPlan) -> CallerTally {
    let mut total = CallerTally::default();
    for seed in 0..3 {
        let mut world = World::new(plan.clone(), seed);
        world.run();
        assert!(
            world.oracle.violations().is_empty(),
            "{:?}",
            world.oracle.violations()
        );
        total.answered += world.tally.answered;
        total.in_time += world.tally.in_time;
        total.refused += world.tally.refused;
        total.broken += world.tally.broken;
        total.given_up += world.tally.given_up;
    }
    total
}

// The load: callers of three zones, half of them with flows of 20 requests, while two zones
// are cut off from each other for 6 s. No request may be lost in either zone.
#[test]
fn flows_between_zones_that_do_not_reach_each_other_are_served() {
    let plan = WorldPlan {
        faults: vec![(5_000, Fault::CutZones(0, 1))],
        ..three_zones()
    };
    let total = run_seeds(&plan);
    assert_eq!(
        (total.given_up, total.broken, total.refused),
        (0, 0, 0),
        "{total:?}"
    );
}

#[test]
fn flows_over_a_link_that_passes_one_way_only_are_served() {
    for (from, to) in [(0, 1), (1, 0)] {
        let plan = WorldPlan {
            faults: vec![(5_000, Fault::CutOneWay(from, to))],
            ..three_zones()
        };
        let total = run_seeds(&plan);
        assert_eq!(
            (total.given_up, total.broken, total.refused),
            (0, 0, 0),
            "{total:?}"
        );
    }
}

/// Returns a plan with random cuts between zones, losses, doubled datagrams and ends of
/// processes.
fn random_cuts(seed: u64) -> WorldPlan {
    let mut random = SmallRng::seed_from_u64(seed ^ 0xc075);
    let mut faults = Vec::new();
    for _ in 0..random.random_range(1..=4) {
        let at = random.random_range(3_000..14_000);
        let first = random.random_range(0..3);
        let second = (first + random.random_range(1..3)) % 3;
        let fault = match random.random_range(0..8) {
            0..=3 => Fault::CutZones(first, second),
            4..=5 => Fault::CutOneWay(first, second),
            6 => Fault::StopBalancer(random.random_range(1..=6)),
            _ => Fault::StopHost(random.random_range(1..=12)),
        };
        faults.push((at, fault));
    }
    WorldPlan {
        loss_per_mille: random.random_range(0..=20),
        doubled_per_mille: random.random_range(0..=100),
        faults,
        duration_millis: 20_000,
        ..three_zones()
    }
}

// Cuts begin and end in the middle of flows, while datagrams are lost, arrive twice and
// overtake each other.
#[test]
fn no_invariant_is_violated_by_random_cuts() {
    let mut failures = Vec::new();
    for seed in 0..FUZZ_SEEDS {
        let mut world = World::new(random_cuts(seed), seed);
        world.run();
        let violations = world.oracle.violations().iter().take(3);
        failures.extend(violations.map(|text| format!("seed {seed}: {text}")));
        if world.tally.answered < 50 {
            failures.push(format!("seed {seed}: {:?}", world.tally));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Delivers a hello of a peer in `zone` that understands `version` to a balancer.
fn receive_hello_from(
    balancer: &mut FlowBalancer,
    from: Ipv4Addr,
    zone: &str,
    (number, version): (u32, PeerVersion),
    millis: u64,
) {
    let extension = HelloExtension {
        version,
        ..HelloExtension::default()
    };
    receive_hello_with(balancer, from, zone, number, &extension, millis);
}

fn receive_hello_with(
    balancer: &mut FlowBalancer,
    from: Ipv4Addr,
    zone: &str,
    number: u32,
    extension: &HelloExtension,
    millis: u64,
) {
    let CarryMessage::Hello(hello) = host_hello(number, 0) else {
        unreachable!("the fixture builds a hello");
    };
    let hello = CarryMessage::Hello(HelloMessage {
        zone: zone.to_owned(),
        ..hello
    });
    let mut outbox = FlowOutbox::default();
    let payload = extension.encode();
    balancer.receive_peer_message(from, &hello, None, &payload, at(millis), &mut outbox);
}

/// Creates a balancer that has a flow at host 1 in zone `ame-b` and knows host 2 in `zei-c`.
/// Both hosts understand `version`.
fn balancer_with_remote_flow(version: PeerVersion) -> FlowBalancer {
    let mut balancer = new_balancer();
    receive_hello_from(&mut balancer, host_address(1), "ame-b", (1, version), 0);
    receive_hello_from(&mut balancer, host_address(2), "zei-c", (1, version), 0);
    let claim = CarryMessage::Owned {
        flow: opening_packet(4_001).caller_flow(),
        load: Default::default(),
    };
    let mut outbox = FlowOutbox::default();
    balancer.receive_peer_message(host_address(1), &claim, None, &[], at(0), &mut outbox);
    balancer
}

/// Sends a packet of a caller to a balancer and returns the processes that get datagrams.
fn receivers_of(balancer: &mut FlowBalancer, packet: &PacketHeader, millis: u64) -> String {
    let mut outbox = FlowOutbox::default();
    balancer.receive_caller_packet(&raw_packet(packet), at(millis), &mut outbox);
    let receivers: Vec<String> = outbox
        .datagrams()
        .map(|(destination, _)| format!("{destination:?}"))
        .collect();
    receivers.join(", ")
}

#[test]
fn packets_take_a_detour_while_the_host_is_silent_and_the_direct_way_afterwards() {
    let mut balancer = balancer_with_remote_flow(PeerVersion::CURRENT);
    let mut request = request_packet(4_001);
    let mut receivers = vec![receivers_of(&mut balancer, &request, 100)];
    for number in 2..=9 {
        let hello = (number, PeerVersion::CURRENT);
        let millis = u64::from(number - 1) * 250;
        receive_hello_from(&mut balancer, host_address(2), "zei-c", hello, millis);
    }
    request.sequence += 80;
    receivers.push(receivers_of(&mut balancer, &request, 2_000));
    let hello = (2, PeerVersion::CURRENT);
    receive_hello_from(&mut balancer, host_address(1), "ame-b", hello, 2_010);
    request.sequence += 80;
    receivers.push(receivers_of(&mut balancer, &request, 2_020));
    expect![[r#"
        Peer(10.0.1.1)
        Peer(10.0.1.2)
        Peer(10.0.1.1)"#]]
    .assert_eq(&receivers.join("\n"));
}

// In the first moments of a cut, no hello is overdue. Callers repeat a request after 200 ms. The
// cause may also be that the server is slow, and the third zone may not reach the host.
#[test]
fn a_repeated_request_takes_both_ways() {
    let mut balancer = balancer_with_remote_flow(PeerVersion::CURRENT);
    let mut request = request_packet(4_001);
    let first = receivers_of(&mut balancer, &request, 10);
    let repeated = receivers_of(&mut balancer, &request, 210);
    request.sequence += 80;
    let next = receivers_of(&mut balancer, &request, 300);
    expect![[r#"
        Peer(10.0.1.1)
        Peer(10.0.1.1), Peer(10.0.1.2)
        Peer(10.0.1.1)"#]]
    .assert_eq(&[first, repeated, next].join("\n"));
}

// The packets of an upload overtake each other on the way to the balancer. They are no sign of a cut
// link, and a second copy of each would double the bytes between zones.
#[test]
fn packets_that_overtake_each_other_take_the_direct_way_alone() {
    let mut balancer = balancer_with_remote_flow(PeerVersion::CURRENT);
    let mut receivers = Vec::new();
    for (sequence, millis) in [
        (100, 10),
        (260, 11),
        (180, 12),
        (420, 13),
        (340, 14),
        (180, 212),
    ] {
        let mut packet = request_packet(4_001);
        packet.sequence = sequence;
        receivers.push(receivers_of(&mut balancer, &packet, millis));
    }
    expect![[r#"
        Peer(10.0.1.1)
        Peer(10.0.1.1)
        Peer(10.0.1.1)
        Peer(10.0.1.1)
        Peer(10.0.1.1)
        Peer(10.0.1.1), Peer(10.0.1.2)"#]]
    .assert_eq(&receivers.join("\n"));
}

// A link may lose packets in one direction only. The hellos of the host arrive, and say that
// it gets none.
#[test]
fn packets_take_a_detour_to_a_host_that_does_not_hear_the_balancer() {
    let mut balancer = balancer_with_remote_flow(PeerVersion::CURRENT);
    let request = request_packet(4_001);
    let mut receivers = Vec::new();
    for (number, silence_millis) in [(2, 400), (3, 900), (4, 50)] {
        let extension = HelloExtension {
            version: PeerVersion::CURRENT,
            silence_millis: Some(silence_millis),
            ..HelloExtension::default()
        };
        receive_hello_with(
            &mut balancer,
            host_address(1),
            "ame-b",
            number,
            &extension,
            100,
        );
        let acknowledgment = PacketHeader {
            data_length: 0,
            ..request
        };
        receivers.push(receivers_of(&mut balancer, &acknowledgment, 100));
    }
    expect![[r#"
        Peer(10.0.1.1)
        Peer(10.0.1.2)
        Peer(10.0.1.1)"#]]
    .assert_eq(&receivers.join("\n"));
}

#[test]
fn a_build_that_does_not_understand_detours_is_not_sent_any() {
    let mut balancer = balancer_with_remote_flow(PeerVersion::UNNAMED);
    let request = request_packet(4_001);
    let first = receivers_of(&mut balancer, &request, 10);
    let repeated = receivers_of(&mut balancer, &request, 210);
    assert_eq!(first, "Peer(10.0.1.1)");
    assert_eq!(repeated, "Peer(10.0.1.1)");
}

/// Returns a datagram that asks a process to pass a packet of an open flow on.
fn detour_datagram(origin: Ipv4Addr, target: Ipv4Addr, purpose: ForwardPurpose) -> Vec<u8> {
    let mut bytes = Vec::new();
    CarryMessage::Detour { origin, target }.encode(&mut bytes);
    CarryMessage::Forward(carry_header(purpose)).encode(&mut bytes);
    bytes.extend_from_slice(b"packet");
    bytes
}

/// Delivers a datagram to a host and describes what the host sends and records.
fn deliver(host: &mut FlowHost, number: u8, sender: Ipv4Addr, bytes: &[u8], millis: u64) -> String {
    let mut outbox = FlowOutbox::default();
    let received = match read_datagram(bytes, sender, host_address(number)) {
        Ok(received) => received,
        Err(reason) => return format!("{reason:?}"),
    };
    let now = at(millis);
    let (from, message) = (received.from, &received.message);
    let request = request_packet(4_001);
    let packet = raw_packet(&request);
    match received.way {
        PeerWay::Direct => {
            host.receive_peer_message(from, message, None, received.payload, now, &mut outbox);
        }
        PeerWay::Via(relay) => {
            host.receive_detoured_message(from, relay, message, Some(&packet), now, &mut outbox);
        }
    }
    let events = outbox.events().iter().map(|event| format!("{event:?}"));
    let events: Vec<String> = events.collect();
    let sent: Vec<String> = outbox
        .datagrams()
        .map(|(destination, _)| format!("{destination:?}"))
        .collect();
    format!("{} {}", sent.join(", "), events.join(", "))
}

#[test]
fn a_message_is_passed_on_once_and_answered_on_the_same_way() {
    let (origin, target) = (balancer_address(1), host_address(1));
    let bytes = detour_datagram(origin, target, ForwardPurpose::Probe);
    let mut relay = new_ready_host(2);
    let passed_on = deliver(&mut relay, 2, origin, &bytes, 0);
    // Another process may not pass on what it has got that way.
    let passed_on_again = deliver(&mut relay, 2, host_address(3), &bytes, 0);
    let mut owner = new_ready_host(1);
    let answer = deliver(&mut owner, 1, host_address(2), &bytes, 1);
    expect![[r#"
        Peer(10.0.1.1) Relayed { origin: 10.0.2.1, target: 10.0.1.1 }
         Dropped { reason: Malformed }
        Peer(10.0.1.2) Detoured { peer: 10.0.2.1, relay: 10.0.1.2 }"#]]
    .assert_eq(&[passed_on, passed_on_again, answer].join("\n"));
}

#[test]
fn new_flows_hellos_and_unknown_messages_take_no_detour() {
    let mut owner = new_ready_host(1);
    let (origin, target) = (balancer_address(1), host_address(1));
    let opening = detour_datagram(origin, target, ForwardPurpose::OpenHere);
    let mut hello = Vec::new();
    CarryMessage::Detour { origin, target }.encode(&mut hello);
    balancer_hello(1).encode(&mut hello);
    let verdicts = [opening, hello, vec![200, 1], vec![9]]
        .map(|bytes| deliver(&mut owner, 1, host_address(2), &bytes, 1));
    expect![[r#"
        Malformed
        Malformed
        UnknownKind
        Malformed"#]]
    .assert_eq(&verdicts.join("\n"));
}

#[test]
fn a_process_passes_on_a_bounded_number_of_messages() {
    let (origin, target) = (balancer_address(1), host_address(1));
    let bytes = detour_datagram(origin, target, ForwardPurpose::Owner);
    let mut relay = new_ready_host(2);
    let mut counts = [0, 0];
    for second in 0..2 {
        for _ in 0..1_000 {
            let result = deliver(&mut relay, 2, origin, &bytes, second * 1_000);
            let is_relayed = result.starts_with(&format!("{:?}", Destination::Peer(target)));
            counts[second as usize] += u32::from(is_relayed);
        }
    }
    assert_eq!(counts, [500, 500]);
    let mut outbox = FlowOutbox::default();
    let message = CarryMessage::Detour { origin, target };
    let now = at(1_000);
    relay.receive_peer_message(origin, &message, None, b"packet", now, &mut outbox);
    let limit = FlowEvent::Dropped {
        reason: DropReason::RelayLimit,
    };
    assert_eq!(outbox.events(), [limit]);
    let later = now + Duration::from_secs(1);
    outbox.clear();
    relay.receive_peer_message(origin, &message, None, b"packet", later, &mut outbox);
    assert_eq!(outbox.datagrams().count(), 1);
}
