//! Membership of the fleet and the version of its configuration.
//!
//! Start with [`state`] for the members, and [`versions`] for the rule that a
//! configuration never goes back.

pub mod state;
pub mod versions;
