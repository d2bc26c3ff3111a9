//! `hyssopstaird [SETTINGS]`: runs the daemon.

use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use error_stack::Report;
use error_stack::ResultExt;
#[cfg(feature = "carry")]
use hyssopstair_rules::carry_settings::CarrySettings;
#[cfg(feature = "terminate")]
use hyssopstair_rules::settings::DaemonSettings;

use crate::error::DaemonError;
#[cfg(feature = "carry")]
use crate::ops::carry::run_carrier;
#[cfg(feature = "terminate")]
use crate::ops::run::run_daemon;

/// Variable that holds the path of the settings where the command line has none.
const SETTINGS_VARIABLE: &str = "HYSSOPSTAIR_CONFIG";

/// Runs a balancer, or the local process beside a backend server.
#[derive(Debug, FromArgs)]
pub struct RunArgs {
    /// check the settings and stop
    #[argh(switch)]
    pub check: bool,

    /// carry flows that callers and backend servers end themselves
    #[argh(switch)]
    pub carry: bool,

    /// path of the settings file, in YAML; by default that in HYSSOPSTAIR_CONFIG
    #[argh(positional)]
    pub settings: Option<PathBuf>,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the settings are wrong or an address is in use.
pub fn exec(args: &RunArgs) -> Result<(), Report<DaemonError>> {
    let path = settings_path(args)?;
    let text = fs::read_to_string(&path)
        .change_context_lazy(|| DaemonError::new(format!("failed to read {}", path.display())))?;
    if args.carry {
        exec_carry(args, &path, &text)
    } else {
        exec_terminate(args, &path, &text)
    }
}

#[cfg(feature = "carry")]
fn exec_carry(args: &RunArgs, path: &Path, text: &str) -> Result<(), Report<DaemonError>> {
    let settings = CarrySettings::parse(text).map_err(|mistake| wrong(path, &mistake))?;
    if args.check {
        return say_valid(path);
    }
    run_carrier(settings, path)
}

#[cfg(not(feature = "carry"))]
fn exec_carry(_: &RunArgs, _: &Path, _: &str) -> Result<(), Report<DaemonError>> {
    Err(left_out("carry"))
}

#[cfg(feature = "terminate")]
fn exec_terminate(args: &RunArgs, path: &Path, text: &str) -> Result<(), Report<DaemonError>> {
    let settings = DaemonSettings::parse(text).map_err(|mistake| wrong(path, &mistake))?;
    if args.check {
        return say_valid(path);
    }
    run_daemon(settings)
}

#[cfg(not(feature = "terminate"))]
fn exec_terminate(_: &RunArgs, _: &Path, _: &str) -> Result<(), Report<DaemonError>> {
    Err(left_out("terminate"))
}

#[cfg(not(all(feature = "carry", feature = "terminate")))]
fn left_out(feature: &str) -> Report<DaemonError> {
    let text = format!("this program was built without the feature \"{feature}\"");
    Report::new(DaemonError::new(text))
}

fn settings_path(args: &RunArgs) -> Result<PathBuf, Report<DaemonError>> {
    if let Some(path) = &args.settings {
        return Ok(path.clone());
    }
    env::var_os(SETTINGS_VARIABLE)
        .map(PathBuf::from)
        .ok_or_else(|| {
            let text = format!("no settings file: give its path, or set {SETTINGS_VARIABLE}");
            Report::new(DaemonError::new(text))
        })
}

fn wrong(path: &Path, mistake: &str) -> Report<DaemonError> {
    let path = path.display();
    Report::new(DaemonError::new(format!("in {path}: {mistake}")))
}

fn say_valid(path: &Path) -> Result<(), Report<DaemonError>> {
    println!("{}: settings are valid", path.display());
    Ok(())
}
