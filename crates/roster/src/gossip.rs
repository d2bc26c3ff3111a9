//! How a process passes changes on.

use std::time::Duration;

use hyssopstair_wire::control::ControlBody;
use hyssopstair_wire::control::MAX_ENTRIES;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::time::MonotonicTime;
use rand::RngExt;

use crate::budget::SendClass;
use crate::runs::MAX_RUN;
use crate::runs::MIN_RUN;
use crate::runs::encode_run;
use crate::state::RosterAction;
use crate::state::RosterState;

/// Time between two rounds of changes.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);

/// Members that a round of changes is sent to.
pub const GOSSIP_FANOUT: usize = 3;

impl RosterState {
    pub(crate) fn gossip_round(&mut self, actions: &mut Vec<RosterAction>, now: MonotonicTime) {
        if self.presence.is_starting() {
            return;
        }
        for _ in 0..GOSSIP_FANOUT {
            if self.queue.is_empty() || !self.has_room(SendClass::Change, now) {
                return;
            }
            let Some(to) = self.random_live() else {
                return;
            };
            let body = self.next_run().unwrap_or_else(|| self.next_changes());
            self.send(actions, SendClass::Change, to, body, now);
        }
    }

    fn next_changes(&mut self) -> ControlBody {
        let addresses = self.queue.take(MAX_ENTRIES);
        let entries = addresses
            .iter()
            .filter_map(|address| self.table.find(*address).copied())
            .collect();
        ControlBody::Changes(entries)
    }

    /// Returns a run of changes, if many wait and enough of them follow each
    /// other. It starts anywhere, so that members pass on different runs.
    fn next_run(&mut self) -> Option<ControlBody> {
        if !self.queue.is_long() {
            return None;
        }
        let addresses = self.queue.addresses();
        let start = self.random.random_range(0..addresses.len());
        let entries: Vec<MemberEntry> = addresses[start..]
            .iter()
            .take(MAX_RUN)
            .filter_map(|address| self.table.find(*address).copied())
            .collect();
        let members = encode_run(&entries);
        if members.len() < MIN_RUN {
            return None;
        }
        self.queue
            .count_sent(&addresses[start..start + members.len()]);
        let first = entries[0];
        Some(ControlBody::Run {
            state: first.state,
            first: first.process.address,
            members,
        })
    }
}
