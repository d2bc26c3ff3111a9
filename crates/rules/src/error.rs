//! What can be wrong in a rule file.

/// One mistake in a rule file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, column {column}: {message}; {hint}")]
pub struct RuleError {
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// What to write instead.
    pub hint: String,
}
