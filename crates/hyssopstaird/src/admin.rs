//! The HTTP server on the admin address of a daemon.
//!
//! It provides the status, the metrics and the configuration for operators, and the
//! readiness, by which the network fabric decides whether to send packets to a balancer.

use std::net::SocketAddrV4;
use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::routing::get;
use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_telemetry::metrics::MetricsExporter;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberState;
use serde::Serialize;
use tokio::net::TcpListener;

use crate::control::configuration;
use crate::control::node::ControlNode;
use crate::error::DaemonError;

/// Content type of the metrics, in the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// The response to `/status`.
#[derive(Debug, Serialize)]
pub struct StatusReport {
    /// The ID of this process.
    pub process: String,
    /// The version of the configuration in force, or 0 if there is none.
    pub version: u64,
    /// All known members, including this process and members that are gone.
    pub members: Vec<MemberEntry>,
    /// The number of hosts, over all services, to which new flows can be routed.
    pub candidates: usize,
}

/// Opens the listener on the admin address.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn bind_listener(address: SocketAddrV4) -> Result<TcpListener, Report<DaemonError>> {
    TcpListener::bind(address).await.change_context_lazy(|| {
        DaemonError::new(format!(
            "failed to listen on the address of the field \"admin\", {address}"
        ))
    })
}

/// Serves HTTP requests until the process ends.
pub async fn serve_requests(
    listener: TcpListener,
    node: Arc<ControlNode>,
    metrics: Arc<MetricsExporter>,
) {
    let router = Router::new()
        .route("/status", get(get_status))
        .route("/ready", get(get_readiness))
        .merge(configuration::routes())
        .with_state(node)
        .route("/metrics", get(get_metrics).with_state(metrics));
    if let Err(error) = axum::serve(listener, router).await {
        log::error!(error:% = error; "admin: the HTTP server stopped");
    }
}

async fn get_status(State(node): State<Arc<ControlNode>>) -> Json<StatusReport> {
    let view = node.view();
    Json(StatusReport {
        process: node.process_id().to_string(),
        version: view.version,
        members: node.members(),
        candidates: view.candidate_count(),
    })
}

async fn get_metrics(
    State(exporter): State<Arc<MetricsExporter>>,
) -> Result<impl IntoResponse, StatusCode> {
    let text = exporter.render().map_err(|error| {
        log::warn!(error:? = error; "admin: failed to render the metrics");
        StatusCode::INTERNAL_SERVER_ERROR
    })?;
    Ok(([(CONTENT_TYPE, METRICS_CONTENT_TYPE)], text))
}

/// Returns 200 if the process is ready for new flows, otherwise 503. It is ready if it
/// has a configuration, has joined the fleet, is confirmed
/// ([`ControlNode::is_confirmed`]), and is neither draining nor suspected by other members.
async fn get_readiness(State(node): State<Arc<ControlNode>>) -> StatusCode {
    let process_id = node.process_id();
    let is_not_alive = node
        .members()
        .iter()
        .any(|entry| entry.process == process_id && entry.state != MemberState::Alive);
    let is_unconfirmed = !node.is_joined() || !node.is_confirmed();
    if is_not_alive || is_unconfirmed || node.view().version == 0 {
        return StatusCode::SERVICE_UNAVAILABLE;
    }
    StatusCode::OK
}
