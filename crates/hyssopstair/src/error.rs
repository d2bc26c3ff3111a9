//! Why a command fails.

use std::process::ExitCode;

/// Kinds of failure, each with an exit code of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// The command ran, and what it found is not good; exit code 1.
    Finding,
    /// What the operator gave is wrong; exit code 2.
    InvalidInput,
    /// Something that was asked gave no or a bad answer, and nothing was
    /// changed; exit code 3.
    Unavailable,
    /// A change is written, but not confirmed by all that must; exit code 4.
    Unconfirmed,
    /// A change may have been written; exit code 5.
    UnknownOutcome,
}

/// A failed step of a command; the report carries the causes.
#[derive(Debug, thiserror::Error)]
#[error("{step}")]
pub struct CommandError {
    /// The kind of failure.
    pub kind: FailureKind,
    step: String,
}

impl CommandError {
    /// Creates an error that names the failed step.
    pub fn new(kind: FailureKind, step: impl Into<String>) -> Self {
        Self {
            kind,
            step: step.into(),
        }
    }

    /// Returns the exit code of the process.
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
