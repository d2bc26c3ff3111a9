//! `hyssopstair apply FILE`: writes a rule file to the platform and waits until it
//! is in force.

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

/// Writes a rule file to the platform and waits until it is in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// URL of the platform's key-value service; may be repeated
    #[argh(option)]
    pub platform: Vec<String>,

    /// admin address of a daemon that must confirm the new version; may be
    /// repeated
    #[argh(option)]
    pub confirm: Vec<String>,

    /// admin address of a daemon; if no --confirm is given, all balancers that
    /// this daemon knows must confirm the new version; may be repeated, and the
    /// first daemon that answers is used
    #[argh(option)]
    pub daemon: Vec<String>,

    /// timeout in seconds, for the platform and again for the confirmations
    #[argh(option, default = "16")]
    pub wait: u64,

    /// version that the file was edited from; not needed if the first line of
    /// the file names it, as in the output of `show`
    #[argh(option)]
    pub base: Option<u64>,

    /// path of the rule file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Runs `hyssopstair apply`.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is invalid, another operator
/// changed the same lines, the platform does not confirm the write, or not all
/// daemons confirm the new version in time.
pub fn exec(args: &ApplyArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    let plan = ChangePlan {
        platform_urls: args.platform.clone(),
        confirm_daemons: args.confirm.clone(),
        source_daemons: args.daemon.clone(),
        timeout: Duration::from_secs(args.wait),
    };
    let edited = split_version_line(&read_rule_file(&args.file)?);
    parse_rules(&args.file, &edited)?;
    let accepted = block_on(async {
        let intent = build_intent(&plan.platform_urls, edited, args.base).await?;
        apply_change(&plan, intent).await
    })??;
    shell.print_accepted(&accepted);
    Ok(())
}
