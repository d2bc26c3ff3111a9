//! Decisions about packets: where a balancer sends one, and what a host does
//! with one that it is sent.
//!
//! Nothing here opens a socket or reads a clock. Start with [`balancer`] for
//! the way from callers to hosts, [`host`] for what a host accepts, and
//! [`returns`] for the way back.

pub mod balancer;
pub mod host;
pub mod loads;
pub mod pace;
pub mod pending;
pub mod placement;
pub mod quic;
pub mod reset;
pub mod returns;
pub mod shard;
pub mod view;
