//! What is known of a request that has ended.

use std::time::Duration;

/// Whether a request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestVerdict {
    /// It ran, and its whole answer is there.
    Done,
    /// It did not run and never will.
    NotRun {
        /// When the caller may ask again.
        retry_after: Duration,
    },
    /// Nobody knows whether it ran.
    MayHaveRun,
}

/// Name of the response header that carries the verdict.
pub const VERDICT_HEADER: &str = "hyssopstair-verdict";

/// Name of the response header that carries a fresh ticket.
pub const TICKET_HEADER: &str = "hyssopstair-ticket";

impl RequestVerdict {
    /// Returns the value of the response header.
    pub fn header_value(&self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun { .. } => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }
}
