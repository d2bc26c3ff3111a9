//! A balancer's knowledge of the room that hosts have for new flows.
//!
//! Hosts report their load with each flow that they accept and with their hellos. In between,
//! the balancer counts the flows that it has sent, and assumes that the server ends requests
//! in its usual time. A host that has turned a flow away is full: it gets the next one of this
//! balancer when its server has ended so many requests that one of them is this balancer's
//! share.

use std::time::Duration;

use hyssopstair_wire::carried::CarryLoad;

/// Number of requests in progress per slot at which a server gets no more new flows. The
/// last of these requests waits for two answers, which takes most of its latency target.
/// Further flows are held at the balancers, which know the age of each.
pub const MAX_REQUESTS_PER_SLOT: u16 = 3;

/// Share of the target latency that a request may spend at its server, in the queue and in
/// work. In the other half it finds a host and travels.
const SERVER_SHARE: f64 = 0.5;

/// Answer time that is assumed while a host has reported none.
const DEFAULT_ANSWER_TIME: Duration = Duration::from_millis(20);

/// Bounds of the time for which a host counts as full after it has turned a flow away.
const MIN_FULL_TIME: Duration = Duration::from_millis(5);
const MAX_FULL_TIME: Duration = Duration::from_millis(100);

/// How many times more often than its share a balancer asks a full host, because not all
/// balancers have flows that wait.
const SHARE_EXCESS: u32 = 8;

/// Returns the number of requests in progress up to which a server that takes `request_time`
/// for one gets new flows whose callers expect an answer within `target_latency`, which is
/// zero if it is not known. The last of them is answered within [`SERVER_SHARE`] of that time,
/// but there are enough that no slot is idle until the next flow comes.
pub fn requests_within(slots: u16, request_time: Duration, target_latency: Duration) -> u16 {
    let slots = slots.max(1);
    let maximum = slots.saturating_mul(MAX_REQUESTS_PER_SLOT);
    if target_latency.is_zero() || request_time.is_zero() {
        return maximum;
    }
    let requests_per_slot =
        target_latency.as_secs_f64() * SERVER_SHARE / request_time.as_secs_f64();
    let request_count = f64::from(slots) * requests_per_slot;
    (request_count as u16).clamp(slots.saturating_add(slots.div_ceil(2)), maximum)
}

/// Returns whether a load report shows that the server may get new flows whose callers expect
/// an answer within `target_latency`, which is zero if it is not known.
pub fn has_room(load: &CarryLoad, target_latency: Duration) -> bool {
    load.in_progress < request_limit(load, target_latency)
}

/// Returns [`requests_within`] by a load report.
pub fn request_limit(load: &CarryLoad, target_latency: Duration) -> u16 {
    if load.answer_micros == 0 {
        return requests_within(load.slots, Duration::ZERO, target_latency);
    }
    // The reported answer time includes the wait for the requests that were there before.
    let requests_per_slot = f64::from(load.mean_sixteenths) / 16.0 / f64::from(load.slots.max(1));
    let request_time = answer_time(load).div_f64(requests_per_slot.max(1.0));
    requests_within(load.slots, request_time, target_latency)
}

/// Returns how long a host counts as full after it has turned a flow away, if
/// `balancer_count` balancers share the slots of its server.
pub fn full_time(load: &CarryLoad, balancer_count: usize) -> Duration {
    let time_per_request = answer_time(load) / u32::from(load.slots.max(1));
    let share_time = time_per_request * balancer_count as u32 / SHARE_EXCESS;
    share_time.clamp(MIN_FULL_TIME, MAX_FULL_TIME)
}

/// Returns the estimated number of requests in progress at a host `elapsed` after it reported
/// `load`, if it has been sent `flow_count` flows since: all of them, less the requests that its
/// server has ended in the meantime.
pub fn estimated_requests(load: &CarryLoad, flow_count: u16, elapsed: Duration) -> f64 {
    let slots = f64::from(load.slots.max(1));
    let ended = slots * elapsed.as_secs_f64() / answer_time(load).as_secs_f64();
    let known = f64::from(load.in_progress) + f64::from(flow_count);
    (known - ended).max(0.0)
}

fn answer_time(load: &CarryLoad) -> Duration {
    match load.answer_micros {
        0 => DEFAULT_ANSWER_TIME,
        micros => Duration::from_micros(u64::from(micros)),
    }
}
