//! `hyssopstair status`: shows what daemons see.

use argh::FromArgs;
use error_stack::Report;
use error_stack::ResultExt;

use crate::error::CommandError;
use crate::error::FailureKind;
use crate::ops::runtime::block_on;
use crate::ops::status::fetch_fleet_status;
use crate::shell::ConsoleShell;

/// Shows what daemons see: version, members by state, flows and load; and in
/// what they disagree.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// print JSON for programs
    #[argh(switch)]
    pub json: bool,

    /// admin addresses of daemons
    #[argh(positional)]
    pub daemons: Vec<String>,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when a daemon does not answer or two disagree.
pub fn exec(args: &StatusArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    if args.daemons.is_empty() {
        return Err(Report::new(CommandError::new(
            FailureKind::InvalidInput,
            "no daemon is named; give the admin addresses of some",
        )));
    }
    let status = block_on(fetch_fleet_status(&args.daemons))?;
    if args.json {
        let text = serde_json::to_string(&status).change_context_lazy(|| {
            CommandError::new(
                FailureKind::Unavailable,
                "failed to write the status as JSON",
            )
        })?;
        shell.print_line(text);
    } else {
        for line in status.table() {
            shell.print_line(line);
        }
    }
    if status.findings.is_empty() {
        return Ok(());
    }
    Err(Report::new(CommandError::new(
        FailureKind::Finding,
        status.findings.join("\n"),
    )))
}
