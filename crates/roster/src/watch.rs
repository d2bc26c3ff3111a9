//! Failure detection.
//!
//! Members form a ring, ordered by a hash of their addresses, and each member
//! probes the next few. Every member thus has the same number of watchers, the
//! cost per process does not grow with the fleet, and members that are next to
//! each other on the ring are rarely in the same rack. When watchers are gone,
//! the members before them on the ring take their place.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::time::MonotonicTime;

use crate::digest::address_hash;

/// Number of members that each process watches, and of watchers of each member.
pub const WATCHERS: usize = 3;

/// Time between two pings of a watched member.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// How long a member may leave pings unanswered before it becomes suspect.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);

/// Returns the members that the process at `own_address` watches: the next live
/// ones on the ring.
pub fn watched_members(entries: &[MemberEntry], own_address: SocketAddrV4) -> Vec<ProcessId> {
    let origin = address_hash(own_address);
    let mut nearest: Vec<(u64, ProcessId)> = Vec::with_capacity(WATCHERS + 1);
    let others = entries
        .iter()
        .filter(|entry| entry.state.is_present() && entry.process.address != own_address);
    for entry in others {
        let distance = address_hash(entry.process.address).wrapping_sub(origin);
        if nearest.len() == WATCHERS && distance >= nearest[WATCHERS - 1].0 {
            continue;
        }
        let index = nearest.partition_point(|item| item.0 < distance);
        nearest.insert(index, (distance, entry.process));
        nearest.truncate(WATCHERS);
    }
    nearest.into_iter().map(|(_, process)| process).collect()
}

/// A watched member and the answers to its pings.
#[derive(Debug, Clone, Copy)]
pub struct ProbeRecord {
    /// The watched member.
    pub target: ProcessId,
    /// The number of the last ping.
    pub ping_number: u32,
    /// Whether the last ping was answered, or another member has reported an
    /// answer of the target since.
    pub answered: bool,
    /// When the first of the consecutive unanswered pings was sent.
    failing_since: Option<MonotonicTime>,
    /// Consecutive rounds without an answer.
    misses: usize,
    sent_at: MonotonicTime,
}

/// A member that does not answer but is not suspect yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilentMember {
    /// The watched member.
    pub target: ProcessId,
    /// Consecutive rounds without an answer.
    pub misses: usize,
}

/// The result of a round of pings.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ProbeRound {
    /// Members that do not answer but are not suspect yet.
    pub silent: Vec<SilentMember>,
    /// Members that have not answered for [`SUSPICION_TIMEOUT`].
    pub failed: Vec<ProcessId>,
}

/// The members that a process watches.
#[derive(Debug, Default)]
pub struct WatchList {
    probes: Vec<ProbeRecord>,
}

impl WatchList {
    /// Returns the watched members.
    pub fn probes(&self) -> &[ProbeRecord] {
        &self.probes
    }

    /// Returns the watched members for recording the pings sent to them.
    pub fn probes_mut(&mut self) -> &mut [ProbeRecord] {
        &mut self.probes
    }

    /// Replaces the watched members. Those that were already watched keep their
    /// record.
    pub fn set_targets(&mut self, targets: &[ProcessId]) {
        let known = std::mem::take(&mut self.probes);
        self.probes = targets
            .iter()
            .map(|target| {
                let found = known.iter().find(|probe| probe.target == *target);
                found.copied().unwrap_or(ProbeRecord {
                    target: *target,
                    ping_number: 0,
                    answered: true,
                    failing_since: None,
                    misses: 0,
                    sent_at: MonotonicTime::default(),
                })
            })
            .collect();
    }

    /// Discards unanswered pings. They say nothing about the targets if this
    /// process was itself paused.
    pub fn reset_probes(&mut self) {
        for probe in &mut self.probes {
            probe.reset();
        }
    }

    /// Records that a member answered a ping.
    pub fn record_answer(&mut self, target: ProcessId) {
        for probe in &mut self.probes {
            if probe.target == target {
                probe.reset();
            }
        }
    }

    /// Ends a round of pings and returns the members that did not answer.
    pub fn end_round(&mut self, now: MonotonicTime) -> ProbeRound {
        let mut round = ProbeRound::default();
        for probe in self.probes.iter_mut().filter(|probe| !probe.answered) {
            probe.misses += 1;
            let since = *probe.failing_since.get_or_insert(probe.sent_at);
            if now.since(since) >= SUSPICION_TIMEOUT {
                round.failed.push(probe.target);
            } else {
                round.silent.push(SilentMember {
                    target: probe.target,
                    misses: probe.misses,
                });
            }
        }
        round
    }
}

impl ProbeRecord {
    /// Records that a ping is sent.
    pub fn record_ping(&mut self, ping_number: u32, now: MonotonicTime) {
        self.ping_number = ping_number;
        self.answered = false;
        self.sent_at = now;
    }

    fn reset(&mut self) {
        self.answered = true;
        self.failing_since = None;
        self.misses = 0;
    }
}
