//! The `hyssopstair` command-line program, with which operators manage the rules
//! of a fleet, inspect its daemons and generate load.
//!
//! Each subcommand has a module in [`commands`] that defines its arguments and an
//! `exec` function. The work is done by the functions in [`ops`], which do not
//! depend on the command line and so can be tested without it. Output for
//! operators is printed by [`shell`].

pub mod commands;
pub mod error;
pub mod ops;
pub mod shell;

use std::process::ExitCode;

/// Parses the arguments of the process, runs the command and returns its exit code.
///
/// Prints the error of a failed command to standard error.
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
