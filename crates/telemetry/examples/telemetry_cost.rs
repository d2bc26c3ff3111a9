//! Measures the cost of telemetry: of a counter, a labelled counter, a trace lookup
//! and a request metric per event, and of one export of all metrics.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hyssopstair_telemetry::callers::CallerTraces;
use hyssopstair_telemetry::counts::COUNTERS;
use hyssopstair_telemetry::metrics::GaugeValues;
use hyssopstair_telemetry::metrics::MetricsExporter;
use hyssopstair_telemetry::metrics::record_request;
use hyssopstair_telemetry::traces::ProcessAttributes;
use hyssopstair_wire::packet::TraceContext;
use hyssopstair_wire::time::MonotonicTime;

/// Number of events that each thread runs in a measurement.
const EVENTS_PER_THREAD: u32 = 2_000_000;

fn main() {
    let attributes = ProcessAttributes {
        role: "balancer",
        instance: "cost",
        zone: "cost",
    };
    let exporter = MetricsExporter::start(attributes.resource(), Arc::new(GaugeValues::default))
        .expect("failed to start metrics");
    for threads in [1, 2, 4, 8] {
        let name = format!("one counter increment, {threads} threads");
        measure(&name, threads, || COUNTERS.packets_forwarded.increment());
    }
    measure("one labelled counter increment", 1, || {
        COUNTERS.packets_dropped.increment(black_box("no_host"));
    });
    measure_traces();
    measure("one request metric", 1, || {
        record_request("done", "GET", black_box(Duration::from_millis(3)));
    });
    let start = Instant::now();
    let text = exporter.render().expect("failed to render metrics");
    println!("one export: {:?}, {} bytes", start.elapsed(), text.len());
}

fn measure_traces() {
    let caller = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    let now = MonotonicTime::default();
    let traces = CallerTraces::default();
    measure("one trace lookup, none sampled", 1, || {
        black_box(traces.find_trace(black_box(caller), now));
    });
    let trace = TraceContext {
        trace: [1; 16],
        span: [1; 8],
    };
    for port in 1..=1_000 {
        traces.start_request(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port), trace, now);
    }
    measure("one trace lookup, 1000 sampled", 1, || {
        black_box(traces.find_trace(black_box(caller), now));
    });
}

/// Prints the mean time of one event when `threads` threads run events in parallel.
fn measure(name: &str, threads: usize, event: impl Fn() + Sync) {
    let start = Instant::now();
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| (0..EVENTS_PER_THREAD).for_each(|_| event()));
        }
    });
    let nanos = start.elapsed().as_nanos() as f64 / f64::from(EVENTS_PER_THREAD);
    println!("{name}: {nanos:.1} ns");
}
