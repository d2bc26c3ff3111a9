//! A host that was started beside a server, and servers that start anew.

mod fixture;

use expect_test::expect;
use hyssopstair_flows::host::CheckResult;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_wire::carried::CarryHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::ForwardPurpose;

use crate::fixture::*;

#[test]
fn a_host_asks_a_server_that_was_running_whether_it_holds_a_flow() {
    let mut outbox = FlowOutbox::default();
    let mut gate = gate(1);
    gate.receive_heartbeat(&heartbeat(40), at(10), &mut outbox);
    outbox.clear();
    let search = header(ForwardPurpose::Probe);
    gate.receive_forwarded_packet(&search, &raw(&request(4_001)), at(20), &mut outbox);
    expect!["Server: packet"].assert_eq(&drain(&mut outbox));
    gate.receive_server_packet(&raw(&answer(4_001)), at(40), &mut outbox);
    expect![[r#"
        Caller(100.64.0.7): packet
        Peer(10.0.2.1): Owned { flow: FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }, load: CarryLoad { in_progress: 0, mean_sixteenths: 0, slots: 2, flows: 1, answer_micros: 20000 } } + 0 bytes"#]]
    .assert_eq(&drain(&mut outbox));
}

#[test]
fn a_host_that_lost_its_table_says_that_it_cannot_tell() {
    let mut outbox = FlowOutbox::default();
    let mut gate = gate(1);
    gate.receive_heartbeat(&heartbeat(40), at(10), &mut outbox);
    outbox.clear();
    let locate = locate(&request(4_001));
    gate.receive_peer(balancer_address(1), &locate, None, &[], at(20), &mut outbox);
    expect!["Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: false } + 0 bytes"]
        .assert_eq(&drain(&mut outbox));
}

#[test]
fn a_host_claims_no_flow_that_its_server_has_not_shown_to_hold() {
    let mut outbox = FlowOutbox::default();
    let mut gate = gate(1);
    gate.receive_heartbeat(&heartbeat(40), at(10), &mut outbox);
    let probe = header(ForwardPurpose::Probe);
    gate.receive_forwarded_packet(&probe, &raw(&request(4_001)), at(20), &mut outbox);
    outbox.clear();
    // Another balancer looks for the same flow.
    let other = CarryHeader {
        balancer: balancer_address(2),
        ..header(ForwardPurpose::Probe)
    };
    let locate = locate(&request(4_001));
    gate.receive_peer(balancer_address(2), &locate, None, &[], at(21), &mut outbox);
    gate.receive_forwarded_packet(&other, &raw(&request(4_001)), at(22), &mut outbox);
    expect![[r#"
        Peer(10.0.2.2): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: false } + 0 bytes
        Server: packet"#]]
    .assert_eq(&drain(&mut outbox));
    let mut bounced = request(4_001);
    bounced.is_bounced = true;
    gate.receive_server_packet(&raw(&bounced), at(23), &mut outbox);
    expect!["Peer(10.0.2.2): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: true } + 0 bytes"]
        .assert_eq(&drain(&mut outbox));
}

#[test]
fn a_host_denies_a_flow_that_its_server_hands_back() {
    let mut outbox = FlowOutbox::default();
    let mut gate = gate(1);
    gate.receive_heartbeat(&heartbeat(40), at(10), &mut outbox);
    outbox.clear();
    let search = header(ForwardPurpose::Probe);
    gate.receive_forwarded_packet(&search, &raw(&request(4_001)), at(20), &mut outbox);
    outbox.clear();
    let mut bounced = request(4_001);
    bounced.is_bounced = true;
    gate.receive_server_packet(&raw(&bounced), at(21), &mut outbox);
    gate.receive_forwarded_packet(&search, &raw(&request(4_001)), at(220), &mut outbox);
    expect![[r#"
        Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: true } + 0 bytes
        Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: true } + 0 bytes"#]]
    .assert_eq(&drain(&mut outbox));
}

#[test]
fn a_host_denies_what_it_asked_a_server_that_had_not_started_yet() {
    let mut outbox = FlowOutbox::default();
    let mut gate = gate(1);
    let search = header(ForwardPurpose::Probe);
    gate.receive_forwarded_packet(&search, &raw(&request(4_001)), at(20), &mut outbox);
    outbox.clear();
    gate.receive_heartbeat(&heartbeat(0), at(50), &mut outbox);
    expect!["Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: true } + 0 bytes"]
        .assert_eq(&drain(&mut outbox));
}

#[test]
fn a_restarted_host_takes_over_the_flows_that_balancers_know() {
    let mut outbox = FlowOutbox::default();
    let mut gate = gate(1);
    gate.receive_heartbeat(&heartbeat(40), at(10), &mut outbox);
    let told = CarryMessage::Flows {
        owner: host(1),
        flows: vec![request(4_001).caller_flow()],
    };
    gate.receive_peer(balancer_address(1), &told, None, &[], at(12), &mut outbox);
    outbox.clear();
    let owner = header(ForwardPurpose::Owner);
    gate.receive_forwarded_packet(&owner, &raw(&request(4_001)), at(20), &mut outbox);
    expect!["Server: packet"].assert_eq(&drain(&mut outbox));
}

#[test]
fn a_new_life_of_the_server_ends_its_flows() {
    let mut outbox = FlowOutbox::default();
    let mut gate = ready_gate(1);
    take_flow(&mut gate, 4_001, 20, &mut outbox);
    let owner = header(ForwardPurpose::Owner);
    gate.receive_forwarded_packet(&owner, &raw(&request(4_001)), at(27), &mut outbox);
    outbox.clear();
    let mut reborn = heartbeat(1);
    reborn.started_unix_millis = 9_000;
    gate.receive_heartbeat(&reborn, at(500), &mut outbox);
    expect!["reset 100.64.0.7:4001 at 5001"].assert_eq(&drain(&mut outbox));
    // A late heartbeat of the earlier life changes nothing.
    gate.receive_heartbeat(&heartbeat(7), at(600), &mut outbox);
    gate.receive_forwarded_packet(&owner, &raw(&request(4_001)), at(700), &mut outbox);
    expect!["reset 100.64.0.7:4001 at 5001"].assert_eq(&drain(&mut outbox));
}

#[test]
fn no_flow_opens_after_the_server_has_said_that_it_leaves() {
    let mut outbox = FlowOutbox::default();
    let mut gate = ready_gate(1);
    let mut leaving = heartbeat(2);
    leaving.is_draining = true;
    gate.receive_heartbeat(&leaving, at(500), &mut outbox);
    outbox.clear();
    for purpose in [ForwardPurpose::Open, ForwardPurpose::OpenHere] {
        gate.receive_forwarded_packet(
            &header(purpose),
            &raw(&opening(4_001)),
            at(501),
            &mut outbox,
        );
    }
    expect![[r#"
        Peer(10.0.2.1): Returned { purpose: Open } + 6 bytes
        Peer(10.0.2.1): Returned { purpose: OpenHere } + 6 bytes"#]]
    .assert_eq(&drain(&mut outbox));
}

#[test]
fn a_flow_that_went_on_elsewhere_is_not_reset_by_the_host_of_an_ended_server() {
    let mut outbox = FlowOutbox::default();
    let mut gate = ready_gate(1);
    let open = header(ForwardPurpose::Open);
    take_flow(&mut gate, 4_001, 20, &mut outbox);
    gate.receive_forwarded_packet(&open, &raw(&opening(4_002)), at(22), &mut outbox);
    outbox.clear();
    let mut reborn = heartbeat(1);
    reborn.started_unix_millis = 9_000;
    gate.receive_heartbeat(&reborn, at(500), &mut outbox);
    // Flow 4002 was never answered, and a balancer offers it to another host.
    expect!["reset 100.64.0.7:4001 at 5001"].assert_eq(&drain(&mut outbox));
    // Both have opened at a server whose stream starts at 900000.
    for port in [4_001, 4_002] {
        let mut other = request(port);
        other.acknowledged = 900_001;
        let locate = locate(&other);
        gate.receive_peer(
            balancer_address(1),
            &locate,
            None,
            &[],
            at(700),
            &mut outbox,
        );
    }
    expect![[r#"
        Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: true } + 0 bytes
        Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4002, target: 198.18.0.1:443 }], is_certain: true } + 0 bytes"#]]
    .assert_eq(&drain(&mut outbox));
}

#[test]
fn the_flows_of_a_server_that_has_ended_are_reset_once_nothing_listens_there() {
    let mut outbox = FlowOutbox::default();
    let mut gate = ready_gate(1);
    take_flow(&mut gate, 4_001, 20, &mut outbox);
    gate.receive_deregistration("i-1", &mut outbox);
    outbox.clear();
    let mut steps = Vec::new();
    for (millis, result) in [(100, CheckResult::Connected), (400, CheckResult::Refused)] {
        steps.push(format!("{:?}", gate.take_due_check(at(millis))));
        gate.receive_check_result(result, at(millis), &mut outbox);
        steps.push(drain(&mut outbox));
    }
    expect![[r#"
        Some(Connect)

        Some(Connect)
        reset 100.64.0.7:4001 at 5001"#]]
    .assert_eq(&steps.join("\n"));
}

#[test]
fn a_host_whose_server_never_shows_denies_flows_after_a_while() {
    let mut outbox = FlowOutbox::default();
    let mut gate = gate(1);
    let mut answers = Vec::new();
    for millis in [1_000, 3_000] {
        let locate = locate(&request(4_001));
        gate.receive_peer(
            balancer_address(1),
            &locate,
            None,
            &[],
            at(millis),
            &mut outbox,
        );
        answers.push(drain(&mut outbox));
    }
    expect![[r#"
        Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: false } + 0 bytes
        Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: true } + 0 bytes"#]]
    .assert_eq(&answers.join("\n"));
}

#[test]
fn a_late_copy_of_an_opening_packet_does_not_disturb_the_flow_that_it_opened() {
    let mut outbox = FlowOutbox::default();
    let mut gate = ready_gate(1);
    let open = header(ForwardPurpose::Open);
    take_flow(&mut gate, 4_001, 20, &mut outbox);
    let owner = header(ForwardPurpose::Owner);
    gate.receive_forwarded_packet(&owner, &raw(&request(4_001)), at(27), &mut outbox);
    gate.receive_server_packet(&raw(&answer(4_001)), at(47), &mut outbox);
    outbox.clear();
    // Another host was frozen with the packet and passes it on now.
    gate.receive_forwarded_packet(&open, &raw(&opening(4_001)), at(400), &mut outbox);
    gate.receive_forwarded_packet(&owner, &raw(&request(4_001)), at(410), &mut outbox);
    expect!["Server: packet"].assert_eq(&drain(&mut outbox));
}

#[test]
fn a_new_flow_takes_the_place_of_an_earlier_one_from_the_same_port() {
    let mut outbox = FlowOutbox::default();
    let mut gate = ready_gate(1);
    let open = header(ForwardPurpose::Open);
    take_flow(&mut gate, 4_001, 20, &mut outbox);
    let owner = header(ForwardPurpose::Owner);
    gate.receive_forwarded_packet(&owner, &raw(&request(4_001)), at(27), &mut outbox);
    outbox.clear();
    let mut next = opening(4_001);
    next.sequence = 7_000_000;
    gate.receive_forwarded_packet(&open, &raw(&next), at(9_000), &mut outbox);
    expect!["Server: packet"].assert_eq(&drain(&mut outbox));
}

#[test]
fn a_flow_is_not_claimed_for_a_caller_that_took_another_answer_nearby() {
    let mut outbox = FlowOutbox::default();
    let mut gate = ready_gate(1);
    take_flow(&mut gate, 4_001, 20, &mut outbox);
    outbox.clear();
    // The other server's stream starts 300 bytes further on.
    let mut other = request(4_001);
    other.acknowledged = 5_301;
    let owner = header(ForwardPurpose::Owner);
    gate.receive_forwarded_packet(&owner, &raw(&other), at(27), &mut outbox);
    expect!["Peer(10.0.2.1): Returned { purpose: Owner } + 6 bytes"].assert_eq(&drain(&mut outbox));
}

#[test]
fn a_flow_that_a_balancer_names_wrongly_is_handed_back_and_not_reset() {
    let mut outbox = FlowOutbox::default();
    let mut gate = gate(1);
    gate.receive_heartbeat(&heartbeat(40), at(10), &mut outbox);
    let told = CarryMessage::Flows {
        owner: host(1),
        flows: vec![request(4_001).caller_flow()],
    };
    gate.receive_peer(balancer_address(1), &told, None, &[], at(12), &mut outbox);
    let owner = header(ForwardPurpose::Owner);
    gate.receive_forwarded_packet(&owner, &raw(&request(4_001)), at(20), &mut outbox);
    outbox.clear();
    let mut bounced = request(4_001);
    bounced.is_bounced = true;
    gate.receive_server_packet(&raw(&bounced), at(21), &mut outbox);
    expect!["Peer(10.0.2.1): Returned { purpose: Owner } + 6 bytes"].assert_eq(&drain(&mut outbox));
}

#[test]
fn nobody_is_told_about_flows_that_no_balancer_has_asked_for() {
    let mut outbox = FlowOutbox::default();
    let mut gate = gate(1);
    let told = CarryMessage::Flows {
        owner: host(1),
        flows: vec![request(4_001).caller_flow()],
    };
    gate.receive_peer(balancer_address(1), &told, None, &[], at(12), &mut outbox);
    outbox.clear();
    gate.receive_heartbeat(&heartbeat(0), at(50), &mut outbox);
    expect![""].assert_eq(&drain(&mut outbox));
}
