//! The spans of a balancer: one for each trace that it returned packets of.

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

/// Name of the span of a balancer.
pub const RELAY_SPAN: &str = "balancer";

/// A trace without packets for this long has its span.
pub const RELAY_QUIET: Duration = Duration::from_secs(1);

/// A trace that goes on for this long has a span, and gets another one later.
pub const RELAY_LONGEST: Duration = Duration::from_secs(60);

/// Traces that are remembered at most; packets of others have no span.
pub const MAX_RELAYS: usize = 512;

/// The packets of one trace at a balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayRecord {
    /// The trace, and the host's span in it.
    pub trace: TraceContext,
    /// When the first packet came.
    pub first: MonotonicTime,
    /// When the last packet came.
    pub last: MonotonicTime,
    /// How many packets came.
    pub packets: u64,
}

/// The traces that a balancer returns packets of at present.
#[derive(Debug, Default)]
pub struct RelayMemory {
    records: Vec<RelayRecord>,
}

impl RelayMemory {
    /// Creates an empty memory.
    pub const fn new() -> Self {
        Self {
            records: Vec::new(),
        }
    }

    /// Notes a packet of a trace.
    pub fn note(&mut self, trace: TraceContext, now: MonotonicTime) {
        let key = (trace.trace, trace.span);
        let found = self
            .records
            .binary_search_by_key(&key, |record| (record.trace.trace, record.trace.span));
        match found {
            Ok(index) => {
                self.records[index].last = now;
                self.records[index].packets += 1;
            }
            Err(index) if self.records.len() < MAX_RELAYS => {
                let record = RelayRecord {
                    trace,
                    first: now,
                    last: now,
                    packets: 1,
                };
                self.records.insert(index, record);
            }
            Err(_) => {}
        }
    }

    /// Takes out the records whose span is due.
    pub fn take_due(&mut self, now: MonotonicTime) -> Vec<RelayRecord> {
        let is_due = |record: &mut RelayRecord| {
            now.since(record.last) >= RELAY_QUIET || now.since(record.first) >= RELAY_LONGEST
        };
        self.records.extract_if(.., is_due).collect()
    }

    /// Takes out all records.
    pub fn take_all(&mut self) -> Vec<RelayRecord> {
        std::mem::take(&mut self.records)
    }
}

static MEMORY: Mutex<RelayMemory> = Mutex::new(RelayMemory::new());

/// Notes a packet that the balancer returned; does nothing without a trace.
pub fn record_returned_packet(trace: Option<TraceContext>, now: MonotonicTime) {
    if let Some(trace) = trace {
        let mut memory = MEMORY.lock().unwrap_or_else(PoisonError::into_inner);
        memory.note(trace, now);
    }
}

/// Makes the spans that are due.
pub fn export_due_spans(now: MonotonicTime) {
    let mut memory = MEMORY.lock().unwrap_or_else(PoisonError::into_inner);
    let records = memory.take_due(now);
    drop(memory);
    export(&records, now);
}

/// Makes the spans of all traces, for a process that stops.
pub fn export_all_spans(now: MonotonicTime) {
    let mut memory = MEMORY.lock().unwrap_or_else(PoisonError::into_inner);
    let records = memory.take_all();
    drop(memory);
    export(&records, now);
}

fn export(records: &[RelayRecord], now: MonotonicTime) {
    let clock = SystemTime::now();
    for record in records {
        let parent = Context::new().with_remote_span_context(remote_context(&record.trace));
        let builder = SpanBuilder::from_name(RELAY_SPAN)
            .with_kind(SpanKind::Internal)
            .with_start_time(clock - now.since(record.first))
            .with_attributes([KeyValue::new("hyssopstair.packets", record.packets as i64)]);
        let mut span = global::tracer(SCOPE).build_with_context(builder, &parent);
        span.end_with_timestamp(clock - now.since(record.last));
    }
}

fn remote_context(trace: &TraceContext) -> SpanContext {
    SpanContext::new(
        TraceId::from_bytes(trace.trace),
        SpanId::from_bytes(trace.span),
        TraceFlags::SAMPLED,
        true,
        TraceState::NONE,
    )
}
