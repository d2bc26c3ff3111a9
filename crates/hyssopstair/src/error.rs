//! The error of a failed command and its exit code.

use std::process::ExitCode;

/// The cause of a failure. Each has an exit code of its own, so that scripts can
/// tell whether a change was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// The command ran and found a problem, such as a conflict with another
    /// operator's change; nothing was written. Exit code 1.
    Finding,
    /// An argument or an input file is invalid, and nothing was written. Exit
    /// code 2.
    InvalidInput,
    /// A service did not answer, or answered unexpectedly, and nothing was
    /// written. Exit code 3.
    Unavailable,
    /// A change was written, but not all daemons that must confirm it did so in
    /// time. Exit code 4.
    Unconfirmed,
    /// It is unknown whether a change was written. Exit code 5.
    UnknownOutcome,
}

/// Describes the step of a command that failed. The [`error_stack::Report`] that
/// holds it lists the causes.
#[derive(Debug, thiserror::Error)]
#[error("{step}")]
pub struct CommandError {
    /// The cause of the failure.
    pub kind: FailureKind,
    step: String,
}

impl CommandError {
    /// Creates an error with a description of the failed step.
    pub fn new(kind: FailureKind, step: impl Into<String>) -> Self {
        Self {
            kind,
            step: step.into(),
        }
    }

    /// Returns the exit code that corresponds to [`Self::kind`].
    pub fn exit_code(&self) -> ExitCode {
        match self.kind {
            FailureKind::Finding => ExitCode::from(1),
            FailureKind::InvalidInput => ExitCode::from(2),
            FailureKind::Unavailable => ExitCode::from(3),
            FailureKind::Unconfirmed => ExitCode::from(4),
            FailureKind::UnknownOutcome => ExitCode::from(5),
        }
    }
}
