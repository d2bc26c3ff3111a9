//! Spans of a balancer: one for each trace whose packets it forwards to a caller.
//!
//! A span is exported when no packet of its trace has arrived for
//! [`SPAN_IDLE_TIMEOUT`], or when it has reached [`MAX_SPAN_DURATION`].

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;

use hyssopstair_wire::packet::TraceContext;
use hyssopstair_wire::time::MonotonicTime;
use opentelemetry::Context;
use opentelemetry::KeyValue;
use opentelemetry::global;
use opentelemetry::trace::Span;
use opentelemetry::trace::SpanBuilder;
use opentelemetry::trace::SpanContext;
use opentelemetry::trace::SpanId;
use opentelemetry::trace::SpanKind;
use opentelemetry::trace::TraceContextExt;
use opentelemetry::trace::TraceFlags;
use opentelemetry::trace::TraceId;
use opentelemetry::trace::TraceState;
use opentelemetry::trace::Tracer;

use crate::traces::SCOPE;

/// Name of the span that a balancer adds to a trace.
pub const BALANCER_SPAN: &str = "balancer";

/// Time without packets after which the span of a trace is exported.
pub const SPAN_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum duration of a span. Later packets of the same trace start another span.
pub const MAX_SPAN_DURATION: Duration = Duration::from_secs(60);

/// Maximum number of traces that are tracked. Further traces get no span.
pub const MAX_TRACES: usize = 512;

/// The packets of one trace that a balancer has forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceRecord {
    /// The trace and the span of the host within it.
    pub trace: TraceContext,
    /// When the first packet arrived.
    pub first_at: MonotonicTime,
    /// When the last packet arrived.
    pub last_at: MonotonicTime,
    /// The number of packets.
    pub packet_count: u64,
}

/// The traces whose packets a balancer currently forwards.
#[derive(Debug, Default)]
pub struct TraceTable {
    records: Vec<TraceRecord>,
}

impl TraceTable {
    /// Creates an empty table.
    pub const fn new() -> Self {
        Self {
            records: Vec::new(),
        }
    }

    /// Records a packet of a trace.
    pub fn record_packet(&mut self, trace: TraceContext, now: MonotonicTime) {
        let key = (trace.trace, trace.span);
        let found = self
            .records
            .binary_search_by_key(&key, |record| (record.trace.trace, record.trace.span));
        match found {
            Ok(index) => {
                self.records[index].last_at = now;
                self.records[index].packet_count += 1;
            }
            Err(index) if self.records.len() < MAX_TRACES => {
                let record = TraceRecord {
                    trace,
                    first_at: now,
                    last_at: now,
                    packet_count: 1,
                };
                self.records.insert(index, record);
            }
            Err(_) => {}
        }
    }

    /// Removes and returns the records whose span is due: the trace is idle or its
    /// span has reached the maximum duration.
    pub fn take_due_records(&mut self, now: MonotonicTime) -> Vec<TraceRecord> {
        let is_due = |record: &mut TraceRecord| {
            now.since(record.last_at) >= SPAN_IDLE_TIMEOUT
                || now.since(record.first_at) >= MAX_SPAN_DURATION
        };
        self.records.extract_if(.., is_due).collect()
    }

    /// Removes and returns all records.
    pub fn take_all_records(&mut self) -> Vec<TraceRecord> {
        std::mem::take(&mut self.records)
    }
}

static TRACES: Mutex<TraceTable> = Mutex::new(TraceTable::new());

/// Records a packet that the balancer forwarded to a caller. Does nothing if the
/// packet has no trace context.
pub fn record_returned_packet(trace: Option<TraceContext>, now: MonotonicTime) {
    if let Some(trace) = trace {
        let mut traces = TRACES.lock().unwrap_or_else(PoisonError::into_inner);
        traces.record_packet(trace, now);
    }
}

/// Exports the spans that are due.
pub fn export_due_spans(now: MonotonicTime) {
    let mut traces = TRACES.lock().unwrap_or_else(PoisonError::into_inner);
    let records = traces.take_due_records(now);
    drop(traces);
    export_spans(&records, now);
}

/// Exports the spans of all traces, before the process stops.
pub fn export_all_spans(now: MonotonicTime) {
    let mut traces = TRACES.lock().unwrap_or_else(PoisonError::into_inner);
    let records = traces.take_all_records();
    drop(traces);
    export_spans(&records, now);
}

fn export_spans(records: &[TraceRecord], now: MonotonicTime) {
    let wall_clock_now = SystemTime::now();
    for record in records {
        let parent = Context::new().with_remote_span_context(remote_span_context(&record.trace));
        let builder = SpanBuilder::from_name(BALANCER_SPAN)
            .with_kind(SpanKind::Internal)
            .with_start_time(wall_clock_now - now.since(record.first_at))
            .with_attributes([KeyValue::new(
                "hyssopstair.packets",
                record.packet_count as i64,
            )]);
        let mut span = global::tracer(SCOPE).build_with_context(builder, &parent);
        span.end_with_timestamp(wall_clock_now - now.since(record.last_at));
    }
}

fn remote_span_context(trace: &TraceContext) -> SpanContext {
    SpanContext::new(
        TraceId::from_bytes(trace.trace),
        SpanId::from_bytes(trace.span),
        TraceFlags::SAMPLED,
        true,
        TraceState::NONE,
    )
}
