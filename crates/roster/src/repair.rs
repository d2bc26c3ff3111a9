//! How rosters that differ are found and made to meet again.

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

/// Time between two digests after one that differed, and after joining.
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two pings of a member that is gone, or of a contact.
pub const CONTACT_INTERVAL: Duration = Duration::from_secs(3);

impl RosterState {
    /// Sets when rosters are compared next.
    pub(crate) fn schedule_digest(&mut self, now: MonotonicTime) {
        let interval = if now < self.join.settled {
            REPAIR_INTERVAL
        } else {
            DIGEST_INTERVAL
        };
        self.rounds.digest = now + self.jittered(interval);
    }

    pub(crate) fn digest_round(&mut self, actions: &mut Vec<RosterAction>, now: MonotonicTime) {
        if !self.join.done || !self.has_room(SendClass::Repair, now) {
            return;
        }
        let Some(to) = self.random_live() else {
            return;
        };
        let salt = self.random.random();
        let buckets = bucket_hashes(self.table.entries(), salt);
        let body = ControlBody::Digest { salt, buckets };
        self.send(actions, SendClass::Repair, to, body, now);
    }

    /// Pings an address where nobody is known to be, so that two parts of the
    /// fleet that lost each other meet again.
    pub(crate) fn contact_round(&mut self, actions: &mut Vec<RosterAction>, now: MonotonicTime) {
        let absent = self.table.absent_after(self.last_absent);
        self.last_absent = absent.unwrap_or(self.last_absent);
        let address = absent.or_else(|| self.random_contact());
        let Some(to) = address.filter(|to| *to != self.me.process.address) else {
            return;
        };
        let known = self.table.find(to);
        if known.is_none_or(|entry| !entry.state.is_present()) {
            self.ping(actions, to, now);
        }
    }

    /// Compares rosters again soon.
    pub(crate) fn hasten_digest(&mut self, now: MonotonicTime) {
        let soon = now + self.jittered(REPAIR_INTERVAL);
        self.rounds.digest = self.rounds.digest.min(soon);
    }

    pub(crate) fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.random.random_range(0.75..1.25))
    }
}
