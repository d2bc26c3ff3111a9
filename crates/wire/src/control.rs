//! Membership messages.
//!
//! A [`MemberEntry`] states what a process reports about itself, or what
//! another process suspects about it. If two entries describe the same address,
//! the one with the higher [`MemberEntry::precedence`] overrides the other.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

use crate::address::HostIncarnation;
use crate::address::ProcessId;
use crate::address::ServiceId;

/// The role of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberRole {
    /// Forwards packets between callers and hosts.
    Balancer,
    /// Runs beside a backend server of one service.
    Host {
        /// The service of the backend server.
        service: ServiceId,
        /// The availability zone, as a number from the rule file.
        zone: u8,
        /// The placement weight, relative to other hosts of the service.
        weight: u16,
    },
}

/// The state of a member. A later variant overrides an earlier one with the same
/// incarnation and counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The member accepts new work. For a host, this means new flows.
    Alive,
    /// The member accepts no new work. A host keeps its open flows.
    Draining,
    /// The member did not answer the probes of other members. A suspect host gets
    /// no new flows; packets of its open flows are still sent to it.
    Suspect,
    /// The member has left or has failed.
    Gone,
}

/// The known state of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The member.
    pub process: ProcessId,
    /// Version of the entry within an incarnation. Only the member itself
    /// increments it, with each change.
    pub counter: u32,
    /// The role of the member.
    pub role: MemberRole,
    /// The state of the member.
    pub state: MemberState,
}

impl MemberState {
    /// Returns whether a member in this state answers other members.
    pub fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Draining)
    }
}

impl MemberEntry {
    /// Returns the key by which entries about the same address are ordered.
    pub fn precedence(&self) -> (HostIncarnation, u32, MemberState) {
        (self.process.incarnation, self.counter, self.state)
    }
}

/// A message between the rosters of two processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlMessage {
    /// The sender.
    pub sender: ProcessId,
    /// The highest configuration version known to the sender.
    pub version: u64,
    /// The content of the message.
    pub body: ControlBody,
}

/// A member of a run: a sequence of nearby addresses that changed to one state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunMember {
    /// Distance from the address of the previous member; 0 for the first one.
    pub skip: u8,
    /// Checksum of the entry before the change. A receiver that knows a different
    /// entry ignores the change.
    pub check: [u8; 2],
}

/// The content of a membership message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlBody {
    /// Gossips entries that changed recently.
    Changes(Vec<MemberEntry>),
    /// Gossips, in compact form, members that all changed to the same state.
    Run {
        /// The new state.
        state: MemberState,
        /// The address of the first member.
        first: SocketAddrV4,
        /// The members, sorted by address.
        members: Vec<RunMember>,
    },
    /// Probes the receiver, which answers with a [`Self::Pong`].
    Ping {
        /// The number to return in the answer.
        number: u32,
        /// The sender's own entry, and the receiver's if it must be refuted.
        changes: Vec<MemberEntry>,
    },
    /// Answers a [`Self::Ping`].
    Pong {
        /// The number of the ping.
        number: u32,
        /// Newer entries for the two processes than those in the ping.
        changes: Vec<MemberEntry>,
    },
    /// Requests an indirect ping: asks the receiver to ping a member that does
    /// not answer the sender.
    PingFor {
        /// The member to ping.
        target: ProcessId,
    },
    /// Reports that a member answered an indirect ping.
    Heard {
        /// The member that answered.
        target: ProcessId,
    },
    /// Starts a comparison of two rosters.
    Digest {
        /// Salt of the hashes. It differs between comparisons, so a hash
        /// collision does not recur.
        salt: u32,
        /// One hash per bucket of addresses.
        buckets: Vec<u16>,
    },
    /// Continues the comparison with the leaves of one bucket.
    Leaves {
        /// The salt of the digest.
        salt: u32,
        /// The bucket.
        bucket: u8,
        /// One hash per leaf of the bucket.
        leaves: Vec<u16>,
    },
    /// Sends all known entries of some leaves and asks for those that are missing.
    Fill {
        /// The bucket.
        bucket: u8,
        /// Bit mask of the leaves.
        leaves: u64,
        /// The entries of the leaves.
        entries: Vec<MemberEntry>,
    },
    /// Requests a page of the roster.
    Join {
        /// The page starts after this address; `None` for the first page.
        after: Option<SocketAddrV4>,
    },
    /// Sends a page of the roster.
    Page {
        /// The value from the [`Self::Join`] message.
        after: Option<SocketAddrV4>,
        /// The sender's entry for the receiver's address.
        known: Option<MemberEntry>,
        /// The entries, sorted by address.
        entries: Vec<MemberEntry>,
        /// Whether further pages follow.
        more: bool,
    },
}

impl ControlBody {
    /// Returns whether the message belongs to the comparison of two rosters.
    pub fn compares_rosters(&self) -> bool {
        matches!(
            self,
            Self::Digest { .. } | Self::Leaves { .. } | Self::Fill { .. }
        )
    }
}

/// Maximum length of a control packet in bytes.
pub const MAX_CONTROL_LENGTH: usize = 1_200;

/// Maximum number of entries in one message. 40 entries of the maximum encoded
/// length, 26 bytes, fit into [`MAX_CONTROL_LENGTH`].
pub const MAX_ENTRIES: usize = 40;
