//! How a process takes over the roster of others, and starts again after a
//! pause.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::control::ControlBody;
use hyssopstair_wire::time::MonotonicTime;

use crate::budget::SendClass;
use crate::contacts::MAX_CONTACTS;
use crate::gossip::GOSSIP_FANOUT;
use crate::members::TOMBSTONE_TIME;
use crate::state::RosterAction;
use crate::state::RosterState;

/// How long a process compares rosters more often after it has joined, because
/// the members that it asked may have just joined too.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(30);

/// How long a process that joins waits for a page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two attempts to join of a process that knows nobody.
const ALONE_INTERVAL: Duration = Duration::from_secs(1);

/// How far a process is in taking over the roster of others.
#[derive(Debug, Default)]
pub(crate) struct JoinProgress {
    pub(crate) done: bool,
    pub(crate) settled: MonotonicTime,
    pub(crate) after: Option<SocketAddrV4>,
    pub(crate) asked: Option<MonotonicTime>,
}

impl RosterState {
    pub(crate) fn join_round(&mut self, actions: &mut Vec<RosterAction>, now: MonotonicTime) {
        let alone = self.table.live_count() <= 1;
        if self.presence.is_starting() {
            self.presence.wait(!self.contacts.is_empty() || !alone, now);
            self.join.done |= !self.presence.is_starting();
        }
        let wait = if self.join.done {
            ALONE_INTERVAL
        } else {
            PAGE_TIMEOUT
        };
        let due = self.join.asked.is_none_or(|asked| now.since(asked) >= wait);
        if due && (alone || !self.join.done) {
            self.ask_page(actions, now);
        }
    }

    /// Puts the process in doubt after a pause.
    pub(crate) fn wake(&mut self, now: MonotonicTime) {
        self.watch.forgive();
        if now.since(self.heard) >= TOMBSTONE_TIME / 2 {
            self.start_over();
        }
        self.presence.wake(self.next_number);
    }

    pub(crate) fn wake_round(&mut self, actions: &mut Vec<RosterAction>, now: MonotonicTime) {
        if !self.presence.is_waking() {
            return;
        }
        for _ in 0..GOSSIP_FANOUT {
            match self.random_live().or_else(|| self.random_contact()) {
                Some(to) => {
                    self.ping(actions, to, now);
                }
                None => self.presence.stay_alone(),
            }
        }
    }

    /// Asks for the first or next page of the roster of another member.
    pub(crate) fn ask_page(&mut self, actions: &mut Vec<RosterAction>, now: MonotonicTime) {
        let Some(to) = self.random_live().or_else(|| self.random_contact()) else {
            return;
        };
        self.join.asked = Some(now);
        let after = self.join.after;
        self.send(
            actions,
            SendClass::Probe,
            to,
            ControlBody::Join { after },
            now,
        );
    }

    /// Drops a roster so old that others may have forgotten who is gone.
    fn start_over(&mut self) {
        for _ in 0..MAX_CONTACTS {
            if let Some(address) = self.random_live() {
                self.add_contact(address);
            }
        }
        self.table.clear_others(self.me.process.address);
        self.join = JoinProgress::default();
    }
}
