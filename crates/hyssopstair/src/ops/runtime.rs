//! Runs asynchronous operations from synchronous code.

use std::future::Future;

use error_stack::Report;
use error_stack::ResultExt;

use crate::error::CommandError;
use crate::error::FailureKind;

/// Runs `future` to completion on a new multi-threaded runtime and returns its
/// output.
///
/// # Errors
///
/// Returns an error if the runtime cannot be started.
pub fn block_on<F: Future>(future: F) -> Result<F::Output, Report<CommandError>> {
    let runtime = tokio::runtime::Runtime::new().change_context_lazy(|| {
        CommandError::new(
            FailureKind::Unavailable,
            "failed to start the async runtime",
        )
    })?;
    Ok(runtime.block_on(future))
}
