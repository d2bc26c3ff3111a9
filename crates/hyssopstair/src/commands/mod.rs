//! Parses the command line; each subcommand has a module.

pub mod apply;
pub mod check;
pub mod diff;
pub mod drain;
pub mod explain;
pub mod history;
pub mod keygen;
pub mod load;
pub mod show;
pub mod status;
pub mod undrain;

use argh::FromArgs;
use error_stack::Report;

use crate::error::CommandError;
use crate::shell::ConsoleShell;

/// Manages the rules of a hyssopstair fleet, shows its state and generates load.
#[derive(Debug, FromArgs)]
pub struct TopArgs {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Apply(apply::ApplyArgs),
    Check(check::CheckArgs),
    Diff(diff::DiffArgs),
    Drain(drain::DrainArgs),
    Explain(explain::ExplainArgs),
    History(history::HistoryArgs),
    Keygen(keygen::KeygenArgs),
    Load(load::LoadArgs),
    Show(show::ShowArgs),
    Status(status::StatusArgs),
    Undrain(undrain::UndrainArgs),
}

/// Runs the subcommand that was given on the command line.
///
/// # Errors
///
/// Returns the error of the subcommand.
pub fn exec(args: &TopArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    match &args.command {
        Command::Apply(args) => apply::exec(args, shell),
        Command::Check(args) => check::exec(args, shell),
        Command::Diff(args) => diff::exec(args, shell),
        Command::Drain(args) => drain::exec(args, shell),
        Command::Explain(args) => explain::exec(args, shell),
        Command::History(args) => history::exec(args, shell),
        Command::Keygen(args) => keygen::exec(args, shell),
        Command::Load(args) => load::exec(args, shell),
        Command::Show(args) => show::exec(args, shell),
        Command::Status(args) => status::exec(args, shell),
        Command::Undrain(args) => undrain::exec(args, shell),
    }
}
