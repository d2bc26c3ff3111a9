//! `hyssopstaird [SETTINGS]`: checks the settings file and runs the daemon.

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
use crate::ops::carry::run_carry;
#[cfg(feature = "terminate")]
use crate::ops::run::run_daemon;

/// Environment variable with the path of the settings file, used if the command line
/// names none.
const SETTINGS_VARIABLE: &str = "HYSSOPSTAIR_CONFIG";

/// Runs a balancer, or the host process beside a backend server.
#[derive(Debug, FromArgs)]
pub struct RunArgs {
    /// check the settings file and exit
    #[argh(switch)]
    pub check: bool,

    /// forward flows without terminating them; callers and backend servers are their endpoints
    #[argh(switch)]
    pub carry: bool,

    /// path of the settings file (YAML); defaults to the value of HYSSOPSTAIR_CONFIG
    #[argh(positional)]
    pub settings: Option<PathBuf>,
}

/// Runs the daemon until it is stopped, or only checks its settings file.
///
/// # Errors
///
/// Returns an error if the settings file cannot be read or is invalid, if the program
/// was built without the requested mode, or if the daemon fails to start.
pub fn exec(args: &RunArgs) -> Result<(), Report<DaemonError>> {
    let path = find_settings_path(args)?;
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
    let settings = CarrySettings::parse(text).map_err(|message| settings_error(path, &message))?;
    if args.check {
        return report_valid(path);
    }
    run_carry(settings, path, text)
}

#[cfg(not(feature = "carry"))]
fn exec_carry(_: &RunArgs, _: &Path, _: &str) -> Result<(), Report<DaemonError>> {
    Err(missing_feature_error("carry"))
}

#[cfg(feature = "terminate")]
fn exec_terminate(args: &RunArgs, path: &Path, text: &str) -> Result<(), Report<DaemonError>> {
    let settings = DaemonSettings::parse(text).map_err(|message| settings_error(path, &message))?;
    if args.check {
        return report_valid(path);
    }
    run_daemon(settings)
}

#[cfg(not(feature = "terminate"))]
fn exec_terminate(_: &RunArgs, _: &Path, _: &str) -> Result<(), Report<DaemonError>> {
    Err(missing_feature_error("terminate"))
}

#[cfg(not(all(feature = "carry", feature = "terminate")))]
fn missing_feature_error(feature: &str) -> Report<DaemonError> {
    let text = format!("this program was built without the Cargo feature \"{feature}\"");
    Report::new(DaemonError::new(text))
}

fn find_settings_path(args: &RunArgs) -> Result<PathBuf, Report<DaemonError>> {
    if let Some(path) = &args.settings {
        return Ok(path.clone());
    }
    env::var_os(SETTINGS_VARIABLE)
        .map(PathBuf::from)
        .ok_or_else(|| {
            let text = format!("no settings file: pass its path or set {SETTINGS_VARIABLE}");
            Report::new(DaemonError::new(text))
        })
}

fn settings_error(path: &Path, message: &str) -> Report<DaemonError> {
    let path = path.display();
    Report::new(DaemonError::new(format!(
        "invalid settings in {path}: {message}"
    )))
}

fn report_valid(path: &Path) -> Result<(), Report<DaemonError>> {
    println!("{}: settings are valid", path.display());
    Ok(())
}
