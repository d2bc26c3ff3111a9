//! `hyssopstair show`: prints the rule file in force.

use argh::FromArgs;
use error_stack::Report;

use crate::error::CommandError;
use crate::ops::apply::read_record;
use crate::ops::runtime::block_on;
use crate::shell::PersonShell;

/// Prints the rule file that the platform keeps.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {
    /// URL of the platform's key-value service; may be given more than once
    #[argh(option)]
    pub platform: Vec<String>,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the platform does not answer.
pub fn exec(args: &ShowArgs, shell: &mut PersonShell) -> Result<(), Report<CommandError>> {
    match block_on(read_record(&args.platform))?? {
        Some(found) => {
            shell.progress(format!("version {}", found.record.version));
            shell.line(found.record.text.trim_end());
        }
        None => shell.progress("there is no configuration yet"),
    }
    Ok(())
}
