//! The monotonic clock and the wall clock of the process.
//!
//! The clocks are read where events enter the process. Functions that make decisions
//! receive the time as an argument, so that tests can set it.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hyssopstair_wire::time::MonotonicTime;

/// A monotonic clock that counts from its creation.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Creates a clock that reads zero now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the clock was created, with a resolution of 1 µs.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(self.origin.elapsed().as_micros() as u64)
    }
}

/// Returns the wall clock time in milliseconds since the Unix epoch, or 0 if the clock
/// is set to an earlier time.
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |duration| duration.as_millis() as u64)
}
