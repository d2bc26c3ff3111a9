//! Requests that one host hands to another.
//!
//! [`PeerLoads`] chooses the other host. [`RelayLog`] keeps a relayed request
//! that arrives twice from running twice.

use std::time::Duration;

use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::time::MonotonicTime;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Load that is assumed of a host that has not been asked, in percent.
const UNKNOWN_LOAD: u16 = 50;

/// Time after which an answer says nothing about the present load.
const LOAD_AGE: Duration = Duration::from_secs(2);

/// Numbers that are remembered of each sender.
const NUMBERS_PER_SENDER: usize = 256;

/// Senders that are remembered.
const MAX_SENDERS: usize = 1_024;

/// A sender that is silent for this long is forgotten when space is needed.
const SENDER_AGE: Duration = Duration::from_secs(600);

#[derive(Debug)]
struct PeerLoad {
    peer: ProcessId,
    percent: u16,
    heard: MonotonicTime,
    avoid_until: MonotonicTime,
}

/// What a host has learnt of the load of others from their answers.
#[derive(Debug)]
pub struct PeerLoads {
    loads: Vec<PeerLoad>,
    random: StdRng,
}

impl PeerLoads {
    /// Creates an empty table.
    pub fn new(seed: u64) -> Self {
        Self {
            loads: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Notes the load that a peer gave in an answer.
    pub fn record_load(&mut self, peer: ProcessId, percent: u16, now: MonotonicTime) {
        let load = self.entry(peer);
        load.percent = percent;
        load.heard = now;
    }

    /// Keeps a peer from being chosen for some time.
    pub fn avoid_peer(&mut self, peer: ProcessId, time: Duration, now: MonotonicTime) {
        self.entry(peer).avoid_until = now + time;
    }

    /// Chooses the less loaded of two random members of `peers`.
    pub fn choose_peer(&mut self, peers: &[ProcessId], now: MonotonicTime) -> Option<ProcessId> {
        let open: Vec<ProcessId> = peers
            .iter()
            .copied()
            .filter(|peer| !self.is_avoided(*peer, now))
            .collect();
        if open.is_empty() {
            return None;
        }
        let first = open[self.random.random_range(0..open.len())];
        let second = open[self.random.random_range(0..open.len())];
        if self.percent(second, now) < self.percent(first, now) {
            return Some(second);
        }
        Some(first)
    }

    /// Forgets peers that are not in `peers`, which is sorted.
    pub fn retain_peers(&mut self, peers: &[ProcessId]) {
        self.loads
            .retain(|load| peers.binary_search(&load.peer).is_ok());
    }

    fn is_avoided(&self, peer: ProcessId, now: MonotonicTime) -> bool {
        match self.find(peer) {
            Ok(index) => self.loads[index].avoid_until > now,
            Err(_) => false,
        }
    }

    fn percent(&self, peer: ProcessId, now: MonotonicTime) -> u16 {
        match self.find(peer) {
            Ok(index) if now.since(self.loads[index].heard) < LOAD_AGE => self.loads[index].percent,
            _ => UNKNOWN_LOAD,
        }
    }

    fn find(&self, peer: ProcessId) -> Result<usize, usize> {
        self.loads.binary_search_by_key(&peer, |load| load.peer)
    }

    fn entry(&mut self, peer: ProcessId) -> &mut PeerLoad {
        let index = match self.find(peer) {
            Ok(index) => index,
            Err(index) => {
                let load = PeerLoad {
                    peer,
                    percent: UNKNOWN_LOAD,
                    heard: MonotonicTime::default(),
                    avoid_until: MonotonicTime::default(),
                };
                self.loads.insert(index, load);
                index
            }
        };
        &mut self.loads[index]
    }
}

/// What is to be done with a relayed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayDecision {
    /// It is the first copy.
    New,
    /// A copy was here before, or may have been.
    Repeated,
    /// It was sent to another process, or there is no space for its sender.
    Refused,
}

#[derive(Debug)]
struct RelaySender {
    sender: ProcessId,
    /// Numbers up to this one count as seen.
    floor: u64,
    /// The numbers above the floor that were seen, sorted.
    seen: Vec<u64>,
    heard: MonotonicTime,
}

/// The relayed requests that a process has received.
#[derive(Debug)]
pub struct RelayLog {
    me: ProcessId,
    senders: Vec<RelaySender>,
}

impl RelayLog {
    /// Creates the log of the process `me`.
    pub fn new(me: ProcessId) -> Self {
        Self {
            me,
            senders: Vec::new(),
        }
    }

    /// Notes request `number` of `sender`, sent to `target`. Senders count
    /// from one.
    pub fn record_relay(
        &mut self,
        sender: ProcessId,
        target: ProcessId,
        number: u64,
        now: MonotonicTime,
    ) -> RelayDecision {
        if target != self.me {
            return RelayDecision::Refused;
        }
        let found = self
            .senders
            .binary_search_by_key(&sender, |entry| entry.sender);
        match found {
            Ok(index) => self.senders[index].record_relay(number, now),
            Err(_) => self.add_sender(sender, number, now),
        }
    }

    fn add_sender(&mut self, sender: ProcessId, number: u64, now: MonotonicTime) -> RelayDecision {
        if self.senders.len() >= MAX_SENDERS {
            self.senders
                .retain(|entry| now.since(entry.heard) < SENDER_AGE);
        }
        if self.senders.len() >= MAX_SENDERS {
            return RelayDecision::Refused;
        }
        let mut entry = RelaySender {
            sender,
            floor: 0,
            seen: Vec::new(),
            heard: now,
        };
        let decision = entry.record_relay(number, now);
        let index = self.senders.partition_point(|other| other.sender < sender);
        self.senders.insert(index, entry);
        decision
    }
}

impl RelaySender {
    fn record_relay(&mut self, number: u64, now: MonotonicTime) -> RelayDecision {
        self.heard = now;
        if number <= self.floor {
            return RelayDecision::Repeated;
        }
        let Err(index) = self.seen.binary_search(&number) else {
            return RelayDecision::Repeated;
        };
        self.seen.insert(index, number);
        if self.seen.len() > NUMBERS_PER_SENDER {
            self.floor = self.seen.remove(0);
        }
        RelayDecision::New
    }
}
