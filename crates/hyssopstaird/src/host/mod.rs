//! The role of a host: ends the callers' flows beside a backend server.
//!
//! [`ingress`] takes packets in, [`socket`] shows them to QUIC, [`connection`]
//! issues connection IDs, [`server`] serves HTTP/3, and [`proxy`] decides about
//! each request with [`tickets`], [`slots`], [`settle`] and [`relay`]. [`request`]
//! reads it, [`backend`] speaks to the backend server and [`answer`] to the
//! caller.

pub mod answer;
pub mod backend;
pub mod connection;
pub mod ingress;
pub mod proxy;
pub mod relay;
pub mod request;
pub mod server;
pub mod settle;
pub mod slots;
pub mod socket;
pub mod state;
pub mod tickets;

use std::sync::Arc;

use error_stack::Report;
use hyssopstair_rules::settings::HostSettings;

use crate::control::node::ControlNode;
use crate::error::DaemonError;
use crate::host::state::HostState;
use crate::peer::server::PeerResponder;

pub use crate::host::server::HostHandle;

/// Starts to serve.
///
/// # Errors
///
/// Returns an error when the certificate cannot be used.
pub async fn start(
    settings: &HostSettings,
    node: Arc<ControlNode>,
    responder: &PeerResponder,
) -> Result<HostHandle, Report<DaemonError>> {
    let state = Arc::new(HostState::new(settings, node));
    let endpoint = server::open_endpoint(settings, &state)?;
    responder.set_host_state(state.clone());
    ingress::spawn_readers(&state);
    tokio::spawn(server::accept_flows(endpoint.clone(), state.clone()));
    Ok(HostHandle::new(endpoint, state))
}
