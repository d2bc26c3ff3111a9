//! How long requests take, learnt from those that completed.

use std::time::Duration;

/// The mean moves by one part in this many of the difference to a new sample.
const MEAN_WEIGHT: u32 = 8;

/// Mean deviations that a cautious estimate adds to the mean.
const CAUTION: u32 = 3;

/// A moving mean of the time that requests take, and of their deviation.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceEstimate {
    samples: u64,
    mean: Duration,
    deviation: Duration,
}

impl ServiceEstimate {
    /// Takes in the time of a completed request.
    pub fn record(&mut self, time: Duration) {
        if self.samples == 0 {
            self.mean = time;
        }
        self.samples += 1;
        let deviation = self.mean.abs_diff(time);
        self.mean = blend(self.mean, time);
        self.deviation = blend(self.deviation, deviation);
    }

    /// Returns the mean, or zero before the first sample.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns a time that few requests exceed, or zero before the first
    /// sample.
    pub fn cautious(&self) -> Duration {
        self.mean + self.deviation * CAUTION
    }
}

fn blend(old: Duration, new: Duration) -> Duration {
    old - old / MEAN_WEIGHT + new / MEAN_WEIGHT
}
