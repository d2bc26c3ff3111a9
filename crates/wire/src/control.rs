//! Membership messages.
//!
//! Each entry is the word of one process about itself, or the suspicion of
//! another about it. Entries are ordered by [`MemberEntry::precedence`]; of two
//! entries about one address the higher one holds.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

use crate::address::HostIncarnation;
use crate::address::ProcessId;
use crate::address::ServiceId;

/// What a member does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberRole {
    /// Forwards packets between callers and hosts.
    Balancer,
    /// Runs beside a backend server of one service.
    Host {
        /// The service.
        service: ServiceId,
        /// The availability zone, by its number in the rule file.
        zone: u8,
        /// The share of new flows, relative to other hosts of the service.
        weight: u16,
    },
}

/// How a member stands. Later states override earlier ones of the same
/// incarnation and counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Takes new work.
    Alive,
    /// Takes no new work, keeps what it has.
    Draining,
    /// Does not answer; may still refute.
    Suspect,
    /// Is no longer there.
    Gone,
}

/// What is known of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The member.
    pub process: ProcessId,
    /// Raised by the member itself with each change, within an incarnation.
    pub counter: u32,
    /// What the member does.
    pub role: MemberRole,
    /// How it stands.
    pub state: MemberState,
}

impl MemberEntry {
    /// Returns what orders two entries about one address.
    pub fn precedence(&self) -> (HostIncarnation, u32, MemberState) {
        (self.process.incarnation, self.counter, self.state)
    }
}

/// A message between the rosters of two processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlMessage {
    /// The sender.
    pub sender: ProcessId,
    /// The highest configuration version that the sender knows.
    pub version: u64,
    /// What is said.
    pub body: ControlBody,
}

/// The kinds of membership message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlBody {
    /// Entries that changed of late.
    Changes(Vec<MemberEntry>),
    /// Asks for an answer.
    Ping {
        /// Repeated in the answer.
        number: u32,
        /// The entry of the sender, and that of the receiver if it is wrong.
        changes: Vec<MemberEntry>,
    },
    /// Answers a ping.
    Pong {
        /// The number of the ping.
        number: u32,
        /// What the pinging process did not know of the two.
        changes: Vec<MemberEntry>,
    },
    /// Asks the receiver to ping a member that does not answer the sender.
    PingFor {
        /// The member.
        target: ProcessId,
    },
    /// Says that a member answered the sender.
    Heard {
        /// The member.
        target: ProcessId,
    },
    /// Compares two rosters.
    Digest {
        /// Goes into the hashes, so that a collision does not repeat.
        salt: u32,
        /// One hash per bucket of addresses.
        buckets: Vec<u16>,
    },
    /// Compares one bucket of two rosters.
    Leaves {
        /// The salt of the digest.
        salt: u32,
        /// The bucket.
        bucket: u8,
        /// One hash per leaf of the bucket.
        leaves: Vec<u16>,
    },
    /// All that the sender knows of some leaves; asks for what it lacks.
    Fill {
        /// The bucket.
        bucket: u8,
        /// The leaves, one bit each.
        leaves: u64,
        /// The entries.
        entries: Vec<MemberEntry>,
    },
    /// Asks for a page of the roster.
    Join {
        /// Entries with higher addresses are wanted; none for the first page.
        after: Option<SocketAddrV4>,
    },
    /// A page of the roster.
    Page {
        /// As in the question.
        after: Option<SocketAddrV4>,
        /// What the sender knows of the receiver's address.
        known: Option<MemberEntry>,
        /// The entries, by address.
        entries: Vec<MemberEntry>,
        /// Whether more follow.
        more: bool,
    },
}

/// Longest control packet in bytes.
pub const MAX_CONTROL_LENGTH: usize = 1_200;

/// Entries in one message at most: 40 of the longest form, 26 bytes each, fit.
pub const MAX_ENTRIES: usize = 40;
