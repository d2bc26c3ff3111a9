//! The schedule on which a process reads from the platform.

use std::time::Duration;

/// Target interval between the reads of all processes of the fleet together.
const FLEET_READ_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum time between two reads by the same process, before jitter.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of times that the interval doubles while the platform does not
/// answer.
const MAX_DOUBLINGS: u32 = 4;

/// Maximum interval while the platform does not answer, unless the interval of a
/// large fleet is longer already.
const MAX_BACKOFF_INTERVAL: Duration = Duration::from_secs(8);

/// Returns the time until the next read by a process that knows `member_count`
/// processes, including itself, after `failure_count` consecutive reads without an
/// answer. `jitter`, a random number from 0 to 1, keeps the processes from reading
/// at the same time.
///
/// The interval grows with the fleet, so that all processes together read at a fixed
/// rate unless the fleet is small.
pub fn poll_interval(member_count: usize, failure_count: u32, jitter: f64) -> Duration {
    let member_count = u32::try_from(member_count).unwrap_or(u32::MAX);
    let base_interval = FLEET_READ_INTERVAL
        .saturating_mul(member_count)
        .max(MIN_READ_INTERVAL);
    let backoff_interval = base_interval.saturating_mul(1 << failure_count.min(MAX_DOUBLINGS));
    // A large fleet reads rarely enough without backing off.
    let interval = backoff_interval.min(MAX_BACKOFF_INTERVAL.max(base_interval));
    interval.mul_f64(0.5 + jitter)
}
