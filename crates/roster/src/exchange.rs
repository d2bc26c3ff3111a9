//! What a roster does with the messages of other members.

use std::net::SocketAddrV4;

use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::control::ControlBody;
use hyssopstair_wire::control::ControlMessage;
use hyssopstair_wire::control::MAX_ENTRIES;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::control::RunMember;
use hyssopstair_wire::time::MonotonicTime;
use rand::RngExt;

use crate::budget::SendClass;
use crate::digest::bucket_hashes;
use crate::digest::differing;
use crate::digest::leaf_entries;
use crate::digest::leaf_hashes;
use crate::join::SETTLE_TIME;
use crate::probe::RelayRecord;
use crate::runs::decode_run;
use crate::runs::entry_after;
use crate::state::RosterAction;
use crate::state::RosterState;

/// Buckets that one digest repairs at most.
const MAX_BUCKETS: usize = 8;

/// Other members that a process without room for a page names.
const REFERRALS: usize = 3;

/// Pings on behalf of others that are remembered at once.
const MAX_RELAYS: usize = 64;

impl RosterState {
    /// Takes in a message.
    pub fn receive(&mut self, message: &ControlMessage, now: MonotonicTime) -> Vec<RosterAction> {
        let mut actions = Vec::new();
        let sender = message.sender;
        if sender.address == self.me.process.address {
            return actions;
        }
        self.heard = now;
        // A process that starts has not found its incarnation yet, and would
        // announce the wrong one.
        if self.presence.is_starting() && message.body.compares_rosters() {
            return actions;
        }
        match &message.body {
            ControlBody::Changes(entries) => self.learn(entries, now),
            ControlBody::Run {
                state,
                first,
                members,
            } => self.learn_run(*state, *first, members, now),
            ControlBody::Ping { number, changes } => {
                self.learn(changes, now);
                self.answer_ping(&mut actions, sender, *number, changes, now);
            }
            ControlBody::Pong { number, changes } => {
                self.learn(changes, now);
                self.take_pong(&mut actions, sender, *number, now);
            }
            ControlBody::PingFor { target } => {
                self.ping_for(&mut actions, sender.address, *target, now);
            }
            ControlBody::Heard { target } => self.watch.hear(*target),
            ControlBody::Digest { salt, buckets } => {
                self.answer_digest(&mut actions, sender.address, *salt, buckets, now);
            }
            ControlBody::Leaves {
                salt,
                bucket,
                leaves,
            } => {
                let bucket = usize::from(*bucket);
                self.answer_leaves(&mut actions, sender.address, *salt, bucket, leaves, now);
            }
            ControlBody::Fill {
                bucket,
                leaves,
                entries,
            } => {
                let bucket = usize::from(*bucket);
                self.answer_fill(&mut actions, sender.address, bucket, *leaves, entries, now);
            }
            ControlBody::Join { after } => {
                self.answer_join(&mut actions, sender.address, *after, now);
            }
            ControlBody::Page {
                after,
                known,
                entries,
                more,
            } if *after == self.join.after => {
                self.take_page(&mut actions, known.as_ref(), entries, *more, now);
            }
            ControlBody::Page { .. } => {}
        }
        actions
    }

    /// Takes entries and passes on those that are news.
    fn learn(&mut self, entries: &[MemberEntry], now: MonotonicTime) {
        for entry in entries {
            if entry.process.address == self.me.process.address {
                self.hear_of_me(entry, now);
            } else if self.table.merge(entry, now) {
                let live = self.table.live_count();
                self.queue.push(entry.process.address, live);
            }
        }
    }

    fn learn_run(
        &mut self,
        state: MemberState,
        first: SocketAddrV4,
        members: &[RunMember],
        now: MonotonicTime,
    ) {
        for (address, check) in decode_run(first, members) {
            let known = self.table.find(address);
            let entry = known.and_then(|known| entry_after(known, state, check));
            if let Some(entry) = entry {
                self.learn(&[entry], now);
            }
        }
    }

    /// Answers what others say about the address of this process.
    fn hear_of_me(&mut self, entry: &MemberEntry, now: MonotonicTime) {
        if self.me.state == MemberState::Gone {
            return;
        }
        let mine = self.me.process.incarnation;
        let theirs = entry.process.incarnation;
        // Before the first announcement, an entry of the same incarnation is
        // that of an earlier process.
        if theirs > mine || (theirs == mine && self.presence.is_starting()) {
            self.raise_incarnation(theirs, now);
        } else if theirs == mine && entry.precedence() > self.me.precedence() {
            self.me.counter = entry.counter + 1;
            self.announce(now);
        }
    }

    fn answer_ping(
        &mut self,
        actions: &mut Vec<RosterAction>,
        sender: ProcessId,
        number: u32,
        said: &[MemberEntry],
        now: MonotonicTime,
    ) {
        let mut changes = Vec::new();
        let known = self.table.find(sender.address).copied();
        changes.extend(known.filter(|entry| is_wrong(sender, entry)));
        let me = self.me.process.address;
        let announced = !self.presence.is_starting();
        if announced && said.iter().any(|entry| entry.process.address == me) {
            changes.push(self.me);
        }
        let body = ControlBody::Pong { number, changes };
        self.send(actions, SendClass::Probe, sender.address, body, now);
    }

    fn take_pong(
        &mut self,
        actions: &mut Vec<RosterAction>,
        sender: ProcessId,
        number: u32,
        now: MonotonicTime,
    ) {
        self.watch.hear(sender);
        self.presence.answer(number);
        let Some(index) = self.relays.iter().position(|relay| relay.number == number) else {
            return;
        };
        let asker = self.relays.swap_remove(index).asker;
        let body = ControlBody::Heard { target: sender };
        self.send(actions, SendClass::Probe, asker, body, now);
    }

    fn ping_for(
        &mut self,
        actions: &mut Vec<RosterAction>,
        asker: SocketAddrV4,
        target: ProcessId,
        now: MonotonicTime,
    ) {
        if self.relays.len() >= MAX_RELAYS || target == self.me.process {
            return;
        }
        let number = self.ping(actions, target.address, now);
        self.relays.push(RelayRecord {
            number,
            asker,
            sent: now,
        });
    }

    fn answer_digest(
        &mut self,
        actions: &mut Vec<RosterAction>,
        to: SocketAddrV4,
        salt: u32,
        theirs: &[u16],
        now: MonotonicTime,
    ) {
        let mine = bucket_hashes(self.table.entries(), salt);
        let mut buckets = differing(&mine, theirs);
        if !buckets.is_empty() {
            self.hasten_digest(now);
        }
        for _ in 0..MAX_BUCKETS.min(buckets.len()) {
            if !self.has_room(SendClass::Repair, now) {
                return;
            }
            let index = self.random.random_range(0..buckets.len());
            let bucket = buckets.swap_remove(index);
            let body = ControlBody::Leaves {
                salt,
                bucket: bucket as u8,
                leaves: leaf_hashes(self.table.entries(), salt, bucket),
            };
            self.send(actions, SendClass::Repair, to, body, now);
        }
    }

    fn answer_leaves(
        &mut self,
        actions: &mut Vec<RosterAction>,
        to: SocketAddrV4,
        salt: u32,
        bucket: usize,
        theirs: &[u16],
        now: MonotonicTime,
    ) {
        if !self.has_room(SendClass::Repair, now) {
            return;
        }
        self.hasten_digest(now);
        let mine = leaf_hashes(self.table.entries(), salt, bucket);
        let mut leaves = 0;
        let mut entries = Vec::new();
        for leaf in differing(&mine, theirs) {
            let found = leaf_entries(self.table.entries(), bucket, 1 << leaf);
            if !entries.is_empty() && entries.len() + found.len() > MAX_ENTRIES {
                break;
            }
            leaves |= 1 << leaf;
            entries.extend(found);
        }
        entries.truncate(MAX_ENTRIES);
        let body = ControlBody::Fill {
            bucket: bucket as u8,
            leaves,
            entries,
        };
        self.send(actions, SendClass::Repair, to, body, now);
    }

    fn answer_fill(
        &mut self,
        actions: &mut Vec<RosterAction>,
        to: SocketAddrV4,
        bucket: usize,
        leaves: u64,
        theirs: &[MemberEntry],
        now: MonotonicTime,
    ) {
        let mine = leaf_entries(self.table.entries(), bucket, leaves);
        let mut lacking: Vec<MemberEntry> = mine
            .into_iter()
            .filter(|entry| lacks(theirs, entry))
            .collect();
        lacking.truncate(MAX_ENTRIES);
        for entry in theirs {
            // Whoever is gone and already forgotten here need not be known again.
            let known = self.table.find(entry.process.address).is_some();
            if known || entry.state.is_present() {
                self.learn(std::slice::from_ref(entry), now);
            }
        }
        if !lacking.is_empty() {
            let body = ControlBody::Changes(lacking);
            self.send(actions, SendClass::Repair, to, body, now);
        }
    }

    fn answer_join(
        &mut self,
        actions: &mut Vec<RosterAction>,
        to: SocketAddrV4,
        after: Option<SocketAddrV4>,
        now: MonotonicTime,
    ) {
        if !self.has_room(SendClass::Repair, now) {
            self.refer(actions, to, now);
            return;
        }
        // A process that starts has not found its incarnation yet.
        let unannounced = self.presence.is_starting().then_some(self.me.process);
        let live =
            |entry: &&MemberEntry| entry.state.is_present() && Some(entry.process) != unannounced;
        let mut entries: Vec<MemberEntry> = self
            .table
            .above(after)
            .iter()
            .filter(live)
            .take(MAX_ENTRIES)
            .copied()
            .collect();
        let more = entries.len() == MAX_ENTRIES;
        // Leaves room for the entry of the process that joins.
        entries.truncate(MAX_ENTRIES - 1);
        let body = ControlBody::Page {
            after,
            known: self.table.find(to).copied(),
            entries,
            more,
        };
        self.send(actions, SendClass::Repair, to, body, now);
    }

    /// Names other members to a process that joins, who can give it pages.
    fn refer(&mut self, actions: &mut Vec<RosterAction>, to: SocketAddrV4, now: MonotonicTime) {
        let mut entries = Vec::new();
        for _ in 0..REFERRALS {
            let address = self.random_live();
            entries.extend(address.and_then(|address| self.table.find(address)));
        }
        let body = ControlBody::Changes(entries);
        self.send(actions, SendClass::Change, to, body, now);
    }

    fn take_page(
        &mut self,
        actions: &mut Vec<RosterAction>,
        known: Option<&MemberEntry>,
        entries: &[MemberEntry],
        more: bool,
        now: MonotonicTime,
    ) {
        if let Some(entry) = known {
            self.hear_of_me(entry, now);
        }
        if self.presence.is_starting() {
            self.presence.welcome();
            self.announce(now);
        }
        self.merge_entries(entries, now);
        if more {
            self.join.after = entries.last().map(|entry| entry.process.address);
            self.ask_page(actions, now);
        } else {
            self.join.after = None;
            self.join.done = true;
            self.join.settled = now + SETTLE_TIME;
            // Said again, because how often it is said grows with the number
            // of members that are known.
            self.announce(now);
            self.hasten_digest(now);
        }
    }
}

/// Returns whether an entry contradicts that its member is alive as `sender`.
fn is_wrong(sender: ProcessId, entry: &MemberEntry) -> bool {
    let gone = !entry.state.is_present() && entry.process.incarnation == sender.incarnation;
    gone || entry.process.incarnation > sender.incarnation
}

/// Returns whether a process with these entries lacks an entry.
fn lacks(entries: &[MemberEntry], entry: &MemberEntry) -> bool {
    let found = entries
        .iter()
        .find(|known| known.process.address == entry.process.address);
    match found {
        Some(known) => entry.precedence() > known.precedence(),
        None => entry.state.is_present(),
    }
}
