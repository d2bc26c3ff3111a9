//! `hyssopstair explain ADDRESS`: says where a new flow would go, and why.

use std::net::SocketAddrV4;

use argh::FromArgs;
use error_stack::Report;

use crate::error::CommandError;
use crate::ops::explain::fetch_explanation;
use crate::ops::runtime::block_on;
use crate::shell::ConsoleShell;

/// Says where a new flow to a service's address would go, and why: the hosts
/// with their weights and states, and the rules that bear on them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// admin address of the daemon that is asked
    #[argh(option)]
    pub daemon: String,

    /// address that callers send to
    #[argh(positional)]
    pub address: SocketAddrV4,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the daemon does not answer, or no service has the
/// address.
pub fn exec(args: &ExplainArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    for line in block_on(fetch_explanation(&args.daemon, args.address))?? {
        shell.print_line(line);
    }
    Ok(())
}
