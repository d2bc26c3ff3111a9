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
    /// Asks for an answer; carries changes.
    Ping {
        /// Repeated in the answer.
        number: u32,
        /// Entries that changed of late.
        changes: Vec<MemberEntry>,
    },
    /// Answers a ping; carries changes.
    Pong {
        /// The number of the ping.
        number: u32,
        /// Entries that changed of late.
        changes: Vec<MemberEntry>,
    },
    /// Asks for all that the receiver has and the sender's digest lacks.
    Digest {
        /// One hash per bucket of addresses.
        buckets: Vec<u32>,
    },
    /// Asks for the whole roster, page by page.
    Join {
        /// Entries with higher addresses are wanted; none for the first page.
        after: Option<SocketAddrV4>,
    },
    /// A page of the roster.
    Page {
        /// The entries, by address.
        entries: Vec<MemberEntry>,
        /// Whether more follow.
        more: bool,
    },
}
