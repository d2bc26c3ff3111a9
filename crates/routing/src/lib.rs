//! Packet routing decisions of balancers and hosts.
//!
//! This crate performs no I/O and reads no clock. The main modules are
//! [`balancer`], which routes a caller's packet to a host, [`host`], which
//! decides whether the host accepts the packet, and [`returns`], which selects
//! the balancer for packets to the caller.

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
