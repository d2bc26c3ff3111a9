//! Validates the arguments of `hyssopstair drain`.

use std::net::SocketAddrV4;

use error_stack::Report;

use crate::error::CommandError;
use crate::error::FailureKind;
use crate::ops::daemon::DaemonClient;

/// Returns the name of the requester without surrounding whitespace. The name is
/// written to the comment of a rule, which ends with the line.
///
/// # Errors
///
/// Returns an error if the name is empty or contains a line break.
pub fn parse_requester(name: &str) -> Result<String, Report<CommandError>> {
    let name = name.trim();
    if name.is_empty() || name.contains(['\n', '\r']) {
        return Err(Report::new(CommandError::new(
            FailureKind::InvalidInput,
            "the value of --asked-by must be a name, without line breaks",
        )));
    }
    Ok(name.to_owned())
}

/// Returns whether the daemon knows a process at the inner address `host`. Also
/// returns `true` if the daemon does not answer, so that the operator gets no
/// unfounded warning.
pub async fn is_host_known(daemon: &str, host: SocketAddrV4) -> bool {
    match DaemonClient::new().fetch_status(daemon).await {
        Ok(status) => {
            let members = &status.members;
            members.iter().any(|entry| entry.process.address == host)
        }
        Err(_) => true,
    }
}
