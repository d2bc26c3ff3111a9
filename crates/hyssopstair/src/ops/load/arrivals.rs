//! When requests are sent: a Poisson process that starts with a ramp.
//!
//! The times are drawn before anything is sent, and a slow answer delays none
//! of them, so that a latency counts from the time when its request was due.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Draws the times of the requests of one group.
#[derive(Debug)]
pub struct ArrivalProcess {
    rng: StdRng,
    rate: f64,
    ramp_seconds: f64,
    elapsed_seconds: f64,
}

impl ArrivalProcess {
    /// Creates a process of `rate` arrivals per second that is reached after
    /// `ramp_seconds`.
    pub fn new(seed: u64, rate: f64, ramp_seconds: f64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            rate,
            ramp_seconds,
            elapsed_seconds: 0.0,
        }
    }

    /// Returns the time of the next arrival after the start.
    pub fn next_arrival(&mut self) -> Duration {
        loop {
            let uniform: f64 = self.rng.random_range(0.0..1.0);
            self.elapsed_seconds += -(1.0 - uniform).ln() / self.rate;
            // Thinning: early arrivals are kept with the share of the ramp.
            let share = if self.ramp_seconds > 0.0 {
                self.elapsed_seconds / self.ramp_seconds
            } else {
                1.0
            };
            if share >= 1.0 || self.rng.random_range(0.0..1.0) < share {
                return Duration::from_secs_f64(self.elapsed_seconds);
            }
        }
    }
}
