//! The outcome of a request, as reported to its caller.

use std::time::Duration;

/// Whether a request ran, as far as the host can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestVerdict {
    /// The request ran and its complete response is available.
    Done,
    /// The request did not run and never will.
    NotRun {
        /// Minimum delay before the caller retries.
        retry_after: Duration,
    },
    /// It is unknown whether the request ran.
    MayHaveRun,
}

/// Response header that carries the verdict.
pub const VERDICT_HEADER: &str = "hyssopstair-verdict";

/// Response header that carries a new ticket.
pub const TICKET_HEADER: &str = "hyssopstair-ticket";

impl RequestVerdict {
    /// Returns the value for the [`VERDICT_HEADER`].
    pub fn header_value(&self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun { .. } => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }
}
