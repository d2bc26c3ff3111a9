//! `hyssopstair status`: shows the state that daemons report.

use argh::FromArgs;
use error_stack::Report;
use error_stack::ResultExt;

use crate::error::CommandError;
use crate::error::FailureKind;
use crate::ops::runtime::block_on;
use crate::ops::status::fetch_fleet_status;
use crate::shell::ConsoleShell;

/// Shows the state that daemons report: configuration version, number of members
/// by state, and other figures; lists the differences between the daemons.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// print the status as JSON
    #[argh(switch)]
    pub json: bool,

    /// admin addresses of the daemons
    #[argh(positional)]
    pub daemons: Vec<String>,
}

/// Runs `hyssopstair status`.
///
/// # Errors
///
/// Returns an error if no daemon is given, a daemon does not answer, or two daemons
/// report different versions or members.
pub fn exec(args: &StatusArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    if args.daemons.is_empty() {
        return Err(Report::new(CommandError::new(
            FailureKind::InvalidInput,
            "no daemon given; pass the admin address of at least one daemon",
        )));
    }
    let status = block_on(fetch_fleet_status(&args.daemons))?;
    if args.json {
        let text = serde_json::to_string(&status).change_context_lazy(|| {
            CommandError::new(
                FailureKind::Unavailable,
                "failed to serialize the status as JSON",
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
