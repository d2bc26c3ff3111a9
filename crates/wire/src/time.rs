//! The time that decisions are given.

use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A reading of a process's own monotonic clock, in microseconds since an
/// origin that the process chose. Readings of two processes are unrelated.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct MonotonicTime(pub u64);

impl MonotonicTime {
    /// Returns the time `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the time that has passed since `earlier`, or zero when
    /// `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = duration.as_micros().min(u128::from(u64::MAX)) as u64;
        Self(self.0.saturating_add(micros))
    }
}
