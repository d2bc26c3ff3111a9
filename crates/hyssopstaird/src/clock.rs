//! The clocks of the process, read at its edges only.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hyssopstair_wire::time::MonotonicTime;

/// The monotonic clock of the process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Starts the clock at zero.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Reads the clock.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(self.origin.elapsed().as_micros() as u64)
    }
}

/// Returns milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |duration| duration.as_millis() as u64)
}
