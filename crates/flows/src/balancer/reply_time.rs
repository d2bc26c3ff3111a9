//! Estimates how long hosts take to answer questions and offers.
//!
//! After an outage, thousands of questions and answers may wait on a small link. A
//! question that is repeated while the first one is queued makes the queue longer, so the
//! time after which questions are repeated follows the answer times.

use std::time::Duration;

/// Longest time to wait for an answer, below the 800 ms after which a search ends.
const MAX_REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// Divisor that gives the weight of a new answer time in the exponential mean.
const MEAN_DIVISOR: u32 = 8;

/// Divisor that gives the weight of a new deviation from the mean.
const DEVIATION_DIVISOR: u32 = 4;

/// The smoothed answer time of hosts and its deviation.
#[derive(Debug, Default)]
pub(super) struct ReplyTime {
    mean: Duration,
    deviation: Duration,
}

impl ReplyTime {
    /// Records the time from a question to its answer.
    pub(super) fn record(&mut self, reply_time: Duration) {
        let reply_time = reply_time.min(MAX_REPLY_TIMEOUT);
        let deviation = reply_time.abs_diff(self.mean);
        self.mean = self.mean - self.mean / MEAN_DIVISOR + reply_time / MEAN_DIVISOR;
        self.deviation =
            self.deviation - self.deviation / DEVIATION_DIVISOR + deviation / DEVIATION_DIVISOR;
    }

    /// Returns the time after which a question counts as unanswered: at least `minimum`,
    /// and longer if answers take longer.
    pub(super) fn timeout(&self, minimum: Duration) -> Duration {
        (self.mean + self.deviation * 4).clamp(minimum, MAX_REPLY_TIMEOUT)
    }
}
