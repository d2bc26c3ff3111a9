//! Metrics for operators, by OpenTelemetry, in the text form of Prometheus.

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

/// Bounds of the buckets of request durations, in seconds.
const DURATION_BOUNDS: [f64; 14] = [
    0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// The members of one role and state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberCount {
    /// The role.
    pub role: &'static str,
    /// The state.
    pub state: &'static str,
    /// How many.
    pub count: u64,
}

/// Values of one moment that a daemon is asked for.
#[derive(Debug, Clone, Default)]
pub struct GaugeValues {
    /// Members that are known.
    pub members: Vec<MemberCount>,
    /// The version of the configuration in force.
    pub config_version: u64,
}

/// Reads the gauges of a daemon.
pub type GaugeSource = Arc<dyn Fn() -> GaugeValues + Send + Sync>;

/// Why metrics cannot be shown.
#[derive(Debug, thiserror::Error)]
#[error("failed to {0} metrics")]
pub struct MetricsError(&'static str);

/// Shows the metrics of a daemon.
#[derive(Debug)]
pub struct MetricsExporter {
    registry: Registry,
    _provider: SdkMeterProvider,
}

static REQUEST_DURATION: OnceLock<Histogram<f64>> = OnceLock::new();

impl MetricsExporter {
    /// Registers all instruments; `gauges` is called at each reading.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter cannot be built.
    pub fn start(resource: Resource, gauges: GaugeSource) -> Result<Self, Report<MetricsError>> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .change_context(MetricsError("export"))?;
        let provider = SdkMeterProvider::builder()
            .with_resource(resource)
            .with_reader(exporter)
            .build();
        let meter = provider.meter(SCOPE);
        register_packets(&meter);
        register_control(&meter);
        register_process(&meter);
        register_levels(&meter);
        register_version(&meter, &gauges);
        register_members(&meter, &gauges);
        let _ = REQUEST_DURATION.set(request_duration(&meter));
        Ok(Self {
            registry,
            _provider: provider,
        })
    }

    /// Returns all metrics in the text form of Prometheus.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric cannot be written.
    pub fn render(&self) -> Result<String, Report<MetricsError>> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .change_context(MetricsError("write"))?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}

/// Counts a request that has ended, and how long it took.
pub fn record_request(verdict: &'static str, method: &'static str, duration: Duration) {
    if let Some(histogram) = REQUEST_DURATION.get() {
        let labels = [
            KeyValue::new("hyssopstair.verdict", verdict),
            KeyValue::new("http.request.method", method),
        ];
        histogram.record(duration.as_secs_f64(), &labels);
    }
}

fn request_duration(meter: &Meter) -> Histogram<f64> {
    meter
        .f64_histogram("hyssopstair.request.duration")
        .with_unit("s")
        .with_description("time from a request's head to the end of its answer")
        .with_boundaries(DURATION_BOUNDS.to_vec())
        .build()
}

fn register_packets(meter: &Meter) {
    let counts = &COUNTERS;
    counter(
        meter,
        "hyssopstair.packets.forwarded",
        "{packet}",
        &counts.packets_forwarded,
    );
    counter(
        meter,
        "hyssopstair.packets.returned",
        "{packet}",
        &counts.packets_returned,
    );
    counter(
        meter,
        "hyssopstair.packets.opening",
        "{packet}",
        &counts.packets_opening,
    );
    counter(
        meter,
        "hyssopstair.packets.passed_on",
        "{packet}",
        &counts.packets_passed_on,
    );
    counter(meter, "hyssopstair.resets", "{packet}", &counts.resets_sent);
    counter(
        meter,
        "hyssopstair.flows.opened",
        "{flow}",
        &counts.flows_opened,
    );
    counter(
        meter,
        "hyssopstair.requests.relayed",
        "{request}",
        &counts.requests_relayed,
    );
    label_counter(
        meter,
        "hyssopstair.packets.dropped",
        "{packet}",
        "reason",
        &counts.packets_dropped,
    );
}

fn register_control(meter: &Meter) {
    let counts = &COUNTERS;
    counter(
        meter,
        "hyssopstair.control.sent",
        "By",
        &counts.control_bytes_sent,
    );
    counter(
        meter,
        "hyssopstair.control.received",
        "By",
        &counts.control_bytes_received,
    );
    counter(
        meter,
        "hyssopstair.platform.calls",
        "{call}",
        &counts.platform_calls,
    );
    counter(
        meter,
        "hyssopstair.platform.writes",
        "{call}",
        &counts.platform_writes,
    );
    counter(
        meter,
        "hyssopstair.platform.errors",
        "{call}",
        &counts.platform_errors,
    );
    counter(
        meter,
        "hyssopstair.spans.lost",
        "{span}",
        &counts.spans_lost,
    );
}

fn register_process(meter: &Meter) {
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

fn register_levels(meter: &Meter) {
    let counts = &COUNTERS;
    level(
        meter,
        "hyssopstair.flows.open",
        "{flow}",
        &counts.flows_open,
    );
    level(
        meter,
        "hyssopstair.requests.open",
        "{request}",
        &counts.requests_open,
    );
    level(
        meter,
        "hyssopstair.requests.queued",
        "{request}",
        &counts.requests_queued,
    );
}

fn register_version(meter: &Meter, source: &GaugeSource) {
    let source = source.clone();
    meter
        .u64_observable_gauge("hyssopstair.configuration.version")
        .with_callback(move |observer| observer.observe(source().config_version, &[]))
        .build();
}

fn register_members(meter: &Meter, source: &GaugeSource) {
    let source = source.clone();
    meter
        .u64_observable_gauge("hyssopstair.roster.members")
        .with_unit("{member}")
        .with_callback(move |observer| {
            for item in source().members {
                let labels = [
                    KeyValue::new("role", item.role),
                    KeyValue::new("state", item.state),
                ];
                observer.observe(item.count, &labels);
            }
        })
        .build();
}

fn counter(meter: &Meter, name: &'static str, unit: &'static str, count: &'static EventCounter) {
    meter
        .u64_observable_counter(name)
        .with_unit(unit)
        .with_callback(|observer| observer.observe(count.get(), &[]))
        .build();
}

fn label_counter(
    meter: &Meter,
    name: &'static str,
    unit: &'static str,
    label: &'static str,
    counts: &'static LabelCounter,
) {
    meter
        .u64_observable_counter(name)
        .with_unit(unit)
        .with_callback(move |observer| {
            for item in counts.get() {
                observer.observe(item.count, &[KeyValue::new(label, item.label)]);
            }
        })
        .build();
}

fn level(meter: &Meter, name: &'static str, unit: &'static str, gauge: &'static LevelGauge) {
    meter
        .u64_observable_gauge(name)
        .with_unit(unit)
        .with_callback(|observer| observer.observe(gauge.get(), &[]))
        .build();
}
