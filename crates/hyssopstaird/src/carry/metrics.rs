//! Metrics of a process, in the Prometheus text format.
//!
//! The metrics have OpenTelemetry's names, with underscores in place of dots, which
//! the format does not allow.

use hyssopstair_flows::event::EventKind;
use hyssopstair_flows::event::FlowEvent;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntGauge;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the histogram buckets for the time to an answer, in seconds. The
/// targets for this time are between 0.1 and 0.8 s.
const ANSWER_BUCKETS_SECONDS: [f64; 10] = [0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6];

/// The metrics of a process.
#[derive(Debug, Clone)]
pub struct CarryMetrics {
    registry: Registry,
    /// One counter for each [`EventKind`], in the order of [`EventKind::ALL`].
    event_counters: Vec<IntCounter>,
    answer_seconds: Histogram,
    /// Counts datagrams that could not be sent.
    pub unsent_datagrams: IntCounter,
    /// Number of known flows.
    pub flow_count: IntGauge,
    /// Number of known peers.
    pub peer_count: IntGauge,
    /// Version of the routes in force.
    pub routes_version: IntGauge,
    /// Number of requests in progress up to which the server gets new flows.
    pub request_limit: IntGauge,
    /// Number of emptied availability zones.
    pub evacuated_zones: IntGauge,
    /// The newest era that the store has reported.
    pub store_era: IntGauge,
    /// Revision of the store when it last sent the configuration.
    pub store_revision: IntGauge,
}

impl CarryMetrics {
    /// Creates the metrics, all zero.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is invalid or two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let mut event_counters = Vec::new();
        for kind in EventKind::ALL {
            let name = format!("{}_total", prometheus_name(kind.metric_name()));
            let counter = IntCounter::new(name, kind.metric_description())?;
            registry.register(Box::new(counter.clone()))?;
            event_counters.push(counter);
        }
        let options = HistogramOpts::new(
            "hyssopstair_server_answer_duration_seconds",
            "Time from a request to the first data of its answer",
        );
        let answer_seconds =
            Histogram::with_opts(options.buckets(ANSWER_BUCKETS_SECONDS.to_vec()))?;
        registry.register(Box::new(answer_seconds.clone()))?;
        let unsent_datagrams = IntCounter::new(
            "hyssopstair_datagram_unsent_total",
            "Datagrams that could not be sent",
        )?;
        registry.register(Box::new(unsent_datagrams.clone()))?;
        let register_gauge = |name: &str, help: &str| -> Result<IntGauge, prometheus::Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        Ok(Self {
            event_counters,
            answer_seconds,
            unsent_datagrams,
            flow_count: register_gauge("hyssopstair_flow_known", "Flows in the table")?,
            peer_count: register_gauge("hyssopstair_peer_known", "Peers that are known")?,
            routes_version: register_gauge(
                "hyssopstair_routes_version",
                "Version of the routes in force",
            )?,
            request_limit: register_gauge(
                "hyssopstair_server_pace",
                "Requests in progress up to which the server gets new flows",
            )?,
            evacuated_zones: register_gauge(
                "hyssopstair_zones_evacuated",
                "Availability zones that operators have emptied",
            )?,
            store_era: register_gauge(
                "hyssopstair_store_era",
                "Newest era that the store has reported",
            )?,
            store_revision: register_gauge(
                "hyssopstair_store_revision",
                "Revision of the store when it last sent the configuration",
            )?,
            registry,
        })
    }

    /// Counts an event.
    pub fn count_event(&self, event: &FlowEvent) {
        self.event_counters[event.kind() as usize].inc();
        if let FlowEvent::Answered { micros, .. } = event {
            self.answer_seconds.observe(f64::from(*micros) / 1e6);
        }
    }

    /// Returns all metrics in the text format, or a comment with the error if they
    /// cannot be encoded.
    pub fn encode_text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# failed to write the metrics: {error}\n"))
    }
}

fn prometheus_name(name: &str) -> String {
    name.replace('.', "_")
}
