//! The client of the platform's key-value service, and the configuration stored in it.
//!
//! - [`client`] sends the requests of the published protocol.
//! - [`record`] defines the stored keys and values.
//! - [`change`] decides how a change by an operator is written.
//! - [`update`] defines how processes send newer configurations to each other.

pub mod change;
pub mod client;
pub mod fetch;
pub mod protocol;
pub mod record;
pub mod schedule;
pub mod update;
