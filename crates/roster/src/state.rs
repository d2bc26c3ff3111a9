//! The members that a process knows, and when it does what keeps them right.

use std::net::SocketAddrV4;

use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::control::ControlBody;
use hyssopstair_wire::control::ControlMessage;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::packet::PacketKind;
use hyssopstair_wire::packet::encode_packet;
use hyssopstair_wire::time::MonotonicTime;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::budget::SendBudget;
use crate::budget::SendClass;
use crate::contacts::ContactList;
use crate::gossip::GOSSIP_FANOUT;
use crate::gossip::GOSSIP_INTERVAL;
use crate::join::JoinProgress;
use crate::members::MemberTable;
use crate::presence::PAUSE_LIMIT;
use crate::presence::PresenceState;
use crate::probe::RelayRecord;
use crate::queue::ChangeQueue;
use crate::repair::CONTACT_INTERVAL;
use crate::watch::PROBE_INTERVAL;
use crate::watch::WatchList;

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
    pub(crate) contacts: ContactList,
    /// The absent member that was tried last.
    pub(crate) last_absent: SocketAddrV4,
    pub(crate) watched_changes: u64,
    pub(crate) next_number: u32,
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
            contacts: ContactList::default(),
            last_absent: me.process.address,
            watched_changes: 0,
            next_number: 0,
            version: 0,
        }
    }

    /// Returns the entry of the process itself. Its incarnation grows when
    /// another process is found to have had a higher one at the same address.
    pub fn own_entry(&self) -> &MemberEntry {
        &self.me
    }

    /// Returns all members, sorted by address, those that are gone included.
    pub fn members(&self) -> &[MemberEntry] {
        self.table.entries()
    }

    /// Returns the number of members that are present.
    pub fn live_count(&self) -> usize {
        self.table.live_count()
    }

    /// Returns a number that grows with each change of a member.
    pub fn change_count(&self) -> u64 {
        self.table.change_count()
    }

    /// Returns the number of changes that are still to be passed on.
    pub fn queued_changes(&self) -> usize {
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
        if address != self.me.process.address {
            self.contacts.add(address, &mut self.random);
        }
    }

    /// Takes entries without passing them on.
    pub fn merge_entries(&mut self, entries: &[MemberEntry], now: MonotonicTime) {
        for entry in entries {
            if entry.process.address != self.me.process.address {
                self.table.merge(entry, now);
            }
        }
    }

    /// Changes what the process says about itself.
    pub fn set_state(&mut self, state: MemberState, now: MonotonicTime) {
        if self.me.state == state {
            return;
        }
        self.me.state = state;
        self.me.counter += 1;
        self.announce(now);
    }

    /// Changes the role that the process announces.
    pub fn set_role(&mut self, role: MemberRole, now: MonotonicTime) {
        if self.me.role == role {
            return;
        }
        self.me.role = role;
        self.me.counter += 1;
        self.announce(now);
    }

    /// Returns messages that tell other members at once.
    pub fn announce_immediately(&mut self, version: u64, now: MonotonicTime) -> Vec<RosterAction> {
        self.version = version;
        let mut actions = Vec::new();
        if self.presence.is_starting() {
            return actions;
        }
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
            self.table.give_up_suspects(now);
            self.table.forget_gone(now);
            self.probe_round(&mut actions, now);
        }
        if now >= self.rounds.digest {
            self.schedule_digest(now);
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
        self.queue.push(me.process.address, self.table.live_count());
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

    pub(crate) fn random_contact(&mut self) -> Option<SocketAddrV4> {
        self.contacts.choose(&mut self.random)
    }

    pub(crate) fn random_live(&mut self) -> Option<SocketAddrV4> {
        let me = self.me.process.address;
        self.table.random_live(me, &mut self.random)
    }
}
