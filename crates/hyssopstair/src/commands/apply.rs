//! `hyssopstair apply FILE`: puts a rule file in force.

use std::path::PathBuf;

use argh::FromArgs;
use error_stack::Report;

use crate::error::CommandError;
use crate::ops::apply::ApplyPlan;
use crate::ops::apply::apply_rules;
use crate::ops::rule_file::read_rules;
use crate::ops::runtime::block_on;
use crate::shell::PersonShell;

/// Puts a rule file in force on the whole fleet.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// URL of the platform's key-value service; may be given more than once
    #[argh(option)]
    pub platform: Vec<String>,

    /// admin address of a daemon that must confirm the version; may be given
    /// more than once
    #[argh(option)]
    pub confirm: Vec<String>,

    /// longest wait for confirmations, in seconds
    #[argh(option, default = "16")]
    pub wait: u64,

    /// path of the rule file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the file has mistakes, the platform does not take it,
/// or a daemon does not confirm it in time.
pub fn exec(args: &ApplyArgs, shell: &mut PersonShell) -> Result<(), Report<CommandError>> {
    let file = read_rules(&args.file)?;
    let plan = ApplyPlan {
        platform: args.platform.clone(),
        confirm: args.confirm.clone(),
        wait: std::time::Duration::from_secs(args.wait),
        text: file.text,
    };
    let version = block_on(apply_rules(&plan))??;
    shell.line(format!(
        "accepted: version {version}, confirmed by {} daemons",
        plan.confirm.len()
    ));
    Ok(())
}
