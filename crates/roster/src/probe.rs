//! Periodic rounds that probe the watched members.
//!
//! Before a watched member that does not answer becomes suspect, other members are
//! asked to ping it as well. Such pings are called indirect.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::control::ControlBody;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::time::MonotonicTime;

use crate::budget::SendClass;
use crate::state::RosterAction;
use crate::state::RosterState;
use crate::watch::SUSPICION_TIMEOUT;
use crate::watch::SilentMember;
use crate::watch::WATCHERS;
use crate::watch::watched_members;

/// Number of members that are asked to ping a silent one, per consecutive round in
/// which it was silent. An occasional lost packet thus costs few messages, while
/// heavy loss does not make a live member suspect.
const INDIRECT_PINGS_PER_MISS: usize = 2;

/// How long an answer to an indirect ping is reported to the member that requested
/// it.
const INDIRECT_PING_TTL: Duration = Duration::from_secs(2);

/// A ping that was sent on behalf of another member.
#[derive(Debug, Clone, Copy)]
pub(crate) struct IndirectPing {
    pub(crate) ping_number: u32,
    pub(crate) requester: SocketAddrV4,
    pub(crate) sent_at: MonotonicTime,
}

impl RosterState {
    /// Evaluates the answers to the last pings and pings the watched members
    /// again.
    pub(crate) fn run_probe_round(&mut self, actions: &mut Vec<RosterAction>, now: MonotonicTime) {
        self.indirect_pings
            .retain(|indirect_ping| now.since(indirect_ping.sent_at) < INDIRECT_PING_TTL);
        if !self.presence.is_confirmed(now) {
            return;
        }
        let round = self.watch_list.end_round(now);
        if !self.is_isolated(now) {
            for target in &round.failed {
                self.mark_suspect(*target, now);
            }
        }
        self.update_watch_list();
        for silent in &round.silent {
            self.request_indirect_pings(actions, silent, now);
        }
        for index in 0..self.watch_list.probes().len() {
            let to = self.watch_list.probes()[index].target.address;
            let ping_number = self.send_ping(actions, to, now);
            self.watch_list.probes_mut()[index].record_ping(ping_number, now);
        }
    }

    /// Sends a ping and returns its number.
    pub(crate) fn send_ping(
        &mut self,
        actions: &mut Vec<RosterAction>,
        to: SocketAddrV4,
        now: MonotonicTime,
    ) -> u32 {
        let ping_number = self.next_ping_number;
        self.next_ping_number = self.next_ping_number.wrapping_add(1);
        let mut changes = Vec::new();
        if !self.presence.is_starting() {
            changes.push(self.own_entry);
        }
        let known = self.table.find(to).copied();
        changes.extend(known.filter(|entry| !entry.state.is_present()));
        let body = ControlBody::Ping {
            number: ping_number,
            changes,
        };
        self.send(actions, SendClass::Probe, to, body, now);
        ping_number
    }

    /// Returns whether this process is likely cut off itself: it received no
    /// message for [`SUSPICION_TIMEOUT`], although more members are live than it
    /// watches.
    fn is_isolated(&self, now: MonotonicTime) -> bool {
        now.since(self.last_received) >= SUSPICION_TIMEOUT && self.table.live_count() > WATCHERS + 1
    }

    /// Marks a member as suspect and enqueues the change.
    fn mark_suspect(&mut self, target: ProcessId, now: MonotonicTime) {
        let Some(known) = self.table.find(target.address) else {
            return;
        };
        if known.process != target {
            return;
        }
        let entry = MemberEntry {
            state: MemberState::Suspect,
            ..*known
        };
        if self.table.merge(&entry, now) {
            self.queue.push(target.address, self.table.live_count());
        }
    }

    /// Chooses the watched members again if the roster has changed.
    fn update_watch_list(&mut self) {
        if self.watched_change_count == self.table.change_count() {
            return;
        }
        self.watched_change_count = self.table.change_count();
        let targets = watched_members(self.table.entries(), self.own_entry.process.address);
        self.watch_list.set_targets(&targets);
    }

    /// Asks random members to ping a silent one.
    fn request_indirect_pings(
        &mut self,
        actions: &mut Vec<RosterAction>,
        silent: &SilentMember,
        now: MonotonicTime,
    ) {
        let target = silent.target;
        for _ in 0..INDIRECT_PINGS_PER_MISS * silent.misses {
            let Some(to) = self.random_live().filter(|to| *to != target.address) else {
                continue;
            };
            let body = ControlBody::PingFor { target };
            self.send(actions, SendClass::Probe, to, body, now);
        }
    }
}
