//! Decisions about flows that the system carries and does not end.
//!
//! The two ends of such a flow are the caller and the backend server, and no
//! packet of it can be changed. The host beside the server is the authority on
//! the flows that its server holds; the tables of balancers are hints, and a
//! packet that no hint fits is handed from host to host until the right one
//! takes it.
//!
//! Nothing here opens a socket or reads a clock. Read [`balancer`] for what a
//! balancer does with a caller's packet, and [`host`] for what a host does with
//! it; [`outbox`] holds what either wants sent.

pub mod balancer;
pub mod event;
pub mod heartbeat;
pub mod holding;
pub mod host;
pub mod members;
pub mod outbox;
pub mod packet;
pub mod placing;
pub mod ranking;
pub mod route_transfer;
pub mod routes;
pub mod table;
