//! Whether an opening packet reaches a server, by the service that it is for.

mod fixture;

use expect_test::expect;
use hyssopstair_flows::balancer::FlowBalancer;
use hyssopstair_flows::event::FlowEvent;
use hyssopstair_flows::opening_gate::OpeningClaim;
use hyssopstair_flows::opening_gate::check_opening;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::packet::PacketHeader;
use hyssopstair_flows::routes::RouteTable;
use hyssopstair_wire::carried::CarryHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::HelloExtension;
use hyssopstair_wire::carried::PeerVersion;

use crate::fixture::*;

/// Returns a header of balancer 1, whose routes have this version.
fn offer_header(routes: u64) -> CarryHeader {
    CarryHeader {
        routes,
        ..carry_header(ForwardPurpose::Open)
    }
}

/// Delivers a hello of a host whose build understands `version` to balancer 1.
fn receive_hello_of_build(balancer: &mut FlowBalancer, number: u8, version: PeerVersion) {
    let extension = HelloExtension {
        version,
        ..HelloExtension::default()
    };
    balancer.receive_peer_message(
        host_address(number),
        &host_hello(1, u16::from(number)),
        None,
        &extension.encode(),
        at(900),
        &mut FlowOutbox::default(),
    );
}

#[test]
fn only_routes_that_lead_to_the_service_of_the_server_permit_an_opening() {
    let other_target = caller_address(80);
    let table = route_table(
        5,
        vec![
            route_rule(target_address(), SERVICE),
            route_rule(other_target, "archive"),
        ],
    );
    let unknown_target = caller_address(81);
    let mut lines = Vec::new();
    for (name, table) in [("none", &RouteTable::default()), ("v5", &table)] {
        for (target_name, target) in [
            ("own", target_address()),
            ("other", other_target),
            ("unknown", unknown_target),
        ] {
            for service in [None, Some(SERVICE), Some("archive")] {
                let verdicts = [4, 5, 6].map(|routes| {
                    let claim = OpeningClaim { service, routes };
                    match check_opening(table, Some(SERVICE), target, claim) {
                        Ok(permit) => format!("{permit:?}"),
                        Err(denial) => format!("- {denial:?}"),
                    }
                });
                let claimed = service.unwrap_or("unnamed");
                lines.push(format!(
                    "routes {name}, {target_name} target, {claimed} by v4, v5, v6: {}",
                    verdicts.join(", ")
                ));
            }
        }
    }
    expect![[r#"
        routes none, own target, unnamed by v4, v5, v6: - NoRoutes, - NoRoutes, - NoRoutes
        routes none, own target, lessons by v4, v5, v6: BalancerRoutes, BalancerRoutes, BalancerRoutes
        routes none, own target, archive by v4, v5, v6: - OtherService, - OtherService, - OtherService
        routes none, other target, unnamed by v4, v5, v6: - NoRoutes, - NoRoutes, - NoRoutes
        routes none, other target, lessons by v4, v5, v6: BalancerRoutes, BalancerRoutes, BalancerRoutes
        routes none, other target, archive by v4, v5, v6: - OtherService, - OtherService, - OtherService
        routes none, unknown target, unnamed by v4, v5, v6: - NoRoutes, - NoRoutes, - NoRoutes
        routes none, unknown target, lessons by v4, v5, v6: BalancerRoutes, BalancerRoutes, BalancerRoutes
        routes none, unknown target, archive by v4, v5, v6: - OtherService, - OtherService, - OtherService
        routes v5, own target, unnamed by v4, v5, v6: HostRoutes, HostRoutes, HostRoutes
        routes v5, own target, lessons by v4, v5, v6: HostRoutes, HostRoutes, BalancerRoutes
        routes v5, own target, archive by v4, v5, v6: - OtherService, - OtherService, - OtherService
        routes v5, other target, unnamed by v4, v5, v6: - NotAllowed, - NotAllowed, - NotAllowed
        routes v5, other target, lessons by v4, v5, v6: - NotAllowed, - NotAllowed, BalancerRoutes
        routes v5, other target, archive by v4, v5, v6: - OtherService, - OtherService, - OtherService
        routes v5, unknown target, unnamed by v4, v5, v6: - NotAllowed, - NotAllowed, - NotAllowed
        routes v5, unknown target, lessons by v4, v5, v6: - NotAllowed, - NotAllowed, BalancerRoutes
        routes v5, unknown target, archive by v4, v5, v6: - OtherService, - OtherService, - OtherService"#]].assert_eq(&lines.join("\n"));
}

// A host with older routes than the balancer delivered what it could not judge.
#[test]
fn a_host_with_older_routes_delivers_no_opening_packet_for_another_service() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    let rules = vec![route_rule(target_address(), "archive")];
    host.set_routes(route_table(2, rules), &mut outbox);
    outbox.clear();
    let opening = opening_packet(4_001);
    host.receive_forwarded_packet(
        &offer_header(3),
        &raw_packet(&opening),
        at(500),
        &mut outbox,
    );
    host.receive_offered_packet(
        &offer_header(3),
        "archive",
        &raw_packet(&opening),
        at(600),
        &mut outbox,
    );
    let denials: Vec<String> = outbox
        .events()
        .iter()
        .filter_map(|event| match event {
            FlowEvent::Denied { denial, .. } => Some(format!("{denial:?}")),
            _ => None,
        })
        .collect();
    expect![[r#"
        ["NotAllowed", "OtherService"]
        Peer(10.0.2.1): RoutesWanted { known: 2 } + 0 bytes
        Peer(10.0.2.1): Returned { purpose: Open } + 6 bytes
        Peer(10.0.2.1): Returned { purpose: Open } + 6 bytes"#]]
    .assert_eq(&format!("{denials:?}\n{}", take_output(&mut outbox)));
}

// The route may have been added a moment ago.
#[test]
fn a_host_with_older_routes_delivers_an_opening_packet_that_names_its_service() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    host.set_routes(route_table(2, Vec::new()), &mut outbox);
    outbox.clear();
    host.receive_offered_packet(
        &offer_header(3),
        SERVICE,
        &raw_packet(&opening_packet(4_001)),
        at(500),
        &mut outbox,
    );
    expect!["Server: packet"].assert_eq(&take_output(&mut outbox));
}

#[test]
fn an_offer_keeps_its_service_when_it_is_passed_on() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    let header = CarryHeader {
        next: [host_address(2)].into_iter().collect(),
        ..offer_header(1)
    };
    host.receive_offered_packet(
        &header,
        "archive",
        &raw_packet(&opening_packet(4_001)),
        at(500),
        &mut outbox,
    );
    expect![[r#"Peer(10.0.1.2): Offer { header: CarryHeader { purpose: Open, balancer: 10.0.2.1, routes: 1, best: None, next: [] }, service: "archive" } + 6 bytes"#]].assert_eq(&take_output(&mut outbox));
}

#[test]
fn offers_name_their_service_if_all_candidates_understand_it() {
    let mut lines = Vec::new();
    for versions in [
        [PeerVersion::OFFERS, PeerVersion::OFFERS],
        [PeerVersion::OFFERS, PeerVersion::DETOURS],
    ] {
        let mut outbox = FlowOutbox::default();
        let mut balancer = new_balancer();
        for (number, version) in (1..).zip(versions) {
            receive_hello_of_build(&mut balancer, number, version);
        }
        let opening = opening_packet(4_001);
        balancer.receive_caller_packet(&raw_packet(&opening), at(910), &mut outbox);
        for (destination, bytes) in outbox.datagrams() {
            let Some((message, _)) = CarryMessage::decode(bytes) else {
                continue;
            };
            lines.push(format!("{destination:?}: {message:?}"));
        }
    }
    expect![[r#"
        Peer(10.0.1.1): Offer { header: CarryHeader { purpose: Open, balancer: 10.0.2.1, routes: 1, best: None, next: [10.0.1.2] }, service: "lessons" }
        Peer(10.0.1.1): Forward(CarryHeader { purpose: Open, balancer: 10.0.2.1, routes: 1, best: None, next: [10.0.1.2] })"#]].assert_eq(&lines.join("\n"));
}

// The flow table may name the address of a former instance.
#[test]
fn a_repeated_opening_packet_that_follows_a_hint_passes_the_gate() {
    let mut lines = Vec::new();
    for purpose in [ForwardPurpose::Owner, ForwardPurpose::Probe] {
        let mut outbox = FlowOutbox::default();
        let mut host = new_host(1);
        let rules = vec![route_rule(target_address(), "archive")];
        host.set_routes(route_table(2, rules), &mut outbox);
        host.receive_heartbeat(&running_server_heartbeat(), at(10), &mut outbox);
        let opening = PacketHeader {
            acknowledged: 1,
            ..opening_packet(4_001)
        };
        let reported = CarryMessage::Flows {
            owner: host_address(1),
            flows: vec![opening.caller_flow()],
        };
        let balancer = balancer_address(1);
        host.receive_peer_message(balancer, &reported, None, &[], at(20), &mut outbox);
        outbox.clear();
        let header = carry_header(purpose);
        host.receive_forwarded_packet(&header, &raw_packet(&opening), at(30), &mut outbox);
        lines.push(take_output(&mut outbox));
    }
    expect![[r#"
        Peer(10.0.2.1): Returned { purpose: Owner } + 6 bytes
        Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: true } + 0 bytes"#]].assert_eq(&lines.join("\n"));
}

// A host of a former build does not compare the service of an offer.
#[test]
fn a_silent_host_of_a_former_build_gets_no_new_flows() {
    let mut lines = Vec::new();
    for version in [PeerVersion::DETOURS, PeerVersion::OFFERS] {
        for silent_millis in [1_400, 1_600] {
            let mut outbox = FlowOutbox::default();
            let mut balancer = new_balancer();
            receive_hello_of_build(&mut balancer, 1, version);
            let opening = opening_packet(4_001);
            let now = at(900 + silent_millis);
            balancer.receive_caller_packet(&raw_packet(&opening), now, &mut outbox);
            let message_count = outbox.datagrams().count();
            lines.push(format!(
                "{version:?}, silent for {silent_millis} ms: {message_count} offers"
            ));
        }
    }
    expect![[r#"
        PeerVersion(2), silent for 1400 ms: 1 offers
        PeerVersion(2), silent for 1600 ms: 0 offers
        PeerVersion(3), silent for 1400 ms: 1 offers
        PeerVersion(3), silent for 1600 ms: 1 offers"#]]
    .assert_eq(&lines.join("\n"));
}

// A heartbeat that was overtaken, or that is from an earlier incarnation, is no sign of life.
#[test]
fn a_stale_heartbeat_does_not_renew_the_evidence_of_the_service() {
    let mut lines = Vec::new();
    for (sequence, millis) in [(1, 1_900), (1, 2_500), (2, 2_500)] {
        let mut outbox = FlowOutbox::default();
        let mut host = new_ready_host(1);
        let verdict = host.receive_heartbeat(&heartbeat(sequence), at(millis), &mut outbox);
        outbox.clear();
        let opening = opening_packet(4_001);
        let now = at(millis + 10);
        host.receive_offered_packet(
            &offer_header(1),
            SERVICE,
            &raw_packet(&opening),
            now,
            &mut outbox,
        );
        lines.push(format!(
            "heartbeat {sequence} at {millis} ms {verdict:?}: {}",
            take_output(&mut outbox)
        ));
    }
    expect![[r#"
        heartbeat 1 at 1900 ms Ignored(Stale): Server: packet
        heartbeat 1 at 2500 ms Ignored(Stale): Peer(10.0.2.1): Returned { purpose: Open } + 6 bytes
        heartbeat 2 at 2500 ms Accepted: Server: packet"#]]
    .assert_eq(&lines.join("\n"));
}

// The server of the service that the settings name may have taken the address meanwhile.
#[test]
fn a_heartbeat_after_a_long_silence_does_not_contradict_the_settings_alone() {
    let mut lines = Vec::new();
    for silent_millis in [1_900, 2_100] {
        let mut outbox = FlowOutbox::default();
        let mut host = new_ready_host(1);
        host.assign_service("archive");
        for (sequence, millis) in [(2, silent_millis), (3, silent_millis + 1_200)] {
            let verdict = host.receive_heartbeat(&heartbeat(sequence), at(millis), &mut outbox);
            lines.push(format!(
                "silent for {silent_millis} ms, heartbeat {sequence}: {verdict:?}"
            ));
        }
    }
    expect![[r#"
        silent for 1900 ms, heartbeat 2: Accepted
        silent for 1900 ms, heartbeat 3: Accepted
        silent for 2100 ms, heartbeat 2: Ignored(UnconfirmedService)
        silent for 2100 ms, heartbeat 3: Accepted"#]]
    .assert_eq(&lines.join("\n"));
}
