//! Clock readings, which the daemons pass to the crates that read no clock.

use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A reading of a process's monotonic clock, in microseconds since an origin
/// chosen by that process. Readings of different processes are not comparable.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct MonotonicTime(pub u64);

impl MonotonicTime {
    /// Returns the reading `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than
    /// `self`.
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
