//! `hyssopstair load WORKLOAD`: sends requests to services as callers do, and
//! reports the results.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use error_stack::Report;
use error_stack::ResultExt;

use crate::error::CommandError;
use crate::error::FailureKind;
use crate::ops::load::compare::compare_reports;
use crate::ops::load::compare::read_report;
use crate::ops::load::plot::write_plot;
use crate::ops::load::run_load;
use crate::ops::load::workload::read_workload;
use crate::ops::runtime::block_on;
use crate::shell::ConsoleShell;

/// Runs a workload of feeds, requests and injected faults, or compares two reports.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadArgs {
    /// compare two reports instead of running a workload
    #[argh(switch)]
    pub compare: bool,

    /// also write the report to this file, as JSON
    #[argh(option)]
    pub json: Option<PathBuf>,

    /// also write a plot of the load to this file, as SVG
    #[argh(option)]
    pub plot: Option<PathBuf>,

    /// path of the workload file (YAML), or with --compare the paths of two reports
    /// (JSON)
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Runs `hyssopstair load`.
///
/// # Errors
///
/// Returns an error if a file cannot be read or written, the workload is invalid,
/// or a backend server sends no report. After a load, also returns an error if the
/// report is not clean (see [`LoadReport::is_clean`]).
///
/// [`LoadReport::is_clean`]: crate::ops::load::report::LoadReport::is_clean
pub fn exec(args: &LoadArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    match (args.compare, args.files.as_slice()) {
        (true, [before, after]) => print_comparison(before, after, shell),
        (false, [workload]) => run_workload(args, workload, shell),
        (true, _) => Err(usage_error("--compare requires the paths of two reports")),
        (false, _) => Err(usage_error("the path of one workload file is required")),
    }
}

fn usage_error(text: &str) -> Report<CommandError> {
    Report::new(CommandError::new(FailureKind::InvalidInput, text))
}

fn print_comparison(
    before: &Path,
    after: &Path,
    shell: &mut ConsoleShell,
) -> Result<(), Report<CommandError>> {
    let lines = compare_reports(&read_report(before)?, &read_report(after)?);
    for line in lines {
        shell.print_line(line);
    }
    Ok(())
}

fn run_workload(
    args: &LoadArgs,
    path: &Path,
    shell: &mut ConsoleShell,
) -> Result<(), Report<CommandError>> {
    let workload = read_workload(path)?;
    let progress = |line| ConsoleShell::new().print_progress(line);
    let report = block_on(run_load(&workload, progress))??;
    for line in report.table() {
        shell.print_line(line);
    }
    shell.print_line(report.json());
    if let Some(path) = &args.json {
        fs::write(path, report.json()).change_context_lazy(|| {
            CommandError::new(
                FailureKind::InvalidInput,
                format!("failed to write report {}", path.display()),
            )
        })?;
    }
    if let Some(path) = &args.plot {
        write_plot(path, &report)?;
    }
    if report.is_clean() {
        return Ok(());
    }
    Err(Report::new(CommandError::new(
        FailureKind::Finding,
        "the load failed: a flow was refused or broke, a request ran twice or got a wrong \
         answer, something reached the wrong service, or a fault could not be injected",
    )))
}
