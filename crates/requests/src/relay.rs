//! Requests that one host relays to another.
//!
//! [`PeerLoads`] selects the host that receives the request. [`RelayLog`]
//! prevents a relayed request that is delivered twice from running twice.

use std::time::Duration;

use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::time::MonotonicTime;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Load assumed for a peer without a recent load report, in percent.
const DEFAULT_LOAD_PERCENT: u16 = 50;

/// Age at which a load report is stale and no longer used.
const MAX_LOAD_AGE: Duration = Duration::from_secs(2);

/// Maximum number of relay numbers that are tracked for each sender.
const MAX_NUMBERS_PER_SENDER: usize = 256;

/// Maximum number of senders that are tracked.
const MAX_SENDERS: usize = 1_024;

/// Idle time after which a sender may be evicted when the table is full.
const SENDER_IDLE_TIMEOUT: Duration = Duration::from_secs(600);

#[derive(Debug)]
struct PeerLoad {
    peer: ProcessId,
    load_percent: u16,
    updated_at: MonotonicTime,
    excluded_until: MonotonicTime,
}

/// The load of other hosts, as reported in their responses to relayed requests.
#[derive(Debug)]
pub struct PeerLoads {
    loads: Vec<PeerLoad>,
    rng: StdRng,
}

impl PeerLoads {
    /// Creates an empty table. `seed` seeds the random selection of peers.
    pub fn new(seed: u64) -> Self {
        Self {
            loads: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Records the load, in percent, that a peer reported in a response.
    pub fn record_load(&mut self, peer: ProcessId, load_percent: u16, now: MonotonicTime) {
        let load = self.load_mut(peer);
        load.load_percent = load_percent;
        load.updated_at = now;
    }

    /// Excludes a peer from selection for `duration`.
    pub fn exclude_peer(&mut self, peer: ProcessId, duration: Duration, now: MonotonicTime) {
        self.load_mut(peer).excluded_until = now + duration;
    }

    /// Returns the less loaded of two peers that are drawn at random from `peers`,
    /// or `None` if all of them are excluded. The two draws may give the same peer.
    pub fn choose_peer(&mut self, peers: &[ProcessId], now: MonotonicTime) -> Option<ProcessId> {
        let candidates: Vec<ProcessId> = peers
            .iter()
            .copied()
            .filter(|peer| !self.is_excluded(*peer, now))
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[self.rng.random_range(0..candidates.len())];
        let second = candidates[self.rng.random_range(0..candidates.len())];
        if self.load_percent(second, now) < self.load_percent(first, now) {
            return Some(second);
        }
        Some(first)
    }

    /// Removes the peers that are not in `peers`, which must be sorted.
    pub fn retain_peers(&mut self, peers: &[ProcessId]) {
        self.loads
            .retain(|load| peers.binary_search(&load.peer).is_ok());
    }

    fn is_excluded(&self, peer: ProcessId, now: MonotonicTime) -> bool {
        match self.find_load(peer) {
            Ok(index) => self.loads[index].excluded_until > now,
            Err(_) => false,
        }
    }

    fn load_percent(&self, peer: ProcessId, now: MonotonicTime) -> u16 {
        match self.find_load(peer) {
            Ok(index) if now.since(self.loads[index].updated_at) < MAX_LOAD_AGE => {
                self.loads[index].load_percent
            }
            _ => DEFAULT_LOAD_PERCENT,
        }
    }

    fn find_load(&self, peer: ProcessId) -> Result<usize, usize> {
        self.loads.binary_search_by_key(&peer, |load| load.peer)
    }

    fn load_mut(&mut self, peer: ProcessId) -> &mut PeerLoad {
        let index = match self.find_load(peer) {
            Ok(index) => index,
            Err(index) => {
                let load = PeerLoad {
                    peer,
                    load_percent: DEFAULT_LOAD_PERCENT,
                    updated_at: MonotonicTime::default(),
                    excluded_until: MonotonicTime::default(),
                };
                self.loads.insert(index, load);
                index
            }
        };
        &mut self.loads[index]
    }
}

/// How a relayed request is handled on arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayDecision {
    /// The first copy; it may run.
    New,
    /// A copy was received before, or may have been: its number is no longer
    /// tracked.
    Repeated,
    /// The request was addressed to another process, or the table of senders is
    /// full.
    Refused,
}

#[derive(Debug)]
struct SenderHistory {
    sender: ProcessId,
    /// Numbers up to and including this one are treated as seen.
    window_floor: u64,
    /// The numbers above the floor that were received, sorted.
    seen_numbers: Vec<u64>,
    last_received_at: MonotonicTime,
}

/// The relayed requests that a process has received, for deduplication.
#[derive(Debug)]
pub struct RelayLog {
    self_id: ProcessId,
    senders: Vec<SenderHistory>,
}

impl RelayLog {
    /// Creates an empty log for the process `self_id`.
    pub fn new(self_id: ProcessId) -> Self {
        Self {
            self_id,
            senders: Vec::new(),
        }
    }

    /// Records that request `number` of `sender`, addressed to `target`, has
    /// arrived, and returns how to handle it. Each sender numbers its requests from
    /// one.
    pub fn record_relay(
        &mut self,
        sender: ProcessId,
        target: ProcessId,
        number: u64,
        now: MonotonicTime,
    ) -> RelayDecision {
        if target != self.self_id {
            return RelayDecision::Refused;
        }
        let found = self
            .senders
            .binary_search_by_key(&sender, |history| history.sender);
        match found {
            Ok(index) => self.senders[index].record_number(number, now),
            Err(_) => self.add_sender(sender, number, now),
        }
    }

    fn add_sender(&mut self, sender: ProcessId, number: u64, now: MonotonicTime) -> RelayDecision {
        if self.senders.len() >= MAX_SENDERS {
            self.senders
                .retain(|history| now.since(history.last_received_at) < SENDER_IDLE_TIMEOUT);
        }
        if self.senders.len() >= MAX_SENDERS {
            return RelayDecision::Refused;
        }
        let mut history = SenderHistory {
            sender,
            window_floor: 0,
            seen_numbers: Vec::new(),
            last_received_at: now,
        };
        let decision = history.record_number(number, now);
        let index = self.senders.partition_point(|other| other.sender < sender);
        self.senders.insert(index, history);
        decision
    }
}

impl SenderHistory {
    fn record_number(&mut self, number: u64, now: MonotonicTime) -> RelayDecision {
        self.last_received_at = now;
        if number <= self.window_floor {
            return RelayDecision::Repeated;
        }
        let Err(index) = self.seen_numbers.binary_search(&number) else {
            return RelayDecision::Repeated;
        };
        self.seen_numbers.insert(index, number);
        if self.seen_numbers.len() > MAX_NUMBERS_PER_SENDER {
            self.window_floor = self.seen_numbers.remove(0);
        }
        RelayDecision::New
    }
}
