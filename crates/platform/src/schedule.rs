//! When a process reads from the platform.

use std::time::Duration;

/// Time between two reads of the whole fleet.
const FLEET_INTERVAL: Duration = Duration::from_millis(20);

/// Shortest time between two reads of one process.
const MIN_INTERVAL: Duration = Duration::from_millis(500);

/// Doublings of the interval while the platform does not answer.
const MAX_DOUBLINGS: u32 = 4;

/// Longest time between two reads while few members are known.
const MAX_FAILED_INTERVAL: Duration = Duration::from_secs(8);

/// Returns the time to the next read of a process that knows `members`
/// processes, itself included, after `failures` reads without an answer.
/// `jitter`, from 0 to 1, spreads the fleet evenly.
///
/// The reads of the whole fleet have a fixed rate, whatever its size.
pub fn poll_interval(members: usize, failures: u32, jitter: f64) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    let regular = FLEET_INTERVAL.saturating_mul(members).max(MIN_INTERVAL);
    let doubled = regular.saturating_mul(1 << failures.min(MAX_DOUBLINGS));
    // A large fleet is slow enough already.
    let interval = doubled.min(MAX_FAILED_INTERVAL.max(regular));
    interval.mul_f64(0.5 + jitter)
}
