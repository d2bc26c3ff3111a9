//! `hyssopstair load WORKLOAD`: asks services as callers do and reports.

use std::path::PathBuf;

use argh::FromArgs;
use error_stack::Report;

use crate::error::CommandError;
use crate::error::FailureKind;
use crate::ops::load::run_load;
use crate::ops::load::workload::read_workload;
use crate::ops::runtime::block_on;
use crate::shell::PersonShell;

/// Runs a workload: feeds, and requests at fixed rates.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadArgs {
    /// path of the workload file, in YAML
    #[argh(positional)]
    pub workload: PathBuf,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the workload is wrong, or when a flow broke, a request
/// ran twice or reached a wrong service.
pub fn exec(args: &LoadArgs, shell: &mut PersonShell) -> Result<(), Report<CommandError>> {
    let workload = read_workload(&args.workload)?;
    let report = block_on(run_load(&workload))??;
    for line in report.table() {
        shell.line(line);
    }
    shell.line(report.json());
    if report.is_clean() {
        return Ok(());
    }
    Err(Report::new(CommandError::new(
        FailureKind::Finding,
        "a flow broke, a request ran twice, or something reached a wrong service",
    )))
}
