//! Decisions about requests: which run, which wait, which are refused, and
//! what may be said about each afterwards.
//!
//! Start with [`verdict`] for what a caller is told. [`ticket`] and [`ledger`]
//! keep a request that is not idempotent from running twice.

pub mod admission;
pub mod ledger;
pub mod ticket;
pub mod verdict;
