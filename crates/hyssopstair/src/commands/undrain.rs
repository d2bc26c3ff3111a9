//! `hyssopstair undrain ADDRESS`: removes the drain rules of a host.

use std::net::SocketAddrV4;
use std::time::Duration;

use argh::FromArgs;
use error_stack::Report;
use hyssopstair_platform::change::ChangeIntent;

use crate::error::CommandError;
use crate::ops::change::ChangePlan;
use crate::ops::change::apply_change;
use crate::ops::runtime::block_on;
use crate::shell::ConsoleShell;

/// Removes the drain rules of a host, which then accepts new flows and requests
/// again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "undrain")]
pub struct UndrainArgs {
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

    /// inner address of the host
    #[argh(positional)]
    pub host: SocketAddrV4,
}

/// Runs `hyssopstair undrain`.
///
/// # Errors
///
/// Returns an error if the platform does not confirm the write, or not all daemons
/// confirm the new version in time.
pub fn exec(args: &UndrainArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    let plan = ChangePlan {
        platform_urls: args.platform.clone(),
        confirm_daemons: args.confirm.clone(),
        source_daemons: args.daemon.clone(),
        timeout: Duration::from_secs(args.wait),
    };
    let intent = ChangeIntent::Undrain { host: args.host };
    let accepted = block_on(apply_change(&plan, intent))??;
    if accepted.unchanged {
        shell.print_progress(format!("{} has no drain rule", args.host));
    }
    shell.print_accepted(&accepted);
    Ok(())
}
