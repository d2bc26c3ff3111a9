//! `hyssopstair show [VERSION]`: prints the rules stored in the platform.

use argh::FromArgs;
use error_stack::Report;

use crate::error::CommandError;
use crate::ops::apply::format_version_line;
use crate::ops::record::read_configuration;
use crate::ops::record::read_version;
use crate::ops::runtime::block_on;
use crate::shell::ConsoleShell;

/// Prints the rules stored in the platform, below a line that names their version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {
    /// URL of the platform's key-value service; may be repeated
    #[argh(option)]
    pub platform: Vec<String>,

    /// version to print; by default the latest
    #[argh(positional)]
    pub version: Option<u64>,
}

/// Runs `hyssopstair show`.
///
/// # Errors
///
/// Returns an error if the platform does not answer or does not store the version.
pub fn exec(args: &ShowArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    let record = match args.version {
        Some(version) => Some(block_on(read_version(&args.platform, version))??),
        None => block_on(read_configuration(&args.platform))??,
    };
    match record {
        Some(record) => {
            shell.print_line(format_version_line(record.version));
            shell.print_line(record.text.trim_end());
        }
        None => shell.print_progress("the platform holds no configuration yet"),
    }
    Ok(())
}
