//! What operators and the fabric ask a daemon, over HTTP.

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
use hyssopstair_telemetry::metrics::MetricsReader;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberState;
use serde::Serialize;
use tokio::net::TcpListener;

use crate::control::configuration;
use crate::control::node::ControlNode;
use crate::error::DaemonError;

/// Media type of metrics.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// What a daemon reports about itself.
#[derive(Debug, Serialize)]
pub struct StatusReport {
    /// The process.
    pub process: String,
    /// The version of the configuration in force.
    pub version: u64,
    /// The members that it knows.
    pub members: Vec<MemberEntry>,
    /// Hosts of all services that the process would send new flows to.
    pub candidates: usize,
}

/// Opens the operators' address.
///
/// # Errors
///
/// Returns an error when the address is in use.
pub async fn bind(address: SocketAddrV4) -> Result<TcpListener, Report<DaemonError>> {
    TcpListener::bind(address).await.change_context_lazy(|| {
        DaemonError::new(format!(
            "failed to listen on the address of the field \"admin\", {address}"
        ))
    })
}

/// Answers until the process ends.
pub async fn serve(listener: TcpListener, node: Arc<ControlNode>, metrics: Arc<MetricsReader>) {
    let router = Router::new()
        .route("/status", get(status))
        .route("/ready", get(ready))
        .merge(configuration::routes())
        .with_state(node)
        .route("/metrics", get(show_metrics).with_state(metrics));
    if let Err(error) = axum::serve(listener, router).await {
        log::error!(error:% = error; "admin: stopped answering");
    }
}

async fn status(State(node): State<Arc<ControlNode>>) -> Json<StatusReport> {
    let view = node.view();
    Json(StatusReport {
        process: node.process_id().to_string(),
        version: view.version,
        members: node.members(),
        candidates: view.candidate_count(),
    })
}

async fn show_metrics(
    State(reader): State<Arc<MetricsReader>>,
) -> Result<impl IntoResponse, StatusCode> {
    let text = reader.render().map_err(|error| {
        log::warn!(error:? = error; "admin: metrics cannot be shown");
        StatusCode::INTERNAL_SERVER_ERROR
    })?;
    Ok(([(CONTENT_TYPE, METRICS_TYPE)], text))
}

/// Ready means: there is a configuration, the members are known, and the process
/// is not leaving.
async fn ready(State(node): State<Arc<ControlNode>>) -> StatusCode {
    let process_id = node.process_id();
    let leaving = node
        .members()
        .iter()
        .any(|entry| entry.process == process_id && entry.state != MemberState::Alive);
    let unsure = !node.is_joined() || !node.is_confirmed();
    if leaving || unsure || node.view().version == 0 {
        return StatusCode::SERVICE_UNAVAILABLE;
    }
    StatusCode::OK
}
