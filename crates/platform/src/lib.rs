//! The client of the platform's key-value service, and the configuration stored in it.
//!
//! - [`client`] calls the service; [`protocol`] defines the messages.
//! - [`record`] defines the stored keys and values.
//! - [`change`] decides how a change by an operator is written.
//! - [`schedule`] and [`fetch`] decide when a process reads the configuration from the
//!   platform and when it requests it from a peer.
//! - [`update`] defines how processes send newer configurations to each other.

pub mod change;
pub mod client;
pub mod fetch;
pub mod protocol;
pub mod record;
pub mod schedule;
pub mod update;
