//! An estimate of the service time of requests.

use std::time::Duration;

/// Divisor of the moving means: each sample moves a mean by 1/8 of the difference
/// between the two.
const MEAN_DIVISOR: u32 = 8;

/// Number of mean deviations that the upper bound adds to the mean.
const DEVIATION_FACTOR: u32 = 3;

/// Exponentially weighted moving averages of the service time and of its
/// deviation from the mean.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTimeEstimate {
    sample_count: u64,
    mean: Duration,
    deviation: Duration,
}

impl ServiceTimeEstimate {
    /// Records the service time of a request.
    pub fn record(&mut self, time: Duration) {
        if self.sample_count == 0 {
            self.mean = time;
        }
        self.sample_count += 1;
        let deviation = self.mean.abs_diff(time);
        self.mean = update_moving_mean(self.mean, time);
        self.deviation = update_moving_mean(self.deviation, deviation);
    }

    /// Returns the mean service time, or zero before the first sample.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns a service time that few requests exceed, or zero before the first
    /// sample.
    pub fn upper_bound(&self) -> Duration {
        self.mean + self.deviation * DEVIATION_FACTOR
    }
}

fn update_moving_mean(mean: Duration, sample: Duration) -> Duration {
    mean - mean / MEAN_DIVISOR + sample / MEAN_DIVISOR
}
