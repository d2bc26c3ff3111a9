//! Checks what operators say about a host that is to be drained.

use std::net::SocketAddrV4;

use error_stack::Report;

use crate::error::CommandError;
use crate::error::FailureKind;
use crate::ops::daemon::DaemonClient;

/// Returns the name of who asks, which must fit into the comment of a line.
///
/// # Errors
///
/// Returns an error when it is empty or has a line break.
pub fn parse_requester(name: &str) -> Result<String, Report<CommandError>> {
    let name = name.trim();
    if name.is_empty() || name.contains(['\n', '\r']) {
        return Err(Report::new(CommandError::new(
            FailureKind::InvalidInput,
            "--asked-by names nobody; give a name in one line",
        )));
    }
    Ok(name.to_owned())
}

/// Returns whether a daemon knows a process at an inner address, or does not
/// answer.
pub async fn is_host_known(daemon: &str, host: SocketAddrV4) -> bool {
    match DaemonClient::new().fetch_status(daemon).await {
        Ok(status) => {
            let members = &status.members;
            members.iter().any(|entry| entry.process.address == host)
        }
        Err(_) => true,
    }
}
