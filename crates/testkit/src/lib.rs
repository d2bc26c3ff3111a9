//! Small stand-ins for what the system meets: the platform's key-value
//! service, the network fabric and backend servers.
//!
//! Each stand-in is a program under `examples/`; the modules here hold what
//! the programs do, so that tests can run them in their own process.

pub mod backend;
pub mod collector;
pub mod fabric;
pub mod fleet;
pub mod platform;
