//! Limits a warning that repeats.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

/// Time between two reports of a warning that goes on.
pub const REPEAT_INTERVAL: Duration = Duration::from_secs(30);

/// Lets the first of a run of equal warnings through, then one with a count
/// every [`REPEAT_INTERVAL`].
#[derive(Debug)]
pub struct WarningLimiter {
    reported: Option<MonotonicTime>,
    held_back: u64,
}

impl Default for WarningLimiter {
    fn default() -> Self {
        Self::new()
    }
}

impl WarningLimiter {
    /// Creates a limiter that has seen no warning.
    pub const fn new() -> Self {
        Self {
            reported: None,
            held_back: 0,
        }
    }

    /// Notes a warning, and returns how many were held back since the last
    /// report when it is to be reported.
    pub fn record_warning(&mut self, now: MonotonicTime) -> Option<u64> {
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
    pub fn record_recovery(&mut self) -> Option<u64> {
        self.reported.take()?;
        Some(std::mem::take(&mut self.held_back))
    }
}

/// A [`WarningLimiter`] that several tasks share.
#[derive(Debug, Default)]
pub struct SharedLimiter {
    inner: Mutex<WarningLimiter>,
}

impl SharedLimiter {
    /// Creates a limiter that has seen no warning.
    pub const fn new() -> Self {
        Self {
            inner: Mutex::new(WarningLimiter::new()),
        }
    }

    /// Notes a warning, and returns how many were held back since the last
    /// report when it is to be reported.
    pub fn record_warning(&self, now: MonotonicTime) -> Option<u64> {
        let mut limiter = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        limiter.record_warning(now)
    }
}
