//! Joining the fleet, and recovery after a pause of this process.
//!
//! A process joins by requesting another member's roster page by page.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::control::ControlBody;
use hyssopstair_wire::time::MonotonicTime;

use crate::budget::SendClass;
use crate::contacts::MAX_CONTACTS;
use crate::gossip::GOSSIP_FANOUT;
use crate::members::TOMBSTONE_TTL;
use crate::state::RosterAction;
use crate::state::RosterState;

/// How long a process sends digests at the shorter interval after it has joined.
/// The members that sent it pages may themselves have only just joined, so their
/// rosters may have been incomplete.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(30);

/// How long a process that joins waits for a page before it requests it again.
const PAGE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two join attempts of a process that knows no other live member.
const LONE_JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// The progress of a process in fetching the roster of other members.
#[derive(Debug, Default)]
pub(crate) struct JoinProgress {
    pub(crate) is_complete: bool,
    /// Until when digests are sent at the shorter interval.
    pub(crate) settling_until: MonotonicTime,
    /// The last address of the pages received so far.
    pub(crate) page_after: Option<SocketAddrV4>,
    /// When the last page was requested.
    pub(crate) requested_at: Option<MonotonicTime>,
}

impl RosterState {
    /// Requests a page when one is due: until the process has joined, and from
    /// time to time while it knows no other live member.
    pub(crate) fn run_join_round(&mut self, actions: &mut Vec<RosterAction>, now: MonotonicTime) {
        let is_alone = self.table.live_count() <= 1;
        if self.presence.is_starting() {
            self.presence
                .check_start_timeout(!self.contacts.is_empty() || !is_alone, now);
            self.join.is_complete |= !self.presence.is_starting();
        }
        let interval = if self.join.is_complete {
            LONE_JOIN_INTERVAL
        } else {
            PAGE_TIMEOUT
        };
        let is_due = self
            .join
            .requested_at
            .is_none_or(|requested_at| now.since(requested_at) >= interval);
        if is_due && (is_alone || !self.join.is_complete) {
            self.request_page(actions, now);
        }
    }

    /// Handles a gap between ticks that is long enough for other members to have
    /// suspected this process: it must be confirmed by another member again.
    pub(crate) fn handle_pause(&mut self, now: MonotonicTime) {
        self.watch_list.reset_probes();
        if now.since(self.last_received) >= TOMBSTONE_TTL / 2 {
            self.reset_roster();
        }
        self.presence.require_reconfirmation(self.next_ping_number);
    }

    /// Pings other members after a pause or a raise of the incarnation, until one
    /// answers.
    pub(crate) fn run_reconfirm_round(
        &mut self,
        actions: &mut Vec<RosterAction>,
        now: MonotonicTime,
    ) {
        if !self.presence.is_reconfirming() {
            return;
        }
        for _ in 0..GOSSIP_FANOUT {
            match self.random_live().or_else(|| self.random_contact()) {
                Some(to) => {
                    self.send_ping(actions, to, now);
                }
                None => self.presence.record_no_peers(),
            }
        }
    }

    /// Requests the first or next page of the roster from another member.
    pub(crate) fn request_page(&mut self, actions: &mut Vec<RosterAction>, now: MonotonicTime) {
        let Some(to) = self.random_live().or_else(|| self.random_contact()) else {
            return;
        };
        self.join.requested_at = Some(now);
        let after = self.join.page_after;
        self.send(
            actions,
            SendClass::Probe,
            to,
            ControlBody::Join { after },
            now,
        );
    }

    /// Drops all other members and joins again. After a long time without
    /// messages, the others may already have evicted the entries of gone members,
    /// so that stale entries of those would never be corrected here.
    fn reset_roster(&mut self) {
        for _ in 0..MAX_CONTACTS {
            if let Some(address) = self.random_live() {
                self.add_contact(address);
            }
        }
        self.table.retain_only(self.own_entry.process.address);
        self.join = JoinProgress::default();
    }
}
