//! Exports spans to a collector in the background, with OTLP over HTTP.
//!
//! Spans are created only for requests that their caller has sampled. If the
//! collector is unreachable, queued spans are lost; requests are not affected.

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

/// Path of the collector endpoint for spans.
const COLLECTOR_PATH: &str = "/v1/traces";

/// Timeout of one export.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between two exports.
const EXPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of spans that are queued for export.
const MAX_QUEUED_SPANS: usize = 2_048;

/// Timeout of the last export before the process stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// Attributes of a process that are attached to its metrics and spans.
#[derive(Debug, Clone, Copy)]
pub struct ProcessAttributes<'a> {
    /// The role of the process.
    pub role: &'a str,
    /// The ID of the process.
    pub instance: &'a str,
    /// The availability zone.
    pub zone: &'a str,
}

impl ProcessAttributes<'_> {
    /// Returns the attributes as an OpenTelemetry resource.
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

/// A failure to set up the export to a trace collector.
#[derive(Debug, thiserror::Error)]
#[error("failed to set up the export to trace collector {0}")]
pub struct TraceError(String);

/// Exports spans in the background until it is stopped.
#[derive(Debug)]
pub struct TraceExporter {
    provider: SdkTracerProvider,
}

impl TraceExporter {
    /// Starts the export to the collector at `url`.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be built, for example because the URL
    /// is invalid.
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
            .with_max_queue_size(MAX_QUEUED_SPANS)
            .with_scheduled_delay(EXPORT_INTERVAL)
            .build();
        let processor = BatchSpanProcessor::builder(CountingExporter::new(exporter, url))
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

    /// Exports the queued spans and stops. Blocks for at most one second.
    pub fn stop(&self) {
        let _ = self.provider.shutdown_with_timeout(SHUTDOWN_TIMEOUT);
    }

    /// Returns a tracer whose spans this exporter exports.
    pub fn tracer(&self) -> impl opentelemetry::trace::Tracer + use<> {
        self.provider.tracer(SCOPE)
    }
}

/// Returns the URL of the endpoint for spans. `url` is either the base URL of a
/// collector or the URL of the endpoint itself.
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

/// An exporter that counts the spans that could not be exported.
#[derive(Debug)]
struct CountingExporter {
    exporter: SpanExporter,
    url: String,
    created_at: Instant,
    limiter: SharedLimiter,
}

impl CountingExporter {
    fn new(exporter: SpanExporter, url: &str) -> Self {
        Self {
            exporter,
            url: url.to_owned(),
            created_at: Instant::now(),
            limiter: SharedLimiter::new(),
        }
    }

    /// Counts lost spans and logs a warning, at a limited rate.
    fn record_lost_spans(&self, spans: u64) {
        COUNTERS.spans_lost.add(spans);
        let now = MonotonicTime(self.created_at.elapsed().as_micros() as u64);
        if let Some(held_back) = self.limiter.record_warning(now) {
            log::warn!(collector = self.url.as_str(), spans, held_back;
                "traces: failed to export spans to the collector");
        }
    }
}

impl opentelemetry_sdk::trace::SpanExporter for CountingExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let spans = batch.len() as u64;
        let result = self.exporter.export(batch).await;
        if result.is_err() {
            self.record_lost_spans(spans);
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
