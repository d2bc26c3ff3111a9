//! Messages of the carry mode, in which processes forward the packets of a flow
//! without terminating its connection.
//!
//! Balancers and hosts exchange datagrams on an inner port that is the same on
//! every instance, so the IP address alone identifies a process. Each datagram
//! holds one [`CarryMessage`]. If the message carries a packet of a flow, the
//! packet follows it unmodified.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use arrayvec::ArrayVec;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of candidate hosts in one message. A service may have more
/// hosts; they are tried in several rounds.
pub const MAX_CANDIDATES: usize = 8;

/// Maximum number of flows in one message, which keeps it below 1,200 bytes.
pub const MAX_BATCH_FLOWS: usize = 80;

/// Maximum number of flow questions in one message, which keeps it below 1,200
/// bytes.
pub const MAX_QUESTIONS: usize = 56;

/// Maximum number of bytes of an encoded route table in one datagram.
pub const ROUTE_PART_BYTES: usize = 1_100;

/// Identifies a flow by the source and destination of the caller's packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FlowKey {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The destination address and port.
    pub target: SocketAddrV4,
}

/// A query about a flow whose host is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowQuestion {
    /// The flow.
    pub flow: FlowKey,
    /// The acknowledgment number of the caller's packet, which is a position in
    /// the server's stream; `None` if the packet has none.
    pub acknowledged: Option<u32>,
}

/// Candidate hosts in the order in which they are tried.
pub type CandidateList = ArrayVec<Ipv4Addr, MAX_CANDIDATES>;

/// The start time of a process in milliseconds since the Unix epoch. It increases
/// with each restart at the same address, unless the system clock was set back.
pub type ProcessStart = u64;

/// A number that the platform's store reports, and that rises each time that the store
/// comes back from a copy.
pub type StoreEra = u64;

/// The state of a backend server, as known to its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// The state has not been determined yet.
    Unknown,
    /// The server accepts new flows.
    Ready,
    /// The server accepts no new flows and keeps its open ones.
    Draining,
    /// The server has ended.
    Down,
}

/// The load of a host and its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CarryLoad {
    /// Requests that the server is processing or is expected to receive within
    /// one round trip.
    pub in_progress: u16,
    /// Mean number of requests in progress over the last second, in sixteenths.
    pub mean_sixteenths: u16,
    /// Number of requests that the server can process concurrently.
    pub slots: u16,
    /// Number of open flows.
    pub flows: u16,
    /// Smoothed time from a request to the first data of its answer, in
    /// microseconds; 0 until one has been measured.
    pub answer_micros: u32,
}

/// The state that a host reports in a hello.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostHello {
    /// The name of the service.
    pub service: String,
    /// The state of the backend server.
    pub server: ServerState,
    /// The current load.
    pub load: CarryLoad,
    /// Whether the host has lost its flow table, for example by a restart, while
    /// its server may still hold flows.
    pub is_relearning: bool,
    /// Whether the server started recently.
    pub is_server_new: bool,
    /// Whether the process is stopping.
    pub is_stopping: bool,
}

/// The state that a balancer reports in a hello.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerHello {
    /// Whether the process is stopping.
    pub is_stopping: bool,
    /// Whether the balancer requests the flow tables of other processes.
    pub wants_flows: bool,
    /// Number of hosts that the balancer does not suspect and whose server is not
    /// reported as down.
    pub hosts: u16,
    /// Addresses of other balancers, so that all processes learn of all balancers.
    pub balancers: ArrayVec<Ipv4Addr, MAX_HELLO_BALANCERS>,
}

/// Maximum number of balancers listed in one hello.
pub const MAX_HELLO_BALANCERS: usize = 16;

/// The role of the sender of a hello, with the state that belongs to the role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HelloRole {
    /// The process runs beside a backend server.
    Host(HostHello),
    /// The process receives the packets of callers.
    Balancer(BalancerHello),
}

/// Introduces a process to another one and periodically reports its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloMessage {
    /// The start time of the sender.
    pub started: ProcessStart,
    /// Sequence number of the sender's hellos, by which stale ones are detected.
    pub number: u32,
    /// The name of the sender's availability zone.
    pub zone: String,
    /// Version of the sender's route table; 0 if it has none.
    pub routes: u64,
    /// Whether the receiver should answer with a hello.
    pub wants_answer: bool,
    /// The role and state of the sender.
    pub role: HelloRole,
}

/// The availability zones that operators have emptied, at a position of the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationNotice {
    /// The era of the position; 0 if the store reports none.
    pub era: StoreEra,
    /// The revision of the position, within the era.
    pub revision: u64,
    /// Names of the zones, at most [`MAX_EVACUATED_ZONES`], ascending.
    pub zones: Vec<String>,
}

/// Maximum number of emptied zones, so that a hello that names them fits into a datagram.
pub const MAX_EVACUATED_ZONES: usize = 16;

/// Maximum length of the name of an emptied zone, in bytes.
pub const MAX_ZONE_NAME_BYTES: usize = 63;

/// A version of the messages between processes. Hellos name the newest one that their sender
/// understands, and a pair of processes speaks the lower of its two.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PeerVersion(pub u16);

impl PeerVersion {
    /// Builds whose hellos name no version.
    pub const UNNAMED: Self = Self(1);
    /// Adds [`CarryMessage::Detour`].
    pub const DETOURS: Self = Self(2);
    /// Adds [`CarryMessage::Offer`].
    pub const OFFERS: Self = Self(3);
    /// The newest version that this build understands.
    pub const CURRENT: Self = Self::OFFERS;
}

impl Default for PeerVersion {
    fn default() -> Self {
        Self::UNNAMED
    }
}

/// Fields that follow a hello. A process that does not know them ignores the bytes after the
/// message, and one that misses them uses the defaults, so that processes of different builds
/// understand each other.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HelloExtension {
    /// The newest era of the store that the sender knows, if the store reports any.
    pub store_era: Option<StoreEra>,
    /// The emptied zones, if the sender knows them.
    pub evacuation: Option<EvacuationNotice>,
    /// The newest version of the messages that the sender understands.
    pub version: PeerVersion,
    /// Time since the last message of the receiver arrived at the sender, in milliseconds;
    /// `None` if none has arrived or the sender does not say.
    pub silence_millis: Option<u32>,
}

impl HelloExtension {
    /// Returns the encoded fields, one after the other.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding into a vector cannot fail; if it did, the receiver would use the defaults.
        let fields = (
            self.store_era,
            &self.evacuation,
            self.version,
            self.silence_millis,
        );
        postcard::to_stdvec(&fields).unwrap_or_default()
    }

    /// Decodes the bytes after a hello. A field that is missing or malformed, and those that
    /// follow it, have their defaults.
    pub fn decode(bytes: &[u8]) -> Self {
        let mut extension = Self::default();
        let Ok((store_era, rest)) = postcard::take_from_bytes(bytes) else {
            return extension;
        };
        extension.store_era = store_era;
        let Ok((evacuation, rest)) = postcard::take_from_bytes(rest) else {
            return extension;
        };
        extension.evacuation = evacuation;
        let Ok((version, rest)) = postcard::take_from_bytes(rest) else {
            return extension;
        };
        extension.version = version;
        if let Ok((silence_millis, _)) = postcard::take_from_bytes(rest) {
            extension.silence_millis = silence_millis;
        }
        extension
    }
}

/// The reason why a packet is forwarded to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardPurpose {
    /// The packet opens a flow. The host may pass it on to the next candidate.
    Open,
    /// The packet opens a flow and was sent back to the least busy of the hosts
    /// that were tried.
    OpenHere,
    /// The balancer knows this host as the owner of the flow.
    Owner,
    /// The balancer is searching for the owner of the flow. A host that has lost
    /// its flow table passes the packet to its server to find out whether the
    /// server holds the flow.
    Probe,
}

/// The header of a caller's packet that is forwarded to a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CarryHeader {
    /// The reason why the packet is forwarded.
    pub purpose: ForwardPurpose,
    /// The balancer that received the packet from the caller.
    pub balancer: Ipv4Addr,
    /// Version of the route table with which the balancer chose the host.
    pub routes: u64,
    /// The least busy of the tried hosts that can accept the flow, and its number
    /// of requests in progress.
    pub best: Option<(Ipv4Addr, u16)>,
    /// The remaining candidates.
    pub next: CandidateList,
}

/// A message between processes in carry mode.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CarryMessage {
    /// Reports membership, load and the route table version.
    Hello(HelloMessage),
    /// Forwards the caller's packet that follows the message to a host.
    Forward(CarryHeader),
    /// Reports that the sender's server holds the flow or has just accepted it.
    Owned {
        /// The flow.
        flow: FlowKey,
        /// The load of the sender.
        load: CarryLoad,
    },
    /// Returns the packet that follows the message, because no candidate accepted
    /// it.
    Returned {
        /// The purpose with which the packet was forwarded.
        purpose: ForwardPurpose,
    },
    /// Asks which of the given flows the receiver's server holds.
    Locate {
        /// The flows, at most [`MAX_QUESTIONS`].
        questions: Vec<FlowQuestion>,
    },
    /// Answers a search for flows that the sender's server does not hold.
    NotHeld {
        /// The flows.
        flows: Vec<FlowKey>,
        /// Whether the sender is certain; if not, the server may still hold them.
        is_certain: bool,
    },
    /// Shares entries of the sender's flow table.
    Flows {
        /// The host that owns the flows.
        owner: Ipv4Addr,
        /// The flows, at most [`MAX_BATCH_FLOWS`].
        flows: Vec<FlowKey>,
    },
    /// Requests a route table newer than version `known`.
    RoutesWanted {
        /// The version that the sender has; 0 if it has none.
        known: u64,
    },
    /// Sends the part of an encoded route table that follows the message.
    RoutesPart {
        /// Version of the route table.
        version: u64,
        /// Index of the part, from 0.
        part: u16,
        /// Number of parts.
        parts: u16,
    },
    /// Asks a balancer to save the part of a host's list of open flows that follows the
    /// message.
    SaveFlows {
        /// Number of the request, by which the balancer confirms it.
        number: u32,
        /// Index of the part, from 0.
        part: u8,
    },
    /// Confirms to a host that the platform's store has saved a part of its list.
    FlowsSaved {
        /// Number of the request.
        number: u32,
    },
    /// Asks the receiver to pass on the encoded message that follows, because its sender
    /// does not reach the target directly. Only processes that name
    /// [`PeerVersion::DETOURS`] understand it.
    Detour {
        /// The process that has sent the message.
        origin: Ipv4Addr,
        /// The process that the message is for.
        target: Ipv4Addr,
    },
    /// Forwards the opening packet that follows the message to a host, like
    /// [`CarryMessage::Forward`], and names the service that it is for. Only processes that name
    /// [`PeerVersion::OFFERS`] understand it, and so must all candidates.
    Offer {
        /// The header, whose purpose is to open a flow.
        header: CarryHeader,
        /// The service that the balancer's routes select for the flow.
        service: String,
    },
}

/// Number of kinds of messages that this build knows.
const MESSAGE_KIND_COUNT: u32 = 13;

/// What a datagram of a peer holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DatagramVerdict<'a> {
    /// A message, and the bytes that follow it.
    Message(CarryMessage, &'a [u8]),
    /// A message of a kind that this build does not know.
    UnknownKind(u32),
    /// Bytes that are no message.
    Malformed,
}

impl CarryMessage {
    /// Returns what a datagram holds.
    pub fn classify(datagram: &[u8]) -> DatagramVerdict<'_> {
        if let Ok((message, payload)) = postcard::take_from_bytes(datagram) {
            return DatagramVerdict::Message(message, payload);
        }
        match postcard::take_from_bytes::<u32>(datagram) {
            Ok((kind, _)) if kind >= MESSAGE_KIND_COUNT => DatagramVerdict::UnknownKind(kind),
            _ => DatagramVerdict::Malformed,
        }
    }

    /// Appends the encoded message to `buffer`.
    pub fn encode(&self, buffer: &mut Vec<u8>) {
        // Encoding into a vector cannot fail; if it did, the buffer would be left
        // empty, and the receiver discards an empty datagram.
        if let Ok(bytes) = postcard::to_extend(self, std::mem::take(buffer)) {
            *buffer = bytes;
        }
    }

    /// Decodes a message and returns it with the remaining bytes, or `None` if it
    /// is malformed.
    pub fn decode(datagram: &[u8]) -> Option<(Self, &[u8])> {
        match Self::classify(datagram) {
            DatagramVerdict::Message(message, payload) => Some((message, payload)),
            DatagramVerdict::UnknownKind(_) | DatagramVerdict::Malformed => None,
        }
    }
}
