//! The spans and the metrics of a request at a host.

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

/// Name of the span of the wait for the backend server.
pub const ADMISSION_SPAN: &str = "admission wait";

/// Name of the span of a request that is sent to another host.
pub const PEER_SPAN: &str = "peer relay";

/// Name of the span of the call to the backend server.
pub const BACKEND_SPAN: &str = "backend server call";

/// Name of the span of a request that another host has sent.
pub const RELAYED_SPAN: &str = "relayed request";

/// Name of the header of the W3C trace context.
pub const TRACE_HEADER: &str = "traceparent";

/// The verdict of a request whose caller went away before there was one.
const NO_VERDICT: &str = "abandoned";

/// A request that is served.
#[derive(Debug)]
pub struct RequestScope {
    context: Context,
    method: &'static str,
    begun: Instant,
}

/// The verdict of the request that a context belongs to.
#[derive(Debug)]
struct VerdictCell(Mutex<&'static str>);

impl RequestScope {
    /// Begins a request; it belongs to the trace that its headers name.
    pub fn start(request: &Request<()>) -> Self {
        let parent = propagator().extract(&HeaderExtractor(request.headers()));
        let method = method_name(request.method());
        let builder = SpanBuilder::from_name(REQUEST_SPAN)
            .with_kind(SpanKind::Server)
            .with_attributes([KeyValue::new("http.request.method", method)]);
        let span = global::tracer(SCOPE).build_with_context(builder, &parent);
        let context = parent
            .with_span(span)
            .with_value(VerdictCell(Mutex::new(NO_VERDICT)));
        Self {
            context,
            method,
            begun: Instant::now(),
        }
    }

    /// Returns where in its trace the request is, when it is sampled.
    pub fn trace_context(&self) -> Option<TraceContext> {
        let span = self.context.span();
        let context = span.span_context();
        (context.is_valid() && context.is_sampled()).then(|| TraceContext {
            trace: context.trace_id().to_bytes(),
            span: context.span_id().to_bytes(),
        })
    }

    /// Serves the request by `future` and counts how it ends.
    pub async fn run<F: Future>(self, future: F) -> F::Output {
        let _open = COUNTERS.requests_open.enter();
        let output = future.with_context(self.context.clone()).await;
        let verdict = read_verdict(&self.context);
        record_request(verdict, self.method, self.begun.elapsed());
        let span = self.context.span();
        span.set_attribute(KeyValue::new("hyssopstair.verdict", verdict));
        span.end();
        output
    }
}

/// Notes the verdict that the caller of the present request is given.
pub fn record_verdict(verdict: &'static str) {
    Context::map_current(|context| {
        if let Some(VerdictCell(cell)) = context.get::<VerdictCell>() {
            *cell.lock().unwrap_or_else(PoisonError::into_inner) = verdict;
        }
    });
}

/// Runs a step of the present request, with a span of its own.
pub async fn run_in_span<F: Future>(name: &'static str, future: F) -> F::Output {
    let sampled = Context::map_current(|context| context.span().span_context().is_sampled());
    if !sampled {
        return future.await;
    }
    let builder = SpanBuilder::from_name(name).with_kind(SpanKind::Client);
    let span = global::tracer(SCOPE).build(builder);
    future.with_context(Context::current_with_span(span)).await
}

/// Waits until the present request may run.
pub async fn wait_for_admission<F: Future>(future: F) -> F::Output {
    let _queued = COUNTERS.requests_queued.enter();
    run_in_span(ADMISSION_SPAN, future).await
}

/// Puts the present span into the headers of a request that is sent on; the
/// caller's own header stays when the request is not sampled.
pub fn inject_trace_context(headers: &mut HeaderMap) {
    let context = Context::current();
    if context.span().span_context().is_sampled() {
        propagator().inject_context(&context, &mut HeaderInjector(headers));
    }
}

/// Returns the trace header that names the present span, when it is sampled.
pub fn traceparent_value() -> Option<String> {
    let mut headers = HeaderMap::new();
    inject_trace_context(&mut headers);
    headers.get(TRACE_HEADER)?.to_str().ok().map(str::to_owned)
}

/// Runs a request that another host has sent, with a span of its own below the
/// one that `header` names.
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
        None => NO_VERDICT,
    }
}

/// Returns the method as OpenTelemetry has it: a label takes only known values.
fn method_name(method: &Method) -> &'static str {
    const KNOWN: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
    match KNOWN.binary_search(&method.as_str()) {
        Ok(index) => KNOWN[index],
        Err(_) => "_OTHER",
    }
}
