//! Metrics for operators, recorded with OpenTelemetry and exported in the Prometheus
//! text format.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::counts::COUNTERS;
use crate::counts::EventCounter;
use crate::counts::LabelCounter;
use crate::counts::LevelGauge;
use crate::process::read_usage;

/// Name of the instrumentation scope.
const SCOPE: &str = "hyssopstair";

/// Bucket boundaries of the request duration histogram, in seconds.
const DURATION_BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// The number of members with one role and state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberCount {
    /// The role.
    pub role: &'static str,
    /// The state.
    pub state: &'static str,
    /// The number of members.
    pub count: u64,
}

/// A snapshot of the values that a daemon provides for its gauges.
#[derive(Debug, Clone, Default)]
pub struct GaugeValues {
    /// The number of known members, by role and state.
    pub members: Vec<MemberCount>,
    /// The version of the configuration in force.
    pub config_version: u64,
}

/// Returns the current values of the gauges of a daemon.
pub type GaugeSource = Arc<dyn Fn() -> GaugeValues + Send + Sync>;

/// A failure to set up the metrics or to render them as text.
#[derive(Debug, thiserror::Error)]
#[error("failed to {0} metrics")]
pub struct MetricsError(&'static str);

/// Exports the metrics of a daemon.
#[derive(Debug)]
pub struct MetricsExporter {
    registry: Registry,
    _provider: SdkMeterProvider,
}

static REQUEST_DURATION: OnceLock<Histogram<f64>> = OnceLock::new();

impl MetricsExporter {
    /// Creates the exporter and registers all metrics. Calls `gauges` each time that
    /// the metrics are rendered.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be built.
    pub fn start(resource: Resource, gauges: GaugeSource) -> Result<Self, Report<MetricsError>> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .change_context(MetricsError("set up"))?;
        let provider = SdkMeterProvider::builder()
            .with_resource(resource)
            .with_reader(exporter)
            .build();
        let meter = provider.meter(SCOPE);
        register_packet_metrics(&meter);
        register_control_metrics(&meter);
        register_process_metrics(&meter);
        register_gauges(&meter);
        register_version_gauge(&meter, &gauges);
        register_member_gauge(&meter, &gauges);
        let _ = REQUEST_DURATION.set(build_duration_histogram(&meter));
        Ok(Self {
            registry,
            _provider: provider,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    pub fn render(&self) -> Result<String, Report<MetricsError>> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .change_context(MetricsError("render"))?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}

/// Records the verdict, method and duration of a request that has ended. Does
/// nothing before [`MetricsExporter::start`].
pub fn record_request(verdict: &'static str, method: &'static str, duration: Duration) {
    if let Some(histogram) = REQUEST_DURATION.get() {
        let labels = [
            KeyValue::new("hyssopstair.verdict", verdict),
            KeyValue::new("http.request.method", method),
        ];
        histogram.record(duration.as_secs_f64(), &labels);
    }
}

fn build_duration_histogram(meter: &Meter) -> Histogram<f64> {
    meter
        .f64_histogram("hyssopstair.request.duration")
        .with_unit("s")
        .with_description("time from a request's head to the end of its answer")
        .with_boundaries(DURATION_BUCKETS_SECONDS.to_vec())
        .build()
}

fn register_packet_metrics(meter: &Meter) {
    let counters = &COUNTERS;
    register_counter(
        meter,
        "hyssopstair.packets.forwarded",
        "{packet}",
        &counters.packets_forwarded,
    );
    register_counter(
        meter,
        "hyssopstair.packets.returned",
        "{packet}",
        &counters.packets_returned,
    );
    register_counter(
        meter,
        "hyssopstair.packets.opening",
        "{packet}",
        &counters.packets_opening,
    );
    register_counter(
        meter,
        "hyssopstair.packets.passed_on",
        "{packet}",
        &counters.packets_passed_on,
    );
    register_counter(
        meter,
        "hyssopstair.resets",
        "{packet}",
        &counters.resets_sent,
    );
    register_counter(
        meter,
        "hyssopstair.flows.opened",
        "{flow}",
        &counters.flows_opened,
    );
    register_counter(
        meter,
        "hyssopstair.requests.relayed",
        "{request}",
        &counters.requests_relayed,
    );
    register_label_counter(
        meter,
        "hyssopstair.packets.dropped",
        "{packet}",
        "reason",
        &counters.packets_dropped,
    );
}

fn register_control_metrics(meter: &Meter) {
    let counters = &COUNTERS;
    register_counter(
        meter,
        "hyssopstair.control.sent",
        "By",
        &counters.control_bytes_sent,
    );
    register_counter(
        meter,
        "hyssopstair.control.received",
        "By",
        &counters.control_bytes_received,
    );
    register_counter(
        meter,
        "hyssopstair.platform.calls",
        "{call}",
        &counters.platform_calls,
    );
    register_counter(
        meter,
        "hyssopstair.platform.writes",
        "{call}",
        &counters.platform_writes,
    );
    register_counter(
        meter,
        "hyssopstair.platform.errors",
        "{call}",
        &counters.platform_errors,
    );
    register_counter(
        meter,
        "hyssopstair.spans.lost",
        "{span}",
        &counters.spans_lost,
    );
}

fn register_process_metrics(meter: &Meter) {
    meter
        .f64_observable_counter("process.cpu.time")
        .with_unit("s")
        .with_callback(|observer| {
            if let Some(usage) = read_usage() {
                observer.observe(usage.cpu_seconds, &[]);
            }
        })
        .build();
    meter
        .u64_observable_gauge("process.memory.usage")
        .with_unit("By")
        .with_callback(|observer| {
            if let Some(usage) = read_usage() {
                observer.observe(usage.memory_bytes, &[]);
            }
        })
        .build();
}

fn register_gauges(meter: &Meter) {
    let counters = &COUNTERS;
    register_gauge(
        meter,
        "hyssopstair.flows.open",
        "{flow}",
        &counters.flows_open,
    );
    register_gauge(
        meter,
        "hyssopstair.requests.open",
        "{request}",
        &counters.requests_open,
    );
    register_gauge(
        meter,
        "hyssopstair.requests.queued",
        "{request}",
        &counters.requests_queued,
    );
}

fn register_version_gauge(meter: &Meter, source: &GaugeSource) {
    let source = source.clone();
    meter
        .u64_observable_gauge("hyssopstair.configuration.version")
        .with_callback(move |observer| observer.observe(source().config_version, &[]))
        .build();
}

fn register_member_gauge(meter: &Meter, source: &GaugeSource) {
    let source = source.clone();
    meter
        .u64_observable_gauge("hyssopstair.roster.members")
        .with_unit("{member}")
        .with_callback(move |observer| {
            for entry in source().members {
                let labels = [
                    KeyValue::new("role", entry.role),
                    KeyValue::new("state", entry.state),
                ];
                observer.observe(entry.count, &labels);
            }
        })
        .build();
}

fn register_counter(
    meter: &Meter,
    name: &'static str,
    unit: &'static str,
    counter: &'static EventCounter,
) {
    meter
        .u64_observable_counter(name)
        .with_unit(unit)
        .with_callback(|observer| observer.observe(counter.get(), &[]))
        .build();
}

fn register_label_counter(
    meter: &Meter,
    name: &'static str,
    unit: &'static str,
    label: &'static str,
    counter: &'static LabelCounter,
) {
    meter
        .u64_observable_counter(name)
        .with_unit(unit)
        .with_callback(move |observer| {
            for entry in counter.get() {
                observer.observe(entry.count, &[KeyValue::new(label, entry.label)]);
            }
        })
        .build();
}

fn register_gauge(
    meter: &Meter,
    name: &'static str,
    unit: &'static str,
    gauge: &'static LevelGauge,
) {
    meter
        .u64_observable_gauge(name)
        .with_unit(unit)
        .with_callback(|observer| observer.observe(gauge.get(), &[]))
        .build();
}
