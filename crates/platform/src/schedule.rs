//! When a process calls the platform, and what it says about outages.

use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

/// Time between two reads of the whole fleet.
const FLEET_INTERVAL: Duration = Duration::from_millis(20);

/// Shortest time between two reads of one process.
const MIN_INTERVAL: Duration = Duration::from_millis(500);

/// Doublings of the interval while the platform does not answer.
const MAX_DOUBLINGS: u32 = 4;

/// Longest time between two reads while few members are known.
const MAX_FAILED_INTERVAL: Duration = Duration::from_secs(8);

/// Time between two log lines about one outage.
const SAY_INTERVAL: Duration = Duration::from_secs(60);

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

/// What is worth a line in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageNews {
    /// The platform gives no answer since this long.
    Away(Duration),
    /// The platform answers again, after this long.
    Back(Duration),
}

/// Follows outages, so that each is said once a while and not at each call.
#[derive(Debug, Clone, Default)]
pub struct OutageState {
    since: Option<MonotonicTime>,
    said: MonotonicTime,
    failures: u32,
}

impl OutageState {
    /// Returns the calls that failed since the last one that did not.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Notes a call that got no answer.
    pub fn fail(&mut self, now: MonotonicTime) -> Option<OutageNews> {
        self.failures = self.failures.saturating_add(1);
        let since = *self.since.get_or_insert(now);
        let first = self.failures == 1;
        if !first && now.since(self.said) < SAY_INTERVAL {
            return None;
        }
        self.said = now;
        Some(OutageNews::Away(now.since(since)))
    }

    /// Notes a call that got an answer.
    pub fn succeed(&mut self, now: MonotonicTime) -> Option<OutageNews> {
        self.failures = 0;
        let since = self.since.take()?;
        Some(OutageNews::Back(now.since(since)))
    }
}
