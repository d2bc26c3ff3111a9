//! The platform's key-value service, spoken to by its published protocol.
//!
//! Start with [`client`] for the calls, [`record`] for what is kept, and
//! [`change`] for how an operator's change gets there, and [`update`] for how it
//! goes from process to process.

pub mod change;
pub mod client;
pub mod fetch;
pub mod protocol;
pub mod record;
pub mod schedule;
pub mod update;
