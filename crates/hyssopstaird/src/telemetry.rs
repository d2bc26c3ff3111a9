//! Metrics and traces of a daemon, with counters for its packets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_routing::balancer::DropReason;
use hyssopstair_rules::settings::DaemonSettings;
use hyssopstair_rules::settings::RoleSettings;
use hyssopstair_telemetry::callers::CALLER_TRACES;
use hyssopstair_telemetry::counts::COUNTERS;
use hyssopstair_telemetry::metrics::GaugeValues;
use hyssopstair_telemetry::metrics::MemberCount;
use hyssopstair_telemetry::metrics::MetricsExporter;
use hyssopstair_telemetry::relays;
use hyssopstair_telemetry::requests::RequestScope;
use hyssopstair_telemetry::traces::ProcessAttributes;
use hyssopstair_telemetry::traces::TraceExporter;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::entry::to_ipv4;
use hyssopstair_wire::packet::ForwardHeader;
use hyssopstair_wire::packet::TraceContext;

use crate::control::node::ControlNode;
use crate::error::DaemonError;
use crate::host::state::HostState;

/// Interval between two exports of the balancer's finished spans.
const SPAN_EXPORT_INTERVAL: Duration = Duration::from_millis(250);

/// The exporters of the metrics and traces of a daemon.
#[derive(Debug)]
pub struct DaemonTelemetry {
    /// Renders the metrics for `/metrics`.
    pub metrics: Arc<MetricsExporter>,
    traces: Option<TraceExporter>,
}

impl DaemonTelemetry {
    /// Starts the metrics and, if the settings name a collector, the trace export.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics exporter cannot be built or the collector's URL
    /// is invalid.
    pub fn start(
        settings: &DaemonSettings,
        node: &Arc<ControlNode>,
    ) -> Result<Self, Report<DaemonError>> {
        let instance = node.process_id().to_string();
        let attributes = ProcessAttributes {
            role: role_name(&settings.role),
            instance: &instance,
            zone: &settings.zone,
        };
        let gauge_node = node.clone();
        let gauges = Arc::new(move || read_gauges(&gauge_node));
        let metrics = MetricsExporter::start(attributes.resource(), gauges)
            .change_context_lazy(|| DaemonError::new("failed to start the metrics"))?;
        let traces = settings
            .traces
            .as_deref()
            .map(|url| TraceExporter::start(url, attributes.resource()))
            .transpose()
            .change_context_lazy(|| DaemonError::new("failed to start the trace export"))?;
        if traces.is_some() {
            tokio::spawn(run_span_export(node.clone()));
        }
        Ok(Self {
            metrics: Arc::new(metrics),
            traces,
        })
    }

    /// Exports the pending spans and stops the trace export.
    pub async fn stop(self, node: &ControlNode) {
        let Some(traces) = self.traces else {
            return;
        };
        relays::export_all_spans(node.clock.now());
        let _ = tokio::task::spawn_blocking(move || traces.stop()).await;
    }
}

/// Exports the balancer's finished spans periodically until the process ends.
async fn run_span_export(node: Arc<ControlNode>) {
    let mut interval = tokio::time::interval(SPAN_EXPORT_INTERVAL);
    loop {
        interval.tick().await;
        relays::export_due_spans(node.clock.now());
    }
}

fn role_name(settings: &RoleSettings) -> &'static str {
    match settings {
        RoleSettings::Balancer(_) => "balancer",
        RoleSettings::Host(_) => "host",
    }
}

fn read_gauges(node: &ControlNode) -> GaugeValues {
    GaugeValues {
        members: count_members(&node.members()),
        config_version: node.view().version,
    }
}

/// Counts the members by role and state.
fn count_members(members: &[MemberEntry]) -> Vec<MemberCount> {
    let mut counts: Vec<MemberCount> = Vec::new();
    for member in members {
        let role = member_role_name(&member.role);
        let state = member_state_name(member.state);
        let position = counts.binary_search_by_key(&(role, state), |item| (item.role, item.state));
        match position {
            Ok(index) => counts[index].count += 1,
            Err(index) => {
                let count = 1;
                counts.insert(index, MemberCount { role, state, count });
            }
        }
    }
    counts
}

fn member_role_name(role: &MemberRole) -> &'static str {
    match role {
        MemberRole::Balancer => "balancer",
        MemberRole::Host { .. } => "host",
    }
}

fn member_state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Draining => "draining",
        MemberState::Gone => "gone",
    }
}

/// Counts a packet that is forwarded to a host. A packet whose header has no incarnation
/// opens a flow and is also counted as an opening packet.
pub fn count_forwarded_packet(header: &ForwardHeader) {
    COUNTERS.packets_forwarded.increment();
    if header.incarnation.is_none() {
        COUNTERS.packets_opening.increment();
    }
}

/// Counts a dropped packet under its reason.
pub fn count_dropped_packet(reason: DropReason) {
    COUNTERS.packets_dropped.increment(drop_label(reason));
}

fn drop_label(reason: DropReason) -> &'static str {
    match reason {
        DropReason::Malformed => "malformed",
        DropReason::UnknownService => "unknown_service",
        DropReason::ForeignToken => "foreign_token",
        DropReason::WrongService => "wrong_service",
        DropReason::NoHost => "no_host",
        DropReason::HostGone => "host_gone",
        DropReason::WrongIncarnation => "wrong_incarnation",
        DropReason::Full => "full",
        DropReason::TooManyHops => "too_many_hops",
    }
}

/// A running request. If it is sampled, packets to its caller carry its trace context.
pub struct TracedRequest<'a> {
    state: &'a HostState,
    traced: Option<(std::net::SocketAddrV4, TraceContext)>,
}

impl<'a> TracedRequest<'a> {
    /// Starts to attach the trace context of `scope` to packets to `caller`. Has no effect
    /// if the request is not sampled or the caller has an IPv6 address.
    pub fn start(state: &'a HostState, caller: SocketAddr, scope: &RequestScope) -> Self {
        let traced = to_ipv4(caller).zip(scope.trace_context());
        if let Some((caller, trace)) = traced {
            CALLER_TRACES.start_request(caller, trace, state.node.clock.now());
        }
        Self { state, traced }
    }

    /// Marks the request as ended. Packets to the caller carry the trace context for a
    /// short time longer, because the end of the response is still being sent.
    pub fn end(self) {
        if let Some((caller, trace)) = self.traced {
            CALLER_TRACES.end_request(caller, trace, self.state.node.clock.now());
        }
    }
}
