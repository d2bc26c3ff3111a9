//! Admission control, deduplication and retries of requests at a host.
//!
//! [`verdict`] defines the outcomes that are reported to callers. [`ticket`] and
//! [`ledger`] prevent a non-idempotent request from running twice, [`admission`]
//! decides whether a request runs, waits or is refused, and [`relay`] and
//! [`budget`] control retries at another host.
//!
//! The crate does no I/O and reads no clock: callers pass the time in, so that
//! tests can run the same code under simulated time.

pub mod admission;
pub mod budget;
pub mod estimate;
pub mod ledger;
mod limit;
pub mod relay;
pub mod ticket;
pub mod verdict;
