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

/// Answer time that is assumed while a host has reported none.
const DEFAULT_ANSWER_TIME: Duration = Duration::from_millis(20);

/// Bounds of the time for which a host counts as full after it has turned a flow away.
const MIN_FULL_TIME: Duration = Duration::from_millis(5);
const MAX_FULL_TIME: Duration = Duration::from_millis(100);

/// How many times more often than its share a balancer asks a full host, because not all
/// balancers have flows that wait.
const SHARE_EXCESS: u32 = 8;

/// Returns whether a load report shows that the server may get new flows.
pub fn has_room(load: &CarryLoad) -> bool {
    load.in_progress < load.slots.max(1).saturating_mul(MAX_REQUESTS_PER_SLOT)
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
