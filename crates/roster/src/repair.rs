//! Periodic rounds that reconcile rosters that differ.
//!
//! Digests repair changes that gossip lost. Pings of absent members and of
//! contacts rejoin the parts of a fleet that a partition separated.

use std::time::Duration;

use hyssopstair_wire::control::ControlBody;
use hyssopstair_wire::time::MonotonicTime;
use rand::RngExt;

use crate::budget::SendClass;
use crate::digest::bucket_hashes;
use crate::state::RosterAction;
use crate::state::RosterState;

/// Time between two digests while rosters agree.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(10);

/// Time between two digests after one that differed, and for a time after
/// joining.
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two pings of an absent member or of a contact.
pub const CONTACT_INTERVAL: Duration = Duration::from_secs(3);

impl RosterState {
    /// Schedules the next digest.
    pub(crate) fn schedule_digest(&mut self, now: MonotonicTime) {
        let interval = if now < self.join.settling_until {
            REPAIR_INTERVAL
        } else {
            DIGEST_INTERVAL
        };
        self.schedule.digest = now + self.add_jitter(interval);
    }

    /// Sends a digest of the roster to a random live member.
    pub(crate) fn run_digest_round(&mut self, actions: &mut Vec<RosterAction>, now: MonotonicTime) {
        if !self.join.is_complete || !self.can_send_longest(SendClass::Repair, now) {
            return;
        }
        let Some(to) = self.random_live() else {
            return;
        };
        let salt = self.rng.random();
        let buckets = bucket_hashes(self.table.entries(), salt);
        let body = ControlBody::Digest { salt, buckets };
        self.send(actions, SendClass::Repair, to, body, now);
    }

    /// Pings an address at which no live member is known, so that the parts of a
    /// partitioned fleet find each other after the partition heals.
    pub(crate) fn run_contact_round(
        &mut self,
        actions: &mut Vec<RosterAction>,
        now: MonotonicTime,
    ) {
        let absent = self.table.next_absent(self.last_absent_pinged);
        self.last_absent_pinged = absent.unwrap_or(self.last_absent_pinged);
        let address = absent.or_else(|| self.random_contact());
        let Some(to) = address.filter(|to| *to != self.own_entry.process.address) else {
            return;
        };
        let known = self.table.find(to);
        if known.is_none_or(|entry| !entry.state.is_present()) {
            self.send_ping(actions, to, now);
        }
    }

    /// Pings a suspect member, which otherwise may not learn that it is suspect: the members
    /// that know of it may have gossiped about it while a partition separated them.
    pub(crate) fn run_suspect_round(
        &mut self,
        actions: &mut Vec<RosterAction>,
        now: MonotonicTime,
    ) {
        if let Some(suspect) = self.table.next_suspect(self.last_suspect_pinged) {
            self.last_suspect_pinged = suspect;
            self.send_ping(actions, suspect, now);
        }
    }

    /// Schedules the next digest within the repair interval, unless it is due
    /// earlier.
    pub(crate) fn schedule_repair_digest(&mut self, now: MonotonicTime) {
        let soon = now + self.add_jitter(REPAIR_INTERVAL);
        self.schedule.digest = self.schedule.digest.min(soon);
    }

    /// Returns `interval` with a random deviation of up to 25 %.
    pub(crate) fn add_jitter(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.rng.random_range(0.75..1.25))
    }
}
