//! A queue of new flows for which no host has capacity at the moment.
//!
//! Overload is often short: bursts fill the queues of all servers for some tens of
//! milliseconds, and in the second after an outage all callers whose requests were
//! lost reconnect at once to cold servers. A caller that is refused retries within
//! milliseconds and soon exhausts its attempts, whereas a short wait in the queue
//! lets it be served. A flow that has waited for a fraction of its request timeout is
//! refused, which tells its caller that no request has run.

use std::cmp::Reverse;
use std::time::Duration;

use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::time::MonotonicTime;

/// Divisor of the request timeout that gives the longest wait for a host. The wait
/// in the server's own queue is about as long, and a late answer is still worth
/// part of one in time.
const HOLD_DIVISOR: u32 = 4;

/// Upper bound of the wait for a host: callers retransmit their opening packet for
/// the last time after 600 ms.
const MAX_HOLD: Duration = Duration::from_millis(600);

/// Age up to which the first request of a flow can still be answered in time. Latency
/// targets are 100 to 150 ms, most of which is spent in the server's queue and in
/// processing.
const FRESH_MAX_AGE: Duration = Duration::from_millis(50);

/// Age of a flow at the first, second and third transmission of its opening packet.
const OPENING_AGES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];

/// Largest number of waiting flows; an entry takes about 200 bytes.
const MAX_HELD_FLOWS: usize = 1_024;

/// A new flow that is waiting for a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldFlow {
    /// The flow.
    pub flow: FlowKey,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// When its opening packet arrived.
    pub arrived: MonotonicTime,
    /// Age of the flow at its arrival.
    pub age: Duration,
    /// When the wait ends and the flow is refused.
    pub deadline: MonotonicTime,
    /// The bytes of its opening packet.
    pub bytes: Vec<u8>,
}

/// Returns the age of a flow at transmission number `transmission` of its opening
/// packet, counted from 0.
pub fn opening_age(transmission: u32) -> Duration {
    let last = OPENING_AGES.len() - 1;
    OPENING_AGES[(transmission as usize).min(last)]
}

/// Returns how long a flow may wait for a host if its requests time out after
/// `timeout`. Before host discovery is complete, a host that can serve the flow may
/// still be discovered, so the flow waits as long as its caller retransmits.
pub fn max_hold_time(timeout: Duration, is_discovery_complete: bool) -> Duration {
    if is_discovery_complete {
        (timeout / HOLD_DIVISOR).min(MAX_HOLD)
    } else {
        MAX_HOLD
    }
}

/// The queue of waiting flows.
#[derive(Debug, Default)]
pub struct HoldQueue {
    flows: Vec<HeldFlow>,
}

impl HoldQueue {
    /// Returns whether no flow is waiting.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns whether `flow` is waiting.
    pub fn contains(&self, flow: &FlowKey) -> bool {
        self.flows.iter().any(|held| held.flow == *flow)
    }

    /// Adds a flow, or returns it if the queue is full.
    pub fn push(&mut self, flow: HeldFlow) -> Option<HeldFlow> {
        if self.flows.len() >= MAX_HELD_FLOWS {
            return Some(flow);
        }
        self.flows.push(flow);
        None
    }

    /// Removes and returns the highest-ranked flow for which `matches` returns true.
    pub fn take_next(
        &mut self,
        now: MonotonicTime,
        matches: impl Fn(&HeldFlow) -> bool,
    ) -> Option<HeldFlow> {
        let (index, _) = self
            .flows
            .iter()
            .enumerate()
            .filter(|(_, held)| matches(held))
            .min_by_key(|(_, held)| rank(held, now))?;
        Some(self.flows.swap_remove(index))
    }

    /// Removes and returns the flows whose deadline has passed.
    pub fn take_expired(&mut self, now: MonotonicTime) -> Vec<HeldFlow> {
        let (expired, waiting) = std::mem::take(&mut self.flows)
            .into_iter()
            .partition(|held| now >= held.deadline);
        self.flows = waiting;
        expired
    }
}

/// Returns the sort key of a flow, lowest first: flows that can be answered in time
/// before late ones, then by priority, then the newest first.
fn rank(held: &HeldFlow, now: MonotonicTime) -> (bool, u8, Reverse<MonotonicTime>) {
    let age = now.since(held.arrived) + held.age;
    (age >= FRESH_MAX_AGE, held.priority, Reverse(held.arrived))
}
