//! Asks services as callers do.
//!
//! [`workload`] says what is asked, [`caller`] holds a flow, [`feeds`] and
//! [`requests`] ask, and [`report`] tells what came of it.

pub mod caller;
pub mod feeds;
pub mod report;
pub mod requests;
pub mod workload;

use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;

use crate::error::CommandError;
use crate::ops::load::caller::CallerPool;
use crate::ops::load::report::LoadReport;
use crate::ops::load::report::LoadTally;
use crate::ops::load::workload::LoadWorkload;

/// Runs a workload and reports.
///
/// # Errors
///
/// Returns an error when the certificate cannot be used or a backend server
/// does not report.
pub async fn run_load(workload: &LoadWorkload) -> Result<LoadReport, Report<CommandError>> {
    let pool = CallerPool::open(&workload.certificate)?;
    let tally = Arc::new(LoadTally::default());
    let time = Duration::from_secs_f64(workload.seconds);
    let mut tasks = Vec::new();
    for service in &workload.services {
        for number in 0..service.feeds {
            let task = feeds::hold_feed(pool.clone(), service.clone(), number, time, tally.clone());
            tasks.push(tokio::spawn(task));
        }
        for group in &service.requests {
            let task = requests::run_group(
                pool.clone(),
                service.clone(),
                group.clone(),
                time,
                tally.clone(),
            );
            tasks.push(tokio::spawn(task));
        }
    }
    for task in tasks {
        let _ = task.await;
    }
    let backends = report::collect_backends(&workload.services).await?;
    Ok(LoadReport::build(&tally, &backends))
}
