//! The error that ends a daemon.

/// The step that failed. The surrounding [`error_stack::Report`] contains the causes.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct DaemonError(pub String);

impl DaemonError {
    /// Creates an error whose message is `step`, a description of the failed step.
    pub fn new(step: impl Into<String>) -> Self {
        Self(step.into())
    }
}
