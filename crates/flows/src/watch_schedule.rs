//! Decides how long the watches of balancers wait for a change of the configuration.
//!
//! A connection to the store may go silent without a reset, and a balancer notices it only
//! when its watch is over. All watches end together when a change arrives, so each
//! balancer's next one takes another part of the time: at any moment, the watch of some
//! balancer ends soon, and its peers get from it what it finds. In the same way a fleet shares
//! the attempts to reach a store that is down.

use std::time::Duration;

/// Interval at which the watches of a fleet end.
const END_INTERVAL: Duration = Duration::from_millis(667);

/// Minimum time of a watch.
const MIN_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum time of a watch.
const MAX_TIMEOUT: Duration = Duration::from_secs(16);

/// Mean interval at which a fleet calls a store that does not respond.
const FLEET_RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Minimum delay of a balancer after a failed call, and the delay as long as it has no routes
/// and its callers wait for them.
pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum delay of a balancer after a failed call, also if the others cannot be reached.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The place of a balancer among those that watch.
#[derive(Debug, Clone, Copy)]
pub struct WatchSchedule {
    /// Number of balancers, including this one.
    pub balancer_count: u32,
    /// Number of balancers with lower addresses.
    pub rank: u32,
}

impl WatchSchedule {
    /// Returns the delay after a call that the store has not answered. Whoever reaches the store
    /// first sends the others what it reads.
    pub fn retry_delay(self) -> Duration {
        (FLEET_RETRY_INTERVAL * self.balancer_count).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }

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
