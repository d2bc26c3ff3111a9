//! Prints the output of commands: results to standard output, progress and errors
//! to standard error.

use error_stack::Report;

use crate::error::CommandError;
use crate::ops::change::AcceptedChange;

/// Prints the output of a command as text.
#[derive(Debug, Default)]
pub struct ConsoleShell {}

impl ConsoleShell {
    /// Creates a shell.
    pub fn new() -> Self {
        Self {}
    }

    /// Prints a line of a result to standard output.
    pub fn print_line(&mut self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
    }

    /// Prints a line about the progress of a command to standard error.
    pub fn print_progress(&mut self, text: impl AsRef<str>) {
        eprintln!("{}", text.as_ref());
    }

    /// Prints to standard output that a change is in force, and its version.
    pub fn print_accepted(&mut self, change: &AcceptedChange) {
        self.print_line(format!(
            "accepted: version {}, confirmed by {} daemons",
            change.version, change.confirmed_count
        ));
    }

    /// Prints an error and its causes to standard error.
    pub fn print_error(&mut self, report: &Report<CommandError>) {
        eprintln!("error: {report:#}");
    }
}
