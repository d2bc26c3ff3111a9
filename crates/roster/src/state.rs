//! The members that a process knows, and the schedule of the rounds that keep
//! them up to date.

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
use crate::probe::IndirectPing;
use crate::queue::ChangeQueue;
use crate::repair::CONTACT_INTERVAL;
use crate::watch::PROBE_INTERVAL;
use crate::watch::WatchList;

/// An action that the owner of a roster must take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterAction {
    /// Send a message to a member.
    Send {
        /// The inner address of the member.
        to: SocketAddrV4,
        /// The message to send.
        message: ControlMessage,
    },
}

/// When each kind of round is due next.
#[derive(Debug, Default)]
pub(crate) struct RoundSchedule {
    pub(crate) gossip: MonotonicTime,
    pub(crate) probe: MonotonicTime,
    pub(crate) digest: MonotonicTime,
    pub(crate) contact: MonotonicTime,
}

/// The members that a process knows, including itself.
#[derive(Debug)]
pub struct RosterState {
    pub(crate) own_entry: MemberEntry,
    pub(crate) table: MemberTable,
    pub(crate) queue: ChangeQueue,
    pub(crate) watch_list: WatchList,
    pub(crate) presence: PresenceState,
    pub(crate) join: JoinProgress,
    pub(crate) indirect_pings: Vec<IndirectPing>,
    pub(crate) schedule: RoundSchedule,
    /// When the last message of another process was received.
    pub(crate) last_received: MonotonicTime,
    pub(crate) rng: StdRng,
    budget: SendBudget,
    pub(crate) contacts: ContactList,
    /// The address of the absent member that was pinged last.
    pub(crate) last_absent_pinged: SocketAddrV4,
    /// The suspect member that was pinged last.
    pub(crate) last_suspect_pinged: SocketAddrV4,
    /// The change count of the table when the watched members were chosen.
    pub(crate) watched_change_count: u64,
    pub(crate) next_ping_number: u32,
    /// The version of the configuration in force, which each message names.
    config_version: u64,
}

impl RosterState {
    /// Creates the roster of the process with the given entry. `seed` seeds the
    /// random choice of peers.
    pub fn new(own_entry: MemberEntry, seed: u64) -> Self {
        let mut table = MemberTable::default();
        table.merge(&own_entry, MonotonicTime::default());
        Self {
            own_entry,
            table,
            queue: ChangeQueue::default(),
            watch_list: WatchList::default(),
            presence: PresenceState::default(),
            join: JoinProgress::default(),
            indirect_pings: Vec::new(),
            schedule: RoundSchedule::default(),
            last_received: MonotonicTime::default(),
            rng: StdRng::seed_from_u64(seed),
            budget: SendBudget::default(),
            contacts: ContactList::default(),
            last_absent_pinged: own_entry.process.address,
            last_suspect_pinged: own_entry.process.address,
            watched_change_count: 0,
            next_ping_number: 0,
            config_version: 0,
        }
    }

    /// Returns the entry of this process. Its incarnation is raised when another
    /// process is found to have used the same or a higher one at this address.
    pub fn own_entry(&self) -> &MemberEntry {
        &self.own_entry
    }

    /// Returns the entries of all members, sorted by address. Suspect and gone
    /// members are included.
    pub fn members(&self) -> &[MemberEntry] {
        self.table.entries()
    }

    /// Returns the number of members that are alive or draining.
    pub fn live_count(&self) -> usize {
        self.table.live_count()
    }

    /// Returns a counter that is incremented whenever the entries change.
    pub fn change_count(&self) -> u64 {
        self.table.change_count()
    }

    /// Returns the number of changes that are still to be gossiped.
    pub fn queued_changes(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether the process may take new work: another member has answered
    /// since the process started or was paused, or no other member is reachable.
    pub fn is_confirmed(&self, now: MonotonicTime) -> bool {
        self.presence.is_confirmed(now)
    }

    /// Returns whether the process has received the whole roster of another
    /// member, or found no other member.
    pub fn is_joined(&self) -> bool {
        self.join.is_complete
    }

    /// Adds an address at which another member may be reachable.
    pub fn add_contact(&mut self, address: SocketAddrV4) {
        if address != self.own_entry.process.address {
            self.contacts.add(address, &mut self.rng);
        }
    }

    /// Merges entries of other members without gossiping them.
    pub fn merge_entries(&mut self, entries: &[MemberEntry], now: MonotonicTime) {
        for entry in entries {
            if entry.process.address != self.own_entry.process.address {
                self.table.merge(entry, now);
            }
        }
    }

    /// Sets the state that the process announces.
    pub fn set_state(&mut self, state: MemberState, now: MonotonicTime) {
        if self.own_entry.state == state {
            return;
        }
        self.own_entry.state = state;
        self.own_entry.counter += 1;
        self.announce_own_entry(now);
    }

    /// Sets the role that the process announces.
    pub fn set_role(&mut self, role: MemberRole, now: MonotonicTime) {
        if self.own_entry.role == role {
            return;
        }
        self.own_entry.role = role;
        self.own_entry.counter += 1;
        self.announce_own_entry(now);
    }

    /// Returns messages that announce the entry of this process without waiting
    /// for the next gossip round. A process that is still starting announces
    /// nothing. `version` is that of the configuration in force.
    pub fn announce_immediately(&mut self, version: u64, now: MonotonicTime) -> Vec<RosterAction> {
        self.config_version = version;
        let mut actions = Vec::new();
        if self.presence.is_starting() {
            return actions;
        }
        for _ in 0..GOSSIP_FANOUT {
            let body = ControlBody::Changes(vec![self.own_entry]);
            if let Some(to) = self.random_live() {
                self.send(&mut actions, SendClass::Probe, to, body, now);
            }
        }
        actions
    }

    /// Runs the rounds that are due and returns the messages to send. `version` is
    /// that of the configuration in force.
    pub fn tick(&mut self, version: u64, now: MonotonicTime) -> Vec<RosterAction> {
        self.config_version = version;
        let gap = self.presence.record_tick(now);
        if gap >= PAUSE_LIMIT {
            self.handle_pause(now);
        } else if gap >= PROBE_INTERVAL {
            self.watch_list.reset_probes();
        }
        let mut actions = Vec::new();
        self.run_join_round(&mut actions, now);
        if now >= self.schedule.gossip {
            self.schedule.gossip = now + GOSSIP_INTERVAL;
            self.run_reconfirm_round(&mut actions, now);
            self.run_gossip_round(&mut actions, now);
        }
        if now >= self.schedule.probe {
            self.schedule.probe = now + PROBE_INTERVAL;
            self.table.expire_suspects(now);
            self.table.evict_tombstones(now);
            self.run_probe_round(&mut actions, now);
            self.run_suspect_round(&mut actions, now);
        }
        if now >= self.schedule.digest {
            self.schedule_digest(now);
            self.run_digest_round(&mut actions, now);
        }
        if now >= self.schedule.contact {
            self.schedule.contact = now + self.add_jitter(CONTACT_INTERVAL);
            self.run_contact_round(&mut actions, now);
        }
        actions
    }

    /// Enqueues the entry of this process for gossip.
    pub(crate) fn announce_own_entry(&mut self, now: MonotonicTime) {
        let entry = self.own_entry;
        self.table.merge(&entry, now);
        self.queue
            .push(entry.process.address, self.table.live_count());
    }

    /// Raises the incarnation above one that another process used at this
    /// address. Unless the process is still starting, it must then be confirmed by
    /// another member again.
    pub(crate) fn raise_incarnation(&mut self, above: HostIncarnation, now: MonotonicTime) {
        self.own_entry.process.incarnation = HostIncarnation(above.0.saturating_add(1));
        self.own_entry.counter = 0;
        self.presence.require_reconfirmation(self.next_ping_number);
        self.announce_own_entry(now);
    }

    /// Adds a message to `actions` if the send budget allows it, and returns
    /// whether it did.
    pub(crate) fn send(
        &mut self,
        actions: &mut Vec<RosterAction>,
        class: SendClass,
        to: SocketAddrV4,
        body: ControlBody,
        now: MonotonicTime,
    ) -> bool {
        let message = ControlMessage {
            sender: self.own_entry.process,
            version: self.config_version,
            body,
        };
        let length =
            encode_packet(PacketKind::Control, &message, &[]).map_or(0, |packet| packet.len());
        let is_allowed = self.budget.try_charge(class, length, now);
        if is_allowed {
            actions.push(RosterAction::Send { to, message });
        }
        is_allowed
    }

    /// Returns whether the send budget allows a message of the greatest length.
    pub(crate) fn can_send_longest(&mut self, class: SendClass, now: MonotonicTime) -> bool {
        self.budget.can_send_longest(class, now)
    }

    pub(crate) fn random_contact(&mut self) -> Option<SocketAddrV4> {
        self.contacts.choose(&mut self.rng)
    }

    pub(crate) fn random_live(&mut self) -> Option<SocketAddrV4> {
        let own_address = self.own_entry.process.address;
        self.table.random_live(own_address, &mut self.rng)
    }
}
