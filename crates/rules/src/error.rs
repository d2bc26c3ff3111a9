//! Errors in a rule file.

/// An error in a rule file, with its position.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, column {column}: {message}; {hint}")]
pub struct RuleError {
    /// The line number, starting at 1.
    pub line: usize,
    /// The column in characters, starting at 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// What is expected instead, or how to correct it.
    pub hint: String,
}
