//! A process that carries flows without ending them.
//!
//! The decisions are in the package `flows`, and what the platform speaks in the
//! adapter; the modules here connect the two with sockets. Read [`process`] next:
//! its loop hands each datagram to the decisions and sends what they want sent.

pub mod checks;
pub mod command;
pub mod http;
pub mod journal;
pub mod metrics;
pub mod part;
pub mod process;
pub mod sockets;
pub mod store;
pub mod store_tasks;
