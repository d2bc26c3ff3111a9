//! Wire formats of the messages between hyssopstair processes.
//!
//! All formats are defined in this crate, so a format change touches a single
//! crate. It performs no I/O and reads no clock.
//!
//! The main modules are [`packet`] for the data path, [`token`] for QUIC
//! connection IDs that encode a route, [`control`] for membership messages,
//! [`peer`] for requests between two processes, and [`carried`] for the
//! datagrams of the carry mode.

pub mod address;
pub mod carried;
pub mod control;
pub mod entry;
pub mod packet;
pub mod peer;
pub mod time;
pub mod token;
