//! `hyssopstair load WORKLOAD`: asks services as callers do and reports.

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

/// Runs a workload of feeds, requests and faults, or compares two reports.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadArgs {
    /// compare two reports instead of running a workload
    #[argh(switch)]
    pub compare: bool,

    /// also write the report to this file, as JSON
    #[argh(option)]
    pub json: Option<PathBuf>,

    /// also draw the load to this file, as SVG
    #[argh(option)]
    pub plot: Option<PathBuf>,

    /// path of the workload file, in YAML; or of two reports, in JSON
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the workload is wrong, or when a flow broke, a request
/// ran twice or reached a wrong service.
pub fn exec(args: &LoadArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    match (args.compare, args.files.as_slice()) {
        (true, [before, after]) => print_comparison(before, after, shell),
        (false, [workload]) => run_workload(args, workload, shell),
        (true, _) => Err(usage_error("--compare needs two reports")),
        (false, _) => Err(usage_error("one workload file is needed")),
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
        "a flow broke, a request ran twice, a fault could not be done, or something reached a \
         wrong service",
    )))
}
