//! What came of a load.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::error::CommandError;
use crate::error::FailureKind;
use crate::ops::load::caller::CallerError;
use crate::ops::load::caller::WholeAnswer;
use crate::ops::load::workload::ServiceLoad;

/// Name of the response header that carries the verdict.
const VERDICT_HEADER: &str = "hyssopstair-verdict";

/// Digits of a latency that are kept.
const LATENCY_DIGITS: u8 = 3;

#[derive(Debug)]
struct TallyState {
    counts: LoadCounts,
    latency: Histogram<u64>,
    errors: Vec<String>,
}

/// Counts of one load.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct LoadCounts {
    /// Requests that were sent.
    pub requests_asked: u64,
    /// Requests whose whole answer came.
    pub done: u64,
    /// Requests that were refused before they ran.
    pub not_run: u64,
    /// Requests of which nobody knows.
    pub may_have_run: u64,
    /// Answers that were not the request's own.
    pub wrong_answers: u64,
    /// Flows that opened.
    pub flows_opened: u64,
    /// Flows that could not be opened.
    pub flows_refused: u64,
    /// Flows that ended before their time.
    pub flows_broken: u64,
}

/// Counts while a load runs.
#[derive(Debug)]
pub struct LoadTally {
    state: Mutex<TallyState>,
}

impl Default for LoadTally {
    fn default() -> Self {
        let latency = Histogram::new(LATENCY_DIGITS).expect("3 digits are allowed");
        Self {
            state: Mutex::new(TallyState {
                counts: LoadCounts::default(),
                latency,
                errors: Vec::new(),
            }),
        }
    }
}

impl LoadTally {
    fn lock(&self) -> MutexGuard<'_, TallyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a flow that opened.
    pub fn flow_opened(&self) {
        self.lock().counts.flows_opened += 1;
    }

    /// Counts a flow that could not be opened.
    pub fn flow_refused(&self, error: &CallerError) {
        let mut state = self.lock();
        state.counts.flows_refused += 1;
        state.errors.push(format!("open: {error}"));
    }

    /// Counts a flow that ended before its time.
    pub fn flow_broken(&self, error: &CallerError) {
        let mut state = self.lock();
        state.counts.flows_broken += 1;
        state.errors.push(format!("feed: {error}"));
    }

    /// Counts a request that was answered.
    pub fn answered(&self, answer: &WholeAnswer, latency: Duration, is_right: bool) {
        let mut state = self.lock();
        state.counts.requests_asked += 1;
        let verdict = answer
            .head
            .headers()
            .get(VERDICT_HEADER)
            .and_then(|value| value.to_str().ok());
        match verdict {
            Some("not-run") => state.counts.not_run += 1,
            Some("done") => {
                state.counts.done += 1;
                let _ = state.latency.record(latency.as_micros() as u64);
            }
            _ => state.counts.may_have_run += 1,
        }
        if !is_right {
            state.counts.wrong_answers += 1;
        }
    }

    /// Counts a request that got no answer.
    pub fn unanswered(&self, error: &CallerError) {
        let mut state = self.lock();
        state.counts.requests_asked += 1;
        state.counts.may_have_run += 1;
        state.errors.push(format!("request: {error}"));
    }
}

#[derive(Debug, Deserialize)]
struct RunRecord {
    request: String,
}

/// What a backend server has seen.
#[derive(Debug, Deserialize)]
pub struct BackendReport {
    service: String,
    runs: Vec<RunRecord>,
    misdelivered: u64,
    feeds: u64,
}

/// Asks the backend servers what they have seen.
///
/// # Errors
///
/// Returns an error when one does not answer.
pub async fn collect_backends(
    services: &[ServiceLoad],
) -> Result<Vec<BackendReport>, Report<CommandError>> {
    let mut reports = Vec::new();
    for address in services.iter().flat_map(|service| &service.backends) {
        reports.push(collect_one(*address).await?);
    }
    Ok(reports)
}

async fn collect_one(address: SocketAddr) -> Result<BackendReport, Report<CommandError>> {
    let context = || {
        CommandError::new(
            FailureKind::Service,
            format!("backend server {address} does not report"),
        )
    };
    reqwest::get(format!("http://{address}/report"))
        .await
        .change_context_lazy(context)?
        .json()
        .await
        .change_context_lazy(context)
}

/// How evenly the backend servers of a service were used.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceImbalance {
    /// The service.
    pub service: String,
    /// Runs and feeds per backend server: highest over mean.
    pub max_over_mean: f64,
    /// Runs and feeds per backend server: standard deviation over mean.
    pub variation: f64,
}

/// What came of a load.
#[derive(Debug, Clone, Serialize)]
pub struct LoadReport {
    /// The counts.
    #[serde(flatten)]
    pub counts: LoadCounts,
    /// Requests that change something and ran more than once.
    pub doubled: u64,
    /// Requests that reached a wrong service.
    pub wrong_service: u64,
    /// How evenly each service was used.
    pub imbalance: Vec<ServiceImbalance>,
    /// Median latency in milliseconds.
    pub p50_millis: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_millis: f64,
    /// 99.9th percentile of the latency in milliseconds.
    pub p999_millis: f64,
    /// The first errors.
    pub errors: Vec<String>,
}

/// Errors that are kept in a report.
const KEPT_ERRORS: usize = 5;

impl LoadReport {
    /// Puts the counts and the backend servers' logs together.
    pub fn build(tally: &LoadTally, backends: &[BackendReport]) -> Self {
        let state = tally.lock();
        let percentile = |quantile: f64| state.latency.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            counts: state.counts,
            doubled: count_doubled(backends),
            wrong_service: backends.iter().map(|backend| backend.misdelivered).sum(),
            imbalance: measure_imbalance(backends),
            p50_millis: percentile(0.5),
            p99_millis: percentile(0.99),
            p999_millis: percentile(0.999),
            errors: state.errors.iter().take(KEPT_ERRORS).cloned().collect(),
        }
    }

    /// Returns whether nothing broke, ran twice or went astray.
    pub fn is_clean(&self) -> bool {
        self.counts.flows_broken == 0
            && self.counts.flows_refused == 0
            && self.counts.wrong_answers == 0
            && self.doubled == 0
            && self.wrong_service == 0
    }

    /// Returns the report as one line of JSON.
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the report as lines for people.
    pub fn table(&self) -> Vec<String> {
        let counts = &self.counts;
        let mut lines = vec![
            row("requests asked", counts.requests_asked),
            row("  done", counts.done),
            row("  not run", counts.not_run),
            row("  may have run", counts.may_have_run),
            row("  wrong answers", counts.wrong_answers),
            row("flows opened", counts.flows_opened),
            row("  refused", counts.flows_refused),
            row("  broken", counts.flows_broken),
            row("run more than once", self.doubled),
            row("at a wrong service", self.wrong_service),
            format!(
                "latency p50, p99, p99.9    {:.1}  {:.1}  {:.1} ms",
                self.p50_millis, self.p99_millis, self.p999_millis
            ),
        ];
        lines.extend(self.imbalance.iter().map(|item| {
            format!(
                "imbalance {:<16} max/mean {:.3}  variation {:.3}",
                item.service, item.max_over_mean, item.variation
            )
        }));
        lines
    }
}

fn row(name: &str, count: u64) -> String {
    format!("{name:<22}{count:>9}")
}

fn count_doubled(backends: &[BackendReport]) -> u64 {
    let mut keys: Vec<&str> = backends
        .iter()
        .flat_map(|backend| &backend.runs)
        .filter(|run| run.request.starts_with("POST"))
        .map(|run| run.request.as_str())
        .collect();
    keys.sort_unstable();
    keys.windows(2).filter(|pair| pair[0] == pair[1]).count() as u64
}

fn measure_imbalance(backends: &[BackendReport]) -> Vec<ServiceImbalance> {
    let mut names: Vec<&str> = backends
        .iter()
        .map(|backend| backend.service.as_str())
        .collect();
    names.sort_unstable();
    names.dedup();
    names
        .into_iter()
        .map(|name| service_imbalance(name, backends))
        .collect()
}

fn service_imbalance(name: &str, backends: &[BackendReport]) -> ServiceImbalance {
    let loads: Vec<f64> = backends
        .iter()
        .filter(|backend| backend.service == name)
        .map(|backend| backend.runs.len() as f64 + backend.feeds as f64)
        .collect();
    let count = loads.len() as f64;
    let mean = loads.iter().sum::<f64>() / count;
    let max = loads.iter().copied().fold(0.0, f64::max);
    let variance = loads.iter().map(|load| (load - mean).powi(2)).sum::<f64>() / count;
    if mean == 0.0 {
        return ServiceImbalance {
            service: name.to_owned(),
            max_over_mean: 0.0,
            variation: 0.0,
        };
    }
    ServiceImbalance {
        service: name.to_owned(),
        max_over_mean: max / mean,
        variation: variance.sqrt() / mean,
    }
}
