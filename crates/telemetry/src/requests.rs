//! Spans and metrics of a request at a host.

use std::future::Future;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use http::HeaderMap;
use http::Method;
use http::Request;
use hyssopstair_wire::packet::TraceContext;
use opentelemetry::Context;
use opentelemetry::KeyValue;
use opentelemetry::context::FutureExt;
use opentelemetry::global;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::SpanBuilder;
use opentelemetry::trace::SpanKind;
use opentelemetry::trace::TraceContextExt;
use opentelemetry::trace::Tracer;
use opentelemetry_http::HeaderExtractor;
use opentelemetry_http::HeaderInjector;

use crate::counts::COUNTERS;
use crate::metrics::record_request;
use crate::traces::SCOPE;
use crate::traces::propagator;

/// Name of the span of a request at a host.
pub const REQUEST_SPAN: &str = "request";

/// Name of the span of the wait for a slot of the backend server.
pub const ADMISSION_SPAN: &str = "admission wait";

/// Name of the span of a request that is relayed to another host.
pub const PEER_SPAN: &str = "peer relay";

/// Name of the span of the call to the backend server.
pub const BACKEND_SPAN: &str = "backend server call";

/// Name of the span of a request that another host has relayed.
pub const RELAYED_SPAN: &str = "relayed request";

/// Name of the W3C trace context header.
pub const TRACE_HEADER: &str = "traceparent";

/// Verdict of a request whose caller disconnected before a verdict was known.
const ABANDONED: &str = "abandoned";

/// The span and the metrics of a request that is being served.
#[derive(Debug)]
pub struct RequestScope {
    context: Context,
    method: &'static str,
    started_at: Instant,
}

/// The verdict of a request, stored in its context.
#[derive(Debug)]
struct VerdictCell(Mutex<&'static str>);

impl RequestScope {
    /// Starts the span of a request. Its parent is the span in the trace headers of
    /// the request.
    pub fn start(request: &Request<()>) -> Self {
        let parent = propagator().extract(&HeaderExtractor(request.headers()));
        let method = method_name(request.method());
        let builder = SpanBuilder::from_name(REQUEST_SPAN)
            .with_kind(SpanKind::Server)
            .with_attributes([KeyValue::new("http.request.method", method)]);
        let span = global::tracer(SCOPE).build_with_context(builder, &parent);
        let context = parent
            .with_span(span)
            .with_value(VerdictCell(Mutex::new(ABANDONED)));
        Self {
            context,
            method,
            started_at: Instant::now(),
        }
    }

    /// Returns the trace context of the request, or `None` if it is not sampled.
    pub fn trace_context(&self) -> Option<TraceContext> {
        let span = self.context.span();
        let context = span.span_context();
        (context.is_valid() && context.is_sampled()).then(|| TraceContext {
            trace: context.trace_id().to_bytes(),
            span: context.span_id().to_bytes(),
        })
    }

    /// Runs `future`, which serves the request, in the context of the span. When it
    /// completes, ends the span and records the verdict and duration of the request.
    pub async fn run<F: Future>(self, future: F) -> F::Output {
        let _open_guard = COUNTERS.requests_open.enter();
        let output = future.with_context(self.context.clone()).await;
        let verdict = read_verdict(&self.context);
        record_request(verdict, self.method, self.started_at.elapsed());
        let span = self.context.span();
        span.set_attribute(KeyValue::new("hyssopstair.verdict", verdict));
        span.end();
        output
    }
}

/// Stores the verdict of the current request for its span and metrics.
pub fn record_verdict(verdict: &'static str) {
    Context::map_current(|context| {
        if let Some(VerdictCell(cell)) = context.get::<VerdictCell>() {
            *cell.lock().unwrap_or_else(PoisonError::into_inner) = verdict;
        }
    });
}

/// Runs `future` in a new child span of the current request. Creates no span if the
/// request is not sampled.
pub async fn run_in_span<F: Future>(name: &'static str, future: F) -> F::Output {
    let is_sampled = Context::map_current(|context| context.span().span_context().is_sampled());
    if !is_sampled {
        return future.await;
    }
    let builder = SpanBuilder::from_name(name).with_kind(SpanKind::Client);
    let span = global::tracer(SCOPE).build(builder);
    future.with_context(Context::current_with_span(span)).await
}

/// Runs `future`, which waits for a slot, in a span, and counts the request as queued
/// in the meantime.
pub async fn wait_for_admission<F: Future>(future: F) -> F::Output {
    let _queued_guard = COUNTERS.requests_queued.enter();
    run_in_span(ADMISSION_SPAN, future).await
}

/// Sets the trace headers of a forwarded request to the current span. If the request
/// is not sampled, the headers of the caller are left unchanged.
pub fn inject_trace_context(headers: &mut HeaderMap) {
    let context = Context::current();
    if context.span().span_context().is_sampled() {
        propagator().inject_context(&context, &mut HeaderInjector(headers));
    }
}

/// Returns the value of the trace context header for the current span, or `None` if
/// it is not sampled.
pub fn traceparent_value() -> Option<String> {
    let mut headers = HeaderMap::new();
    inject_trace_context(&mut headers);
    headers.get(TRACE_HEADER)?.to_str().ok().map(str::to_owned)
}

/// Runs `future`, which serves a request that another host has relayed, in a new
/// span. Its parent is the span in `header`, the trace context header of the request.
pub async fn serve_relayed_request<F: Future>(header: Option<&str>, future: F) -> F::Output {
    let mut headers = HeaderMap::new();
    if let Some(value) = header.and_then(|text| text.parse().ok()) {
        headers.insert(TRACE_HEADER, value);
    }
    let parent = propagator().extract(&HeaderExtractor(&headers));
    let builder = SpanBuilder::from_name(RELAYED_SPAN).with_kind(SpanKind::Server);
    let span = global::tracer(SCOPE).build_with_context(builder, &parent);
    future.with_context(parent.with_span(span)).await
}

fn read_verdict(context: &Context) -> &'static str {
    match context.get::<VerdictCell>() {
        Some(VerdictCell(cell)) => *cell.lock().unwrap_or_else(PoisonError::into_inner),
        None => ABANDONED,
    }
}

/// Returns the method under the semantic conventions of OpenTelemetry, which limit
/// the label to known methods and `_OTHER`.
fn method_name(method: &Method) -> &'static str {
    const KNOWN_METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
    match KNOWN_METHODS.binary_search(&method.as_str()) {
        Ok(index) => KNOWN_METHODS[index],
        Err(_) => "_OTHER",
    }
}
