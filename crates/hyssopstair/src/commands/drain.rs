//! `hyssopstair drain ADDRESS`: lets a host take nothing new.

use std::net::SocketAddrV4;
use std::time::Duration;

use argh::FromArgs;
use error_stack::Report;
use hyssopstair_platform::change::ChangeIntent;

use crate::error::CommandError;
use crate::ops::change::ChangePlan;
use crate::ops::change::apply_change;
use crate::ops::drain::is_host_known;
use crate::ops::drain::parse_requester;
use crate::ops::runtime::block_on;
use crate::shell::ConsoleShell;

/// Adds a drain rule for a host: it takes nothing new and keeps what it has.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
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

    /// who asks; stands in the comment of the rule
    #[argh(option)]
    pub asked_by: String,

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
pub fn exec(args: &DrainArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    let plan = ChangePlan {
        platform: args.platform.clone(),
        confirm: args.confirm.clone(),
        daemons: args.daemon.clone(),
        wait: Duration::from_secs(args.wait),
    };
    let intent = ChangeIntent::Drain {
        host: args.host,
        asked_by: parse_requester(&args.asked_by)?,
    };
    let accepted = block_on(apply_change(&plan, intent))??;
    if accepted.unchanged {
        shell.print_progress(format!("{} was drained already", args.host));
    }
    if let Some(daemon) = args.daemon.first()
        && !block_on(is_host_known(daemon, args.host))?
    {
        shell.print_progress(format!(
            "note: the daemon at {daemon} knows no host {}; the rule holds for one that comes",
            args.host
        ));
    }
    shell.print_accepted(&accepted);
    Ok(())
}
