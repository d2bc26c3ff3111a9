//! The members that a process knows.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::control::ControlBody;
use hyssopstair_wire::control::ControlMessage;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::time::MonotonicTime;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

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

/// Time between two rounds of gossip.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);

/// Members that a round of gossip is sent to.
const GOSSIP_FANOUT: usize = 3;

/// Entries in one message.
const MAX_ENTRIES: usize = 40;

/// The members that a process knows, itself included.
#[derive(Debug)]
pub struct RosterState {
    me: MemberEntry,
    members: Vec<MemberEntry>,
    contacts: Vec<SocketAddrV4>,
    changes: u64,
    next_round: MonotonicTime,
    random: StdRng,
}

impl RosterState {
    /// Creates the roster of the process that `me` describes.
    pub fn new(me: MemberEntry, seed: u64) -> Self {
        Self {
            me,
            members: vec![me],
            contacts: Vec::new(),
            changes: 1,
            next_round: MonotonicTime::default(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the entry of the process itself.
    pub fn me(&self) -> &MemberEntry {
        &self.me
    }

    /// Returns all members, sorted by address.
    pub fn members(&self) -> &[MemberEntry] {
        &self.members
    }

    /// Returns a number that grows with each change of a member.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Adds an address where a member may be found.
    pub fn add_contact(&mut self, address: SocketAddrV4) {
        if address != self.me.process.address && !self.contacts.contains(&address) {
            self.contacts.push(address);
        }
    }

    /// Changes what the process says about itself.
    pub fn declare(&mut self, state: MemberState) {
        if self.me.state == state {
            return;
        }
        self.me.state = state;
        self.me.counter += 1;
        let me = self.me;
        self.merge(&me);
    }

    /// Changes the role that the process announces.
    pub fn declare_role(&mut self, role: MemberRole) {
        if self.me.role == role {
            return;
        }
        self.me.role = role;
        self.me.counter += 1;
        let me = self.me;
        self.merge(&me);
    }

    /// Returns messages that tell other members at once.
    pub fn farewell(&mut self, version: u64) -> Vec<RosterAction> {
        self.send_round(version)
    }

    /// Takes in a message.
    pub fn receive(&mut self, message: &ControlMessage, _now: MonotonicTime) -> Vec<RosterAction> {
        if let ControlBody::Changes(entries) = &message.body {
            for entry in entries {
                self.merge(entry);
            }
        }
        Vec::new()
    }

    /// Does what is due.
    pub fn tick(&mut self, version: u64, now: MonotonicTime) -> Vec<RosterAction> {
        if now < self.next_round {
            return Vec::new();
        }
        self.next_round = now + GOSSIP_INTERVAL;
        self.send_round(version)
    }

    fn send_round(&mut self, version: u64) -> Vec<RosterAction> {
        let targets = self.targets();
        targets
            .into_iter()
            .map(|to| RosterAction::Send {
                to,
                message: self.changes_message(version),
            })
            .collect()
    }

    fn targets(&mut self) -> Vec<SocketAddrV4> {
        let mut others: Vec<SocketAddrV4> = self
            .members
            .iter()
            .filter(|entry| entry.state != MemberState::Gone)
            .map(|entry| entry.process.address)
            .chain(self.contacts.iter().copied())
            .filter(|address| *address != self.me.process.address)
            .collect();
        others.sort_unstable();
        others.dedup();
        let mut targets = Vec::new();
        while targets.len() < GOSSIP_FANOUT && !others.is_empty() {
            let index = self.random.random_range(0..others.len());
            targets.push(others.swap_remove(index));
        }
        targets
    }

    fn changes_message(&mut self, version: u64) -> ControlMessage {
        let count = self.members.len();
        let start = self.random.random_range(0..count);
        let mut entries = vec![self.me];
        entries.extend(
            (0..count.min(MAX_ENTRIES)).map(|offset| self.members[(start + offset) % count]),
        );
        ControlMessage {
            sender: self.me.process,
            version,
            body: ControlBody::Changes(entries),
        }
    }

    fn merge(&mut self, entry: &MemberEntry) {
        let found = self
            .members
            .binary_search_by_key(&entry.process.address, |known| known.process.address);
        match found {
            Ok(index) if entry.precedence() > self.members[index].precedence() => {
                self.members[index] = *entry;
                self.changes += 1;
            }
            Ok(_) => {}
            Err(index) => {
                self.members.insert(index, *entry);
                self.changes += 1;
            }
        }
    }
}
