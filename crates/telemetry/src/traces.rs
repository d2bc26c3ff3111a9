//! Exports spans to a collector, by OTLP over HTTP, in the background.
//!
//! Only requests whose caller sampled them have spans. A collector that cannot
//! be reached costs the spans that wait for it and nothing else.

use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_wire::time::MonotonicTime;
use opentelemetry::KeyValue;
use opentelemetry::global;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::TracerProvider;
use opentelemetry_otlp::Protocol;
use opentelemetry_otlp::SpanExporter;
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::BatchConfigBuilder;
use opentelemetry_sdk::trace::BatchSpanProcessor;
use opentelemetry_sdk::trace::Sampler;
use opentelemetry_sdk::trace::SdkTracerProvider;
use opentelemetry_sdk::trace::SpanData;

use crate::counts::COUNTERS;
use crate::limiter::SharedLimiter;

/// Name of the instrumentation scope.
pub(crate) const SCOPE: &str = "hyssopstair";

/// Path of a collector that takes spans.
const COLLECTOR_PATH: &str = "/v1/traces";

/// Longest wait for a collector.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two exports.
const EXPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Spans that wait for an export at most.
const MAX_WAITING: usize = 2_048;

/// Longest wait for the last export of a process that stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// What is known of a process, for its metrics and spans.
#[derive(Debug, Clone, Copy)]
pub struct ProcessAttributes<'a> {
    /// The role.
    pub role: &'a str,
    /// The name of the process.
    pub instance: &'a str,
    /// The availability zone.
    pub zone: &'a str,
}

impl ProcessAttributes<'_> {
    /// Returns the names as OpenTelemetry has them.
    pub fn resource(&self) -> Resource {
        Resource::builder_empty()
            .with_service_name("hyssopstaird")
            .with_attribute(KeyValue::new(
                "service.instance.id",
                self.instance.to_owned(),
            ))
            .with_attribute(KeyValue::new("hyssopstair.role", self.role.to_owned()))
            .with_attribute(KeyValue::new(
                "cloud.availability_zone",
                self.zone.to_owned(),
            ))
            .build()
    }
}

/// Why spans cannot be exported.
#[derive(Debug, thiserror::Error)]
#[error("failed to use trace collector {0}")]
pub struct TraceError(String);

/// Exports spans until it is stopped.
#[derive(Debug)]
pub struct TraceExporter {
    provider: SdkTracerProvider,
}

impl TraceExporter {
    /// Starts to export to the collector at `url`.
    ///
    /// # Errors
    ///
    /// Returns an error when the URL cannot be used.
    pub fn start(url: &str, resource: Resource) -> Result<Self, Report<TraceError>> {
        let context = || TraceError(url.to_owned());
        let exporter = SpanExporter::builder()
            .with_http()
            .with_protocol(Protocol::HttpJson)
            .with_endpoint(collector_url(url))
            .with_timeout(EXPORT_TIMEOUT)
            .build()
            .change_context_lazy(context)?;
        let config = BatchConfigBuilder::default()
            .with_max_queue_size(MAX_WAITING)
            .with_scheduled_delay(EXPORT_INTERVAL)
            .build();
        let processor = BatchSpanProcessor::builder(CountedExporter::new(exporter, url))
            .with_batch_config(config)
            .build();
        let provider = SdkTracerProvider::builder()
            .with_sampler(Sampler::ParentBased(Box::new(Sampler::AlwaysOff)))
            .with_span_processor(processor)
            .with_resource(resource)
            .build();
        global::set_tracer_provider(provider.clone());
        Ok(Self { provider })
    }

    /// Exports what waits and stops; waits for a second at most.
    pub fn stop(&self) {
        let _ = self.provider.shutdown_with_timeout(STOP_TIMEOUT);
    }

    /// Returns a tracer of the export.
    pub fn tracer(&self) -> impl opentelemetry::trace::Tracer + use<> {
        self.provider.tracer(SCOPE)
    }
}

/// Returns the URL that takes spans, for the base URL of a collector or for
/// the whole URL.
fn collector_url(url: &str) -> String {
    let base = url.trim_end_matches('/');
    if base.ends_with(COLLECTOR_PATH) {
        return base.to_owned();
    }
    format!("{base}{COLLECTOR_PATH}")
}

/// Returns the propagator of the W3C trace context.
pub(crate) fn propagator() -> impl TextMapPropagator {
    TraceContextPropagator::new()
}

/// Counts the spans that a collector did not take.
#[derive(Debug)]
struct CountedExporter {
    exporter: SpanExporter,
    url: String,
    origin: Instant,
    limiter: SharedLimiter,
}

impl CountedExporter {
    fn new(exporter: SpanExporter, url: &str) -> Self {
        Self {
            exporter,
            url: url.to_owned(),
            origin: Instant::now(),
            limiter: SharedLimiter::new(),
        }
    }

    fn warn(&self, spans: u64) {
        COUNTERS.spans_lost.add(spans);
        let now = MonotonicTime(self.origin.elapsed().as_micros() as u64);
        if let Some(held_back) = self.limiter.record_warning(now) {
            log::warn!(collector = self.url.as_str(), spans, held_back;
                "traces: the collector took no spans");
        }
    }
}

impl opentelemetry_sdk::trace::SpanExporter for CountedExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let spans = batch.len() as u64;
        let result = self.exporter.export(batch).await;
        if result.is_err() {
            self.warn(spans);
        }
        result
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        opentelemetry_sdk::trace::SpanExporter::shutdown_with_timeout(&self.exporter, timeout)
    }

    fn set_resource(&mut self, resource: &Resource) {
        opentelemetry_sdk::trace::SpanExporter::set_resource(&mut self.exporter, resource);
    }
}
