//! Questions between two processes, over nng: [`server`] answers them, and
//! [`client`] asks them.

pub mod client;
pub mod server;

pub use crate::peer::client::send_request;
pub use crate::peer::server::start_server;
