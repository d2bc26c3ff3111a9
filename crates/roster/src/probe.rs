//! How a process finds that members it watches are silent.

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
use crate::watch::SUSPICION_TIME;
use crate::watch::SilentMember;
use crate::watch::WATCHERS;
use crate::watch::watched_members;

/// Other members that are asked to ping a silent one, times the rounds in which
/// it was silent: rare losses cost little, and many losses kill nobody.
const RELAYS: usize = 2;

/// How long an answer is passed on to the member that asked for it.
const RELAY_TIME: Duration = Duration::from_secs(2);

/// A ping on behalf of another member.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RelayRecord {
    pub(crate) number: u32,
    pub(crate) asker: SocketAddrV4,
    pub(crate) sent: MonotonicTime,
}

impl RosterState {
    pub(crate) fn probe_round(&mut self, actions: &mut Vec<RosterAction>, now: MonotonicTime) {
        self.relays
            .retain(|relay| now.since(relay.sent) < RELAY_TIME);
        if !self.presence.is_confirmed(now) {
            return;
        }
        let round = self.watch.end_round(now);
        if !self.is_cut_off(now) {
            for target in &round.failed {
                self.suspect(*target, now);
            }
        }
        self.refresh_watch();
        for silent in &round.silent {
            self.ask_relays(actions, silent, now);
        }
        for index in 0..self.watch.probes().len() {
            let to = self.watch.probes()[index].target.address;
            let number = self.ping(actions, to, now);
            self.watch.probes_mut()[index].send(number, now);
        }
    }

    /// Sends a ping and returns its number.
    pub(crate) fn ping(
        &mut self,
        actions: &mut Vec<RosterAction>,
        to: SocketAddrV4,
        now: MonotonicTime,
    ) -> u32 {
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        let mut changes = Vec::new();
        if !self.presence.is_starting() {
            changes.push(self.me);
        }
        let known = self.table.find(to).copied();
        changes.extend(known.filter(|entry| !entry.state.is_present()));
        let body = ControlBody::Ping { number, changes };
        self.send(actions, SendClass::Probe, to, body, now);
        number
    }

    /// Returns whether the fault is likely on this side: nobody at all was
    /// heard, though there are more members than this process watches.
    fn is_cut_off(&self, now: MonotonicTime) -> bool {
        now.since(self.heard) >= SUSPICION_TIME && self.table.live_count() > WATCHERS + 1
    }

    fn suspect(&mut self, target: ProcessId, now: MonotonicTime) {
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

    fn refresh_watch(&mut self) {
        if self.watched_changes == self.table.change_count() {
            return;
        }
        self.watched_changes = self.table.change_count();
        let targets = watched_members(self.table.entries(), self.me.process.address);
        self.watch.set_targets(&targets);
    }

    fn ask_relays(
        &mut self,
        actions: &mut Vec<RosterAction>,
        silent: &SilentMember,
        now: MonotonicTime,
    ) {
        let target = silent.target;
        for _ in 0..RELAYS * silent.misses {
            let Some(to) = self.random_live().filter(|to| *to != target.address) else {
                continue;
            };
            let body = ControlBody::PingFor { target };
            self.send(actions, SendClass::Probe, to, body, now);
        }
    }
}
