//! Membership of the fleet and the version of its configuration.
//!
//! Start with [`state`] for the members that a process knows, and [`versions`]
//! for the rule that a configuration never goes back. The parts of the roster:
//! [`members`] keeps the entries, [`queue`] the changes that are still to be
//! sent, [`runs`] their short form, [`watch`] finds members that fail,
//! [`digest`] compares two rosters, [`presence`] says whether the process itself
//! may act, and [`budget`] bounds what is sent. What is done from time to time is
//! in [`gossip`] for changes and in [`repair`] for rosters that differ.

pub mod budget;
mod contacts;
pub mod digest;
mod exchange;
pub mod gossip;
mod join;
pub mod members;
pub mod presence;
mod probe;
pub mod queue;
pub mod repair;
pub mod runs;
pub mod state;
pub mod versions;
pub mod watch;
