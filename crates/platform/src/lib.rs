//! The platform's key-value service, spoken to by its published protocol.
//!
//! Start with [`client`] for the calls and [`record`] for what is kept.

pub mod client;
pub mod protocol;
pub mod record;
