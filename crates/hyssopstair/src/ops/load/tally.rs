//! Records the outcomes of requests and flows while a load runs.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use hyssopstair_requests::verdict::VERDICT_HEADER;
use serde::Serialize;

use crate::ops::load::caller::CallerError;
use crate::ops::load::caller::FullResponse;

/// Number of significant decimal digits of a recorded latency.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

/// Number of error messages that are recorded; later ones are dropped.
const MAX_RECORDED_ERRORS: usize = 5;

/// The counts of a load.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct LoadCounts {
    /// Requests that were due, including those that could not be sent.
    pub requests_asked: u64,
    /// Requests that ran and whose complete response arrived.
    pub done: u64,
    /// The non-idempotent requests among those in `done`.
    pub done_once: u64,
    /// Requests that did not run: their response says so, or they were not sent.
    pub not_run: u64,
    /// Requests of which it is unknown whether they ran.
    pub may_have_run: u64,
    /// Responses that do not belong to their request.
    pub wrong_answers: u64,
    /// Flows that were opened.
    pub flows_opened: u64,
    /// Flows that could not be opened.
    pub flows_refused: u64,
    /// Flows that ended unexpectedly.
    pub flows_broken: u64,
}

/// The outcomes of the requests that were due in one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct SecondSample {
    /// Requests that ran and whose complete response arrived.
    pub done: u64,
    /// Requests that did not run: their response says so, or they were not sent.
    pub not_run: u64,
    /// Requests of which it is unknown whether they ran.
    pub may_have_run: u64,
    /// Median latency in milliseconds.
    pub p50_millis: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_millis: f64,
}

#[derive(Debug)]
struct SecondTally {
    sample: SecondSample,
    latency: Histogram<u64>,
}

#[derive(Debug)]
struct TallyState {
    counts: LoadCounts,
    latency: Histogram<u64>,
    seconds: Vec<SecondTally>,
    errors: Vec<String>,
}

/// What is known about whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestOutcome {
    Done,
    NotRun,
    MayHaveRun,
}

/// Records the outcomes of requests and flows. Shared by the tasks of a load.
#[derive(Debug)]
pub struct LoadTally {
    start: Instant,
    state: Mutex<TallyState>,
}

impl LoadTally {
    /// Creates an empty tally of a load that starts at `start`.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            state: Mutex::new(TallyState {
                counts: LoadCounts::default(),
                latency: new_histogram(),
                seconds: Vec::new(),
                errors: Vec::new(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, TallyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current counts.
    pub fn counts(&self) -> LoadCounts {
        self.lock().counts
    }

    /// Returns the first error messages.
    pub fn errors(&self) -> Vec<String> {
        self.lock().errors.clone()
    }

    /// Returns a quantile, from 0 to 1, of the latency of the requests that are
    /// done, in milliseconds.
    pub fn latency_millis(&self, quantile: f64) -> f64 {
        quantile_millis(&self.lock().latency, quantile)
    }

    /// Returns the outcomes of the requests, by the second in which they were due.
    pub fn seconds(&self) -> Vec<SecondSample> {
        let state = self.lock();
        let samples = state.seconds.iter().map(|second| SecondSample {
            p50_millis: quantile_millis(&second.latency, 0.5),
            p99_millis: quantile_millis(&second.latency, 0.99),
            ..second.sample
        });
        samples.collect()
    }

    /// Counts a flow that was opened.
    pub fn record_flow_opened(&self) {
        self.lock().counts.flows_opened += 1;
    }

    /// Counts a flow that could not be opened, and records the error.
    pub fn record_flow_refused(&self, error: &CallerError) {
        let mut state = self.lock();
        state.counts.flows_refused += 1;
        state.record_error(format!("open: {error}"));
    }

    /// Counts a flow that ended unexpectedly, and records the error. `prefix` is the
    /// prefix of the error message: `flow` or `feed`.
    pub fn record_flow_broken(&self, prefix: &str, error: &CallerError) {
        let mut state = self.lock();
        state.counts.flows_broken += 1;
        state.record_error(format!("{prefix}: {error}"));
    }

    /// Counts a request that got a response. Its latency is measured from `due` to
    /// this call, and its outcome is the verdict in the header of the response.
    pub fn record_response(
        &self,
        response: &FullResponse,
        due: Instant,
        is_non_idempotent: bool,
        is_expected: bool,
    ) {
        let verdict = response
            .head
            .headers()
            .get(VERDICT_HEADER)
            .and_then(|value| value.to_str().ok());
        let outcome = match verdict {
            Some("not-run") => RequestOutcome::NotRun,
            Some("done") => RequestOutcome::Done,
            _ => RequestOutcome::MayHaveRun,
        };
        let mut state = self.lock();
        state.record_outcome(outcome, self.second_index(due), due.elapsed());
        if outcome == RequestOutcome::Done && is_non_idempotent {
            state.counts.done_once += 1;
        }
        if !is_expected {
            state.counts.wrong_answers += 1;
            state.record_error("request: the response belongs to another request".to_owned());
        }
    }

    /// Counts a request that got no response, and records the error.
    pub fn record_failure(&self, error: &CallerError, due: Instant) {
        let outcome = match error {
            CallerError::Unsent(_) => RequestOutcome::NotRun,
            CallerError::Failed(_) => RequestOutcome::MayHaveRun,
        };
        let mut state = self.lock();
        state.record_outcome(outcome, self.second_index(due), due.elapsed());
        state.record_error(format!("request: {error}"));
    }

    /// Counts a request that was due but could not be sent, and records the reason.
    pub fn record_unsent(&self, due: Instant, reason: &str) {
        let mut state = self.lock();
        state.record_outcome(
            RequestOutcome::NotRun,
            self.second_index(due),
            Duration::ZERO,
        );
        state.record_error(format!("request: {reason}"));
    }

    /// Returns the number of whole seconds between the start of the load and `due`.
    fn second_index(&self, due: Instant) -> usize {
        due.saturating_duration_since(self.start).as_secs() as usize
    }
}

impl TallyState {
    fn record_outcome(&mut self, outcome: RequestOutcome, second: usize, latency: Duration) {
        while self.seconds.len() <= second {
            self.seconds.push(SecondTally {
                sample: SecondSample::default(),
                latency: new_histogram(),
            });
        }
        let second = &mut self.seconds[second];
        self.counts.requests_asked += 1;
        match outcome {
            RequestOutcome::Done => {
                self.counts.done += 1;
                second.sample.done += 1;
                let micros = latency.as_micros() as u64;
                let _ = self.latency.record(micros);
                let _ = second.latency.record(micros);
            }
            RequestOutcome::NotRun => {
                self.counts.not_run += 1;
                second.sample.not_run += 1;
            }
            RequestOutcome::MayHaveRun => {
                self.counts.may_have_run += 1;
                second.sample.may_have_run += 1;
            }
        }
    }

    fn record_error(&mut self, text: String) {
        if self.errors.len() < MAX_RECORDED_ERRORS {
            self.errors.push(text);
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(LATENCY_SIGNIFICANT_DIGITS).expect("the number of significant digits is valid")
}

fn quantile_millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
