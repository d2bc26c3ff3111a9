//! Starts a process that carries flows, and waits for its end.

use std::path::Path;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_rules::carry_settings::CarrySettings;

use crate::carry::process;
use crate::error::DaemonError;

/// Runs a balancer or a host until it is told to stop.
///
/// # Errors
///
/// Returns an error when an address is in use.
pub fn run_carrier(settings: CarrySettings, path: &Path) -> Result<(), Report<DaemonError>> {
    // One thread: packets are handled in order, and nothing waits for a lock.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context_lazy(|| DaemonError::new("failed to start the event loop"))?;
    let result = runtime.block_on(process::run(settings, path));
    runtime.shutdown_background();
    result
}
