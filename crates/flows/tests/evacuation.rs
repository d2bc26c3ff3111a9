//! Operators empty availability zones: new flows stay away from their hosts, whichever
//! process has heard of it first.

mod fixture;

use expect_test::expect;
use hyssopstair_flows::balancer::FlowBalancer;
use hyssopstair_flows::evacuation::EvacuatedZones;
use hyssopstair_flows::event::FlowEvent;
use hyssopstair_flows::host::FlowHost;
use hyssopstair_flows::outbox::Destination;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::store_position::StorePosition;
use hyssopstair_wire::carried::CarryHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::HelloExtension;

use crate::fixture::*;

/// Returns a set of emptied zones at a position of the store.
fn evacuated(era: u64, revision: u64, zones: &[&str]) -> EvacuatedZones {
    let mut evacuated = EvacuatedZones::new(StorePosition { era, revision });
    for zone in zones {
        assert!(evacuated.add(zone));
    }
    evacuated
}

/// Returns the fields behind a hello of a peer that knows a set.
fn extension(evacuated: &EvacuatedZones) -> Vec<u8> {
    HelloExtension {
        store_era: None,
        evacuation: Some(evacuated.into()),
        ..Default::default()
    }
    .encode()
}

/// Creates a balancer that knows host 1 in zone `utr-a` and host 2 in zone `ame-b`.
fn new_balancer_with_zones(outbox: &mut FlowOutbox) -> FlowBalancer {
    let mut balancer = new_balancer();
    for (number, zone) in [(1, "utr-a"), (2, "ame-b")] {
        let CarryMessage::Hello(mut hello) = host_hello(1, 0) else {
            panic!("not a hello");
        };
        hello.zone = zone.to_owned();
        let hello = CarryMessage::Hello(hello);
        receive_host_hello(&mut balancer, number, &hello, at(10), outbox);
    }
    outbox.clear();
    balancer
}

/// Lets a caller open a flow at a balancer, and describes what happens to it.
fn open_at_balancer(balancer: &mut FlowBalancer, port: u16, outbox: &mut FlowOutbox) -> String {
    outbox.clear();
    let packet = opening_packet(port);
    balancer.receive_caller_packet(&raw_packet(&packet), at(700), outbox);
    let reasons: Vec<String> = outbox
        .events()
        .iter()
        .filter_map(|event| match event {
            FlowEvent::Refused { reason, .. } => Some(format!("{reason:?}")),
            _ => None,
        })
        .collect();
    format!("{} {}", take_output(outbox), reasons.concat())
}

#[test]
fn new_flows_stay_away_from_an_emptied_zone_until_it_is_taken_back() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_zones(&mut outbox);
    let steps = [
        evacuated(0, 20, &["utr-a"]),
        evacuated(0, 21, &["ame-b", "utr-a"]),
        evacuated(0, 22, &["ame-b"]),
        evacuated(0, 23, &[]),
        evacuated(0, 24, &["nowhere"]),
    ];
    let mut lines = Vec::new();
    for (port, step) in (4_001..).zip(steps) {
        let zones = step.zones().join(" ");
        balancer.set_evacuation(step, &mut outbox);
        let line = open_at_balancer(&mut balancer, port, &mut outbox);
        lines.push(format!("[{zones}] {line}"));
    }
    expect![[r#"
        [utr-a] Peer(10.0.1.2): forward Open best None next [] + 6 bytes 
        [ame-b utr-a] reset 100.64.0.7:4002 at 0 ZoneEvacuated
        [ame-b] Peer(10.0.1.1): forward Open best None next [] + 6 bytes 
        [] Peer(10.0.1.1): forward Open best None next [10.0.1.2] + 6 bytes 
        [nowhere] Peer(10.0.1.2): forward Open best None next [10.0.1.1] + 6 bytes "#]]
    .assert_eq(&lines.join("\n"));
}

/// Failure: a balancer has not heard of the request yet, and forwards a flow to the zone, or
/// another host assigns it there as the least busy one.
#[test]
fn a_host_of_an_emptied_zone_passes_new_flows_on_and_keeps_its_open_ones() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    open_flow(&mut host, 4_001, 10, &mut outbox);
    host.set_evacuation(evacuated(0, 20, &["utr-a"]), &mut outbox);
    outbox.clear();
    let next_hosts = [vec![host_address(2)], vec![]];
    let purposes = [ForwardPurpose::Open, ForwardPurpose::OpenHere];
    for ((port, purpose), next) in (4_002..).zip(purposes).zip(next_hosts) {
        let header = CarryHeader {
            next: next.into_iter().collect(),
            ..carry_header(purpose)
        };
        let packet = opening_packet(port);
        host.receive_forwarded_packet(&header, &raw_packet(&packet), at(20), &mut outbox);
    }
    receive_owner_request(&mut host, 5_001, at(21), &mut outbox);
    expect![[r#"
        Peer(10.0.1.2): forward Open best None next [] + 6 bytes
        Peer(10.0.2.1): Returned { purpose: OpenHere } + 6 bytes
        Server: packet"#]]
    .assert_eq(&take_output(&mut outbox));
}

/// Failure: hellos overtake one another, or a peer that is cut off from the store still names
/// the zones as they were. After the store has come back from a copy, its revisions are lower.
#[test]
fn the_set_of_the_latest_position_is_in_force() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    let received = [
        evacuated(1, 20, &["utr-a"]),
        evacuated(1, 19, &[]),
        evacuated(1, 22, &["utr-a"]),
        evacuated(1, 21, &["ame-b"]),
        evacuated(2, 5, &["ame-b"]),
        evacuated(1, 30, &[]),
    ];
    let mut lines = Vec::new();
    for (number, set) in (1..).zip(received) {
        let hello = balancer_hello(number);
        let bytes = extension(&set);
        outbox.clear();
        let from = balancer_address(1);
        host.receive_peer_message(from, &hello, None, &bytes, at(50), &mut outbox);
        let events = take_events(&mut outbox, |event| {
            matches!(event, FlowEvent::ZonesEvacuated { .. })
        });
        lines.push(format!("{:?} {events}", host.evacuated_zones()));
    }
    expect![[r#"
        ["utr-a"] ZonesEvacuated { zones: ["utr-a"], former_zones: [], position: StorePosition { era: 1, revision: 20 }, source: Peer }
        ["utr-a"] 
        ["utr-a"] 
        ["utr-a"] 
        ["ame-b"] ZonesEvacuated { zones: ["ame-b"], former_zones: ["utr-a"], position: StorePosition { era: 2, revision: 5 }, source: Peer }
        ["ame-b"] "#]]
    .assert_eq(&lines.join("\n"));
}

/// Failure: a balancer starts while the store is silent. It gets its routes from a host, and
/// must not place a flow before it knows the emptied zones.
#[test]
fn a_balancer_learns_the_emptied_zones_from_a_host_before_its_routes() {
    let mut outbox = FlowOutbox::default();
    let mut host: FlowHost = new_ready_host(1);
    host.set_evacuation(evacuated(0, 20, &["utr-a"]), &mut outbox);
    host.add_contacts(&[balancer_address(1)]);
    outbox.clear();
    host.tick(at(20), &mut outbox);
    let mut balancer = new_balancer_with_zones(&mut FlowOutbox::default());
    let mut announced = FlowOutbox::default();
    for (destination, bytes) in outbox.datagrams() {
        assert_eq!(destination, Destination::Peer(balancer_address(1)));
        let (message, payload) = CarryMessage::decode(bytes).expect("a message");
        let from = host_address(3);
        balancer.receive_peer_message(from, &message, None, payload, at(30), &mut announced);
    }
    expect![[r#"["utr-a"]"#]].assert_eq(&format!("{:?}", balancer.evacuated_zones()));

    // It announces them at once.
    announced.clear();
    balancer.tick(at(31), &mut announced);
    let zones: Vec<Option<Vec<String>>> = announced
        .datagrams()
        .filter_map(|(_, bytes)| CarryMessage::decode(bytes))
        .map(|(_, payload)| HelloExtension::decode(payload).evacuation)
        .map(|notice| notice.map(|notice| notice.zones))
        .collect();
    assert!(!zones.is_empty());
    assert!(
        zones
            .iter()
            .all(|zones| zones.as_deref() == Some(&["utr-a".to_owned()][..]))
    );
}

#[test]
fn names_that_no_zone_can_have_are_left_out() {
    let mut set = EvacuatedZones::new(StorePosition {
        era: 0,
        revision: 1,
    });
    assert!(!set.add(""));
    assert!(!set.add(&"z".repeat(64)));
    for number in 0..20 {
        set.add(&format!("zone-{number:02}"));
    }
    assert_eq!(set.zones().len(), 16);
    // One that is known stays known when the set is full.
    assert!(set.add("zone-03"));
    set.remove("zone-03");
    assert!(set.add("zone-19"));
}

/// Failure: a process of an earlier build knows only the era behind a hello, or nothing.
#[test]
fn hellos_of_other_builds_are_understood() {
    let set = evacuated(1, 20, &["utr-a"]);
    let whole = extension(&set);
    let era_only: &[u8] = &[1, 7];
    let lines: Vec<String> = [&whole[..], era_only, &[], &[1, 7, 1, 3]]
        .into_iter()
        .map(HelloExtension::decode)
        .map(|decoded| {
            let zones = decoded.evacuation.map(|notice| notice.zones);
            format!("{:?} {zones:?}", decoded.store_era)
        })
        .collect();
    expect![[r#"
        None Some(["utr-a"])
        Some(7) None
        None None
        Some(7) None"#]]
    .assert_eq(&lines.join("\n"));
}
