//! `hyssopstair check FILE`: checks a rule file or a configuration before it is sent.

use std::path::PathBuf;

use argh::FromArgs;
use error_stack::Report;
use error_stack::ResultExt;

use crate::error::CommandError;
use crate::error::FailureKind;
use crate::ops::check::CheckReport;
use crate::ops::check::check_text;
use crate::ops::record::read_configuration;
use crate::ops::rule_file::read_rule_file;
use crate::ops::runtime::block_on;
use crate::shell::ConsoleShell;

/// Checks a rule file, or a configuration of the users' platform in JSON, before it is sent:
/// lists errors, entries that can never match, limits that contradict each other, and what
/// differs from the version in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// path of a file with the version in force, to compare with
    #[argh(option)]
    pub against: Option<PathBuf>,

    /// URL of the platform's key-value service, to compare a rule file with the rules in
    /// force; may be repeated
    #[argh(option)]
    pub platform: Vec<String>,

    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,

    /// path of the file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Runs `hyssopstair check`.
///
/// # Errors
///
/// Returns an error if a file cannot be read or is invalid, the platform does not answer, or
/// an entry is probably a mistake.
pub fn exec(args: &CheckArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    let text = read_rule_file(&args.file)?;
    let in_force = read_version_in_force(args)?;
    let report = check_text(&args.file, &text, in_force.as_deref())?;
    if args.json {
        let json = serde_json::to_string(&report).change_context_lazy(|| {
            CommandError::new(FailureKind::Finding, "failed to encode the result")
        })?;
        shell.print_line(json);
    } else {
        print_report(args, &report, shell);
    }
    if report.findings.is_empty() {
        return Ok(());
    }
    let message = format!("{} entries are probably mistakes", report.findings.len());
    Err(Report::new(CommandError::new(
        FailureKind::Finding,
        message,
    )))
}

/// Returns the text of the version in force, from a file or from the platform.
fn read_version_in_force(args: &CheckArgs) -> Result<Option<String>, Report<CommandError>> {
    if let Some(path) = &args.against {
        return read_rule_file(path).map(Some);
    }
    if args.platform.is_empty() {
        return Ok(None);
    }
    let stored = block_on(read_configuration(&args.platform))??;
    Ok(stored.map(|record| record.text))
}

fn print_report(args: &CheckArgs, report: &CheckReport, shell: &mut ConsoleShell) {
    let file = args.file.display();
    shell.print_line(format!("{file}: {}", report.summary));
    for finding in &report.findings {
        let (place, reason) = (&finding.place, &finding.reason);
        shell.print_line(format!("{file}: {place}: {}: {reason}", finding.kind));
    }
    for line in &report.differences {
        shell.print_line(line.clone());
    }
}
