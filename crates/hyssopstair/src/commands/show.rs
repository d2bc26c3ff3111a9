//! `hyssopstair show [VERSION]`: prints a rule file.

use argh::FromArgs;
use error_stack::Report;

use crate::error::CommandError;
use crate::ops::apply::format_version_line;
use crate::ops::record::read_configuration;
use crate::ops::record::read_version;
use crate::ops::runtime::block_on;
use crate::shell::ConsoleShell;

/// Prints the rule file that the platform keeps, below a line that names its
/// version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {
    /// URL of the platform's key-value service; may be given more than once
    #[argh(option)]
    pub platform: Vec<String>,

    /// version to print, the latest if none is given
    #[argh(positional)]
    pub version: Option<u64>,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the platform does not answer or does not keep the
/// version.
pub fn exec(args: &ShowArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    let record = match args.version {
        Some(version) => Some(block_on(read_version(&args.platform, version))??),
        None => block_on(read_configuration(&args.platform))??.map(|found| found.record),
    };
    match record {
        Some(record) => {
            shell.print_line(format_version_line(record.version));
            shell.print_line(record.text.trim_end());
        }
        None => shell.print_progress("there is no configuration yet"),
    }
    Ok(())
}
