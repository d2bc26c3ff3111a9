//! Membership of the fleet and the version of its configuration.
//!
//! Start with [`state`] for the members that a process knows, and [`versions`]
//! for the rule that a configuration never goes back. The parts of the roster:
//! [`members`] keeps the entries, [`queue`] the changes that are still to be
//! sent, [`watch`] finds members that fail, [`digest`] compares two rosters,
//! [`presence`] says whether the process itself may act, and [`budget`] bounds
//! what is sent.

pub mod budget;
pub mod digest;
mod exchange;
pub mod members;
pub mod presence;
pub mod queue;
pub mod state;
pub mod versions;
pub mod watch;
