//! Periodic rounds that gossip changes to other members.

use std::time::Duration;

use hyssopstair_wire::control::ControlBody;
use hyssopstair_wire::control::MAX_ENTRIES;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::time::MonotonicTime;
use rand::RngExt;

use crate::budget::SendClass;
use crate::runs::MAX_RUN_MEMBERS;
use crate::runs::MIN_RUN_MEMBERS;
use crate::runs::encode_run;
use crate::state::RosterAction;
use crate::state::RosterState;

/// Time between two gossip rounds.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);

/// Number of members that changes are sent to in one gossip round.
pub const GOSSIP_FANOUT: usize = 3;

impl RosterState {
    /// Sends queued changes to random live members, as far as the send budget
    /// allows.
    pub(crate) fn run_gossip_round(&mut self, actions: &mut Vec<RosterAction>, now: MonotonicTime) {
        if self.presence.is_starting() {
            return;
        }
        for _ in 0..GOSSIP_FANOUT {
            if self.queue.is_empty() || !self.can_send_longest(SendClass::Change, now) {
                return;
            }
            let Some(to) = self.random_live() else {
                return;
            };
            let body = self.dequeue_run().unwrap_or_else(|| self.dequeue_changes());
            self.send(actions, SendClass::Change, to, body, now);
        }
    }

    /// Takes changes from the queue and returns them as whole entries.
    fn dequeue_changes(&mut self) -> ControlBody {
        let addresses = self.queue.take_batch(MAX_ENTRIES);
        let entries = addresses
            .iter()
            .filter_map(|address| self.table.find(*address).copied())
            .collect();
        ControlBody::Changes(entries)
    }

    /// Takes a run of changes from the queue. Returns `None` if the queue is short
    /// or the run would have too few members. The run starts at a random
    /// position, so that different members send different runs.
    fn dequeue_run(&mut self) -> Option<ControlBody> {
        if !self.queue.is_long() {
            return None;
        }
        let addresses = self.queue.addresses();
        let start = self.rng.random_range(0..addresses.len());
        let entries: Vec<MemberEntry> = addresses[start..]
            .iter()
            .take(MAX_RUN_MEMBERS)
            .filter_map(|address| self.table.find(*address).copied())
            .collect();
        let members = encode_run(&entries);
        if members.len() < MIN_RUN_MEMBERS {
            return None;
        }
        self.queue
            .record_sent(&addresses[start..start + members.len()]);
        let first = entries[0];
        Some(ControlBody::Run {
            state: first.state,
            first: first.process.address,
            members,
        })
    }
}
