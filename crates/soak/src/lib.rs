//! A randomized soak test of the programs that carry flows.
//!
//! It runs balancers and hosts as separate processes on loopback, between stand-ins for
//! callers, backend servers and the store. Faults are injected from outside the
//! processes: by signals, in a relay between the processes, and in the store. What
//! callers and servers observe is checked against the invariants in [`checker`].
//!
//! [`plan`] turns a seed into events, [`fleet`] applies them, and [`run`] executes a
//! whole plan.

pub mod caller;
pub mod checker;
pub mod fleet;
pub mod http_call;
pub mod network;
pub mod plan;
pub mod program;
pub mod relay;
pub mod router;
pub mod run;
pub mod server;

/// An error that ends a run before its result is known.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct SoakError(pub String);
