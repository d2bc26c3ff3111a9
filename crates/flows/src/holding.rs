//! A queue of new flows for which no host has capacity at the moment.
//!
//! Overload is often short: bursts fill the queues of all servers for some tens of
//! milliseconds, and in the second after an outage all callers whose requests were
//! lost reconnect at once to cold servers. A caller that is refused retries within
//! milliseconds and soon exhausts its attempts, and it comes back as a new flow, which
//! hides how long it has waited. A flow therefore waits as long as its request can
//! still be answered, and is then refused, which tells its caller that no request has run.

use std::cmp::Reverse;
use std::time::Duration;

use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::time::MonotonicTime;

/// Time after the first opening packet of a flow at which its caller gives the flow up.
const OPENING_LIFETIME: Duration = Duration::from_millis(1_400);

/// Age up to which the first request of a flow can still be answered in time if the target
/// latency of its route is not known or very short.
const MIN_FRESH_AGE: Duration = Duration::from_millis(50);

/// Age of a flow at the first, second and third transmission of its opening packet.
const OPENING_AGES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];

/// Maximum number of waiting flows; an entry takes about 200 bytes.
const MAX_HELD_FLOWS: usize = 1_024;

/// A new flow that is waiting for a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldFlow {
    /// The flow.
    pub flow: FlowKey,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Time at which its opening packet arrived.
    pub arrived_at: MonotonicTime,
    /// Age of the flow when that packet arrived: zero, or the time since the caller's first
    /// attempt if the packet is a retransmission.
    pub age_at_arrival: Duration,
    /// Age up to which its first request can still be answered in time.
    pub max_fresh_age: Duration,
    /// Time at which the wait ends and the flow is refused.
    pub deadline: MonotonicTime,
    /// The bytes of its opening packet.
    pub bytes: Vec<u8>,
}

/// Returns the age of a flow whose opening packet has been retransmitted
/// `retransmission_count` times.
pub fn opening_age(retransmission_count: u32) -> Duration {
    let last = OPENING_AGES.len() - 1;
    OPENING_AGES[(retransmission_count as usize).min(last)]
}

/// Returns how long a flow may wait for a host if its requests time out after `timeout` and
/// servers take `answer_time` for one, their queues included. The flow was `age_at_arrival`
/// old when the wait began. Before host discovery is complete, the service of the flow may
/// not be known, and the flow waits until its caller gives it up.
pub fn max_hold_time(
    timeout: Duration,
    answer_time: Duration,
    age_at_arrival: Duration,
    is_discovery_complete: bool,
) -> Duration {
    let max_age = if is_discovery_complete {
        timeout.saturating_sub(answer_time).min(OPENING_LIFETIME)
    } else {
        OPENING_LIFETIME
    };
    max_age.saturating_sub(age_at_arrival)
}

/// Returns the age up to which the first request of a flow can still be answered within
/// `target_latency`, which is zero if it is not known. Servers take `answer_time` for a
/// request, their queues included.
pub fn max_fresh_age(target_latency: Duration, answer_time: Duration) -> Duration {
    target_latency
        .saturating_sub(answer_time)
        .max(MIN_FRESH_AGE)
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
        self.flows.iter().any(|held_flow| held_flow.flow == *flow)
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
            .filter(|(_, held_flow)| matches(held_flow))
            .min_by_key(|(_, held_flow)| rank_flow(held_flow, now))?;
        Some(self.flows.swap_remove(index))
    }

    /// Removes and returns all flows.
    pub fn take_all(&mut self) -> Vec<HeldFlow> {
        std::mem::take(&mut self.flows)
    }

    /// Removes and returns the flows whose deadline has passed.
    pub fn take_expired(&mut self, now: MonotonicTime) -> Vec<HeldFlow> {
        let (expired, waiting) = std::mem::take(&mut self.flows)
            .into_iter()
            .partition(|held_flow| now >= held_flow.deadline);
        self.flows = waiting;
        expired
    }
}

/// The rank of a waiting flow, the lowest first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum HoldRank {
    /// The flow can be answered in time. By priority, then the newest first: under lasting
    /// overload the oldest are about to be late, and serving these first makes all late.
    Fresh(u8, Reverse<MonotonicTime>),
    /// The flow will be late. By priority, then the one that is refused first: a late answer
    /// is worth the same whenever it comes, and a refusal nothing.
    Late(u8, MonotonicTime),
}

fn rank_flow(held_flow: &HeldFlow, now: MonotonicTime) -> HoldRank {
    let age = now.since(held_flow.arrived_at) + held_flow.age_at_arrival;
    if age < held_flow.max_fresh_age {
        HoldRank::Fresh(held_flow.priority, Reverse(held_flow.arrived_at))
    } else {
        HoldRank::Late(held_flow.priority, held_flow.deadline)
    }
}
