//! `hyssopstair undrain ADDRESS`: lets a host take new work again.

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

/// Removes the drain rules of a host.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "undrain")]
pub struct UndrainArgs {
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

    /// inner address of the host
    #[argh(positional)]
    pub host: SocketAddrV4,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the platform does not take it, or it is not confirmed
/// in time.
pub fn exec(args: &UndrainArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    let plan = ChangePlan {
        platform: args.platform.clone(),
        confirm: args.confirm.clone(),
        daemons: args.daemon.clone(),
        wait: Duration::from_secs(args.wait),
    };
    let intent = ChangeIntent::Undrain { host: args.host };
    let accepted = block_on(apply_change(&plan, intent))??;
    if accepted.unchanged {
        shell.print_progress(format!("no rule drained {}", args.host));
    }
    shell.print_accepted(&accepted);
    Ok(())
}
