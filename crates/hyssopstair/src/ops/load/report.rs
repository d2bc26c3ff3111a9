//! The report of a load, which combines the callers' counts with the reports of the
//! backend servers.

use serde::Serialize;

use crate::ops::load::backends::BackendReport;
use crate::ops::load::backends::ServiceImbalance;
use crate::ops::load::backends::count_repeated_runs;
use crate::ops::load::backends::measure_imbalance;
use crate::ops::load::backends::request_work;
use crate::ops::load::backends::sum_work;
use crate::ops::load::tally::LoadCounts;
use crate::ops::load::tally::LoadTally;
use crate::ops::load::tally::SecondSample;
use crate::ops::load::workload::LoadWorkload;

/// The result of injecting a fault.
#[derive(Debug, Clone, Serialize)]
pub struct FaultRecord {
    /// The name of the fault.
    pub name: String,
    /// When the fault was due, in seconds after the start.
    pub at: f64,
    /// Why the fault could not be injected, or `None` if it was.
    pub error: Option<String>,
}

/// The report of a load. Its JSON form is compared by `hyssopstair load --compare`.
#[derive(Debug, Clone, Serialize)]
pub struct LoadReport {
    /// The counts of requests and flows.
    #[serde(flatten)]
    pub counts: LoadCounts,
    /// Repeated runs of non-idempotent requests: of each request, all runs except the
    /// first.
    pub doubled: u64,
    /// Requests that reached a backend server of the wrong service.
    pub wrong_service: u64,
    /// The work of all runs divided by the work of all requests that are done. A
    /// non-idempotent request counts twice.
    pub service_per_completed: f64,
    /// How evenly the load of each service was spread over its backend servers.
    pub imbalance: Vec<ServiceImbalance>,
    /// Median latency in milliseconds.
    pub p50_millis: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_millis: f64,
    /// 99.9th percentile of the latency in milliseconds.
    pub p999_millis: f64,
    /// The results of injecting the faults.
    pub faults: Vec<FaultRecord>,
    /// The outcomes of the requests, by the second in which they were due.
    pub seconds: Vec<SecondSample>,
    /// The first error messages.
    pub errors: Vec<String>,
}

impl LoadReport {
    /// Builds the report from the tally, the reports of the backend servers since the
    /// start of the load, and the results of the faults.
    pub fn build(
        workload: &LoadWorkload,
        tally: &LoadTally,
        backends: &[BackendReport],
        faults: Vec<FaultRecord>,
    ) -> Self {
        let counts = tally.counts();
        let is_non_idempotent = |request: &str| is_non_idempotent(workload, request);
        let completed_work = (counts.done - counts.done_once) * request_work(false)
            + counts.done_once * request_work(true);
        let work = sum_work(backends, is_non_idempotent);
        Self {
            counts,
            doubled: count_repeated_runs(backends, is_non_idempotent),
            wrong_service: backends.iter().map(|backend| backend.misdelivered).sum(),
            service_per_completed: work as f64 / completed_work.max(1) as f64,
            imbalance: measure_imbalance(backends),
            p50_millis: tally.latency_millis(0.5),
            p99_millis: tally.latency_millis(0.99),
            p999_millis: tally.latency_millis(0.999),
            faults,
            seconds: tally.seconds(),
            errors: tally.errors(),
        }
    }

    /// Returns whether no flow broke or was refused, no response was wrong, no
    /// non-idempotent request ran twice, no request reached the wrong service, and
    /// every fault was injected.
    pub fn is_clean(&self) -> bool {
        self.counts.flows_broken == 0
            && self.counts.flows_refused == 0
            && self.counts.wrong_answers == 0
            && self.doubled == 0
            && self.wrong_service == 0
            && self.faults.iter().all(|fault| fault.error.is_none())
    }

    /// Returns the report as a single line of JSON.
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the report as lines of text.
    pub fn table(&self) -> Vec<String> {
        let counts = &self.counts;
        let mut lines = vec![
            format_count("requests asked", counts.requests_asked),
            format_count("  done", counts.done),
            format_count("  not run", counts.not_run),
            format_count("  may have run", counts.may_have_run),
            format_count("  wrong answers", counts.wrong_answers),
            format_count("flows opened", counts.flows_opened),
            format_count("  refused", counts.flows_refused),
            format_count("  broken", counts.flows_broken),
            format_count("run more than once", self.doubled),
            format_count("at a wrong service", self.wrong_service),
            format!("service per completed  {:>9.3}", self.service_per_completed),
            format!(
                "latency p50, p99, p99.9    {:.1}  {:.1}  {:.1} ms",
                self.p50_millis, self.p99_millis, self.p999_millis
            ),
        ];
        lines.extend(self.imbalance.iter().flat_map(format_imbalance));
        lines.extend(self.faults.iter().map(format_fault));
        lines.extend(self.errors.iter().map(|error| format!("error {error}")));
        lines
    }
}

/// Returns whether a request in the report of a backend server, given by its method and
/// path, belongs to a group of non-idempotent requests.
fn is_non_idempotent(workload: &LoadWorkload, request: &str) -> bool {
    let groups = workload.services.iter().flat_map(|item| &item.requests);
    groups.filter(|group| !group.is_idempotent()).any(|group| {
        let rest = request
            .strip_prefix(group.method.as_str())
            .and_then(|rest| rest.strip_prefix(' '))
            .and_then(|rest| rest.strip_prefix(group.path.as_str()));
        rest.is_some_and(|rest| rest.starts_with('/'))
    })
}

fn format_count(name: &str, count: u64) -> String {
    format!("{name:<22}{count:>10}")
}

fn format_imbalance(item: &ServiceImbalance) -> Vec<String> {
    let parts = [("requests", item.requests), ("feeds", item.feeds)];
    parts
        .into_iter()
        .filter(|(_, spread)| spread.max_over_mean > 0.0)
        .map(|(part, spread)| {
            format!(
                "imbalance {:<14} {part:<8}  max/mean {:.3}  variation {:.3}",
                item.service, spread.max_over_mean, spread.variation
            )
        })
        .collect()
}

fn format_fault(fault: &FaultRecord) -> String {
    match &fault.error {
        None => format!("fault at {:.1} s: {}", fault.at, fault.name),
        Some(error) => format!("fault at {:.1} s: {} failed: {error}", fault.at, fault.name),
    }
}
