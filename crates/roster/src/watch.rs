//! Failure detection.
//!
//! Members stand on a ring, ordered by a hash of their addresses, and each
//! watches the next few. So every member has the same number of watchers, the
//! cost of a process does not grow with the fleet, and neighbours on the ring
//! are no neighbours in a rack. When watchers are gone, those before them on the
//! ring take their place.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::time::MonotonicTime;

use crate::digest::address_hash;

/// Members that each process watches, and watchers of each member.
pub const WATCHERS: usize = 3;

/// Time between two pings of a watched member.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// How long a member is pinged in vain before it is declared gone.
pub const SUSPICION_TIME: Duration = Duration::from_secs(4);

/// Returns the members that the process at `me` watches: the next on the ring.
pub fn watched_members(entries: &[MemberEntry], me: SocketAddrV4) -> Vec<ProcessId> {
    let origin = address_hash(me);
    let mut nearest: Vec<(u64, ProcessId)> = Vec::with_capacity(WATCHERS + 1);
    let others = entries
        .iter()
        .filter(|entry| entry.state != MemberState::Gone && entry.process.address != me);
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

/// A watched member.
#[derive(Debug, Clone, Copy)]
pub struct ProbeRecord {
    /// The member.
    pub target: ProcessId,
    /// The number of the last ping.
    pub number: u32,
    /// Whether the last ping was answered, or another member vouched for the
    /// target since.
    pub heard: bool,
    /// The first ping that no answer followed.
    failing_since: Option<MonotonicTime>,
    /// Rounds without an answer.
    misses: usize,
    sent: MonotonicTime,
}

/// A member that does not answer and may yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilentMember {
    /// The member.
    pub target: ProcessId,
    /// Rounds without an answer.
    pub misses: usize,
}

/// What a round of probes finds.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ProbeRound {
    /// Members that do not answer and may yet.
    pub silent: Vec<SilentMember>,
    /// Members that did not answer for [`SUSPICION_TIME`].
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

    /// Returns the watched members, to note the pings that are sent.
    pub fn probes_mut(&mut self) -> &mut [ProbeRecord] {
        &mut self.probes
    }

    /// Watches these members, and keeps what is known of those watched before.
    pub fn set_targets(&mut self, targets: &[ProcessId]) {
        let known = std::mem::take(&mut self.probes);
        self.probes = targets
            .iter()
            .map(|target| {
                let found = known.iter().find(|probe| probe.target == *target);
                found.copied().unwrap_or(ProbeRecord {
                    target: *target,
                    number: 0,
                    heard: true,
                    failing_since: None,
                    misses: 0,
                    sent: MonotonicTime::default(),
                })
            })
            .collect();
    }

    /// Starts afresh with all members, after a pause of this process.
    pub fn forgive(&mut self) {
        for probe in &mut self.probes {
            probe.recover();
        }
    }

    /// Notes that a member answered.
    pub fn hear(&mut self, target: ProcessId) {
        for probe in &mut self.probes {
            if probe.target == target {
                probe.recover();
            }
        }
    }

    /// Ends a round of pings.
    pub fn end_round(&mut self, now: MonotonicTime) -> ProbeRound {
        let mut round = ProbeRound::default();
        for probe in self.probes.iter_mut().filter(|probe| !probe.heard) {
            probe.misses += 1;
            let since = *probe.failing_since.get_or_insert(probe.sent);
            if now.since(since) >= SUSPICION_TIME {
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
    /// Notes that a ping is sent.
    pub fn send(&mut self, number: u32, now: MonotonicTime) {
        self.number = number;
        self.heard = false;
        self.sent = now;
    }

    fn recover(&mut self) {
        self.heard = true;
        self.failing_since = None;
        self.misses = 0;
    }
}
