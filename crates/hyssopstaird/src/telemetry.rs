//! Connects the parts of a daemon with logs, metrics and traces.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_routing::balancer::DropReason;
use hyssopstair_rules::settings::DaemonSettings;
use hyssopstair_rules::settings::RoleSettings;
use hyssopstair_telemetry::callers::CALLERS;
use hyssopstair_telemetry::counts::COUNTS;
use hyssopstair_telemetry::metrics::GaugeReading;
use hyssopstair_telemetry::metrics::MemberCount;
use hyssopstair_telemetry::metrics::MetricsReader;
use hyssopstair_telemetry::relays;
use hyssopstair_telemetry::requests::RequestScope;
use hyssopstair_telemetry::traces::ProcessNames;
use hyssopstair_telemetry::traces::TraceExport;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::entry::to_ipv4;
use hyssopstair_wire::packet::ForwardHeader;
use hyssopstair_wire::packet::TraceContext;

use crate::control::node::ControlNode;
use crate::error::DaemonError;
use crate::host::state::HostState;

/// Time between two looks at the balancer's spans that are due.
const RELAY_TICK: Duration = Duration::from_millis(250);

/// The metrics and traces of a daemon.
#[derive(Debug)]
pub struct DaemonTelemetry {
    /// The metrics.
    pub metrics: Arc<MetricsReader>,
    traces: Option<TraceExport>,
}

impl DaemonTelemetry {
    /// Starts metrics, and traces when the settings name a collector.
    ///
    /// # Errors
    ///
    /// Returns an error when the collector's URL cannot be used.
    pub fn start(
        settings: &DaemonSettings,
        node: &Arc<ControlNode>,
    ) -> Result<Self, Report<DaemonError>> {
        let instance = node.process_id().to_string();
        let names = ProcessNames {
            role: role_name(&settings.role),
            instance: &instance,
            zone: &settings.zone,
        };
        let source = node.clone();
        let gauges = Arc::new(move || read_gauges(&source));
        let metrics = MetricsReader::start(names.resource(), gauges)
            .change_context_lazy(|| DaemonError::new("failed to start metrics"))?;
        let traces = settings
            .traces
            .as_deref()
            .map(|url| TraceExport::start(url, names.resource()))
            .transpose()
            .change_context_lazy(|| DaemonError::new("failed to start traces"))?;
        if traces.is_some() {
            tokio::spawn(export_relays(node.clone()));
        }
        Ok(Self {
            metrics: Arc::new(metrics),
            traces,
        })
    }

    /// Exports the spans that wait.
    pub async fn stop(self, node: &ControlNode) {
        let Some(traces) = self.traces else {
            return;
        };
        relays::export_all(node.clock.now());
        let _ = tokio::task::spawn_blocking(move || traces.stop()).await;
    }
}

async fn export_relays(node: Arc<ControlNode>) {
    let mut interval = tokio::time::interval(RELAY_TICK);
    loop {
        interval.tick().await;
        relays::export_due(node.clock.now());
    }
}

fn role_name(settings: &RoleSettings) -> &'static str {
    match settings {
        RoleSettings::Balancer(_) => "balancer",
        RoleSettings::Host(_) => "host",
    }
}

fn read_gauges(node: &ControlNode) -> GaugeReading {
    GaugeReading {
        members: count_members(&node.members()),
        config_version: node.view().version,
    }
}

fn count_members(members: &[MemberEntry]) -> Vec<MemberCount> {
    let mut counts: Vec<MemberCount> = Vec::new();
    for member in members {
        let role = member_role(&member.role);
        let state = member_state(member.state);
        let found = counts.binary_search_by_key(&(role, state), |item| (item.role, item.state));
        match found {
            Ok(index) => counts[index].count += 1,
            Err(index) => {
                let count = 1;
                counts.insert(index, MemberCount { role, state, count });
            }
        }
    }
    counts
}

fn member_role(role: &MemberRole) -> &'static str {
    match role {
        MemberRole::Balancer => "balancer",
        MemberRole::Host { .. } => "host",
    }
}

fn member_state(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Draining => "draining",
        MemberState::Gone => "gone",
    }
}

/// Counts a packet that is sent on to a host.
pub fn count_forwarded(header: &ForwardHeader) {
    COUNTS.packets_forwarded.increment();
    if header.incarnation.is_none() {
        COUNTS.packets_opening.increment();
    }
}

/// Counts a packet that is dropped.
pub fn count_dropped(reason: DropReason) {
    COUNTS.packets_dropped.increment(drop_label(reason));
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

/// A request whose packets to the caller name its trace while it runs.
pub struct TracedRequest<'a> {
    state: &'a HostState,
    traced: Option<(std::net::SocketAddrV4, TraceContext)>,
}

impl<'a> TracedRequest<'a> {
    /// Begins; does nothing for a request that is not sampled.
    pub fn begin(state: &'a HostState, caller: SocketAddr, scope: &RequestScope) -> Self {
        let traced = to_ipv4(caller).zip(scope.trace());
        if let Some((caller, trace)) = traced {
            CALLERS.begin(caller, trace, state.node.clock.now());
        }
        Self { state, traced }
    }

    /// Ends: packets that are still under way belong to the trace for a while.
    pub fn end(self) {
        if let Some((caller, trace)) = self.traced {
            CALLERS.end(caller, trace, self.state.node.clock.now());
        }
    }
}
