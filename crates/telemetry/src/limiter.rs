//! Rate limiting of repeated warnings.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

/// Minimum interval between two reports of a repeated warning.
pub const REPEAT_INTERVAL: Duration = Duration::from_secs(30);

/// Reports the first of a series of equal warnings, and then at most one per
/// [`REPEAT_INTERVAL`] with the number of suppressed warnings.
#[derive(Debug)]
pub struct WarningLimiter {
    reported_at: Option<MonotonicTime>,
    suppressed_count: u64,
}

impl Default for WarningLimiter {
    fn default() -> Self {
        Self::new()
    }
}

impl WarningLimiter {
    /// Creates a limiter without any recorded warning.
    pub const fn new() -> Self {
        Self {
            reported_at: None,
            suppressed_count: 0,
        }
    }

    /// Records a warning. If the caller must report it, returns the number of
    /// warnings that were suppressed since the last report.
    pub fn record_warning(&mut self, now: MonotonicTime) -> Option<u64> {
        let is_suppressed = self
            .reported_at
            .is_some_and(|reported_at| now.since(reported_at) < REPEAT_INTERVAL);
        if is_suppressed {
            self.suppressed_count += 1;
            return None;
        }
        self.reported_at = Some(now);
        Some(std::mem::take(&mut self.suppressed_count))
    }

    /// Records that the cause of the warnings has ended, so that the next warning is
    /// reported at once. Returns the number of warnings that were suppressed since the
    /// last report, or `None` if there was no warning.
    pub fn record_recovery(&mut self) -> Option<u64> {
        self.reported_at.take()?;
        Some(std::mem::take(&mut self.suppressed_count))
    }
}

/// A [`WarningLimiter`] that can be shared between tasks.
#[derive(Debug, Default)]
pub struct SharedLimiter {
    limiter: Mutex<WarningLimiter>,
}

impl SharedLimiter {
    /// Creates a limiter without any recorded warning.
    pub const fn new() -> Self {
        Self {
            limiter: Mutex::new(WarningLimiter::new()),
        }
    }

    /// Records a warning. If the caller must report it, returns the number of
    /// warnings that were suppressed since the last report.
    pub fn record_warning(&self, now: MonotonicTime) -> Option<u64> {
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        limiter.record_warning(now)
    }
}
