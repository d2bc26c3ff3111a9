//! The members that a process knows, and what it does to keep them right.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::control::ControlBody;
use hyssopstair_wire::control::ControlMessage;
use hyssopstair_wire::control::MAX_ENTRIES;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::packet::PacketKind;
use hyssopstair_wire::packet::encode_packet;
use hyssopstair_wire::time::MonotonicTime;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::budget::SendBudget;
use crate::budget::SendClass;
use crate::digest::bucket_hashes;
use crate::members::MemberTable;
use crate::members::TOMBSTONE_TIME;
use crate::presence::PAUSE_LIMIT;
use crate::presence::PresenceState;
use crate::queue::ChangeQueue;
use crate::watch::PROBE_INTERVAL;
use crate::watch::SUSPICION_TIME;
use crate::watch::SilentMember;
use crate::watch::WATCHERS;
use crate::watch::WatchList;
use crate::watch::watched_members;

/// What the process that holds a roster is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterAction {
    /// Send a message to a member.
    Send {
        /// The inner address of the member.
        to: SocketAddrV4,
        /// The message.
        message: ControlMessage,
    },
}

/// Time between two rounds of changes.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);

/// Members that a round of changes is sent to.
pub const GOSSIP_FANOUT: usize = 3;

/// Time between two digests while rosters agree.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(10);

/// Time between two digests after one that differed, and after joining.
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);

/// How long a process compares rosters more often after it has joined, because
/// the members that it asked may have just joined too.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(30);

/// Time between two pings of a member that is gone, or of a contact.
pub const CONTACT_INTERVAL: Duration = Duration::from_secs(10);

/// How long a process that joins waits for a page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two attempts to join of a process that knows nobody.
const ALONE_INTERVAL: Duration = Duration::from_secs(1);

/// Other members that are asked to ping a silent one, times the rounds in which
/// it was silent: rare losses cost little, and many losses kill nobody.
const RELAYS: usize = 2;

/// How long an answer is passed on to the member that asked for it.
const RELAY_TIME: Duration = Duration::from_secs(2);

/// Addresses that are kept beside those of members.
const MAX_CONTACTS: usize = 64;

/// A ping on behalf of another member.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RelayRecord {
    pub(crate) number: u32,
    pub(crate) asker: SocketAddrV4,
    pub(crate) sent: MonotonicTime,
}

/// How far a process is in taking over the roster of others.
#[derive(Debug, Default)]
pub(crate) struct JoinProgress {
    pub(crate) done: bool,
    pub(crate) settled: MonotonicTime,
    pub(crate) after: Option<SocketAddrV4>,
    pub(crate) asked: Option<MonotonicTime>,
}

/// When each kind of round is due.
#[derive(Debug, Default)]
pub(crate) struct RoundTimes {
    pub(crate) gossip: MonotonicTime,
    pub(crate) probe: MonotonicTime,
    pub(crate) digest: MonotonicTime,
    pub(crate) contact: MonotonicTime,
}

/// The members that a process knows, itself included.
#[derive(Debug)]
pub struct RosterState {
    pub(crate) me: MemberEntry,
    pub(crate) table: MemberTable,
    pub(crate) queue: ChangeQueue,
    pub(crate) watch: WatchList,
    pub(crate) presence: PresenceState,
    pub(crate) join: JoinProgress,
    pub(crate) relays: Vec<RelayRecord>,
    pub(crate) rounds: RoundTimes,
    pub(crate) heard: MonotonicTime,
    pub(crate) random: StdRng,
    budget: SendBudget,
    contacts: Vec<SocketAddrV4>,
    watched_changes: u64,
    next_number: u32,
    version: u64,
}

impl RosterState {
    /// Creates the roster of the process that `me` describes.
    pub fn new(me: MemberEntry, seed: u64) -> Self {
        let mut table = MemberTable::default();
        table.merge(&me, MonotonicTime::default());
        Self {
            me,
            table,
            queue: ChangeQueue::default(),
            watch: WatchList::default(),
            presence: PresenceState::default(),
            join: JoinProgress::default(),
            relays: Vec::new(),
            rounds: RoundTimes::default(),
            heard: MonotonicTime::default(),
            random: StdRng::seed_from_u64(seed),
            budget: SendBudget::default(),
            contacts: Vec::new(),
            watched_changes: 0,
            next_number: 0,
            version: 0,
        }
    }

    /// Returns the entry of the process itself. Its incarnation grows when
    /// another process is found to have had a higher one at the same address.
    pub fn me(&self) -> &MemberEntry {
        &self.me
    }

    /// Returns all members, sorted by address, those that are gone included.
    pub fn members(&self) -> &[MemberEntry] {
        self.table.entries()
    }

    /// Returns the number of members that are not gone.
    pub fn live(&self) -> usize {
        self.table.live()
    }

    /// Returns a number that grows with each change of a member.
    pub fn changes(&self) -> u64 {
        self.table.changes()
    }

    /// Returns the number of changes that are still to be passed on.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether the process may take new work: another member has
    /// answered since it started or was paused, or there is none to ask.
    pub fn is_confirmed(&self, now: MonotonicTime) -> bool {
        self.presence.is_confirmed(now)
    }

    /// Returns whether the process has taken over the roster of others, or
    /// found none.
    pub fn is_joined(&self) -> bool {
        self.join.done
    }

    /// Adds an address where a member may be found.
    pub fn add_contact(&mut self, address: SocketAddrV4) {
        if address == self.me.process.address || self.contacts.contains(&address) {
            return;
        }
        if self.contacts.len() == MAX_CONTACTS {
            let index = self.random.random_range(0..MAX_CONTACTS);
            self.contacts.swap_remove(index);
        }
        self.contacts.push(address);
    }

    /// Takes entries without passing them on.
    pub fn insert_known(&mut self, entries: &[MemberEntry], now: MonotonicTime) {
        for entry in entries {
            if entry.process.address != self.me.process.address {
                self.table.merge(entry, now);
            }
        }
    }

    /// Changes what the process says about itself.
    pub fn declare(&mut self, state: MemberState, now: MonotonicTime) {
        if self.me.state == state {
            return;
        }
        self.me.state = state;
        self.me.counter += 1;
        self.announce(now);
    }

    /// Changes the role that the process announces.
    pub fn declare_role(&mut self, role: MemberRole, now: MonotonicTime) {
        if self.me.role == role {
            return;
        }
        self.me.role = role;
        self.me.counter += 1;
        self.announce(now);
    }

    /// Returns messages that tell other members at once.
    pub fn farewell(&mut self, version: u64, now: MonotonicTime) -> Vec<RosterAction> {
        self.version = version;
        let mut actions = Vec::new();
        for _ in 0..GOSSIP_FANOUT {
            let body = ControlBody::Changes(vec![self.me]);
            if let Some(to) = self.random_live() {
                self.send(&mut actions, SendClass::Probe, to, body, now);
            }
        }
        actions
    }

    /// Does what is due.
    pub fn tick(&mut self, version: u64, now: MonotonicTime) -> Vec<RosterAction> {
        self.version = version;
        let gap = self.presence.tick(now);
        if gap >= PAUSE_LIMIT {
            self.wake(now);
        } else if gap >= PROBE_INTERVAL {
            self.watch.forgive();
        }
        let mut actions = Vec::new();
        self.join_round(&mut actions, now);
        if now >= self.rounds.gossip {
            self.rounds.gossip = now + GOSSIP_INTERVAL;
            self.wake_round(&mut actions, now);
            self.gossip_round(&mut actions, now);
        }
        if now >= self.rounds.probe {
            self.rounds.probe = now + PROBE_INTERVAL;
            self.table.forget_gone(now);
            self.probe_round(&mut actions, now);
        }
        if now >= self.rounds.digest {
            let interval = if now < self.join.settled {
                REPAIR_INTERVAL
            } else {
                DIGEST_INTERVAL
            };
            self.rounds.digest = now + self.jittered(interval);
            self.digest_round(&mut actions, now);
        }
        if now >= self.rounds.contact {
            self.rounds.contact = now + self.jittered(CONTACT_INTERVAL);
            self.contact_round(&mut actions, now);
        }
        actions
    }

    /// Tells others what the process says about itself.
    pub(crate) fn announce(&mut self, now: MonotonicTime) {
        let me = self.me;
        self.table.merge(&me, now);
        self.queue.push(me.process.address, self.table.live());
    }

    /// Takes an incarnation above one that another process had at the address.
    pub(crate) fn raise_incarnation(&mut self, above: HostIncarnation, now: MonotonicTime) {
        self.me.process.incarnation = HostIncarnation(above.0.saturating_add(1));
        self.me.counter = 0;
        self.presence.wake(self.next_number);
        self.announce(now);
    }

    /// Sends a message if the budget allows it, and returns whether it did.
    pub(crate) fn send(
        &mut self,
        actions: &mut Vec<RosterAction>,
        class: SendClass,
        to: SocketAddrV4,
        body: ControlBody,
        now: MonotonicTime,
    ) -> bool {
        let message = ControlMessage {
            sender: self.me.process,
            version: self.version,
            body,
        };
        let length = encode_packet(PacketKind::Control, &message, &[]).map_or(0, |it| it.len());
        let allowed = self.budget.take(class, length, now);
        if allowed {
            actions.push(RosterAction::Send { to, message });
        }
        allowed
    }

    pub(crate) fn has_room(&mut self, class: SendClass, now: MonotonicTime) -> bool {
        self.budget.has_room(class, now)
    }

    pub(crate) fn random_live(&mut self) -> Option<SocketAddrV4> {
        let me = self.me.process.address;
        self.table.random_live(me, &mut self.random)
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
        changes.extend(known.filter(|entry| entry.state == MemberState::Gone));
        let body = ControlBody::Ping { number, changes };
        self.send(actions, SendClass::Probe, to, body, now);
        number
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

    /// Compares rosters again soon.
    pub(crate) fn hasten_digest(&mut self, now: MonotonicTime) {
        let soon = now + self.jittered(REPAIR_INTERVAL);
        self.rounds.digest = self.rounds.digest.min(soon);
    }

    /// Puts the process in doubt after a pause.
    fn wake(&mut self, now: MonotonicTime) {
        self.watch.forgive();
        if now.since(self.heard) >= TOMBSTONE_TIME / 2 {
            self.start_over();
        }
        self.presence.wake(self.next_number);
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

    fn join_round(&mut self, actions: &mut Vec<RosterAction>, now: MonotonicTime) {
        let alone = self.table.live() <= 1;
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

    fn wake_round(&mut self, actions: &mut Vec<RosterAction>, now: MonotonicTime) {
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

    fn gossip_round(&mut self, actions: &mut Vec<RosterAction>, now: MonotonicTime) {
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
            let addresses = self.queue.take(MAX_ENTRIES);
            let entries = addresses
                .iter()
                .filter_map(|address| self.table.find(*address).copied())
                .collect();
            let body = ControlBody::Changes(entries);
            self.send(actions, SendClass::Change, to, body, now);
        }
    }

    fn probe_round(&mut self, actions: &mut Vec<RosterAction>, now: MonotonicTime) {
        self.relays
            .retain(|relay| now.since(relay.sent) < RELAY_TIME);
        if !self.presence.is_confirmed(now) {
            return;
        }
        let round = self.watch.end_round(now);
        if !self.is_cut_off(now) {
            for target in &round.failed {
                self.declare_gone(*target, now);
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

    /// Returns whether the fault is likely on this side: nobody at all was
    /// heard, though there are more members than this process watches.
    fn is_cut_off(&self, now: MonotonicTime) -> bool {
        now.since(self.heard) >= SUSPICION_TIME && self.table.live() > WATCHERS + 1
    }

    fn declare_gone(&mut self, target: ProcessId, now: MonotonicTime) {
        let Some(known) = self.table.find(target.address) else {
            return;
        };
        if known.process != target {
            return;
        }
        let entry = MemberEntry {
            state: MemberState::Gone,
            ..*known
        };
        if self.table.merge(&entry, now) {
            self.queue.push(target.address, self.table.live());
        }
    }

    fn refresh_watch(&mut self) {
        if self.watched_changes == self.table.changes() {
            return;
        }
        self.watched_changes = self.table.changes();
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

    fn digest_round(&mut self, actions: &mut Vec<RosterAction>, now: MonotonicTime) {
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
    fn contact_round(&mut self, actions: &mut Vec<RosterAction>, now: MonotonicTime) {
        let gone = self.table.random_gone(&mut self.random);
        let address = gone.or_else(|| self.random_contact());
        let Some(to) = address.filter(|to| *to != self.me.process.address) else {
            return;
        };
        let known = self.table.find(to);
        if known.is_none_or(|entry| entry.state == MemberState::Gone) {
            self.ping(actions, to, now);
        }
    }

    fn random_contact(&mut self) -> Option<SocketAddrV4> {
        if self.contacts.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..self.contacts.len());
        Some(self.contacts[index])
    }

    fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.random.random_range(0.75..1.25))
    }
}
