//! What was counted at one point of a load curve.

use std::time::Duration;

use hyssopstair_requests::admission::RequestClass;

use crate::curve::LOAD_TIME;
use crate::curve::setting::HostKind;

/// What one host did.
#[derive(Debug)]
pub struct HostTally {
    /// How its backend server behaves.
    pub kind: HostKind,
    /// Requests that asked here first.
    pub asked: u64,
    /// Requests that were refused on arrival.
    pub refused: u64,
    /// Requests that were dropped from the queue.
    pub dropped: u64,
    /// Requests that its backend server shed.
    pub shed: u64,
    /// Requests that completed in time.
    pub completed: u64,
    /// Requests that had a slot and passed their deadline.
    pub late: u64,
    /// Work of the backend server.
    pub busy: Duration,
}

impl HostTally {
    /// Creates an empty tally.
    pub fn new(kind: HostKind) -> Self {
        Self {
            kind,
            asked: 0,
            refused: 0,
            dropped: 0,
            shed: 0,
            completed: 0,
            late: 0,
            busy: Duration::ZERO,
        }
    }
}

/// What all hosts and callers saw.
#[derive(Debug, Default)]
pub struct CurveTally {
    /// Requests that completed in time, enrolments double.
    pub weight: u64,
    /// Requests that were answered `not-run` and did not run.
    pub not_run: u64,
    /// Requests that were answered `not-run` and ran.
    pub false_not_run: u64,
    /// Second tries.
    pub relays: u64,
    /// Second tries that completed.
    pub relays_completed: u64,
    /// Second tries that were refused.
    pub relays_refused: u64,
    /// Real times of the decisions that refused a request; sorted at the end.
    pub refusal_times: Vec<Duration>,
    /// Times of completed requests; sorted at the end.
    pub times: Vec<Duration>,
    /// What each host did.
    pub hosts: Vec<HostTally>,
}

impl CurveTally {
    /// Counts a request that completed in time.
    pub fn complete(&mut self, class: RequestClass, time: Duration) {
        self.weight += match class {
            RequestClass::Idempotent => 1,
            RequestClass::NonIdempotent => 2,
        };
        self.times.push(time);
    }

    /// Counts a request that is answered `not-run`.
    pub fn refuse(&mut self, has_run: bool) {
        match has_run {
            true => self.false_not_run += 1,
            false => self.not_run += 1,
        }
    }

    /// Takes in what the hosts did, at the end.
    pub fn close(&mut self, hosts: Vec<HostTally>) {
        self.hosts = hosts;
        self.times.sort_unstable();
        self.refusal_times.sort_unstable();
    }

    /// Returns completed requests a second, enrolments double.
    pub fn goodput(&self) -> f64 {
        self.weight as f64 / LOAD_TIME.as_secs_f64()
    }

    /// Returns the requests that had a slot and passed their deadline.
    pub fn late(&self) -> u64 {
        self.hosts.iter().map(|host| host.late).sum()
    }

    /// Returns the requests that backend servers shed.
    pub fn shed(&self) -> u64 {
        self.hosts.iter().map(|host| host.shed).sum()
    }

    /// Returns the share of all requests that were truly answered `not-run`.
    pub fn not_run_share(&self) -> f64 {
        let ends = self.times.len() as u64 + self.late() + self.not_run + self.false_not_run;
        self.not_run as f64 / ends.max(1) as f64
    }

    /// Returns the work of the backend servers per completed request.
    pub fn service_per_completed(&self) -> Duration {
        let busy: Duration = self.hosts.iter().map(|host| host.busy).sum();
        busy / self.times.len().max(1) as u32
    }

    /// Returns the largest share of work relative to speed over the mean, and
    /// the coefficient of variation.
    pub fn imbalance(&self) -> (f64, f64) {
        let work: Vec<f64> = self
            .hosts
            .iter()
            .map(|host| host.completed as f64 / host.kind.speed())
            .collect();
        let count = work.len() as f64;
        let mean = work.iter().sum::<f64>() / count;
        let largest = work.iter().copied().fold(0.0, f64::max);
        let variance = work.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / count;
        (largest / mean, variance.sqrt() / mean)
    }

    /// Returns one row of a table, without real times.
    pub fn row(&self) -> String {
        let (largest, variation) = self.imbalance();
        format!(
            "{:.1} | {:.3} | {:.1} | {:.1} | {} | {} | {:.2} | {:.2} | {:.2}",
            self.goodput(),
            self.not_run_share(),
            millis(percentile(&self.times, 50)),
            millis(percentile(&self.times, 99)),
            self.late(),
            self.shed(),
            largest,
            variation,
            millis(self.service_per_completed()),
        )
    }
}

/// Returns a percentile of sorted times, or zero without any.
pub fn percentile(sorted: &[Duration], percent: usize) -> Duration {
    let index = sorted.len() * percent / 100;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}

/// Returns a time in milliseconds.
pub fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
