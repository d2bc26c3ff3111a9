//! A process that carries flows without terminating them.
//!
//! The crate `flows` makes the decisions and the adapter translates the platform's
//! protocols; the modules here connect both to sockets. Start with [`process`]: its
//! event loop passes each datagram to the decisions and sends the datagrams that
//! they return.

pub mod checks;
pub mod command;
pub mod configuration_watch;
pub mod http;
pub mod journal;
pub mod metrics;
pub mod part;
pub mod process;
pub mod settings_watch;
pub mod sockets;
pub mod store;
pub mod store_eras;
pub mod store_lease;
pub mod store_tasks;
