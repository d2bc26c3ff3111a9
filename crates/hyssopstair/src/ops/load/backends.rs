//! Fetches the reports of backend servers, and evaluates which requests ran twice
//! and how evenly the servers were used.
//!
//! The report of a backend server lists each request that ran there, including those
//! whose response did not reach the caller.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use serde::Deserialize;
use serde::Serialize;

use crate::error::CommandError;
use crate::error::FailureKind;
use crate::ops::load::workload::ServiceLoad;

/// Timeout of fetching the report of a backend server.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Work of a non-idempotent request, relative to that of an idempotent one.
const NON_IDEMPOTENT_WORK: u64 = 2;

/// A run of a request on a backend server.
#[derive(Debug, Clone, Deserialize)]
pub struct RunRecord {
    /// The method and path, separated by a space.
    pub request: String,
}

/// The report of a backend server.
#[derive(Debug, Clone, Deserialize)]
pub struct BackendReport {
    /// The service that the backend server belongs to.
    pub service: String,
    /// The runs of all requests, in the order in which they started.
    pub runs: Vec<RunRecord>,
    /// Number of requests for another service that reached this backend server.
    pub misdelivered: u64,
    /// Number of feeds that were opened.
    pub feeds: u64,
}

/// How evenly the load of a service was spread over its backend servers.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceImbalance {
    /// The name of the service.
    pub service: String,
    /// The spread of the runs of requests per backend server.
    pub requests: SpreadMeasure,
    /// The spread of the feeds per backend server.
    pub feeds: SpreadMeasure,
}

/// How evenly values are spread.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct SpreadMeasure {
    /// The maximum divided by the mean; 0 if all values are 0.
    pub max_over_mean: f64,
    /// The coefficient of variation: the standard deviation divided by the mean; 0
    /// if all values are 0.
    pub variation: f64,
}

/// Returns the reports of the backend servers of all services, in the order of the
/// workload. If `allow_missing_reports` is set, the report of a backend server that
/// does not answer is empty.
///
/// # Errors
///
/// Returns an error if a backend server does not answer and `allow_missing_reports`
/// is not set.
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
            format!("failed to fetch the report of backend server {address}"),
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

    /// Returns the part of this report that is newer than the report `before`. If this
    /// report has fewer runs, the backend server was restarted in between and has lost
    /// its earlier runs, so all runs in the report are new.
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

/// Returns the number of repeated runs of non-idempotent requests: of each request, all
/// runs except the first. `is_non_idempotent` decides by the method and path.
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

/// Returns the total work of all runs. A non-idempotent request counts as
/// `NON_IDEMPOTENT_WORK`, an idempotent one as 1.
pub fn sum_work(backends: &[BackendReport], is_non_idempotent: impl Fn(&str) -> bool) -> u64 {
    requests_of(backends)
        .map(|request| request_work(is_non_idempotent(request)))
        .sum()
}

/// Returns the work of one run of a request.
pub fn request_work(is_non_idempotent: bool) -> u64 {
    if is_non_idempotent {
        NON_IDEMPOTENT_WORK
    } else {
        1
    }
}

/// Returns the method and path of each run on all backend servers.
fn requests_of(backends: &[BackendReport]) -> impl Iterator<Item = &str> {
    let runs = backends.iter().flat_map(|backend| &backend.runs);
    runs.map(|run| run.request.as_str())
}

/// Returns how evenly the load of each service was spread, sorted by service name.
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
    /// Returns how evenly `loads` are spread.
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
