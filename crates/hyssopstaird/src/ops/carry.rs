//! Runs a process in the mode `--carry`.

use std::path::Path;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_rules::carry_settings::CarrySettings;

use crate::carry::process;
use crate::error::DaemonError;

/// Runs a balancer or a host that forwards flows without terminating them, until the
/// process receives a signal to stop. `path` is the settings file, whose content was `text` and
/// which is read again on SIGHUP and when it changes.
///
/// # Errors
///
/// Returns an error if the event loop cannot be started or an address cannot be bound.
pub fn run_carry(
    settings: CarrySettings,
    path: &Path,
    text: &str,
) -> Result<(), Report<DaemonError>> {
    // A single thread processes packets in order and needs no locks.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context_lazy(|| DaemonError::new("failed to start the event loop"))?;
    let result = runtime.block_on(process::run(settings, path, text));
    runtime.shutdown_background();
    result
}
