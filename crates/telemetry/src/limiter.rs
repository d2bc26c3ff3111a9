//! Limits a warning that repeats.

use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

/// Time between two reports of a warning that goes on.
pub const REPEAT_INTERVAL: Duration = Duration::from_secs(30);

/// Lets the first of a run of equal warnings through, then one with a count
/// every [`REPEAT_INTERVAL`].
#[derive(Debug, Default)]
pub struct RepeatLimiter {
    reported: Option<MonotonicTime>,
    held_back: u64,
}

impl RepeatLimiter {
    /// Notes a warning, and returns how many were held back since the last
    /// report when it is to be reported.
    pub fn warn(&mut self, now: MonotonicTime) -> Option<u64> {
        let recent = self
            .reported
            .is_some_and(|reported| now.since(reported) < REPEAT_INTERVAL);
        if recent {
            self.held_back += 1;
            return None;
        }
        self.reported = Some(now);
        Some(std::mem::take(&mut self.held_back))
    }

    /// Notes that the cause has ended, and returns how many warnings there were
    /// no report of; nothing when there was no warning.
    pub fn recover(&mut self) -> Option<u64> {
        self.reported.take()?;
        Some(std::mem::take(&mut self.held_back))
    }
}
