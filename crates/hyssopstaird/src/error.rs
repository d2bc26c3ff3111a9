//! Why a daemon stops.

/// The step at which the daemon failed; the report carries the causes.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct DaemonError(pub String);

impl DaemonError {
    /// Creates an error that names the failed step.
    pub fn new(step: impl Into<String>) -> Self {
        Self(step.into())
    }
}
