//! A deterministic, single-threaded simulation of a fleet.
//!
//! The balancers and hosts run the decision code of the crate. Callers, backend
//! servers, routers and a network that delays and drops datagrams are modelled. All
//! delays and faults derive from one seed. While the simulation runs, [`oracle`]
//! checks the invariants, based only on the packets that servers and callers receive.
#![allow(dead_code, reason = "each test uses a part of the module")]

pub mod caller;
pub mod oracle;
pub mod packet;
pub mod server;
pub mod world;
