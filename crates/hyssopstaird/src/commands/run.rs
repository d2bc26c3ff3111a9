//! `hyssopstaird SETTINGS`: runs the daemon.

use std::fs;
use std::path::PathBuf;

use argh::FromArgs;
use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_rules::settings::DaemonSettings;

use crate::error::DaemonError;
use crate::ops::run::run_daemon;

/// Runs a balancer, or the local process beside a backend server.
#[derive(Debug, FromArgs)]
pub struct RunArgs {
    /// check the settings and stop
    #[argh(switch)]
    pub check: bool,

    /// path of the settings file, in YAML
    #[argh(positional)]
    pub settings: PathBuf,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the settings are wrong or an address is in use.
pub fn exec(args: &RunArgs) -> Result<(), Report<DaemonError>> {
    let path = args.settings.display();
    let text = fs::read_to_string(&args.settings)
        .change_context_lazy(|| DaemonError::new(format!("failed to read {path}")))?;
    let settings = DaemonSettings::parse(&text)
        .map_err(|mistake| Report::new(DaemonError::new(format!("in {path}: {mistake}"))))?;
    if args.check {
        println!("{path}: settings are valid");
        return Ok(());
    }
    run_daemon(settings)
}
