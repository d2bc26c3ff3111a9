//! Tests of the trace tables of hosts and balancers.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use expect_test::expect;
use hyssopstair_telemetry::callers::CallerTraces;
use hyssopstair_telemetry::callers::MAX_TRACED_CALLERS;
use hyssopstair_telemetry::relays::MAX_TRACES;
use hyssopstair_telemetry::relays::TraceTable;
use hyssopstair_wire::packet::TraceContext;
use hyssopstair_wire::time::MonotonicTime;

fn trace(number: u16) -> TraceContext {
    let [high, low] = number.to_be_bytes();
    let mut trace = [0; 16];
    trace[14] = high;
    trace[15] = low;
    TraceContext {
        trace,
        span: [1; 8],
    }
}

fn caller(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn time_at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[test]
fn balancer_exports_one_span_per_trace() {
    let mut traces = TraceTable::default();
    traces.record_packet(trace(2), time_at(0));
    traces.record_packet(trace(1), time_at(400));
    traces.record_packet(trace(2), time_at(900));
    let due: Vec<String> = [
        time_at(1_399),
        time_at(1_400),
        time_at(1_900),
        time_at(9_000),
    ]
    .into_iter()
    .map(|now| {
        let records = traces.take_due_records(now);
        let spans = records
            .iter()
            .map(|record| (record.trace.trace[15], record.packet_count));
        format!("{} {:?}", now.0 / 1_000, spans.collect::<Vec<_>>())
    })
    .collect();
    expect![[r#"
        1399 []
        1400 [(1, 1)]
        1900 [(2, 2)]
        9000 []"#]]
    .assert_eq(&due.join("\n"));
}

#[test]
fn balancer_tracks_a_bounded_number_of_traces() {
    let mut traces = TraceTable::default();
    for number in 0..2_000 {
        traces.record_packet(trace(number), time_at(0));
    }
    assert_eq!(traces.take_all_records().len(), MAX_TRACES);
}

#[test]
fn packets_belong_to_a_trace_until_shortly_after_its_request() {
    let traces = CallerTraces::default();
    let mut found = Vec::new();
    let mut find = |step: &str, now| {
        let number = traces
            .find_trace(caller(1), now)
            .map(|trace| trace.trace[15]);
        found.push(format!("{step}: {number:?}"));
    };
    find("before", time_at(0));
    traces.start_request(caller(1), trace(1), time_at(0));
    find("running", time_at(60_000));
    traces.start_request(caller(1), trace(2), time_at(60_000));
    traces.end_request(caller(1), trace(1), time_at(60_001));
    find("second request", time_at(90_000));
    traces.end_request(caller(1), trace(2), time_at(90_000));
    find("just ended", time_at(90_300));
    find("expired", time_at(90_301));
    expect![[r#"
        before: None
        running: Some(1)
        second request: Some(2)
        just ended: Some(2)
        expired: None"#]]
    .assert_eq(&found.join("\n"));
}

#[test]
fn host_tracks_a_bounded_number_of_callers() {
    let traces = CallerTraces::default();
    let ports = 1..=(MAX_TRACED_CALLERS as u16 + 10);
    for port in ports.clone() {
        traces.start_request(caller(port), trace(port), time_at(0));
    }
    let tracked = ports.filter(|port| traces.find_trace(caller(*port), time_at(0)).is_some());
    assert_eq!(tracked.count(), MAX_TRACED_CALLERS);
}
