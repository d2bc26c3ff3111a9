//! The host role, which terminates callers' flows beside a backend server.
//!
//! [`ingress`] receives packets, [`socket`] passes them to QUIC, [`connection`] issues
//! connection IDs, and [`server`] serves HTTP/3. [`proxy`] handles each request: it uses
//! [`request`] to read the request, [`tickets`] and [`settle`] to prevent it from running
//! twice, [`slots`] to limit the load of the backend server, [`backend`] to forward the
//! request, [`relay`] to try another host, and [`answer`] to respond to the caller.

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

/// Starts the host: it accepts flows from callers and answers requests from other hosts.
///
/// # Errors
///
/// Returns an error if the certificate or its key cannot be loaded, or if the QUIC
/// endpoint cannot be opened.
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
