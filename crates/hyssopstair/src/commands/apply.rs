//! `hyssopstair apply FILE`: puts a rule file in force.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use error_stack::Report;

use crate::error::CommandError;
use crate::ops::apply::build_intent;
use crate::ops::apply::split_version_line;
use crate::ops::change::ChangePlan;
use crate::ops::change::apply_change;
use crate::ops::rule_file::parse_rules;
use crate::ops::rule_file::read_rule_file;
use crate::ops::runtime::block_on;
use crate::shell::ConsoleShell;

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

    /// admin address of a daemon; all balancers that it knows must confirm the
    /// version, where no --confirm is given
    #[argh(option)]
    pub daemon: Vec<String>,

    /// longest wait for the platform, and for confirmations, in seconds
    #[argh(option, default = "16")]
    pub wait: u64,

    /// version that the file was edited from; the file's first line names it
    /// too, if it stems from `show`
    #[argh(option)]
    pub base: Option<u64>,

    /// path of the rule file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the file has mistakes, another operator changed the
/// same lines, the platform does not take it, or it is not confirmed in time.
pub fn exec(args: &ApplyArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    let plan = ChangePlan {
        platform: args.platform.clone(),
        confirm: args.confirm.clone(),
        daemons: args.daemon.clone(),
        wait: Duration::from_secs(args.wait),
    };
    let edited = split_version_line(&read_rule_file(&args.file)?);
    parse_rules(&args.file, &edited)?;
    let accepted = block_on(async {
        let intent = build_intent(&plan.platform, edited, args.base).await?;
        apply_change(&plan, intent).await
    })??;
    shell.print_accepted(&accepted);
    Ok(())
}
