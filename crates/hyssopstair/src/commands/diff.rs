//! `hyssopstair diff FILE`: compares a rule file with the rules stored in the
//! platform.

use std::path::PathBuf;

use argh::FromArgs;
use error_stack::Report;

use crate::error::CommandError;
use crate::ops::apply::split_version_line;
use crate::ops::diff::diff_text;
use crate::ops::record::read_configuration;
use crate::ops::rule_file::parse_rules;
use crate::ops::rule_file::read_rule_file;
use crate::ops::runtime::block_on;
use crate::shell::ConsoleShell;

/// Compares a rule file with the rules stored in the platform.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// URL of the platform's key-value service; may be repeated
    #[argh(option)]
    pub platform: Vec<String>,

    /// path of the rule file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Runs `hyssopstair diff`.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is invalid, or the platform does
/// not answer.
pub fn exec(args: &DiffArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    let edited = split_version_line(&read_rule_file(&args.file)?);
    parse_rules(&args.file, &edited)?;
    let stored = block_on(read_configuration(&args.platform))??;
    let (version, old) = match stored {
        Some(record) => (record.version, record.text),
        None => (0, String::new()),
    };
    let lines = diff_text(&old, &edited.text);
    if lines.is_empty() {
        shell.print_progress(format!("no differences from version {version}"));
    }
    for line in lines {
        shell.print_line(line);
    }
    Ok(())
}
