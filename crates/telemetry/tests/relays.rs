//! Traces at hosts and balancers.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use expect_test::expect;
use hyssopstair_telemetry::callers::CallerTraces;
use hyssopstair_telemetry::callers::MAX_TRACED;
use hyssopstair_telemetry::relays::MAX_RELAYS;
use hyssopstair_telemetry::relays::RelayMemory;
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

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

#[test]
fn a_balancer_has_one_span_for_each_trace() {
    let mut memory = RelayMemory::default();
    memory.note(trace(2), at(0));
    memory.note(trace(1), at(400));
    memory.note(trace(2), at(900));
    let due: Vec<String> = [at(1_399), at(1_400), at(1_900), at(9_000)]
        .into_iter()
        .map(|now| {
            let records = memory.take_due(now);
            let spans = records
                .iter()
                .map(|record| (record.trace.trace[15], record.packets));
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
fn a_balancer_remembers_a_bounded_number_of_traces() {
    let mut memory = RelayMemory::default();
    for number in 0..2_000 {
        memory.note(trace(number), at(0));
    }
    assert_eq!(memory.take_all().len(), MAX_RELAYS);
}

#[test]
fn packets_belong_to_a_trace_while_its_request_runs_and_shortly_after() {
    let traces = CallerTraces::default();
    let mut found = Vec::new();
    let mut look = |step: &str, now| {
        let number = traces
            .find_trace(caller(1), now)
            .map(|trace| trace.trace[15]);
        found.push(format!("{step}: {number:?}"));
    };
    look("before", at(0));
    traces.start_request(caller(1), trace(1), at(0));
    look("running", at(60_000));
    traces.start_request(caller(1), trace(2), at(60_000));
    traces.end_request(caller(1), trace(1), at(60_001));
    look("second request", at(90_000));
    traces.end_request(caller(1), trace(2), at(90_000));
    look("just ended", at(90_300));
    look("over", at(90_301));
    expect![[r#"
        before: None
        running: Some(1)
        second request: Some(2)
        just ended: Some(2)
        over: None"#]]
    .assert_eq(&found.join("\n"));
}

#[test]
fn a_host_remembers_a_bounded_number_of_callers() {
    let traces = CallerTraces::default();
    let ports = 1..=(MAX_TRACED as u16 + 10);
    for port in ports.clone() {
        traces.start_request(caller(port), trace(port), at(0));
    }
    let known = ports.filter(|port| traces.find_trace(caller(*port), at(0)).is_some());
    assert_eq!(known.count(), MAX_TRACED);
}
