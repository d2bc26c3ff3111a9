//! Fleet membership by gossip, and the version of the fleet's configuration.
//!
//! The main types are [`state::RosterState`], which holds the members that a
//! process knows, and [`versions::ConfigState`], which holds the configuration
//! in force and never goes back to an older version. The other modules are:
//!
//! - [`members`]: the entries of the members;
//! - [`queue`]: changes that are still to be gossiped;
//! - [`runs`]: a compact encoding of many changes;
//! - [`watch`]: detection of failed members;
//! - [`digest`]: hashes for the comparison of two rosters;
//! - [`presence`]: whether the process itself may take new work;
//! - [`budget`]: the limit on the bytes that are sent;
//! - [`gossip`] and [`repair`]: the periodic rounds that spread changes and that
//!   reconcile rosters that differ.

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
