//! Servers that are cold after their start get no more new flows than they bear.

mod fixture;

use expect_test::expect;
use hyssopstair_flows::event::FlowEvent;
use hyssopstair_flows::heartbeat::ServerHeartbeat;
use hyssopstair_flows::host::FlowHost;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::routes::ColdTerms;
use hyssopstair_flows::routes::RouteTable;
use hyssopstair_flows::routes::ServiceInfo;
use hyssopstair_wire::carried::CarryHeader;
use hyssopstair_wire::carried::ForwardPurpose;

use crate::fixture::*;

/// Number of new flows that a cold server bears per second in these tests.
const FLOWS_PER_SECOND: u32 = 4;

/// Returns a route table whose service is cold for 2 s after the start of a server.
fn cold_route_table(version: u64) -> RouteTable {
    let info = ServiceInfo {
        name: SERVICE.to_owned(),
        health_path: "/healthz".to_owned(),
        cold: ColdTerms {
            period_millis: 2_000,
            flows_per_second: FLOWS_PER_SECOND,
        },
    };
    let rules = vec![route_rule(target_address(), SERVICE)];
    RouteTable::new(version, 15_000, rules, vec![info])
}

fn cold_heartbeat(sequence: u64, cold_remaining_millis: u32) -> ServerHeartbeat {
    ServerHeartbeat {
        cold_remaining_millis,
        ..heartbeat(sequence)
    }
}

/// Offers a flow to a host each 20 ms, in turn by two balancers that do not know of each
/// other, and returns the times in milliseconds at which the server got one. Each request
/// is answered at once, so that the load of the server keeps nothing away.
fn offer_flows(host: &mut FlowHost, from: u64, until: u64) -> Vec<u64> {
    let mut delivered = Vec::new();
    for millis in (from..until).step_by(20) {
        let port = 4_000 + millis as u16;
        let mut outbox = FlowOutbox::default();
        let header = CarryHeader {
            balancer: balancer_address(1 + (millis / 20 % 2) as u8),
            ..carry_header(ForwardPurpose::Open)
        };
        let opening = opening_packet(port);
        host.receive_forwarded_packet(&header, &raw_packet(&opening), at(millis), &mut outbox);
        let is_delivered = outbox
            .events()
            .iter()
            .any(|event| matches!(event, FlowEvent::Offered { .. }));
        if !is_delivered {
            continue;
        }
        delivered.push(millis);
        host.receive_server_packet(&raw_packet(&accept_packet(port)), at(millis), &mut outbox);
        let owner_header = carry_header(ForwardPurpose::Owner);
        let request = request_packet(port);
        host.receive_forwarded_packet(
            &owner_header,
            &raw_packet(&request),
            at(millis),
            &mut outbox,
        );
        host.receive_server_packet(
            &raw_packet(&answer_packet(port)),
            at(millis + 1),
            &mut outbox,
        );
    }
    delivered
}

/// Returns the greatest number of times within any second.
fn most_in_a_second(times: &[u64]) -> usize {
    let count_from = |start: &u64| {
        let in_second = |time: &&u64| (*start..*start + 1_000).contains(*time);
        times.iter().filter(in_second).count()
    };
    times.iter().map(count_from).max().unwrap_or(0)
}

/// Failure: several balancers each send a cold server what it bears, which floods it.
#[test]
fn a_cold_server_gets_what_it_bears_in_any_second_and_all_flows_once_it_is_warm() {
    let mut host = new_host(1);
    host.set_routes(cold_route_table(2), &mut FlowOutbox::default());
    host.receive_heartbeat(&cold_heartbeat(1, 2_000), at(0), &mut FlowOutbox::default());
    let delivered = offer_flows(&mut host, 0, 3_000);
    let (cold, warm): (Vec<u64>, Vec<u64>) = delivered.iter().partition(|time| **time < 2_000);
    expect!["[0, 20, 40, 60, 1000, 1020, 1040, 1060]"].assert_eq(&format!("{cold:?}"));
    assert_eq!(most_in_a_second(&cold), FLOWS_PER_SECOND as usize);
    assert_eq!(warm.len(), 50);
}

/// Failure: a host starts beside a server that has started with it. Flows come before the
/// first heartbeat says that the server is cold, and of which service it is.
#[test]
fn a_server_gets_no_flow_before_its_first_heartbeat() {
    let mut host = new_host(1);
    host.set_routes(cold_route_table(2), &mut FlowOutbox::default());
    let mut outbox = FlowOutbox::default();
    assert!(host.take_due_check(at(1)));
    host.receive_check_result(
        hyssopstair_flows::host::CheckResult::Connected,
        at(2),
        &mut outbox,
    );
    let before_heartbeat = offer_flows(&mut host, 10, 500);
    assert_eq!(before_heartbeat.len(), 0);
    host.receive_heartbeat(&cold_heartbeat(1, 0), at(500), &mut outbox);
    let after_heartbeat = offer_flows(&mut host, 510, 1_000);
    assert_eq!(after_heartbeat.len(), 25);
}

/// Failure: a server ends and the next one is cold, as its first heartbeat says. What the
/// server got in the second before counts.
#[test]
fn a_server_that_becomes_cold_again_is_limited_at_once() {
    let mut host = new_host(1);
    host.set_routes(cold_route_table(2), &mut FlowOutbox::default());
    host.receive_heartbeat(&cold_heartbeat(1, 0), at(0), &mut FlowOutbox::default());
    let warm = offer_flows(&mut host, 0, 200);
    assert_eq!(warm.len(), 10);
    host.receive_heartbeat(
        &cold_heartbeat(2, 1_500),
        at(200),
        &mut FlowOutbox::default(),
    );
    let cold = offer_flows(&mut host, 200, 1_700);
    expect!["[1120, 1140, 1160, 1180]"].assert_eq(&format!("{cold:?}"));
}

#[test]
fn a_table_of_an_earlier_build_has_no_limit() {
    let table = cold_route_table(2);
    let bytes = table.encode().expect("an encoded table");
    assert_eq!(RouteTable::decode(&bytes), Some(table.clone()));
    // An earlier build encodes the fields that it knows, and nothing after them.
    let former_bytes = postcard::to_stdvec(&table).expect("an encoded table");
    let decoded = RouteTable::decode(&former_bytes).expect("a table");
    assert_eq!(decoded.cold_terms(SERVICE), ColdTerms::default());
    assert_eq!(decoded.version(), 2);
    // It takes the bytes of this build for the same table.
    let understood: RouteTable = postcard::from_bytes(&bytes).expect("a table");
    assert_eq!(understood, decoded);
}
