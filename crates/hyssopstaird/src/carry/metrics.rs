//! Counters and histograms of a process, in the text form of Prometheus.
//!
//! The names are OpenTelemetry's, written with underscores as that form asks.

use hyssopstair_flows::event::EventKind;
use hyssopstair_flows::event::FlowEvent;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntGauge;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the buckets of answer times, in seconds. Targets are between
/// 0.1 and 0.8 s.
const ANSWER_BUCKETS: [f64; 10] = [0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6];

/// The numbers of a process.
#[derive(Debug, Clone)]
pub struct CarryMetrics {
    registry: Registry,
    events: Vec<IntCounter>,
    answers: Histogram,
    /// Datagrams that could not be sent.
    pub lost_datagrams: IntCounter,
    /// Flows that are known.
    pub flows: IntGauge,
    /// Peers that are known.
    pub peers: IntGauge,
    /// Version of the routes in force.
    pub routes: IntGauge,
}

impl CarryMetrics {
    /// Creates the numbers, all zero.
    ///
    /// # Errors
    ///
    /// Returns an error when two have one name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let mut events = Vec::new();
        for kind in EventKind::ALL {
            let name = format!("{}_total", text_name(kind.metric_name()));
            let counter = IntCounter::new(name, kind.metric_description())?;
            registry.register(Box::new(counter.clone()))?;
            events.push(counter);
        }
        let options = HistogramOpts::new(
            "hyssopstair_server_answer_duration_seconds",
            "Time from a request to the first data of its answer",
        );
        let answers = Histogram::with_opts(options.buckets(ANSWER_BUCKETS.to_vec()))?;
        registry.register(Box::new(answers.clone()))?;
        let lost_datagrams = IntCounter::new(
            "hyssopstair_datagram_unsent_total",
            "Datagrams that could not be sent",
        )?;
        registry.register(Box::new(lost_datagrams.clone()))?;
        let gauge = |name: &str, help: &str| -> Result<IntGauge, prometheus::Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        Ok(Self {
            events,
            answers,
            lost_datagrams,
            flows: gauge("hyssopstair_flow_known", "Flows in the table")?,
            peers: gauge("hyssopstair_peer_known", "Peers that are known")?,
            routes: gauge(
                "hyssopstair_routes_version",
                "Version of the routes in force",
            )?,
            registry,
        })
    }

    /// Counts an event.
    pub fn count(&self, event: &FlowEvent) {
        self.events[event.kind() as usize].inc();
        if let FlowEvent::Answered { micros, .. } = event {
            self.answers.observe(f64::from(*micros) / 1e6);
        }
    }

    /// Returns all numbers as text.
    pub fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# failed to write the metrics: {error}\n"))
    }
}

fn text_name(name: &str) -> String {
    name.replace('.', "_")
}
