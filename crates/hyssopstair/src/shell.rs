//! Prints for people: results on standard output, progress and errors on
//! standard error.

use error_stack::Report;

use crate::error::CommandError;
use crate::ops::change::AcceptedChange;

/// Prints for people.
#[derive(Debug, Default)]
pub struct ConsoleShell {}

impl ConsoleShell {
    /// Creates a shell.
    pub fn new() -> Self {
        Self {}
    }

    /// Prints a line of a result.
    pub fn print_line(&mut self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
    }

    /// Prints a line about progress.
    pub fn print_progress(&mut self, text: impl AsRef<str>) {
        eprintln!("{}", text.as_ref());
    }

    /// Prints that a change is in force.
    pub fn print_accepted(&mut self, change: &AcceptedChange) {
        self.print_line(format!(
            "accepted: version {}, confirmed by {} daemons",
            change.version, change.confirmed_count
        ));
    }

    /// Prints an error and its causes.
    pub fn print_error(&mut self, report: &Report<CommandError>) {
        eprintln!("error: {report:#}");
    }
}
