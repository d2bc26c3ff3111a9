//! Runs a future to its end.

use std::future::Future;

use error_stack::Report;
use error_stack::ResultExt;

use crate::error::CommandError;
use crate::error::FailureKind;

/// Runs `future` on threads of its own.
///
/// # Errors
///
/// Returns an error when threads cannot be started.
pub fn block_on<F: Future>(future: F) -> Result<F::Output, Report<CommandError>> {
    let runtime = tokio::runtime::Runtime::new().change_context_lazy(|| {
        CommandError::new(FailureKind::Unavailable, "failed to start threads")
    })?;
    Ok(runtime.block_on(future))
}
