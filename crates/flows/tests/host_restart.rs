//! Hosts that restart beside a running server, and servers that restart or end.

mod fixture;

use expect_test::expect;
use hyssopstair_flows::heartbeat::ServerHeartbeat;
use hyssopstair_flows::host::CheckResult;
use hyssopstair_flows::host::FlowHost;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::packet::PacketHeader;
use hyssopstair_wire::carried::CarryHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::ForwardPurpose;

use crate::fixture::*;

#[test]
fn a_host_probes_a_server_that_was_running_before_it() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    host.receive_heartbeat(&running_server_heartbeat(), at(10), &mut outbox);
    outbox.clear();
    let probe_header = carry_header(ForwardPurpose::Probe);
    host.receive_forwarded_packet(
        &probe_header,
        &raw_packet(&request_packet(4_001)),
        at(20),
        &mut outbox,
    );
    expect!["Server: packet"].assert_eq(&take_output(&mut outbox));
    host.receive_server_packet(&raw_packet(&answer_packet(4_001)), at(40), &mut outbox);
    expect![[r#"
        Caller(100.64.0.7): packet
        Peer(10.0.2.1): Owned { flow: FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }, load: CarryLoad { in_progress: 0, mean_sixteenths: 0, slots: 2, flows: 1, answer_micros: 20000 } } + 0 bytes"#]]
    .assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_host_that_lost_its_table_denies_a_flow_without_certainty() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    host.receive_heartbeat(&running_server_heartbeat(), at(10), &mut outbox);
    outbox.clear();
    let question = locate_message(&request_packet(4_001));
    host.receive_peer_message(
        balancer_address(1),
        &question,
        None,
        &[],
        at(20),
        &mut outbox,
    );
    expect!["Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: false } + 0 bytes"]
        .assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_host_claims_no_flow_before_its_server_confirms_it() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    host.receive_heartbeat(&running_server_heartbeat(), at(10), &mut outbox);
    let probe_header = carry_header(ForwardPurpose::Probe);
    host.receive_forwarded_packet(
        &probe_header,
        &raw_packet(&request_packet(4_001)),
        at(20),
        &mut outbox,
    );
    outbox.clear();
    // Another balancer searches for the same flow.
    let other_header = CarryHeader {
        balancer: balancer_address(2),
        ..carry_header(ForwardPurpose::Probe)
    };
    let question = locate_message(&request_packet(4_001));
    host.receive_peer_message(
        balancer_address(2),
        &question,
        None,
        &[],
        at(21),
        &mut outbox,
    );
    host.receive_forwarded_packet(
        &other_header,
        &raw_packet(&request_packet(4_001)),
        at(22),
        &mut outbox,
    );
    expect![[r#"
        Peer(10.0.2.2): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: false } + 0 bytes
        Server: packet"#]]
    .assert_eq(&take_output(&mut outbox));
    let mut bounced = request_packet(4_001);
    bounced.is_bounced = true;
    host.receive_server_packet(&raw_packet(&bounced), at(23), &mut outbox);
    expect!["Peer(10.0.2.2): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: true } + 0 bytes"]
        .assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_host_denies_a_flow_whose_packet_its_server_returns() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    host.receive_heartbeat(&running_server_heartbeat(), at(10), &mut outbox);
    outbox.clear();
    let probe_header = carry_header(ForwardPurpose::Probe);
    host.receive_forwarded_packet(
        &probe_header,
        &raw_packet(&request_packet(4_001)),
        at(20),
        &mut outbox,
    );
    outbox.clear();
    let mut bounced = request_packet(4_001);
    bounced.is_bounced = true;
    host.receive_server_packet(&raw_packet(&bounced), at(21), &mut outbox);
    host.receive_forwarded_packet(
        &probe_header,
        &raw_packet(&request_packet(4_001)),
        at(220),
        &mut outbox,
    );
    expect![[r#"
        Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: true } + 0 bytes
        Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: true } + 0 bytes"#]]
    .assert_eq(&take_output(&mut outbox));
}

/// Failure: a host has just started, and its server has not. A balancer that does not know
/// the host of a flow lets it probe that server, and what answers there is a reset. If the
/// host passes it on, it ends a flow that is open at another server.
#[test]
fn a_reset_that_answers_a_probe_does_not_reach_the_caller() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    let probe_header = carry_header(ForwardPurpose::Probe);
    let request = request_packet(4_001);
    for millis in [20, 21] {
        host.receive_forwarded_packet(
            &probe_header,
            &raw_packet(&request),
            at(millis),
            &mut outbox,
        );
    }
    expect![[r#"
        Server: packet
        Server: packet"#]]
    .assert_eq(&take_output(&mut outbox));
    let reset = PacketHeader {
        is_reset: true,
        data_length: 0,
        ..answer_packet(4_001)
    };
    host.receive_server_packet(&raw_packet(&reset), at(22), &mut outbox);
    host.receive_server_packet(&raw_packet(&reset), at(23), &mut outbox);
    expect!["Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: true } + 0 bytes"]
        .assert_eq(&take_output(&mut outbox));
    host.receive_forwarded_packet(&probe_header, &raw_packet(&request), at(220), &mut outbox);
    expect!["Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: true } + 0 bytes"]
        .assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_host_denies_a_probed_flow_when_the_server_turns_out_not_to_run() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    let probe_header = carry_header(ForwardPurpose::Probe);
    host.receive_forwarded_packet(
        &probe_header,
        &raw_packet(&request_packet(4_001)),
        at(20),
        &mut outbox,
    );
    outbox.clear();
    host.receive_check_result(CheckResult::Refused, at(50), &mut outbox);
    expect!["Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: true } + 0 bytes"]
        .assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_restarted_host_takes_over_the_flows_that_balancers_know() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    host.receive_heartbeat(&running_server_heartbeat(), at(10), &mut outbox);
    let report = CarryMessage::Flows {
        owner: host_address(1),
        flows: vec![request_packet(4_001).caller_flow()],
    };
    host.receive_peer_message(balancer_address(1), &report, None, &[], at(12), &mut outbox);
    outbox.clear();
    let owner_header = carry_header(ForwardPurpose::Owner);
    host.receive_forwarded_packet(
        &owner_header,
        &raw_packet(&request_packet(4_001)),
        at(20),
        &mut outbox,
    );
    expect!["Server: packet"].assert_eq(&take_output(&mut outbox));
}

/// Delivers the heartbeats that the server of a ready host sends each 700 ms.
fn report_until(host: &mut FlowHost, until_millis: u64, outbox: &mut FlowOutbox) {
    for number in 1..=until_millis / 700 {
        host.receive_heartbeat(&heartbeat(number + 1), at(number * 700), outbox);
    }
}

#[test]
fn a_new_incarnation_of_the_server_resets_its_flows() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    open_flow(&mut host, 4_001, 20, &mut outbox);
    let owner_header = carry_header(ForwardPurpose::Owner);
    host.receive_forwarded_packet(
        &owner_header,
        &raw_packet(&request_packet(4_001)),
        at(27),
        &mut outbox,
    );
    report_until(&mut host, 1_400, &mut outbox);
    outbox.clear();
    let mut new_heartbeat = heartbeat(1);
    new_heartbeat.started_unix_millis += 1_450;
    host.receive_heartbeat(&new_heartbeat, at(1_500), &mut outbox);
    expect!["reset 100.64.0.7:4001 at 5001"].assert_eq(&take_output(&mut outbox));
    // A late heartbeat of the previous incarnation changes no state.
    host.receive_heartbeat(&heartbeat(7), at(1_600), &mut outbox);
    host.receive_forwarded_packet(
        &owner_header,
        &raw_packet(&request_packet(4_001)),
        at(1_700),
        &mut outbox,
    );
    expect!["reset 100.64.0.7:4001 at 5001"].assert_eq(&take_output(&mut outbox));
}

#[test]
fn no_flow_opens_after_the_server_has_reported_that_it_is_draining() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    let mut draining_heartbeat = heartbeat(2);
    draining_heartbeat.is_draining = true;
    host.receive_heartbeat(&draining_heartbeat, at(500), &mut outbox);
    outbox.clear();
    for purpose in [ForwardPurpose::Open, ForwardPurpose::OpenHere] {
        host.receive_forwarded_packet(
            &carry_header(purpose),
            &raw_packet(&opening_packet(4_001)),
            at(501),
            &mut outbox,
        );
    }
    expect![[r#"
        Peer(10.0.2.1): Returned { purpose: Open } + 6 bytes
        Peer(10.0.2.1): Returned { purpose: OpenHere } + 6 bytes"#]]
    .assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_flow_that_opened_elsewhere_is_not_reset_by_the_host_of_an_ended_server() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    let open_header = carry_header(ForwardPurpose::Open);
    open_flow(&mut host, 4_001, 20, &mut outbox);
    host.receive_forwarded_packet(
        &open_header,
        &raw_packet(&opening_packet(4_002)),
        at(22),
        &mut outbox,
    );
    report_until(&mut host, 1_400, &mut outbox);
    outbox.clear();
    let mut new_heartbeat = heartbeat(1);
    new_heartbeat.started_unix_millis += 1_450;
    host.receive_heartbeat(&new_heartbeat, at(1_500), &mut outbox);
    // The server never accepted flow 4002, and a balancer offers it to another host.
    expect!["reset 100.64.0.7:4001 at 5001"].assert_eq(&take_output(&mut outbox));
    // Both flows have opened at a server whose stream starts at 900000.
    for port in [4_001, 4_002] {
        let mut other_packet = request_packet(port);
        other_packet.acknowledged = 900_001;
        let question = locate_message(&other_packet);
        host.receive_peer_message(
            balancer_address(1),
            &question,
            None,
            &[],
            at(1_700),
            &mut outbox,
        );
    }
    expect![[r#"
        Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: true } + 0 bytes
        Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4002, target: 198.18.0.1:443 }], is_certain: true } + 0 bytes"#]]
    .assert_eq(&take_output(&mut outbox));
}

#[test]
fn the_flows_of_an_ended_server_are_reset_once_connections_are_refused() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    open_flow(&mut host, 4_001, 20, &mut outbox);
    host.receive_deregistration("i-1", &mut outbox);
    outbox.clear();
    let mut steps = Vec::new();
    for (millis, result) in [(100, CheckResult::Connected), (400, CheckResult::Refused)] {
        steps.push(format!("{:?}", host.take_due_check(at(millis))));
        host.receive_check_result(result, at(millis), &mut outbox);
        steps.push(take_output(&mut outbox));
    }
    expect![[r#"
        true

        true
        reset 100.64.0.7:4001 at 5001"#]]
    .assert_eq(&steps.join("\n"));
}

#[test]
fn a_host_without_a_heartbeat_denies_flows_with_certainty_after_a_timeout() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    let mut answers = Vec::new();
    for millis in [1_000, 3_000] {
        let question = locate_message(&request_packet(4_001));
        host.receive_peer_message(
            balancer_address(1),
            &question,
            None,
            &[],
            at(millis),
            &mut outbox,
        );
        answers.push(take_output(&mut outbox));
    }
    expect![[r#"
        Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: false } + 0 bytes
        Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: true } + 0 bytes"#]]
    .assert_eq(&answers.join("\n"));
}

#[test]
fn a_late_copy_of_an_opening_packet_does_not_affect_its_open_flow() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    let open_header = carry_header(ForwardPurpose::Open);
    open_flow(&mut host, 4_001, 20, &mut outbox);
    let owner_header = carry_header(ForwardPurpose::Owner);
    host.receive_forwarded_packet(
        &owner_header,
        &raw_packet(&request_packet(4_001)),
        at(27),
        &mut outbox,
    );
    host.receive_server_packet(&raw_packet(&answer_packet(4_001)), at(47), &mut outbox);
    outbox.clear();
    // Another host was suspended while it had the packet, and passes it on now.
    host.receive_forwarded_packet(
        &open_header,
        &raw_packet(&opening_packet(4_001)),
        at(400),
        &mut outbox,
    );
    host.receive_forwarded_packet(
        &owner_header,
        &raw_packet(&request_packet(4_001)),
        at(410),
        &mut outbox,
    );
    expect!["Server: packet"].assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_new_flow_replaces_an_earlier_one_from_the_same_port() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    let open_header = carry_header(ForwardPurpose::Open);
    open_flow(&mut host, 4_001, 20, &mut outbox);
    let owner_header = carry_header(ForwardPurpose::Owner);
    host.receive_forwarded_packet(
        &owner_header,
        &raw_packet(&request_packet(4_001)),
        at(27),
        &mut outbox,
    );
    outbox.clear();
    host.receive_heartbeat(&heartbeat(2), at(8_500), &mut outbox);
    outbox.clear();
    let mut next = opening_packet(4_001);
    next.sequence = 7_000_000;
    host.receive_forwarded_packet(&open_header, &raw_packet(&next), at(9_000), &mut outbox);
    expect!["Server: packet"].assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_flow_is_not_claimed_if_the_caller_acknowledges_a_nearby_stream_of_another_server() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    open_flow(&mut host, 4_001, 20, &mut outbox);
    outbox.clear();
    // The other server's stream starts 300 bytes further on.
    receive_owner_request(&mut host, 5_301, at(27), &mut outbox);
    expect!["Peer(10.0.2.1): Returned { purpose: Owner } + 6 bytes"]
        .assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_flow_that_a_balancer_reported_wrongly_is_returned_and_not_reset() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    host.receive_heartbeat(&running_server_heartbeat(), at(10), &mut outbox);
    let report = CarryMessage::Flows {
        owner: host_address(1),
        flows: vec![request_packet(4_001).caller_flow()],
    };
    host.receive_peer_message(balancer_address(1), &report, None, &[], at(12), &mut outbox);
    let owner_header = carry_header(ForwardPurpose::Owner);
    host.receive_forwarded_packet(
        &owner_header,
        &raw_packet(&request_packet(4_001)),
        at(20),
        &mut outbox,
    );
    outbox.clear();
    let mut bounced = request_packet(4_001);
    bounced.is_bounced = true;
    host.receive_server_packet(&raw_packet(&bounced), at(21), &mut outbox);
    expect!["Peer(10.0.2.1): Returned { purpose: Owner } + 6 bytes"]
        .assert_eq(&take_output(&mut outbox));
}

#[test]
fn no_balancer_is_notified_of_a_flow_that_none_has_asked_for() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    let report = CarryMessage::Flows {
        owner: host_address(1),
        flows: vec![request_packet(4_001).caller_flow()],
    };
    host.receive_peer_message(balancer_address(1), &report, None, &[], at(12), &mut outbox);
    outbox.clear();
    host.receive_heartbeat(&heartbeat(0), at(50), &mut outbox);
    expect![""].assert_eq(&take_output(&mut outbox));
}

/// Asks a host that got `heartbeat` 60 ms after its start for a flow, and returns the
/// answer.
fn ask_after_heartbeat(heartbeat: &ServerHeartbeat) -> String {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    host.receive_heartbeat(heartbeat, at(60), &mut outbox);
    ask_for_flow(&mut host, &mut outbox)
}

/// Asks a host for a flow that it does not know, and returns the answer.
fn ask_for_flow(host: &mut FlowHost, outbox: &mut FlowOutbox) -> String {
    outbox.clear();
    let question = locate_message(&request_packet(4_001));
    host.receive_peer_message(balancer_address(1), &question, None, &[], at(70), outbox);
    take_output(outbox)
}

// A server started while the time of day was 2 s ahead, and the process beside it was restarted
// 2.2 s later, when it was right again. The new process took itself for the first one beside the
// server and denied the flows that the server held, and balancers reset them.
#[test]
fn a_host_cannot_deny_flows_because_the_time_of_day_says_that_its_server_is_new() {
    let mut third_heartbeat = heartbeat(3);
    third_heartbeat.started_unix_millis -= 200;
    expect!["Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: false } + 0 bytes"]
        .assert_eq(&ask_after_heartbeat(&third_heartbeat));
}

// A host that has seen that nothing listened at the server's address has met all packets of the
// server that started later. It must not have searched packets delivered to that server.
#[test]
fn a_host_denies_flows_if_it_has_observed_the_start_of_its_server() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    host.receive_check_result(CheckResult::Refused, at(20), &mut outbox);
    host.receive_heartbeat(&heartbeat(3), at(60), &mut outbox);
    expect!["Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: true } + 0 bytes"]
        .assert_eq(&ask_for_flow(&mut host, &mut outbox));
}

// A host that ends soon after its server has started may have opened flows, and the
// server's first heartbeat may have been lost.
#[test]
fn a_host_cannot_deny_flows_if_an_earlier_one_may_have_opened_them() {
    let mut first_heartbeat = heartbeat(1);
    first_heartbeat.started_unix_millis -= 400;
    expect!["Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: false } + 0 bytes"]
        .assert_eq(&ask_after_heartbeat(&first_heartbeat));
}

#[test]
fn a_host_cannot_deny_flows_if_its_server_seems_to_have_started_in_the_future() {
    // The clock was set back between the two starts.
    let mut first_heartbeat = heartbeat(1);
    first_heartbeat.started_unix_millis += 500;
    expect!["Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: false } + 0 bytes"]
        .assert_eq(&ask_after_heartbeat(&first_heartbeat));
}

/// Replaces the server of a host that is suspended meanwhile, and returns what the first heartbeat
/// of the new server causes. That server started after 1,450 ms, its clock was ahead by
/// `lead_millis`, and it has accepted flow 4002 before the heartbeat; flow 4001 is older.
fn replace_server(lead_millis: u64) -> String {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    open_flow(&mut host, 4_001, 20, &mut outbox);
    report_until(&mut host, 1_400, &mut outbox);
    open_flow(&mut host, 4_002, 1_900, &mut outbox);
    outbox.clear();
    let mut new_heartbeat = heartbeat(1);
    new_heartbeat.started_unix_millis += 1_450 + lead_millis;
    host.receive_heartbeat(&new_heartbeat, at(2_500), &mut outbox);
    take_output(&mut outbox)
}

// A host that is suspended while its server restarts gets opening packets of new flows
// before the server's next heartbeat.
#[test]
fn a_new_incarnation_of_the_server_keeps_the_flows_that_it_has_accepted() {
    expect!["reset 100.64.0.7:4001 at 5001"].assert_eq(&replace_server(0));
}

// A host was suspended while its server restarted with a clock that was ahead. The flows that the
// new server accepted before its first heartbeat seemed older than the server, and were reset.
#[test]
fn a_new_incarnation_whose_clock_was_ahead_keeps_the_flows_that_it_has_accepted() {
    expect!["reset 100.64.0.7:4001 at 5001"].assert_eq(&replace_server(950));
}

#[test]
fn flows_since_the_last_heartbeat_are_kept_if_the_clocks_of_host_and_server_differ() {
    expect!["reset 100.64.0.7:4001 at 5001"].assert_eq(&replace_server(298_550));
}

// A flow was offered to two hosts, and opened at the other one. A balancer that has learned
// of the first offer only takes this host for the owner.
#[test]
fn the_host_of_an_ended_server_does_not_reset_a_flow_that_opened_elsewhere() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    open_flow(&mut host, 4_001, 20, &mut outbox);
    host.receive_check_result(CheckResult::Refused, at(100), &mut outbox);
    outbox.clear();
    receive_owner_request(&mut host, 900_001, at(120), &mut outbox);
    expect!["Peer(10.0.2.1): Returned { purpose: Owner } + 6 bytes"]
        .assert_eq(&take_output(&mut outbox));
}

// The server repeats the packet with which it accepts a flow after its host was restarted.
#[test]
fn a_restarted_host_does_not_claim_a_flow_that_opened_elsewhere() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    host.receive_heartbeat(&running_server_heartbeat(), at(10), &mut outbox);
    host.receive_server_packet(&raw_packet(&accept_packet(4_001)), at(20), &mut outbox);
    outbox.clear();
    let mut other_packet = request_packet(4_001);
    other_packet.acknowledged = 900_001;
    for packet in [&other_packet, &request_packet(4_001)] {
        let question = locate_message(packet);
        host.receive_peer_message(
            balancer_address(1),
            &question,
            None,
            &[],
            at(30),
            &mut outbox,
        );
    }
    expect![[r#"
        Peer(10.0.2.1): NotHeld { flows: [FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }], is_certain: true } + 0 bytes
        Peer(10.0.2.1): Owned { flow: FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }, load: CarryLoad { in_progress: 0, mean_sixteenths: 0, slots: 2, flows: 1, answer_micros: 0 } } + 0 bytes"#]].assert_eq(&take_output(&mut outbox));
}
