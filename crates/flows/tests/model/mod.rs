//! A small fleet in one thread: the real decisions of balancers and hosts between
//! modelled callers, servers, routers and a network that loses and delays.
//!
//! All times and faults come from one seed. The rules are checked by [`oracle`]
//! while the fleet runs, from what servers and callers see.
#![allow(dead_code, reason = "each test uses a part")]

pub mod caller;
pub mod oracle;
pub mod packet;
pub mod server;
pub mod world;
