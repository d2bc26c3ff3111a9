//! `hyssopstair explain ADDRESS`: explains which hosts may get a new flow.

use std::net::SocketAddrV4;

use argh::FromArgs;
use error_stack::Report;

use crate::error::CommandError;
use crate::ops::explain::fetch_explanation;
use crate::ops::runtime::block_on;
use crate::shell::ConsoleShell;

/// Explains which hosts may get a new flow to the address of a service: lists the
/// hosts with their weights and states, and the rules that affect them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// admin address of the daemon whose view is shown
    #[argh(option)]
    pub daemon: String,

    /// address to which callers send packets
    #[argh(positional)]
    pub address: SocketAddrV4,
}

/// Runs `hyssopstair explain`.
///
/// # Errors
///
/// Returns an error if the daemon does not answer or no service has the address.
pub fn exec(args: &ExplainArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    for line in block_on(fetch_explanation(&args.daemon, args.address))?? {
        shell.print_line(line);
    }
    Ok(())
}
