//! The protocol between the processes of hyssopstair.
//!
//! Everything that one process of the system sends to another is defined here,
//! so that a change of format is a change of one package. The package holds no
//! sockets and no clocks.
//!
//! Start with [`packet`] for the data path, [`token`] for the connection IDs
//! that carry a route, [`control`] for membership messages and [`peer`] for the
//! messages between two hosts.

pub mod address;
pub mod carried;
pub mod control;
pub mod entry;
pub mod packet;
pub mod peer;
pub mod time;
pub mod token;
