//! `hyssopstair keygen`: makes a secret and a certificate for trials.

use std::path::PathBuf;

use argh::FromArgs;
use error_stack::Report;

use crate::error::CommandError;
use crate::ops::keygen::generate_keys;
use crate::shell::ConsoleShell;

/// Makes a fleet secret and a self-signed certificate for the named services.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "keygen")]
pub struct KeygenArgs {
    /// directory for secret.hex, certificate.pem and private-key.pem
    #[argh(option)]
    pub directory: PathBuf,

    /// names that the certificate is for
    #[argh(positional)]
    pub names: Vec<String>,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when a file cannot be written.
pub fn exec(args: &KeygenArgs, shell: &mut ConsoleShell) -> Result<(), Report<CommandError>> {
    generate_keys(&args.directory, &args.names)?;
    shell.print_line(format!("wrote keys to {}", args.directory.display()));
    Ok(())
}
