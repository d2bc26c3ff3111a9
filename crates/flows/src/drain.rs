//! Decides when a balancer that was asked to stop may end.
//!
//! Routers stop using a balancer after two failed readiness probes, unless fewer than half of
//! the balancers of its availability zone are in use: then they use all of them, also those
//! that have ended. A balancer that ends then takes the packets of its share of callers with it
//! until its successor runs. It therefore stays as long as packets arrive, in which time other
//! balancers of the zone come back.

use std::time::Duration;

/// Number of failed readiness probes after which routers leave a balancer.
const LEAVING_PROBE_COUNT: u32 = 2;

/// Time after which routers have left a balancer that is not known to have been probed: two
/// probes, half a second apart, and a margin.
const UNPROBED_LEAVING_TIME: Duration = Duration::from_millis(1_600);

/// Minimum time to drain: the time between two probes, and a margin.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(600);

/// Time without a packet after which no more are expected. Callers with an unanswered packet
/// send it again after 200 ms.
const QUIET_TIME: Duration = Duration::from_millis(200);

/// What a balancer has observed since it was asked to stop.
#[derive(Debug, Clone, Copy)]
pub struct DrainProgress {
    /// Time since it was asked to stop.
    pub elapsed: Duration,
    /// Number of readiness probes that it has answered since, all in the negative.
    pub refused_probe_count: u32,
    /// Time since the last packet of a caller.
    pub quiet: Duration,
    /// Whether new flows wait for a host.
    pub has_waiting_flows: bool,
    /// Time after which it has to end.
    pub limit: Duration,
}

impl DrainProgress {
    /// Returns whether the balancer may end.
    pub fn may_end(&self) -> bool {
        let have_routers_left = self.refused_probe_count >= LEAVING_PROBE_COUNT
            && self.elapsed >= MIN_DRAIN_TIME
            || self.elapsed >= UNPROBED_LEAVING_TIME;
        let is_done = self.quiet >= QUIET_TIME && !self.has_waiting_flows;
        self.elapsed >= self.limit || (have_routers_left && is_done)
    }
}
