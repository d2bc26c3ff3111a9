//! What the backend servers of a load have seen.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use serde::Deserialize;
use serde::Serialize;

use crate::error::CommandError;
use crate::error::FailureKind;
use crate::ops::load::workload::ServiceLoad;

/// Longest wait for the report of a backend server.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Weight of a request that may run once only.
const NON_IDEMPOTENT_WORK: u64 = 2;

/// One run of a request.
#[derive(Debug, Clone, Deserialize)]
pub struct RunRecord {
    /// The method and path.
    pub request: String,
}

/// What a backend server has seen.
#[derive(Debug, Clone, Deserialize)]
pub struct BackendReport {
    /// The service that it belongs to.
    pub service: String,
    /// All runs of requests, in order.
    pub runs: Vec<RunRecord>,
    /// Requests that were sent to another service.
    pub misdelivered: u64,
    /// Feeds that were opened.
    pub feeds: u64,
}

/// How evenly the backend servers of a service were used.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceImbalance {
    /// The service.
    pub service: String,
    /// Runs per backend server.
    pub requests: SpreadMeasure,
    /// Feeds per backend server.
    pub feeds: SpreadMeasure,
}

/// How evenly a number is spread.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct SpreadMeasure {
    /// Highest over mean; 0 when all are zero.
    pub max_over_mean: f64,
    /// Coefficient of variation: standard deviation over mean.
    pub variation: f64,
}

/// Asks the backend servers what they have seen. One that does not answer has
/// an empty report when `allow_missing_reports`.
///
/// # Errors
///
/// Returns an error when one does not answer.
pub async fn fetch_reports(
    services: &[ServiceLoad],
    allow_missing_reports: bool,
) -> Result<Vec<BackendReport>, Report<CommandError>> {
    let mut reports = Vec::new();
    for service in services {
        for address in &service.backends {
            match fetch_report(*address).await {
                Ok(report) => reports.push(report),
                Err(_) if allow_missing_reports => {
                    reports.push(BackendReport::empty(&service.name))
                }
                Err(error) => return Err(error),
            }
        }
    }
    Ok(reports)
}

async fn fetch_report(address: SocketAddr) -> Result<BackendReport, Report<CommandError>> {
    let context = || {
        CommandError::new(
            FailureKind::Unavailable,
            format!("backend server {address} does not report"),
        )
    };
    reqwest::Client::new()
        .get(format!("http://{address}/report"))
        .timeout(REPORT_TIMEOUT)
        .send()
        .await
        .change_context_lazy(context)?
        .json()
        .await
        .change_context_lazy(context)
}

impl BackendReport {
    fn empty(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            runs: Vec::new(),
            misdelivered: 0,
            feeds: 0,
        }
    }

    /// Returns what has been seen since an earlier report. A backend server
    /// that was started again in between has forgotten what it saw before.
    pub fn since(&self, before: &Self) -> Self {
        let was_restarted = self.runs.len() < before.runs.len();
        let known_runs = if was_restarted { 0 } else { before.runs.len() };
        Self {
            service: self.service.clone(),
            runs: self.runs[known_runs..].to_vec(),
            misdelivered: self.misdelivered.saturating_sub(before.misdelivered),
            feeds: self.feeds.saturating_sub(before.feeds),
        }
    }
}

/// Returns how often requests ran again that may run once only. `is_non_idempotent` tells
/// by method and path.
pub fn count_repeated_runs(
    backends: &[BackendReport],
    is_non_idempotent: impl Fn(&str) -> bool,
) -> u64 {
    let mut requests: Vec<&str> = requests_of(backends)
        .filter(|request| is_non_idempotent(request))
        .collect();
    requests.sort_unstable();
    let pairs = requests.windows(2);
    pairs.filter(|pair| pair[0] == pair[1]).count() as u64
}

/// Returns the work of all runs; a request that may run once only counts twice.
pub fn sum_work(backends: &[BackendReport], is_non_idempotent: impl Fn(&str) -> bool) -> u64 {
    requests_of(backends)
        .map(|request| request_work(is_non_idempotent(request)))
        .sum()
}

/// Returns the work of one run.
pub fn request_work(is_non_idempotent: bool) -> u64 {
    if is_non_idempotent {
        NON_IDEMPOTENT_WORK
    } else {
        1
    }
}

fn requests_of(backends: &[BackendReport]) -> impl Iterator<Item = &str> {
    let runs = backends.iter().flat_map(|backend| &backend.runs);
    runs.map(|run| run.request.as_str())
}

/// Measures how evenly each service was used.
pub fn measure_imbalance(backends: &[BackendReport]) -> Vec<ServiceImbalance> {
    let mut names: Vec<&str> = backends
        .iter()
        .map(|backend| backend.service.as_str())
        .collect();
    names.sort_unstable();
    names.dedup();
    names
        .into_iter()
        .map(|name| {
            let service_reports = || backends.iter().filter(|backend| backend.service == name);
            let requests: Vec<f64> = service_reports()
                .map(|backend| backend.runs.len() as f64)
                .collect();
            let feeds: Vec<f64> = service_reports()
                .map(|backend| backend.feeds as f64)
                .collect();
            ServiceImbalance {
                service: name.to_owned(),
                requests: SpreadMeasure::from_loads(&requests),
                feeds: SpreadMeasure::from_loads(&feeds),
            }
        })
        .collect()
}

impl SpreadMeasure {
    /// Measures how evenly `loads` are spread.
    pub fn from_loads(loads: &[f64]) -> Self {
        let count = loads.len() as f64;
        let mean = loads.iter().sum::<f64>() / count;
        if loads.is_empty() || mean == 0.0 {
            return Self {
                max_over_mean: 0.0,
                variation: 0.0,
            };
        }
        let max = loads.iter().copied().fold(0.0, f64::max);
        let variance = loads.iter().map(|load| (load - mean).powi(2)).sum::<f64>() / count;
        Self {
            max_over_mean: max / mean,
            variation: variance.sqrt() / mean,
        }
    }
}
