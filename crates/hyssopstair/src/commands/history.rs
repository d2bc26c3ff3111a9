//! `hyssopstair history`: lists the versions of the rules stored in the platform.

use argh::FromArgs;
use error_stack::Report;

use crate::error::CommandError;
use crate::ops::diff::diff_text;
use crate::ops::record::read_history;
use crate::ops::runtime::block_on;
use crate::shell::ConsoleShell;

/// Lists the stored versions of the rules, newest first, each with the lines that
/// it changed; the comment of a line names who requested it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryArgs {
    /// URL of the platform's key-value service; may be repeated
    #[argh(option)]
    pub platform: Vec<String>,

    /// number of versions to list
    #[argh(option, default = "10")]
    pub count: usize,
}

/// Runs `hyssopstair history`.
///
/// # Errors
///
/// Returns an error if the platform does not answer.
pub fn exec(args: &HistoryArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    let records = block_on(read_history(&args.platform))??;
    for (index, record) in records.iter().take(args.count).enumerate() {
        shell.print_line(format!("version {}", record.version));
        let Some(previous) = records.get(index + 1) else {
            shell.print_line("  the previous version is not stored");
            continue;
        };
        for line in diff_text(&previous.text, &record.text) {
            shell.print_line(format!("  {line}"));
        }
    }
    Ok(())
}
