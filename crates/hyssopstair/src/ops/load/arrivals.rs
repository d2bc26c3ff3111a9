//! Draws the times at which requests are sent: a Poisson process whose rate
//! increases linearly during a ramp at the start.
//!
//! The times do not depend on responses, so a slow response delays no later
//! request. Latency is measured from the time at which a request was due, so that a
//! stall counts for all requests that were due during it.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Draws the arrival times of the requests of one group.
#[derive(Debug)]
pub struct ArrivalProcess {
    rng: StdRng,
    rate: f64,
    ramp_seconds: f64,
    elapsed_seconds: f64,
}

impl ArrivalProcess {
    /// Creates a process with a mean of `rate` arrivals per second, which is reached
    /// after `ramp_seconds`. The same seed gives the same arrivals.
    pub fn new(seed: u64, rate: f64, ramp_seconds: f64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            rate,
            ramp_seconds,
            elapsed_seconds: 0.0,
        }
    }

    /// Returns the time of the next arrival, measured from the start of the load.
    pub fn next_arrival(&mut self) -> Duration {
        loop {
            let uniform: f64 = self.rng.random_range(0.0..1.0);
            self.elapsed_seconds += -(1.0 - uniform).ln() / self.rate;
            // Thinning: an arrival during the ramp is kept with a probability equal
            // to the share of the ramp that has passed.
            let probability = if self.ramp_seconds > 0.0 {
                self.elapsed_seconds / self.ramp_seconds
            } else {
                1.0
            };
            if probability >= 1.0 || self.rng.random_range(0.0..1.0) < probability {
                return Duration::from_secs_f64(self.elapsed_seconds);
            }
        }
    }
}
