//! `hyssopstair history`: lists the versions that the platform keeps.

use argh::FromArgs;
use error_stack::Report;

use crate::error::CommandError;
use crate::ops::diff::diff_text;
use crate::ops::record::read_history;
use crate::ops::runtime::block_on;
use crate::shell::ConsoleShell;

/// Lists past versions, the newest first, each with the lines that it changed;
/// the comment of a line names who asked.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {
    /// URL of the platform's key-value service; may be given more than once
    #[argh(option)]
    pub platform: Vec<String>,

    /// number of versions to list
    #[argh(option, default = "10")]
    pub count: usize,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the platform does not answer.
pub fn exec(args: &HistoryArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    let records = block_on(read_history(&args.platform))??;
    for (index, record) in records.iter().take(args.count).enumerate() {
        shell.print_line(format!("version {}", record.version));
        let Some(before) = records.get(index + 1) else {
            shell.print_line("  the version before it is not kept");
            continue;
        };
        for line in diff_text(&before.text, &record.text) {
            shell.print_line(format!("  {line}"));
        }
    }
    Ok(())
}
