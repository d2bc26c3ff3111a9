//! Stand-ins for the systems around hyssopstair: the platform's key-value service, the
//! network fabric, backend servers and a trace collector.
//!
//! The first three are also programs in `examples/`, which [`fleet`] runs together with
//! the daemons. Tests can run the modules in their own process as well.

pub mod backend;
pub mod collector;
pub mod fabric;
pub mod fleet;
pub mod platform;
