//! Asks services as callers do.
//!
//! [`workload`] says what is asked and broken, [`arrivals`] when; [`caller`]
//! holds a flow, [`groups`] and [`requests`] ask requests, [`feeds`] holds feeds
//! open, [`faults`] breaks things. [`tally`] counts, [`backends`] asks the
//! backend servers what they saw, [`report`] puts both together, [`plot`] draws
//! it, and [`compare`] sets two reports side by side.

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

/// Time between two lines about progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a workload and reports; `progress` is given a line each second.
///
/// # Errors
///
/// Returns an error when the certificate cannot be used, or when a backend
/// server does not report although nothing was broken.
pub async fn run_load(
    workload: &LoadWorkload,
    progress: impl Fn(String) + Send + 'static,
) -> Result<LoadReport, Report<CommandError>> {
    let connector = CallerConnector::with_root_certificate(&workload.certificate)?;
    let allow_missing_reports = !workload.faults.is_empty();
    let before = fetch_reports(&workload.services, allow_missing_reports).await?;
    let start = Instant::now();
    let tally = Arc::new(LoadTally::new(start));
    let context = LoadContext {
        connector,
        tally: tally.clone(),
        start,
        duration: Duration::from_secs_f64(workload.seconds),
        ramp_seconds: workload.ramp_seconds,
        traced: workload.traced,
        run_id: format!("{:08x}", rand::random::<u32>()),
    };
    let printer = tokio::spawn(print_progress(tally.clone(), progress));
    let faults = spawn_faults(&workload.faults, start);
    let tasks = spawn_load_tasks(workload, &context);
    for task in tasks {
        let _ = task.await;
    }
    let faults = futures::future::join_all(faults).await;
    let faults = faults.into_iter().flatten().collect();
    printer.abort();
    let after = fetch_reports(&workload.services, allow_missing_reports).await?;
    let pairs = after.iter().zip(&before);
    let new_reports: Vec<_> = pairs.map(|(after, before)| after.since(before)).collect();
    Ok(LoadReport::build(workload, &tally, &new_reports, faults))
}

fn spawn_load_tasks(workload: &LoadWorkload, context: &LoadContext) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    let mut seed = workload.seed;
    for service in &workload.services {
        spawn_feeds(service, context, &mut tasks);
        for group in &service.requests {
            // Each group has arrivals of its own.
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
