//! `hyssopstair check FILE`: validates a rule file.

use std::path::PathBuf;

use argh::FromArgs;
use error_stack::Report;

use crate::error::CommandError;
use crate::ops::apply::split_version_line;
use crate::ops::rule_file::parse_rules;
use crate::ops::rule_file::read_rule_file;
use crate::shell::ConsoleShell;

/// Validates a rule file and lists all errors in it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// path of the rule file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Runs `hyssopstair check`.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is invalid.
pub fn exec(args: &CheckArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    let edited = split_version_line(&read_rule_file(&args.file)?);
    let rules = parse_rules(&args.file, &edited)?;
    shell.print_line(format!(
        "{}: {} services, {} drained hosts, {} evacuated zones, {} keys",
        args.file.display(),
        rules.services.len(),
        rules.drained_hosts.len(),
        rules.evacuated_zones.len(),
        rules.keys.len()
    ));
    Ok(())
}
