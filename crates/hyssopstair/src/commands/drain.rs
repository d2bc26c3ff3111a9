//! `hyssopstair drain ADDRESS`: adds a drain rule for a host.

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

/// Adds a drain rule for a host, which then accepts no new flows or requests and
/// keeps those it has.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
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

    /// name of the person who requests the drain; written to the comment of the
    /// rule
    #[argh(option)]
    pub asked_by: String,

    /// inner address of the host
    #[argh(positional)]
    pub host: SocketAddrV4,
}

/// Runs `hyssopstair drain`.
///
/// # Errors
///
/// Returns an error if the name of the requester is invalid, the platform does not
/// confirm the write, or not all daemons confirm the new version in time.
pub fn exec(args: &DrainArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    let plan = ChangePlan {
        platform_urls: args.platform.clone(),
        confirm_daemons: args.confirm.clone(),
        source_daemons: args.daemon.clone(),
        timeout: Duration::from_secs(args.wait),
    };
    let intent = ChangeIntent::Drain {
        host: args.host,
        asked_by: parse_requester(&args.asked_by)?,
    };
    let accepted = block_on(apply_change(&plan, intent))??;
    if accepted.unchanged {
        shell.print_progress(format!("a drain rule for {} already exists", args.host));
    }
    if let Some(daemon) = args.daemon.first()
        && !block_on(is_host_known(daemon, args.host))?
    {
        shell.print_progress(format!(
            "note: the daemon at {daemon} does not know host {}; the rule applies once it joins",
            args.host
        ));
    }
    shell.print_accepted(&accepted);
    Ok(())
}
