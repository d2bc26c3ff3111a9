//! Requests between two processes, transported by nng. [`client`] sends them and
//! [`server`] answers them.

pub mod client;
pub mod server;

pub use crate::peer::client::send_request;
pub use crate::peer::server::start_server;
