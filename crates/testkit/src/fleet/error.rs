//! Why a fleet does not do what a test asks.

/// Why a fleet does not do what a test asks.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A file or process could not be used.
    #[error("failed to run the fleet: {0}")]
    Io(#[from] std::io::Error),
    /// A process has no such name.
    #[error("no process is named {0}")]
    UnknownName(String),
    /// A condition did not come true in time.
    #[error("{0} did not come true in time")]
    Timeout(String),
    /// A command of the operators failed.
    #[error("command failed: {0}")]
    Command(String),
    /// A certificate could not be made.
    #[error("failed to make a certificate: {0}")]
    Certificate(#[from] rcgen::Error),
    /// A signal could not be sent.
    #[error("failed to send a signal: {0}")]
    Signal(#[from] nix::Error),
}
