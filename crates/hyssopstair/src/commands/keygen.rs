//! `hyssopstair keygen`: generates a secret and a certificate for test fleets.

use std::path::PathBuf;

use argh::FromArgs;
use error_stack::Report;

use crate::error::CommandError;
use crate::ops::keygen::generate_keys;
use crate::shell::ConsoleShell;

/// Generates a fleet secret and a self-signed certificate for test fleets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "keygen")]
pub struct KeygenArgs {
    /// directory to which secret.hex, certificate.pem and private-key.pem are
    /// written
    #[argh(option)]
    pub directory: PathBuf,

    /// names of the services for which the certificate is valid
    #[argh(positional)]
    pub names: Vec<String>,
}

/// Runs `hyssopstair keygen`.
///
/// # Errors
///
/// Returns an error if a file cannot be written.
pub fn exec(args: &KeygenArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    generate_keys(&args.directory, &args.names)?;
    shell.print_line(format!("wrote keys to {}", args.directory.display()));
    Ok(())
}
