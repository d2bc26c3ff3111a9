//! What happened to a flow or to what a process believes, for logs and metrics.

use std::net::Ipv4Addr;

use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::ServerState;

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FlowEvent {
    /// A balancer sent a new flow to a host.
    Placed {
        /// The flow.
        flow: FlowKey,
        /// The first host that is asked.
        host: Ipv4Addr,
        /// Version of the routes.
        routes: u64,
        /// Requests in progress at the host, by its last report.
        in_progress: u16,
        /// Age of that report, in milliseconds.
        report_age_millis: u32,
        /// Hosts asked before, for a flow that was not taken at once.
        attempt: u8,
    },
    /// A host passed a new flow on, as its server is busy or takes none.
    PassedOn {
        /// The flow.
        flow: FlowKey,
        /// The next host.
        host: Ipv4Addr,
        /// What the server does.
        server: ServerState,
        /// Requests in progress at the server.
        in_progress: u16,
    },
    /// A host handed a new flow to its server.
    Offered {
        /// The flow.
        flow: FlowKey,
        /// The balancer that it came through.
        balancer: Ipv4Addr,
        /// Requests in progress at the server.
        in_progress: u16,
    },
    /// A flow was refused; it has not opened.
    Refused {
        /// The flow.
        flow: FlowKey,
        /// Why.
        reason: RefusalReason,
        /// Version of the routes.
        routes: u64,
    },
    /// A caller was told that its open flow is gone.
    Broken {
        /// The flow.
        flow: FlowKey,
        /// Why.
        reason: BreakReason,
    },
    /// A balancer does not know the host of a flow and looks for it.
    Searching {
        /// The flow.
        flow: FlowKey,
        /// Hosts that are known.
        hosts: u16,
    },
    /// No host was found for a packet, and the packet was dropped.
    Unowned {
        /// The flow.
        flow: FlowKey,
        /// Hosts that did not answer, four at most.
        undecided: Vec<UnresponsiveHost>,
    },
    /// A host measured how long its server took to answer.
    Answered {
        /// The flow.
        flow: FlowKey,
        /// Time from the request to the first data of the answer.
        micros: u32,
    },
    /// A server did not answer a request, and it is not counted any more.
    Unanswered {
        /// The flow.
        flow: FlowKey,
        /// Time since the request, in milliseconds.
        waited_millis: u32,
        /// Whether the server has closed or reset the flow.
        is_closed: bool,
    },
    /// The state of the server beside a host changed.
    Server {
        /// The state before.
        before: ServerState,
        /// The state now.
        state: ServerState,
        /// What told so.
        source: ServerStateSource,
    },
    /// A peer was met, or met again after a restart.
    PeerMet {
        /// Its address.
        peer: Ipv4Addr,
    },
    /// A peer was not heard of for long and was forgotten.
    PeerLost {
        /// Its address.
        peer: Ipv4Addr,
        /// Time since it was heard last, in milliseconds.
        silent_millis: u32,
    },
    /// New routes are in force.
    Routes {
        /// Their version.
        version: u64,
        /// How many there are.
        routes: usize,
    },
    /// A datagram was dropped.
    Dropped {
        /// Why.
        reason: DropReason,
    },
}

/// A host that did not say whether it holds a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnresponsiveHost {
    /// Its address.
    pub host: Ipv4Addr,
    /// Time since it was heard last, in milliseconds; nothing if it is not known
    /// any more.
    pub silent_millis: Option<u32>,
}

/// The kind of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// New flows sent to hosts.
    Placed,
    /// New flows passed on to other hosts.
    PassedOn,
    /// New flows handed to the server.
    Offered,
    /// Flows refused before they opened.
    Refused,
    /// Open flows reset.
    Broken,
    /// Searches for the host of a flow.
    Searching,
    /// Searches that found no host.
    Unowned,
    /// Requests answered by the server.
    Answered,
    /// Requests that the server did not answer.
    Unanswered,
    /// Changes of the server's state.
    Server,
    /// Peers met.
    PeerMet,
    /// Peers forgotten.
    PeerLost,
    /// Versions of routes put in force.
    Routes,
    /// Datagrams dropped.
    Dropped,
}

impl EventKind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [Self; 14] = [
        Self::Placed,
        Self::PassedOn,
        Self::Offered,
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
    ];

    /// Returns the name of the kind's counter.
    pub fn metric_name(self) -> &'static str {
        match self {
            Self::Placed => "hyssopstair.flow.placed",
            Self::PassedOn => "hyssopstair.flow.passed_on",
            Self::Offered => "hyssopstair.flow.offered",
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
        }
    }

    /// Returns what the counter counts.
    pub fn metric_description(self) -> &'static str {
        match self {
            Self::Placed => "New flows sent to hosts",
            Self::PassedOn => "New flows passed on to other hosts",
            Self::Offered => "New flows handed to the server",
            Self::Refused => "Flows refused before they opened",
            Self::Broken => "Open flows reset",
            Self::Searching => "Searches for the host of a flow",
            Self::Unowned => "Searches that found no host",
            Self::Answered => "Requests answered by the server",
            Self::Unanswered => "Requests that the server did not answer",
            Self::Server => "Changes of the server's state",
            Self::PeerMet => "Peers met",
            Self::PeerLost => "Peers forgotten",
            Self::Routes => "Versions of routes put in force",
            Self::Dropped => "Datagrams dropped",
        }
    }
}

impl FlowEvent {
    /// Returns the kind.
    pub fn kind(&self) -> EventKind {
        match self {
            Self::Placed { .. } => EventKind::Placed,
            Self::PassedOn { .. } => EventKind::PassedOn,
            Self::Offered { .. } => EventKind::Offered,
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
        }
    }
}

/// Why a flow was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No route has the address.
    NoRoute,
    /// The service has no host.
    NoHost,
    /// All hosts that were asked are full or leaving.
    NoCapacity,
}

/// Why an open flow was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakReason {
    /// The server that held it has ended.
    ServerEnded,
    /// The server says that it does not hold it.
    ServerForgot,
}

/// What told a host about its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerStateSource {
    /// A heartbeat.
    Heartbeat,
    /// A health check.
    HealthCheck,
    /// An attempt to connect.
    Connect,
}

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// It is no packet or message, or one that cannot come from there.
    Malformed,
    /// It opens a flow, and nothing is known yet that could serve it.
    NotReady,
    /// It is a late copy of the opening packet of a flow that has opened.
    Repeated,
}
