//! The role of a host: ends the callers' flows beside a backend server.
//!
//! [`ingress`] takes packets in, [`socket`] shows them to QUIC, [`connection`]
//! issues connection IDs, [`server`] serves HTTP/3, and [`proxy`] speaks to the
//! backend server.

pub mod connection;
pub mod ingress;
pub mod proxy;
pub mod server;
pub mod socket;
pub mod state;

use std::sync::Arc;

use error_stack::Report;
use hyssopstair_rules::settings::HostSettings;

use crate::control::node::ControlNode;
use crate::error::DaemonError;
use crate::host::state::HostState;

pub use crate::host::server::HostHandle;

/// Starts to serve.
///
/// # Errors
///
/// Returns an error when the certificate cannot be used.
pub async fn start(
    settings: &HostSettings,
    node: Arc<ControlNode>,
) -> Result<HostHandle, Report<DaemonError>> {
    let state = Arc::new(HostState::new(settings, node));
    let endpoint = server::open_endpoint(settings, &state)?;
    ingress::spawn(&state);
    tokio::spawn(server::accept_flows(endpoint.clone(), state.clone()));
    Ok(HostHandle::new(endpoint, state))
}
