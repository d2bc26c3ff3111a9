//! Handling of the messages that other members send.

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
use crate::digest::differing_indexes;
use crate::digest::leaf_entries;
use crate::digest::leaf_hashes;
use crate::join::SETTLE_TIME;
use crate::probe::IndirectPing;
use crate::runs::apply_run_change;
use crate::runs::decode_run;
use crate::state::RosterAction;
use crate::state::RosterState;

/// Maximum number of buckets that are repaired in answer to one digest.
const MAX_REPAIRED_BUCKETS: usize = 8;

/// Maximum number of other members that a process names to a joining one when its
/// send budget does not allow a page.
const MAX_REFERRALS: usize = 3;

/// Maximum number of indirect pings that await an answer at once.
const MAX_INDIRECT_PINGS: usize = 64;

impl RosterState {
    /// Handles a message of another member and returns the messages to send.
    pub fn receive(&mut self, message: &ControlMessage, now: MonotonicTime) -> Vec<RosterAction> {
        let mut actions = Vec::new();
        let sender = message.sender;
        if sender.address == self.own_entry.process.address {
            return actions;
        }
        self.last_received = now;
        // A starting process does not know yet whether its incarnation is the
        // highest at its address, and its answer would announce a wrong one.
        if self.presence.is_starting() && message.body.compares_rosters() {
            return actions;
        }
        match &message.body {
            ControlBody::Changes(entries) => self.merge_and_enqueue(entries, now),
            ControlBody::Run {
                state,
                first,
                members,
            } => self.merge_run(*state, *first, members, now),
            ControlBody::Ping { number, changes } => {
                self.merge_and_enqueue(changes, now);
                self.handle_ping(&mut actions, sender, *number, changes, now);
            }
            ControlBody::Pong { number, changes } => {
                self.merge_and_enqueue(changes, now);
                self.handle_pong(&mut actions, sender, *number, now);
            }
            ControlBody::PingFor { target } => {
                self.handle_ping_request(&mut actions, sender.address, *target, now);
            }
            ControlBody::Heard { target } => self.watch_list.record_answer(*target),
            ControlBody::Digest { salt, buckets } => {
                self.handle_digest(&mut actions, sender.address, *salt, buckets, now);
            }
            ControlBody::Leaves {
                salt,
                bucket,
                leaves,
            } => {
                let bucket = usize::from(*bucket);
                self.handle_leaves(&mut actions, sender.address, *salt, bucket, leaves, now);
            }
            ControlBody::Fill {
                bucket,
                leaves,
                entries,
            } => {
                let bucket = usize::from(*bucket);
                self.handle_fill(&mut actions, sender.address, bucket, *leaves, entries, now);
            }
            ControlBody::Join { after } => {
                self.handle_join(&mut actions, sender.address, *after, now);
            }
            ControlBody::Page {
                after,
                known,
                entries,
                more,
            } if *after == self.join.page_after => {
                self.handle_page(&mut actions, known.as_ref(), entries, *more, now);
            }
            ControlBody::Page { .. } => {}
        }
        actions
    }

    /// Merges entries and enqueues those that changed the roster for gossip.
    fn merge_and_enqueue(&mut self, entries: &[MemberEntry], now: MonotonicTime) {
        for entry in entries {
            if entry.process.address == self.own_entry.process.address {
                self.handle_own_entry(entry, now);
            } else if self.table.merge(entry, now) {
                let live_count = self.table.live_count();
                self.queue.push(entry.process.address, live_count);
            }
        }
    }

    /// Merges the members of a run that match their known entries.
    fn merge_run(
        &mut self,
        state: MemberState,
        first: SocketAddrV4,
        members: &[RunMember],
        now: MonotonicTime,
    ) {
        for (address, check) in decode_run(first, members) {
            let known = self.table.find(address);
            let entry = known.and_then(|known| apply_run_change(known, state, check));
            if let Some(entry) = entry {
                self.merge_and_enqueue(&[entry], now);
            }
        }
    }

    /// Refutes an entry of another member about the address of this process.
    fn handle_own_entry(&mut self, entry: &MemberEntry, now: MonotonicTime) {
        if self.own_entry.state == MemberState::Gone {
            return;
        }
        let mine = self.own_entry.process.incarnation;
        let theirs = entry.process.incarnation;
        // Before the first announcement, an entry of the same incarnation
        // belongs to an earlier process at this address.
        if theirs > mine || (theirs == mine && self.presence.is_starting()) {
            self.raise_incarnation(theirs, now);
        } else if theirs == mine && entry.precedence() > self.own_entry.precedence() {
            self.own_entry.counter = entry.counter + 1;
            self.announce_own_entry(now);
        }
    }

    /// Answers a ping. The answer includes the known entry of the sender if the
    /// sender must refute it, and the entry of this process if the sender sent one
    /// about it.
    fn handle_ping(
        &mut self,
        actions: &mut Vec<RosterAction>,
        sender: ProcessId,
        number: u32,
        sender_changes: &[MemberEntry],
        now: MonotonicTime,
    ) {
        let mut changes = Vec::new();
        let known = self.table.find(sender.address).copied();
        changes.extend(known.filter(|entry| contradicts_sender(sender, entry)));
        let own_address = self.own_entry.process.address;
        let is_announced = !self.presence.is_starting();
        if is_announced
            && sender_changes
                .iter()
                .any(|entry| entry.process.address == own_address)
        {
            changes.push(self.own_entry);
        }
        let body = ControlBody::Pong { number, changes };
        self.send(actions, SendClass::Probe, sender.address, body, now);
    }

    /// Records an answer to a ping, and reports it to the member on whose behalf
    /// the ping was sent, if any.
    fn handle_pong(
        &mut self,
        actions: &mut Vec<RosterAction>,
        sender: ProcessId,
        number: u32,
        now: MonotonicTime,
    ) {
        self.watch_list.record_answer(sender);
        self.presence.record_pong(number);
        let Some(index) = self
            .indirect_pings
            .iter()
            .position(|indirect_ping| indirect_ping.ping_number == number)
        else {
            return;
        };
        let requester = self.indirect_pings.swap_remove(index).requester;
        let body = ControlBody::Heard { target: sender };
        self.send(actions, SendClass::Probe, requester, body, now);
    }

    /// Sends an indirect ping: pings a member on behalf of `requester`.
    fn handle_ping_request(
        &mut self,
        actions: &mut Vec<RosterAction>,
        requester: SocketAddrV4,
        target: ProcessId,
        now: MonotonicTime,
    ) {
        if self.indirect_pings.len() >= MAX_INDIRECT_PINGS || target == self.own_entry.process {
            return;
        }
        let ping_number = self.send_ping(actions, target.address, now);
        self.indirect_pings.push(IndirectPing {
            ping_number,
            requester,
            sent_at: now,
        });
    }

    /// Compares bucket hashes and answers with the leaf hashes of buckets that
    /// differ.
    fn handle_digest(
        &mut self,
        actions: &mut Vec<RosterAction>,
        to: SocketAddrV4,
        salt: u32,
        theirs: &[u16],
        now: MonotonicTime,
    ) {
        let mine = bucket_hashes(self.table.entries(), salt);
        let mut buckets = differing_indexes(&mine, theirs);
        if !buckets.is_empty() {
            self.schedule_repair_digest(now);
        }
        for _ in 0..MAX_REPAIRED_BUCKETS.min(buckets.len()) {
            if !self.can_send_longest(SendClass::Repair, now) {
                return;
            }
            let index = self.rng.random_range(0..buckets.len());
            let bucket = buckets.swap_remove(index);
            let body = ControlBody::Leaves {
                salt,
                bucket: bucket as u8,
                leaves: leaf_hashes(self.table.entries(), salt, bucket),
            };
            self.send(actions, SendClass::Repair, to, body, now);
        }
    }

    /// Compares leaf hashes and answers with the entries of leaves that differ.
    fn handle_leaves(
        &mut self,
        actions: &mut Vec<RosterAction>,
        to: SocketAddrV4,
        salt: u32,
        bucket: usize,
        theirs: &[u16],
        now: MonotonicTime,
    ) {
        if !self.can_send_longest(SendClass::Repair, now) {
            return;
        }
        self.schedule_repair_digest(now);
        let mine = leaf_hashes(self.table.entries(), salt, bucket);
        let mut leaves = 0;
        let mut entries = Vec::new();
        for leaf in differing_indexes(&mine, theirs) {
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

    /// Merges the entries of leaves that differ, and answers with those that the
    /// sender is missing.
    fn handle_fill(
        &mut self,
        actions: &mut Vec<RosterAction>,
        to: SocketAddrV4,
        bucket: usize,
        leaves: u64,
        theirs: &[MemberEntry],
        now: MonotonicTime,
    ) {
        let mine = leaf_entries(self.table.entries(), bucket, leaves);
        let mut missing: Vec<MemberEntry> = mine
            .into_iter()
            .filter(|entry| lacks_entry(theirs, entry))
            .collect();
        missing.truncate(MAX_ENTRIES);
        for entry in theirs {
            // An absent member whose entry was already evicted here is not added
            // again.
            let known = self.table.find(entry.process.address).is_some();
            if known || entry.state.is_present() {
                self.merge_and_enqueue(std::slice::from_ref(entry), now);
            }
        }
        if !missing.is_empty() {
            let body = ControlBody::Changes(missing);
            self.send(actions, SendClass::Repair, to, body, now);
        }
    }

    /// Answers a request for a page, or names other members if the send budget
    /// does not allow a page.
    fn handle_join(
        &mut self,
        actions: &mut Vec<RosterAction>,
        to: SocketAddrV4,
        after: Option<SocketAddrV4>,
        now: MonotonicTime,
    ) {
        if !self.can_send_longest(SendClass::Repair, now) {
            self.send_referrals(actions, to, now);
            return;
        }
        // A starting process does not know yet whether its incarnation is the
        // highest at its address.
        let unannounced_process = self
            .presence
            .is_starting()
            .then_some(self.own_entry.process);
        let is_live = |entry: &&MemberEntry| {
            entry.state.is_present() && Some(entry.process) != unannounced_process
        };
        let mut entries: Vec<MemberEntry> = self
            .table
            .entries_above(after)
            .iter()
            .filter(is_live)
            .take(MAX_ENTRIES)
            .copied()
            .collect();
        let more = entries.len() == MAX_ENTRIES;
        // Leaves room for the entry of the joining process in `known`.
        entries.truncate(MAX_ENTRIES - 1);
        let body = ControlBody::Page {
            after,
            known: self.table.find(to).copied(),
            entries,
            more,
        };
        self.send(actions, SendClass::Repair, to, body, now);
    }

    /// Names other members that a joining process can request pages from.
    fn send_referrals(
        &mut self,
        actions: &mut Vec<RosterAction>,
        to: SocketAddrV4,
        now: MonotonicTime,
    ) {
        let mut entries = Vec::new();
        for _ in 0..MAX_REFERRALS {
            let address = self.random_live();
            entries.extend(address.and_then(|address| self.table.find(address)));
        }
        let body = ControlBody::Changes(entries);
        self.send(actions, SendClass::Change, to, body, now);
    }

    /// Merges a page of another member's roster and requests the next one.
    fn handle_page(
        &mut self,
        actions: &mut Vec<RosterAction>,
        known: Option<&MemberEntry>,
        entries: &[MemberEntry],
        more: bool,
        now: MonotonicTime,
    ) {
        if let Some(entry) = known {
            self.handle_own_entry(entry, now);
        }
        if self.presence.is_starting() {
            self.presence.record_page();
            self.announce_own_entry(now);
        }
        self.merge_entries(entries, now);
        if more {
            self.join.page_after = entries.last().map(|entry| entry.process.address);
            self.request_page(actions, now);
        } else {
            self.join.page_after = None;
            self.join.is_complete = true;
            self.join.settling_until = now + SETTLE_TIME;
            // Announced again, because the number of times that a change is sent
            // grows with the number of known members, few of which were known at
            // the first announcement.
            self.announce_own_entry(now);
            self.schedule_repair_digest(now);
        }
    }
}

/// Returns whether `entry`, which has the sender's address, contradicts that
/// `sender` is alive.
fn contradicts_sender(sender: ProcessId, entry: &MemberEntry) -> bool {
    let is_gone = !entry.state.is_present() && entry.process.incarnation == sender.incarnation;
    is_gone || entry.process.incarnation > sender.incarnation
}

/// Returns whether a process that holds `entries` is missing `entry`, or holds an
/// older one of the same address.
fn lacks_entry(entries: &[MemberEntry], entry: &MemberEntry) -> bool {
    let found = entries
        .iter()
        .find(|known| known.process.address == entry.process.address);
    match found {
        Some(known) => entry.precedence() > known.precedence(),
        None => entry.state.is_present(),
    }
}
