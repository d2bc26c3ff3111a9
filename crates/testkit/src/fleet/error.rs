//! Errors of a test fleet.

/// An error of a test fleet.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// An operation on a file or a process failed.
    #[error("file or process operation failed: {0}")]
    Io(#[from] std::io::Error),
    /// No process has the name, or the process is not running.
    #[error("no running process is named {0}")]
    UnknownName(String),
    /// The condition with this description was not met in time.
    #[error("timed out waiting for {0}")]
    Timeout(String),
    /// The hyssopstair command or a request to a stand-in failed.
    #[error("command or request failed: {0}")]
    Command(String),
    /// A certificate could not be created.
    #[error("failed to create a certificate: {0}")]
    Certificate(#[from] rcgen::Error),
    /// A signal could not be sent.
    #[error("failed to send a signal: {0}")]
    Signal(#[from] nix::Error),
}
