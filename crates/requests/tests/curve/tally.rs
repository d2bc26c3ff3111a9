//! The results of one point of a load curve.

use std::time::Duration;

use hyssopstair_requests::admission::RequestClass;

use crate::curve::ARRIVAL_DURATION;
use crate::curve::setting::HostKind;

/// The counts of one host.
#[derive(Debug)]
pub struct HostTally {
    /// The behaviour of the backend server.
    pub kind: HostKind,
    /// Requests that callers sent to this host.
    pub received: u64,
    /// Requests that were refused on arrival.
    pub refused: u64,
    /// Requests that were dropped from the queue.
    pub dropped: u64,
    /// Requests that the backend server shed.
    pub shed: u64,
    /// Requests that completed before their deadline.
    pub completed: u64,
    /// Requests that had a slot and missed their deadline.
    pub late: u64,
    /// Total service time of the backend server.
    pub busy_time: Duration,
}

impl HostTally {
    /// Creates an empty tally.
    pub fn new(kind: HostKind) -> Self {
        Self {
            kind,
            received: 0,
            refused: 0,
            dropped: 0,
            shed: 0,
            completed: 0,
            late: 0,
            busy_time: Duration::ZERO,
        }
    }
}

/// The results of all hosts and callers.
#[derive(Debug, Default)]
pub struct CurveTally {
    /// Requests that completed before their deadline; non-idempotent requests count
    /// twice.
    pub completed_weight: u64,
    /// Requests with the verdict `not-run` that did not run.
    pub not_run: u64,
    /// Requests with the verdict `not-run` that did run.
    pub false_not_run: u64,
    /// Retries at other hosts.
    pub relays: u64,
    /// Retries at other hosts that completed.
    pub relays_completed: u64,
    /// Retries at other hosts that were refused.
    pub relays_refused: u64,
    /// Wall-clock durations of the decisions that refused a request; sorted by
    /// [`Self::finalize`].
    pub refusal_times: Vec<Duration>,
    /// Response times of completed requests; sorted by [`Self::finalize`].
    pub response_times: Vec<Duration>,
    /// The counts of each host.
    pub hosts: Vec<HostTally>,
}

impl CurveTally {
    /// Counts a request that completed before its deadline.
    pub fn complete(&mut self, class: RequestClass, time: Duration) {
        self.completed_weight += match class {
            RequestClass::Idempotent => 1,
            RequestClass::NonIdempotent => 2,
        };
        self.response_times.push(time);
    }

    /// Counts a request with the verdict `not-run`.
    pub fn refuse(&mut self, has_run: bool) {
        match has_run {
            true => self.false_not_run += 1,
            false => self.not_run += 1,
        }
    }

    /// Stores the counts of the hosts and sorts the recorded times.
    pub fn finalize(&mut self, hosts: Vec<HostTally>) {
        self.hosts = hosts;
        self.response_times.sort_unstable();
        self.refusal_times.sort_unstable();
    }

    /// Returns the requests completed per second; non-idempotent requests count
    /// twice.
    pub fn goodput(&self) -> f64 {
        self.completed_weight as f64 / ARRIVAL_DURATION.as_secs_f64()
    }

    /// Returns the number of requests that had a slot and missed their deadline.
    pub fn late(&self) -> u64 {
        self.hosts.iter().map(|host| host.late).sum()
    }

    /// Returns the number of requests that backend servers shed.
    pub fn shed(&self) -> u64 {
        self.hosts.iter().map(|host| host.shed).sum()
    }

    /// Returns the share of all requests with a correct verdict `not-run`.
    pub fn not_run_share(&self) -> f64 {
        let request_count =
            self.response_times.len() as u64 + self.late() + self.not_run + self.false_not_run;
        self.not_run as f64 / request_count.max(1) as f64
    }

    /// Returns the total service time per completed request.
    pub fn service_per_completed(&self) -> Duration {
        let busy_time: Duration = self.hosts.iter().map(|host| host.busy_time).sum();
        busy_time / self.response_times.len().max(1) as u32
    }

    /// Returns the maximum over the mean, and the coefficient of variation, of the
    /// completed requests of each host relative to its speed.
    pub fn imbalance(&self) -> (f64, f64) {
        let work: Vec<f64> = self
            .hosts
            .iter()
            .map(|host| host.completed as f64 / host.kind.speed())
            .collect();
        let count = work.len() as f64;
        let mean = work.iter().sum::<f64>() / count;
        let max = work.iter().copied().fold(0.0, f64::max);
        let variance = work.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / count;
        (max / mean, variance.sqrt() / mean)
    }

    /// Returns one row of a table. It contains only simulated times, so it is
    /// reproducible.
    pub fn row(&self) -> String {
        let (max, variation) = self.imbalance();
        format!(
            "{:.1} | {:.3} | {:.1} | {:.1} | {} | {} | {:.2} | {:.2} | {:.2}",
            self.goodput(),
            self.not_run_share(),
            millis(percentile(&self.response_times, 50)),
            millis(percentile(&self.response_times, 99)),
            self.late(),
            self.shed(),
            max,
            variation,
            millis(self.service_per_completed()),
        )
    }
}

/// Returns a percentile of sorted times, or zero if there are none.
pub fn percentile(sorted: &[Duration], percent: usize) -> Duration {
    let index = sorted.len() * percent / 100;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}

/// Converts a time to milliseconds.
pub fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
