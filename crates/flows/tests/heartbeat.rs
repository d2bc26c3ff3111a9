//! The order of heartbeats. Late heartbeats and those of earlier server incarnations
//! change no state.

mod fixture;

use std::net::SocketAddrV4;

use expect_test::expect;
use hyssopstair_flows::heartbeat::HeartbeatTracker;
use hyssopstair_flows::heartbeat::ServerHeartbeat;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_wire::carried::ForwardPurpose;

use crate::fixture::*;

/// Returns a heartbeat of the server incarnation with this start time in milliseconds.
fn heartbeat_of(started: u64, sequence: u64) -> ServerHeartbeat {
    ServerHeartbeat {
        started_unix_millis: started,
        ..heartbeat(sequence)
    }
}

/// Records heartbeats, given by start time, number and time of arrival in milliseconds, and returns
/// their orders.
fn record_all(steps: &[(u64, u64, u64)]) -> String {
    let mut tracker = HeartbeatTracker::default();
    let orders: Vec<String> = steps
        .iter()
        .map(|(started, sequence, millis)| {
            let order = tracker.record(&heartbeat_of(*started, *sequence), at(*millis));
            format!("{started}/{sequence} {order:?}")
        })
        .collect();
    orders.join("\n")
}

#[test]
fn heartbeats_are_ordered_by_incarnation_and_sequence() {
    let steps = [
        (1_000, 3, 0),
        (1_000, 4, 1_200),
        (1_000, 4, 2_400),
        (1_000, 2, 3_600),
        (2_000, 0, 4_800),
        (1_000, 9, 6_000),
        (2_000, 1, 7_200),
    ];
    expect![[r#"
        1000/3 InSequence
        1000/4 InSequence
        1000/4 Stale
        1000/2 Stale
        2000/0 NewIncarnation { former_running_at: MonotonicTime(0) }
        1000/9 Stale
        2000/1 InSequence"#]]
    .assert_eq(&record_all(&steps));
}

// The first heartbeat that a restarted host got was a late one of a former server. The next one, of
// the living server, counted as that of a successor.
#[test]
fn an_incarnation_that_has_sent_one_heartbeat_is_not_taken_for_the_former_one() {
    let steps = [
        (1_000, 50, 0),
        (1_000, 51, 5),
        (2_000, 9, 900),
        (2_000, 10, 2_100),
        (3_000, 1, 3_000),
    ];
    expect![[r#"
        1000/50 InSequence
        1000/51 InSequence
        2000/9 OtherIncarnation
        2000/10 InSequence
        3000/1 NewIncarnation { former_running_at: MonotonicTime(900000) }"#]]
    .assert_eq(&record_all(&steps));
}

#[test]
fn a_late_heartbeat_of_an_earlier_incarnation_breaks_no_flow() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    host.receive_heartbeat(&heartbeat_of(2_000, 0), at(0), &mut outbox);
    open_flow(&mut host, 4_001, 20, &mut outbox);
    outbox.clear();
    host.receive_heartbeat(&heartbeat_of(1_000, 50), at(30), &mut outbox);
    let owner_header = carry_header(ForwardPurpose::Owner);
    host.receive_forwarded_packet(
        &owner_header,
        &raw_packet(&request_packet(4_001)),
        at(40),
        &mut outbox,
    );
    expect!["Server: packet"].assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_packet_of_a_flow_that_opened_at_another_server_is_returned() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    open_flow(&mut host, 4_001, 20, &mut outbox);
    outbox.clear();
    // The caller acknowledges the stream of another server, which starts at 900000.
    receive_owner_request(&mut host, 900_001, at(27), &mut outbox);
    expect!["Peer(10.0.2.1): Returned { purpose: Owner } + 6 bytes"]
        .assert_eq(&take_output(&mut outbox));
}

// A heartbeat of another writer, with a service that is not configured, must not reset flows of
// the living server, nor keep out the heartbeats of that server.
#[test]
fn a_heartbeat_with_an_unknown_service_resets_no_flow() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    open_flow(&mut host, 4_001, 20, &mut outbox);
    outbox.clear();
    let other = ServerHeartbeat {
        id: "i-other".to_owned(),
        service: "billing".to_owned(),
        ..heartbeat_of(HOST_START_UNIX_MILLIS + 1_000, 1)
    };
    let other_verdict = host.receive_heartbeat(&other, at(1_100), &mut outbox);
    let verdict = host.receive_heartbeat(&heartbeat(2), at(1_200), &mut outbox);
    expect!["other writer Ignored(UnknownService), server Accepted, sent: "].assert_eq(&format!(
        "other writer {other_verdict:?}, server {verdict:?}, sent: {}",
        take_output(&mut outbox)
    ));
}

// A heartbeat of another writer was the first that a restarted host got, and named another
// configured service. Until the server's own heartbeat the server got flows of that service.
#[test]
fn a_first_heartbeat_with_another_address_changes_nothing() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    let rules = vec![
        route_rule(target_address(), SERVICE),
        route_rule(caller_address(80), "archive"),
    ];
    host.set_routes(route_table(2, rules), &mut outbox);
    outbox.clear();
    let other = ServerHeartbeat {
        id: "i-other".to_owned(),
        service: "archive".to_owned(),
        ..heartbeat(1)
    };
    let other_addresses = [
        server_address(host_address(2)),
        SocketAddrV4::new(host_address(1), 80),
    ];
    let mut lines = Vec::new();
    for address in other_addresses {
        let other = ServerHeartbeat {
            address,
            ..other.clone()
        };
        let verdict = host.receive_heartbeat(&other, at(100), &mut outbox);
        lines.push(format!("{address}: {verdict:?} {:?}", host.server_state()));
    }
    let verdict = host.receive_heartbeat(&heartbeat(1), at(200), &mut outbox);
    lines.push(format!("server: {verdict:?} {:?}", host.server_state()));
    expect![[r#"
        10.0.1.2:8165: Ignored(OtherAddress) Unknown
        10.0.1.1:80: Ignored(OtherAddress) Unknown
        server: Accepted Ready"#]]
    .assert_eq(&lines.join("\n"));
}

// A server runs one service from its start to its end. A heartbeat with its ID and start time
// but another configured service must not reset its flows.
#[test]
fn a_heartbeat_that_changes_the_service_of_a_running_server_resets_no_flow() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    let rules = vec![
        route_rule(target_address(), SERVICE),
        route_rule(caller_address(80), "archive"),
    ];
    host.set_routes(route_table(2, rules), &mut outbox);
    open_flow(&mut host, 4_001, 20, &mut outbox);
    outbox.clear();
    let other = ServerHeartbeat {
        service: "archive".to_owned(),
        ..heartbeat(90)
    };
    let other_verdict = host.receive_heartbeat(&other, at(1_100), &mut outbox);
    let verdict = host.receive_heartbeat(&heartbeat(2), at(1_200), &mut outbox);
    expect!["other writer Ignored(ChangedService), server Accepted, sent: "].assert_eq(&format!(
        "other writer {other_verdict:?}, server {verdict:?}, sent: {}",
        take_output(&mut outbox)
    ));
}

// Settings may name the next service before the server is replaced. Until a heartbeat shows that
// it was, the flows of the running server are kept.
#[test]
fn settings_that_name_another_service_reset_no_flow_of_a_running_server() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    open_flow(&mut host, 4_001, 20, &mut outbox);
    outbox.clear();
    host.assign_service("archive");
    let verdict = host.receive_heartbeat(&heartbeat(2), at(1_100), &mut outbox);
    let output = take_output(&mut outbox);
    let next = ServerHeartbeat {
        id: "i-2".to_owned(),
        service: "archive".to_owned(),
        ..heartbeat_of(HOST_START_UNIX_MILLIS + 1_150, 1)
    };
    let next_verdict = host.receive_heartbeat(&next, at(1_200), &mut outbox);
    expect![[r#"
        running server Accepted, sent: 
        next server Accepted, sent: reset 100.64.0.7:4001 at 5001"#]]
    .assert_eq(&format!(
        "running server {verdict:?}, sent: {output}\n\
         next server {next_verdict:?}, sent: {}",
        take_output(&mut outbox)
    ));
}

// A server of another service that is started beside the host, for example after an instance
// was replaced, counts once the routes name its service and a second heartbeat shows that it runs.
#[test]
fn a_server_of_another_configured_service_is_accepted() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    open_flow(&mut host, 4_001, 20, &mut outbox);
    outbox.clear();
    let next = ServerHeartbeat {
        id: "i-2".to_owned(),
        service: "archive".to_owned(),
        ..heartbeat_of(HOST_START_UNIX_MILLIS + 1_000, 1)
    };
    let early_verdict = host.receive_heartbeat(&next, at(1_100), &mut outbox);
    let early_output = take_output(&mut outbox);
    host.set_routes(
        route_table(2, vec![route_rule(target_address(), "archive")]),
        &mut outbox,
    );
    let first_verdict = host.receive_heartbeat(&next, at(1_200), &mut outbox);
    let first_output = take_output(&mut outbox);
    let second = ServerHeartbeat {
        sequence: 2,
        ..next
    };
    let verdict = host.receive_heartbeat(&second, at(2_400), &mut outbox);
    expect![[r#"
        before the routes Ignored(UnknownService), sent: 
        with the routes Ignored(UnconfirmedService), sent: 
        again Accepted, sent: reset 100.64.0.7:4001 at 5001"#]]
    .assert_eq(&format!(
        "before the routes {early_verdict:?}, sent: {early_output}\n\
         with the routes {first_verdict:?}, sent: {first_output}\n\
         again {verdict:?}, sent: {}",
        take_output(&mut outbox)
    ));
}

#[test]
fn heartbeats_of_a_server_whose_clock_was_set_back_are_accepted_again() {
    let mut tracker = HeartbeatTracker::default();
    // By its clock, the second incarnation started an hour before the first.
    let steps = [
        (3_601_000, 7, 0),
        (3_601_000, 8, 1_200),
        (1_000, 0, 2_700),
        (1_000, 1, 3_900),
        (1_000, 2, 5_100),
        (1_000, 3, 6_300),
        (1_000, 4, 7_500),
    ];
    let orders: Vec<String> = steps
        .iter()
        .map(|(started, sequence, millis)| {
            let order = tracker.record(&heartbeat_of(*started, *sequence), at(*millis));
            format!("{millis} {order:?}")
        })
        .collect();
    expect![[r#"
        0 InSequence
        1200 InSequence
        2700 Stale
        3900 Stale
        5100 Stale
        6300 InSequence
        7500 InSequence"#]]
    .assert_eq(&orders.join("\n"));
}

#[test]
fn late_heartbeats_do_not_replace_a_running_incarnation() {
    let mut tracker = HeartbeatTracker::default();
    tracker.record(&heartbeat_of(9_000, 0), at(0));
    let orders: Vec<String> = (1..6)
        .map(|number| {
            tracker.record(&heartbeat_of(9_000, number), at(number * 1_200));
            let late = tracker.record(&heartbeat_of(1_000, 40 + number), at(number * 1_200 + 1));
            format!("{late:?}")
        })
        .collect();
    expect!["Stale Stale Stale Stale Stale"].assert_eq(&orders.join(" "));
}

#[test]
fn one_late_heartbeat_does_not_restore_an_incarnation() {
    let mut tracker = HeartbeatTracker::default();
    tracker.record(&heartbeat_of(9_000, 0), at(0));
    let late = tracker.record(&heartbeat_of(1_000, 40), at(20_000));
    let repeated = tracker.record(&heartbeat_of(1_000, 40), at(20_100));
    expect!["Stale Stale"].assert_eq(&format!("{late:?} {repeated:?}"));
}

#[test]
fn flows_of_a_server_whose_clock_was_set_back_are_not_reset() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    host.receive_heartbeat(&heartbeat_of(3_601_000, 7), at(0), &mut outbox);
    // The next incarnation has already started and holds this flow, but its heartbeats are
    // still taken for late ones.
    open_flow(&mut host, 4_001, 2_000, &mut outbox);
    let owner_header = carry_header(ForwardPurpose::Owner);
    host.receive_forwarded_packet(
        &owner_header,
        &raw_packet(&request_packet(4_001)),
        at(2_010),
        &mut outbox,
    );
    outbox.clear();
    for sequence in 0..6 {
        let millis = 1_500 + sequence * 1_200;
        host.receive_heartbeat(&heartbeat_of(1_000, sequence), at(millis), &mut outbox);
    }
    expect![""].assert_eq(&take_output(&mut outbox));
}
