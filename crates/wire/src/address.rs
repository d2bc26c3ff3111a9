//! Identifiers of services and processes.
//!
//! Inner addresses are reused, so an address alone does not identify a process:
//! a [`ProcessId`] combines the address with the incarnation of the process.

use std::fmt;
use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

/// The ID of a service, as assigned in the rule file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceId(pub u16);

impl fmt::Display for ServiceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// The start time of a process, in sixteenths of a second since 2026-01-01 UTC.
///
/// A process that restarts at the same address has a higher incarnation. If its
/// clock was set back in between, or if it restarts within a sixteenth of a second,
/// it raises its incarnation on learning of the earlier process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostIncarnation(pub u32);

/// Milliseconds from the Unix epoch to 2026-01-01 UTC.
const INCARNATION_EPOCH_MILLIS: u64 = 1_767_225_600_000;

/// Resolution of an incarnation, in units per second.
const INCARNATIONS_PER_SECOND: u64 = 16;

impl HostIncarnation {
    /// Returns the incarnation of a process that starts `unix_millis`
    /// milliseconds after the Unix epoch; zero for a start before 2026.
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

/// Identifies one run of a process by its address and its start time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// The inner address, which receives both flow packets and control messages.
    pub address: SocketAddrV4,
    /// Distinguishes this process from earlier ones at the same address.
    pub incarnation: HostIncarnation,
}

impl fmt::Display for ProcessId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.address, self.incarnation)
    }
}
