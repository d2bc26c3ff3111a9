//! Decisions about requests: which run, which wait, which are refused, and
//! what may be said about each afterwards.
//!
//! Start with [`verdict`] for what a caller is told, and [`admission`] for
//! which requests run.

pub mod admission;
pub mod verdict;
