//! Forwarding decisions for flows that the system carries without terminating
//! them.
//!
//! The endpoints of such a flow are the caller and the backend server, and its
//! packets must be forwarded unmodified. The host beside a backend server is
//! authoritative for the flows that the server holds. The flow tables of
//! balancers are only hints: when a balancer has no entry for a packet, or a wrong
//! one, the hosts are asked until the one whose server holds the flow accepts it.
//!
//! The crate opens no sockets and reads no clock; callers pass in packets and the
//! current time. [`balancer`] decides about the packets of callers, [`host`] about
//! packets to and from a backend server, and both put their output into an
//! [`outbox`].

pub mod balancer;
pub mod detour;
pub mod drain;
pub mod evacuation;
pub mod event;
pub mod heartbeat;
pub mod holding;
pub mod host;
pub mod members;
pub mod opening_gate;
pub mod outbox;
pub mod packet;
pub mod placing;
pub mod ranking;
pub mod room;
pub mod route_transfer;
pub mod routes;
pub mod saved_flows;
pub mod service_proof;
pub mod store_era;
pub mod store_position;
pub mod table;
pub mod watch_schedule;
