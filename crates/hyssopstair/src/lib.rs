//! The command of hyssopstair's operators.
//!
//! Each command has one file under [`commands`], with its arguments and one
//! `exec`, which calls an operation under [`ops`]. Operations know no command
//! line. All text for people goes through [`shell`].

pub mod commands;
pub mod error;
pub mod ops;
pub mod shell;

use std::process::ExitCode;

/// Runs the command line and returns the exit code of the process.
pub fn main() -> ExitCode {
    let args: commands::TopArgs = argh::from_env();
    let mut shell = shell::ConsoleShell::new();
    match commands::exec(&args, &mut shell) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            shell.print_error(&report);
            report.current_context().exit_code()
        }
    }
}
