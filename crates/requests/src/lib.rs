//! Decisions about requests: which run, which wait, which are refused, and
//! what may be said about each afterwards.
//!
//! Start with [`verdict`] for what a caller is told. [`ticket`] and [`ledger`]
//! keep a request that is not idempotent from running twice, [`admission`] decides
//! which requests run, and [`relay`] and [`budget`] which are tried at another
//! host.

pub mod admission;
pub mod budget;
pub mod estimate;
pub mod ledger;
mod limit;
pub mod relay;
pub mod ticket;
pub mod verdict;
