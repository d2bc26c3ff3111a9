//! Decides how long the watches of balancers wait for a change of the configuration.
//!
//! A connection to the store may go silent without a reset, and a balancer notices it only
//! when its watch is over. All watches end together when a change arrives, so each
//! balancer's next one takes another part of the time: at any moment, the watch of some
//! balancer ends soon, and its peers get from it what it finds.

use std::time::Duration;

/// Interval at which the watches of a fleet end.
const END_INTERVAL: Duration = Duration::from_millis(667);

/// Minimum time of a watch.
const MIN_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum time of a watch.
const MAX_TIMEOUT: Duration = Duration::from_secs(16);

/// The place of a balancer among those that watch.
#[derive(Debug, Clone, Copy)]
pub struct WatchSchedule {
    /// Number of balancers, including this one.
    pub balancer_count: u32,
    /// Number of balancers with lower addresses.
    pub rank: u32,
}

impl WatchSchedule {
    /// Returns the time for which the next watch waits. `is_first` says whether it is the
    /// first one after a change or a failure.
    pub fn next_timeout(self, is_first: bool) -> Duration {
        let balancer_count = self.balancer_count.max(1);
        let timeout = (END_INTERVAL * balancer_count).clamp(MIN_TIMEOUT, MAX_TIMEOUT);
        if !is_first {
            return timeout;
        }
        let part = self.rank.min(balancer_count - 1) + 1;
        timeout * part / balancer_count
    }
}
