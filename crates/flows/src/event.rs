//! Events for logs and metrics: what happened to a flow, to the state of the backend
//! server, to the known peers or to the routes.

use std::net::Ipv4Addr;

use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::ServerState;
use hyssopstair_wire::carried::StoreEra;

use crate::heartbeat::IgnoreReason;
use crate::opening_gate::OpeningDenial;
use crate::opening_gate::OpeningPermit;
use crate::service_proof::ServiceEvidence;
use crate::store_position::StorePosition;

/// An event that is logged and counted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FlowEvent {
    /// A balancer sent the opening packet of a new flow to a host.
    Placed {
        /// The flow.
        flow: FlowKey,
        /// The first candidate.
        host: Ipv4Addr,
        /// Name of the service that the routes select.
        service: String,
        /// Time since the last hello of the candidate, in milliseconds.
        hello_age_millis: u32,
        /// Version of the routes that the balancer uses.
        routes: u64,
        /// Requests in progress at the host, by its last load report.
        in_progress: u16,
        /// Age of that report, in milliseconds.
        report_age_millis: u32,
        /// Number of earlier attempts to place the flow.
        attempt: u8,
    },
    /// A host passed a new flow on because its server is busy or accepts no new flows.
    PassedOn {
        /// The flow.
        flow: FlowKey,
        /// The host that the flow was passed on to.
        host: Ipv4Addr,
        /// State of the server beside the host that passed the flow on.
        server: ServerState,
        /// Requests in progress at the server.
        in_progress: u16,
    },
    /// A host delivered the opening packet of a new flow to its server.
    Offered {
        /// The flow.
        flow: FlowKey,
        /// The balancer that forwarded it.
        balancer: Ipv4Addr,
        /// Why it was allowed.
        permit: OpeningPermit,
        /// Name of the service of the server.
        service: String,
        /// Time since the newest heartbeat of the server, in milliseconds; `None` before the
        /// first.
        heartbeat_age_millis: Option<u32>,
        /// Version of the routes of the host; 0 if it has none.
        routes: u64,
        /// Version of the routes of the balancer.
        balancer_routes: u64,
        /// Requests in progress at the server.
        in_progress: u16,
    },
    /// A host did not deliver the opening packet of a new flow, because it may be for another
    /// service than that of the server.
    Denied {
        /// The flow.
        flow: FlowKey,
        /// The balancer that forwarded it.
        balancer: Ipv4Addr,
        /// Why it was not delivered.
        denial: OpeningDenial,
        /// Name of the service of the server.
        service: String,
        /// Name of the service that the packet is for, if its sender has said.
        offered_service: Option<String>,
        /// Version of the routes of the host; 0 if it has none.
        routes: u64,
        /// Version of the routes of the balancer.
        balancer_routes: u64,
    },
    /// A balancer refused a flow before it opened.
    Refused {
        /// The flow.
        flow: FlowKey,
        /// Why it was refused.
        reason: RefusalReason,
        /// Version of the routes that the balancer uses.
        routes: u64,
    },
    /// An open flow was reset because no server holds it any more.
    Broken {
        /// The flow.
        flow: FlowKey,
        /// Why it was reset.
        reason: BreakReason,
    },
    /// A balancer started to search for the host of a flow.
    Searching {
        /// The flow.
        flow: FlowKey,
        /// Number of known hosts.
        hosts: u16,
    },
    /// A search found no host, and the packet was dropped.
    Unowned {
        /// The flow.
        flow: FlowKey,
        /// Hosts that did not say whether they hold the flow, four at most.
        undecided: Vec<UnresponsiveHost>,
    },
    /// The backend server answered a request.
    Answered {
        /// The flow.
        flow: FlowKey,
        /// Time from the request to the first data of the answer, in microseconds.
        micros: u32,
    },
    /// The backend server did not answer a request, which no longer counts as in
    /// progress.
    Unanswered {
        /// The flow.
        flow: FlowKey,
        /// Time since the request, in milliseconds.
        waited_millis: u32,
        /// Whether the server closed or reset the flow instead of answering.
        is_closed: bool,
    },
    /// The state of the backend server changed.
    Server {
        /// The previous state.
        before: ServerState,
        /// The new state.
        state: ServerState,
        /// What the change was derived from.
        source: ServerStateSource,
    },
    /// A heartbeat showed that a later server has replaced the one beside the host.
    ServerReplaced {
        /// Identifier of the server that has ended.
        former_id: String,
        /// Identifier of the server that runs now.
        server_id: String,
        /// Start of the server that runs now, in milliseconds since the Unix epoch.
        started_unix_millis: u64,
    },
    /// A heartbeat came from another server than the only one before, which may have been held
    /// up, so that either may hold the known flows.
    ServerUncertain {
        /// Identifier of the server that the former heartbeat names.
        former_id: String,
        /// Identifier of the server that the heartbeat names.
        server_id: String,
        /// Start of that server, in milliseconds since the Unix epoch.
        started_unix_millis: u64,
    },
    /// The server beside the host runs another service than before.
    ServiceChanged {
        /// The previous service.
        before: String,
        /// The new service.
        service: String,
    },
    /// It is known which service the server beside the host runs.
    ServiceShown {
        /// The service.
        service: String,
        /// What shows it.
        evidence: ServiceEvidence,
    },
    /// A heartbeat was ignored and not confirmed.
    HeartbeatIgnored {
        /// Identifier of the server that the heartbeat names.
        server_id: String,
        /// Why it was ignored.
        reason: IgnoreReason,
    },
    /// A peer was discovered, or has restarted.
    PeerMet {
        /// Address of the peer.
        peer: Ipv4Addr,
    },
    /// A peer was removed because no message from it arrived for too long.
    PeerLost {
        /// Address of the peer.
        peer: Ipv4Addr,
        /// Time since its last message, in milliseconds.
        silent_millis: u32,
    },
    /// A newer version of the routes is in force.
    Routes {
        /// The version.
        version: u64,
        /// Number of routes.
        routes: usize,
        /// Where they came from.
        source: RouteSource,
    },
    /// The flows that the former process of a host had saved were read.
    FormerFlows {
        /// Number of flows.
        flows: usize,
        /// Time since they were saved, in milliseconds; `None` if they seem to have been
        /// saved in the future.
        age_millis: Option<u64>,
        /// Identifier of the server that held them.
        server_id: String,
        /// What was decided about them.
        verdict: FormerFlowsVerdict,
    },
    /// The store has come back from a copy; what was written to it since is gone.
    StoreRestored {
        /// The era of the store.
        era: StoreEra,
        /// The era that was known before.
        former_era: StoreEra,
    },
    /// Operators have emptied availability zones, or have taken that back.
    ZonesEvacuated {
        /// The zones that are emptied now.
        zones: Vec<String>,
        /// The zones that were emptied before.
        former_zones: Vec<String>,
        /// Position of the store at which that is known.
        position: StorePosition,
        /// Where it is known from.
        source: RouteSource,
    },
    /// A host did not accept a new flow because operators have emptied its zone.
    KeptAway {
        /// The flow.
        flow: FlowKey,
        /// The balancer that forwarded it, which did not know of the request yet.
        balancer: Ipv4Addr,
    },
    /// A host did not accept a new flow because its server is cold and has got as many as it
    /// bears.
    ColdLimited {
        /// The flow.
        flow: FlowKey,
    },
    /// A host has found that its server bears more requests in progress, or fewer.
    PaceChanged {
        /// Number of requests in progress up to which the server gets new flows.
        limit: u16,
        /// Why it changed.
        cause: PaceChangeCause,
    },
    /// A message to a peer took a detour, because the peer was not reached directly.
    Detoured {
        /// The peer.
        peer: Ipv4Addr,
        /// The process that passes the message on.
        relay: Ipv4Addr,
    },
    /// A message between two other processes was passed on.
    Relayed {
        /// The process that has sent it.
        origin: Ipv4Addr,
        /// The process that it is for.
        target: Ipv4Addr,
    },
    /// A datagram was dropped.
    Dropped {
        /// Why it was dropped.
        reason: DropReason,
    },
}

/// A host that did not say whether it holds a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnresponsiveHost {
    /// Address of the host.
    pub host: Ipv4Addr,
    /// Time since its last message, in milliseconds; `None` if the host is no longer
    /// known.
    pub silent_millis: Option<u32>,
}

/// The kind of an event. Each kind has a counter of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// New flows sent to hosts.
    Placed,
    /// New flows passed on to other hosts.
    PassedOn,
    /// New flows delivered to the backend server.
    Offered,
    /// New flows that a host did not deliver because of the service.
    Denied,
    /// Flows refused before they opened.
    Refused,
    /// Open flows reset.
    Broken,
    /// Searches for the host of a flow.
    Searching,
    /// Searches that found no host.
    Unowned,
    /// Requests answered by the backend server.
    Answered,
    /// Requests that the backend server did not answer.
    Unanswered,
    /// Changes of the backend server's state.
    Server,
    /// Peers discovered.
    PeerMet,
    /// Peers removed after a time of silence.
    PeerLost,
    /// Versions of routes put in force.
    Routes,
    /// Datagrams dropped.
    Dropped,
    /// Lists of flows of a former process.
    FormerFlows,
    /// Returns of the store from a copy.
    StoreRestored,
    /// Changes of the emptied zones.
    ZonesEvacuated,
    /// New flows that a host of an emptied zone did not accept.
    KeptAway,
    /// New flows that a host did not accept because its server is cold.
    ColdLimited,
    /// Changes of the number of requests that a server bears.
    PaceChanged,
    /// Messages sent through another process.
    Detoured,
    /// Messages passed on for two other processes.
    Relayed,
    /// Replacements of the backend server by a later one.
    ServerReplaced,
    /// Heartbeats of another server than the only one before.
    ServerUncertain,
    /// Changes of the service that the backend server runs.
    ServiceChanged,
    /// Times at which it became known which service the backend server runs.
    ServiceShown,
    /// Heartbeats ignored.
    HeartbeatIgnored,
}

impl EventKind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [Self; 28] = [
        Self::Placed,
        Self::PassedOn,
        Self::Offered,
        Self::Denied,
        Self::Refused,
        Self::Broken,
        Self::Searching,
        Self::Unowned,
        Self::Answered,
        Self::Unanswered,
        Self::Server,
        Self::PeerMet,
        Self::PeerLost,
        Self::Routes,
        Self::Dropped,
        Self::FormerFlows,
        Self::StoreRestored,
        Self::ZonesEvacuated,
        Self::KeptAway,
        Self::ColdLimited,
        Self::PaceChanged,
        Self::Detoured,
        Self::Relayed,
        Self::ServerReplaced,
        Self::ServerUncertain,
        Self::ServiceChanged,
        Self::ServiceShown,
        Self::HeartbeatIgnored,
    ];

    /// Returns the name of the counter.
    pub fn metric_name(self) -> &'static str {
        match self {
            Self::Placed => "hyssopstair.flow.placed",
            Self::PassedOn => "hyssopstair.flow.passed_on",
            Self::Offered => "hyssopstair.flow.offered",
            Self::Denied => "hyssopstair.flow.denied",
            Self::Refused => "hyssopstair.flow.refused",
            Self::Broken => "hyssopstair.flow.broken",
            Self::Searching => "hyssopstair.flow.searches",
            Self::Unowned => "hyssopstair.flow.unowned",
            Self::Answered => "hyssopstair.request.answered",
            Self::Unanswered => "hyssopstair.request.unanswered",
            Self::Server => "hyssopstair.server.changes",
            Self::PeerMet => "hyssopstair.peer.met",
            Self::PeerLost => "hyssopstair.peer.lost",
            Self::Routes => "hyssopstair.routes.changes",
            Self::Dropped => "hyssopstair.datagram.dropped",
            Self::FormerFlows => "hyssopstair.flow.former_lists",
            Self::StoreRestored => "hyssopstair.store.restores",
            Self::ZonesEvacuated => "hyssopstair.zones.changes",
            Self::KeptAway => "hyssopstair.flow.kept_away",
            Self::ColdLimited => "hyssopstair.flow.cold_limited",
            Self::PaceChanged => "hyssopstair.server.pace_changes",
            Self::Detoured => "hyssopstair.message.detoured",
            Self::Relayed => "hyssopstair.message.relayed",
            Self::ServerReplaced => "hyssopstair.server.replacements",
            Self::ServerUncertain => "hyssopstair.server.uncertain",
            Self::ServiceChanged => "hyssopstair.server.service_changes",
            Self::ServiceShown => "hyssopstair.server.shown_services",
            Self::HeartbeatIgnored => "hyssopstair.server.ignored_heartbeats",
        }
    }

    /// Returns the help text of the counter.
    pub fn metric_description(self) -> &'static str {
        match self {
            Self::Placed => "New flows sent to hosts",
            Self::PassedOn => "New flows passed on to other hosts",
            Self::Offered => "New flows delivered to the backend server",
            Self::Denied => "New flows not delivered because of the service of the server",
            Self::Refused => "Flows refused before they opened",
            Self::Broken => "Open flows reset",
            Self::Searching => "Searches for the host of a flow",
            Self::Unowned => "Searches that found no host",
            Self::Answered => "Requests answered by the backend server",
            Self::Unanswered => "Requests that the backend server did not answer",
            Self::Server => "Changes of the backend server's state",
            Self::PeerMet => "Peers discovered",
            Self::PeerLost => "Peers removed after a time of silence",
            Self::Routes => "Versions of routes put in force",
            Self::Dropped => "Datagrams dropped",
            Self::FormerFlows => "Lists of flows that a former process had saved",
            Self::StoreRestored => "Returns of the store from a copy",
            Self::ZonesEvacuated => "Changes of the emptied availability zones",
            Self::KeptAway => "New flows that a host of an emptied zone did not accept",
            Self::ColdLimited => "New flows that a host with a cold server did not accept",
            Self::PaceChanged => "Changes of the number of requests that the server bears",
            Self::Detoured => "Messages sent to a peer through another process",
            Self::Relayed => "Messages passed on for two other processes",
            Self::ServerReplaced => "Replacements of the backend server by a later one",
            Self::ServerUncertain => {
                "Heartbeats of another backend server than the only one before"
            }
            Self::ServiceChanged => "Changes of the service that the backend server runs",
            Self::ServiceShown => "Times at which the service of the backend server became known",
            Self::HeartbeatIgnored => "Heartbeats that were ignored and not confirmed",
        }
    }
}

impl FlowEvent {
    /// Returns the kind of the event.
    pub fn kind(&self) -> EventKind {
        match self {
            Self::Placed { .. } => EventKind::Placed,
            Self::PassedOn { .. } => EventKind::PassedOn,
            Self::Offered { .. } => EventKind::Offered,
            Self::Denied { .. } => EventKind::Denied,
            Self::Refused { .. } => EventKind::Refused,
            Self::Broken { .. } => EventKind::Broken,
            Self::Searching { .. } => EventKind::Searching,
            Self::Unowned { .. } => EventKind::Unowned,
            Self::Answered { .. } => EventKind::Answered,
            Self::Unanswered { .. } => EventKind::Unanswered,
            Self::Server { .. } => EventKind::Server,
            Self::PeerMet { .. } => EventKind::PeerMet,
            Self::PeerLost { .. } => EventKind::PeerLost,
            Self::Routes { .. } => EventKind::Routes,
            Self::Dropped { .. } => EventKind::Dropped,
            Self::FormerFlows { .. } => EventKind::FormerFlows,
            Self::StoreRestored { .. } => EventKind::StoreRestored,
            Self::ZonesEvacuated { .. } => EventKind::ZonesEvacuated,
            Self::KeptAway { .. } => EventKind::KeptAway,
            Self::ColdLimited { .. } => EventKind::ColdLimited,
            Self::PaceChanged { .. } => EventKind::PaceChanged,
            Self::Detoured { .. } => EventKind::Detoured,
            Self::Relayed { .. } => EventKind::Relayed,
            Self::ServerReplaced { .. } => EventKind::ServerReplaced,
            Self::ServerUncertain { .. } => EventKind::ServerUncertain,
            Self::ServiceChanged { .. } => EventKind::ServiceChanged,
            Self::ServiceShown { .. } => EventKind::ServiceShown,
            Self::HeartbeatIgnored { .. } => EventKind::HeartbeatIgnored,
        }
    }
}

/// Where a version of the routes came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteSource {
    /// The platform's store.
    Store,
    /// Another process.
    Peer,
}

/// Why a flow was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No route matches the target address.
    NoRoute,
    /// The service has no host that the flow may be offered to.
    NoHost,
    /// All hosts that were asked are at capacity or draining.
    NoCapacity,
    /// All hosts that the flow might be offered to are in emptied availability zones.
    ZoneEvacuated,
    /// The flow waited for a host when the process ended.
    Stopping,
}

/// Why an open flow was reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakReason {
    /// The server that held the flow has ended.
    ServerEnded,
    /// The server that held the flow, by the list of a former process, has been replaced.
    ServerReplaced,
    /// No server holds the flow any more: its server returned a packet of it, or every host
    /// that was asked in a search denied it.
    ServerForgot,
}

/// What a host decided about the flows that its former process had saved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FormerFlowsVerdict {
    /// Their server has ended, and the flows are reset.
    Reset,
    /// Their server still runs, and the flows are expected to continue.
    Expected,
    /// The list is from an instance of another service that had the same address.
    OtherService,
    /// The list is older than any flow, or the clock was set back since.
    Expired,
    /// The server that runs now seems to be an earlier one.
    Undecided,
}

/// The evidence for a state of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerStateSource {
    /// A heartbeat.
    Heartbeat,
    /// A connection attempt.
    Connect,
}

/// Why a host accepts more or fewer requests in progress for its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceChangeCause {
    /// The server has just started.
    Started,
    /// The server answered a request in its usual time.
    GoodAnswer,
    /// An answer took several times the usual time.
    SlowAnswer,
    /// Several answers in a row took a fraction of the usual time, as errors do.
    FastAnswers,
    /// A request has waited for many times the usual time.
    Hanging,
    /// The server closed a flow instead of answering, or did not answer at all.
    Failure,
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// It is not a valid packet or message, or not one that its sender may send.
    Malformed,
    /// It opens a flow, and no routes are known yet.
    NotReady,
    /// It is a retransmitted opening packet of a flow that has already opened.
    Repeated,
    /// It is a message of a kind that this build does not know.
    UnknownKind,
    /// It is to be passed on, and the process has passed on as much as it may.
    RelayLimit,
}
