//! New flows that no host can take at the moment.
//!
//! The load it answers: the second after an outage, when callers whose requests
//! were lost come back at once to servers that are cold, and bursts that fill
//! the queues of all servers for some tens of milliseconds. A caller that is
//! refused then comes back within milliseconds, is refused again, and has soon
//! used up its tries; one whose opening packet waits a little is served. What
//! would wait for longer than a part of its time is refused at once, so that its
//! caller learns that nothing has run.

use std::cmp::Reverse;
use std::time::Duration;

use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::time::MonotonicTime;

/// Part of a request's time that its flow may wait for a host, as a divisor. The
/// server's own queue takes about as long, and a late answer is worth a part of
/// one in time.
const HOLD_DIVISOR: u32 = 4;

/// Longest time that a flow waits for a host: the caller repeats its opening
/// packet after 600 ms for the last time.
const LONGEST_HOLD: Duration = Duration::from_millis(600);

/// Age up to which a flow's first request can still be answered in time. Targets
/// are 100 to 150 ms, of which the server's queue and work take the larger part.
const FRESH_AGE: Duration = Duration::from_millis(50);

/// Age of a flow whose opening packet is the first, second or third copy.
const COPY_AGES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];

/// Flows that wait at most; an entry has about 200 bytes.
const MAX_HELD: usize = 1_024;

/// A new flow that waits for a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldFlow {
    /// The flow.
    pub flow: FlowKey,
    /// Rank of its requests; 0 goes first.
    pub priority: u8,
    /// When its opening packet came.
    pub arrived: MonotonicTime,
    /// Age of the flow at that time.
    pub age: Duration,
    /// Until when it waits.
    pub deadline: MonotonicTime,
    /// Its opening packet.
    pub bytes: Vec<u8>,
}

/// Returns the age of a flow whose opening packet is copy number `copy`, from 0.
pub fn opening_age(copy: u32) -> Duration {
    let last = COPY_AGES.len() - 1;
    COPY_AGES[(copy as usize).min(last)]
}

/// Returns how long a flow may wait whose requests have `timeout` in all. While
/// hosts are still being met nobody knows that it cannot be served, and it waits
/// as long as its caller does.
pub fn max_hold_time(timeout: Duration, has_settled: bool) -> Duration {
    if has_settled {
        (timeout / HOLD_DIVISOR).min(LONGEST_HOLD)
    } else {
        LONGEST_HOLD
    }
}

/// The waiting flows.
#[derive(Debug, Default)]
pub struct HoldQueue {
    held: Vec<HeldFlow>,
}

impl HoldQueue {
    /// Returns whether no flow waits.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns whether a flow waits.
    pub fn contains(&self, flow: &FlowKey) -> bool {
        self.held.iter().any(|held| held.flow == *flow)
    }

    /// Adds a flow, and returns it when there is no room.
    pub fn push(&mut self, flow: HeldFlow) -> Option<HeldFlow> {
        if self.held.len() >= MAX_HELD {
            return Some(flow);
        }
        self.held.push(flow);
        None
    }

    /// Takes the flow that goes first of those for which `matches` holds.
    pub fn take_next(
        &mut self,
        now: MonotonicTime,
        matches: impl Fn(&HeldFlow) -> bool,
    ) -> Option<HeldFlow> {
        let (index, _) = self
            .held
            .iter()
            .enumerate()
            .filter(|(_, held)| matches(held))
            .min_by_key(|(_, held)| rank(held, now))?;
        Some(self.held.swap_remove(index))
    }

    /// Takes the flows that have waited for long enough.
    pub fn take_expired(&mut self, now: MonotonicTime) -> Vec<HeldFlow> {
        let (expired, held) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|held| now >= held.deadline);
        self.held = held;
        expired
    }
}

/// The lowest goes first: in time before late, urgent before others, and the
/// newest before older ones.
fn rank(held: &HeldFlow, now: MonotonicTime) -> (bool, u8, Reverse<MonotonicTime>) {
    let age = now.since(held.arrived) + held.age;
    (age >= FRESH_AGE, held.priority, Reverse(held.arrived))
}
