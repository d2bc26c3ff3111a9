//! Names of the things that a packet is sent to.
//!
//! An inner address alone does not name a process, because addresses are used
//! again: a process is named by its address and its incarnation.

use std::fmt;
use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

/// The number of a service, as given in the rule file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceId(pub u16);

impl fmt::Display for ServiceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// The start of a process, in sixteenths of a second since 2026-01-01 UTC.
///
/// A process that starts again at the same address has a higher incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostIncarnation(pub u32);

/// Milliseconds between the Unix epoch and 2026-01-01 UTC.
const INCARNATION_EPOCH_MILLIS: u64 = 1_767_225_600_000;

/// Incarnations per second.
const INCARNATIONS_PER_SECOND: u64 = 16;

impl HostIncarnation {
    /// Returns the incarnation of a process that starts `unix_millis`
    /// milliseconds after the Unix epoch.
    pub fn from_unix_millis(unix_millis: u64) -> Self {
        let since_epoch = unix_millis.saturating_sub(INCARNATION_EPOCH_MILLIS);
        Self((since_epoch * INCARNATIONS_PER_SECOND / 1_000) as u32)
    }
}

impl fmt::Display for HostIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// One life of one process: where it listens and when it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// The inner address, for packets of flows and for control messages.
    pub address: SocketAddrV4,
    /// The life of the process at that address.
    pub incarnation: HostIncarnation,
}

impl fmt::Display for ProcessId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.address, self.incarnation)
    }
}
