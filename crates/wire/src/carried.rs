//! Messages between processes that carry flows without ending them.
//!
//! Balancers and hosts exchange datagrams on one inner port, the same on every
//! instance, so a process is named by its IP address. A datagram is one
//! [`CarryMessage`]; those that carry a packet of a flow have it behind the
//! message, byte for byte as its sender wrote it.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use arrayvec::ArrayVec;
use serde::Deserialize;
use serde::Serialize;

/// Hosts that one message lists at most. It bounds the message, not the service:
/// a longer list is worked through in several rounds.
pub const MAX_CANDIDATES: usize = 8;

/// Flows that one message lists at most, so that it stays below 1,200 bytes.
pub const MAX_BATCH_FLOWS: usize = 80;

/// Questions that one message lists at most, so that it stays below 1,200 bytes.
pub const MAX_QUESTIONS: usize = 56;

/// Bytes of an encoded route table in one datagram.
pub const ROUTE_PART_BYTES: usize = 1_100;

/// The two ends of a flow, as the caller's packets name them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FlowKey {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The address and port that the caller sends to.
    pub target: SocketAddrV4,
}

/// A flow whose host is looked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowQuestion {
    /// The flow.
    pub flow: FlowKey,
    /// Position in the server's stream up to which the caller has everything;
    /// nothing if its packet does not say.
    pub acknowledged: Option<u32>,
}

/// Hosts in the order in which they are to be tried.
pub type CandidateList = ArrayVec<Ipv4Addr, MAX_CANDIDATES>;

/// The start of a process in milliseconds since the Unix epoch; a later start at
/// the same address has a higher one, unless the time of day was set back.
pub type ProcessStart = u64;

/// Whether a backend server takes new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// Nothing is known about the server yet.
    Unknown,
    /// It takes new flows.
    Ready,
    /// It keeps its flows and takes no new ones.
    Draining,
    /// It has ended.
    Down,
}

/// How busy a host is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CarryLoad {
    /// Requests that the server works on or will get within a round trip.
    pub in_progress: u16,
    /// Mean of the requests in progress over the last second, in sixteenths.
    pub mean_sixteenths: u16,
    /// Requests that the server works on at the same time.
    pub slots: u16,
    /// Open flows.
    pub flows: u16,
    /// Smoothed time from a request to the first data of its answer, in
    /// microseconds; 0 while none was seen.
    pub answer_micros: u32,
}

/// What a host says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostHello {
    /// Name of the service.
    pub service: String,
    /// What its server does.
    pub server: ServerState,
    /// How busy it is.
    pub load: CarryLoad,
    /// Whether it has lost the table of flows that its server holds.
    pub is_relearning: bool,
    /// Whether the server has started a short while ago.
    pub is_server_new: bool,
    /// Whether the process is about to stop.
    pub is_stopping: bool,
}

/// What a balancer says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerHello {
    /// Whether it is about to stop.
    pub is_stopping: bool,
    /// Whether it asks for the tables of the others.
    pub wants_flows: bool,
    /// How many hosts with a server it has heard lately.
    pub hosts: u16,
    /// Some other balancers, so that everybody gets to know all.
    pub balancers: ArrayVec<Ipv4Addr, MAX_HELLO_BALANCERS>,
}

/// Balancers that one hello names at most.
pub const MAX_HELLO_BALANCERS: usize = 16;

/// The role of the sender, with what belongs to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HelloRole {
    /// A process beside a backend server.
    Host(HostHello),
    /// A process that callers' packets arrive at.
    Balancer(BalancerHello),
}

/// Greets a process, and repeats what may have changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloMessage {
    /// When the sender started.
    pub started: ProcessStart,
    /// Counts the sender's hellos, so that a late one is known.
    pub number: u32,
    /// Name of the sender's availability zone.
    pub zone: String,
    /// Version of the routes that the sender goes by; 0 while it has none.
    pub routes: u64,
    /// Whether the sender asks for a hello in return.
    pub wants_answer: bool,
    /// The sender's role.
    pub role: HelloRole,
}

/// Why a packet is sent to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardPurpose {
    /// It opens a flow; each host may pass it on to the next candidate.
    Open,
    /// It opens a flow, and was passed back to the least busy of those asked.
    OpenHere,
    /// The balancer has seen the flow at this host.
    Owner,
    /// The balancer looks for the host of the flow; one that has lost its table
    /// hands the packet to its server to see whether it holds the flow.
    Probe,
}

/// Goes before a packet on its way to a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CarryHeader {
    /// Why it is sent.
    pub purpose: ForwardPurpose,
    /// The balancer that got it from the caller.
    pub balancer: Ipv4Addr,
    /// Version of the routes by which the balancer sent it.
    pub routes: u64,
    /// The least busy host so far that could take the flow, and its requests.
    pub best: Option<(Ipv4Addr, u16)>,
    /// Hosts to try next.
    pub next: CandidateList,
}

/// A message between processes that carry flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CarryMessage {
    /// Membership, load and versions.
    Hello(HelloMessage),
    /// A caller's packet, which follows.
    Forward(CarryHeader),
    /// The sender's server holds the flow, or has just taken it.
    Owned {
        /// The flow.
        flow: FlowKey,
        /// How busy the sender is.
        load: CarryLoad,
    },
    /// None of the candidates took the packet, which follows.
    Returned {
        /// Why it had been sent.
        purpose: ForwardPurpose,
    },
    /// Asks which of some flows the receiver's server holds.
    Locate {
        /// The flows, [`MAX_QUESTIONS`] at most.
        questions: Vec<FlowQuestion>,
    },
    /// The sender's server does not hold flows that were searched for.
    NotHeld {
        /// The flows.
        flows: Vec<FlowKey>,
        /// Whether that is certain.
        is_certain: bool,
    },
    /// Flows that `owner` holds, from the table of the sender.
    Flows {
        /// The host of the flows.
        owner: Ipv4Addr,
        /// The flows, [`MAX_BATCH_FLOWS`] at most.
        flows: Vec<FlowKey>,
    },
    /// Asks for routes newer than `known`.
    RoutesWanted {
        /// The newest version that the sender has; 0 for none.
        known: u64,
    },
    /// A part of an encoded route table, which follows.
    RoutesPart {
        /// Version of the routes.
        version: u64,
        /// Number of the part, from 0.
        part: u16,
        /// How many parts there are.
        parts: u16,
    },
}

impl CarryMessage {
    /// Appends the message to `buffer`.
    pub fn encode(&self, buffer: &mut Vec<u8>) {
        // Writing to a vector cannot fail; an empty datagram is refused by whoever gets it.
        if let Ok(bytes) = postcard::to_extend(self, std::mem::take(buffer)) {
            *buffer = bytes;
        }
    }

    /// Reads a message, and returns it with the bytes behind it; nothing when it
    /// is malformed.
    pub fn decode(datagram: &[u8]) -> Option<(Self, &[u8])> {
        postcard::take_from_bytes(datagram).ok()
    }
}
