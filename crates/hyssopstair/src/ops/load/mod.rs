//! Generates load: opens flows and sends requests to services as callers do.
//!
//! - [`workload`] reads the workload file, which defines requests, feeds and faults.
//! - [`arrivals`] computes when requests are sent.
//! - [`caller`] opens flows and sends requests over them.
//! - [`groups`] and [`requests`] send the requests of a group and retry them.
//! - [`feeds`] keeps feeds open, and [`faults`] injects faults.
//! - [`tally`] counts results, and [`backends`] fetches the reports of the backend
//!   servers; [`report`] combines both.
//! - [`plot`] draws a report, and [`compare`] compares two of them.

pub mod arrivals;
pub mod backends;
pub mod caller;
pub mod compare;
pub mod faults;
pub mod feeds;
pub mod groups;
pub mod plot;
pub mod report;
pub mod requests;
pub mod tally;
pub mod workload;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use tokio::task::JoinHandle;

use crate::error::CommandError;
use crate::ops::load::backends::fetch_reports;
use crate::ops::load::caller::CallerConnector;
use crate::ops::load::groups::LoadContext;
use crate::ops::load::report::FaultRecord;
use crate::ops::load::report::LoadReport;
use crate::ops::load::tally::LoadTally;
use crate::ops::load::workload::FaultPlan;
use crate::ops::load::workload::FeedLoad;
use crate::ops::load::workload::LoadWorkload;
use crate::ops::load::workload::ServiceLoad;

/// Interval between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a workload and returns its report. Calls `progress` with a line of text each
/// `PROGRESS_INTERVAL`.
///
/// # Errors
///
/// Returns an error if the certificate cannot be used, or if a backend server does
/// not send its report and the workload has no faults that could explain it.
pub async fn run_load(
    workload: &LoadWorkload,
    progress: impl Fn(String) + Send + 'static,
) -> Result<LoadReport, Report<CommandError>> {
    let connector = CallerConnector::with_root_certificate(&workload.certificate)?;
    let allow_missing_reports = !workload.faults.is_empty();
    let reports_before = fetch_reports(&workload.services, allow_missing_reports).await?;
    let start = Instant::now();
    let tally = Arc::new(LoadTally::new(start));
    let context = LoadContext {
        connector,
        tally: tally.clone(),
        start,
        duration: Duration::from_secs_f64(workload.seconds),
        ramp_seconds: workload.ramp_seconds,
        traced_share: workload.traced,
        run_id: format!("{:08x}", rand::random::<u32>()),
    };
    let progress_task = tokio::spawn(print_progress(tally.clone(), progress));
    let fault_tasks = spawn_faults(&workload.faults, start);
    let load_tasks = spawn_load_tasks(workload, &context);
    for task in load_tasks {
        let _ = task.await;
    }
    let faults = futures::future::join_all(fault_tasks).await;
    let faults = faults.into_iter().flatten().collect();
    progress_task.abort();
    let reports_after = fetch_reports(&workload.services, allow_missing_reports).await?;
    let pairs = reports_after.iter().zip(&reports_before);
    let new_reports: Vec<_> = pairs.map(|(after, before)| after.since(before)).collect();
    Ok(LoadReport::build(workload, &tally, &new_reports, faults))
}

fn spawn_load_tasks(workload: &LoadWorkload, context: &LoadContext) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    let mut seed = workload.seed;
    for service in &workload.services {
        spawn_feeds(service, context, &mut tasks);
        for group in &service.requests {
            // Each group has its own seed, for the times of its requests. A group also uses
            // the next seed, to draw trace contexts, so the seed increases by 2.
            seed = seed.wrapping_add(2);
            let task = groups::run_group(context.clone(), service.clone(), group.clone(), seed);
            tasks.push(tokio::spawn(task));
        }
    }
    tasks
}

fn spawn_feeds(service: &ServiceLoad, context: &LoadContext, tasks: &mut Vec<JoinHandle<()>>) {
    let permanent_feeds = FeedLoad {
        count: service.feeds,
        reconnect_seconds: None,
    };
    let mut number = 0;
    for group in std::iter::once(&permanent_feeds).chain(&service.feed_groups) {
        for _ in 0..group.count {
            number += 1;
            let task =
                feeds::keep_feed_open(context.clone(), service.clone(), group.clone(), number);
            tasks.push(tokio::spawn(task));
        }
    }
}

fn spawn_faults(faults: &[FaultPlan], start: Instant) -> Vec<JoinHandle<FaultRecord>> {
    let tasks = faults.iter().cloned().map(|fault| {
        tokio::spawn(async move {
            let error = faults::inject_fault(&fault, start).await.err();
            FaultRecord {
                name: fault.name,
                at: fault.at,
                error,
            }
        })
    });
    tasks.collect()
}

async fn print_progress(tally: Arc<LoadTally>, progress: impl Fn(String)) {
    let mut interval = tokio::time::interval(PROGRESS_INTERVAL);
    interval.tick().await;
    for second in 1.. {
        interval.tick().await;
        let counts = tally.counts();
        progress(format!(
            "{second:>4} s: {} done, {} not run, {} may have run; flows: {} opened, {} broken",
            counts.done,
            counts.not_run,
            counts.may_have_run,
            counts.flows_opened,
            counts.flows_broken
        ));
    }
}
