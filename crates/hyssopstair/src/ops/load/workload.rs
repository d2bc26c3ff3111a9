//! The workload file.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use error_stack::Report;
use error_stack::ResultExt;
use serde::Deserialize;

use crate::error::CommandError;
use crate::error::FailureKind;

/// What is asked.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadWorkload {
    /// How long, in seconds.
    pub seconds: f64,
    /// Certificate that callers trust, in PEM.
    pub certificate: PathBuf,
    /// The services that are asked.
    pub services: Vec<ServiceLoad>,
}

/// What is asked of one service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLoad {
    /// The name of the service.
    pub name: String,
    /// Where callers send to.
    pub address: SocketAddr,
    /// Feeds that are held open, each on a flow of its own.
    #[serde(default)]
    pub feeds: u32,
    /// Requests at fixed rates.
    #[serde(default)]
    pub requests: Vec<RequestLoad>,
    /// Addresses of backend servers that are asked for their run logs.
    #[serde(default)]
    pub backends: Vec<SocketAddr>,
}

/// Requests of one kind.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestLoad {
    /// The method, `GET` or `POST`.
    pub method: String,
    /// The path; a number is appended.
    pub path: String,
    /// Requests per second.
    pub rate: f64,
    /// Flows that the requests are spread over.
    pub flows: u32,
}

/// Reads a workload file.
///
/// # Errors
///
/// Returns an error that names line and field of the first mistake.
pub fn read_workload(path: &Path) -> Result<LoadWorkload, Report<CommandError>> {
    let context = || {
        CommandError::new(
            FailureKind::Input,
            format!("failed to read workload {}", path.display()),
        )
    };
    let text = fs::read_to_string(path).change_context_lazy(context)?;
    serde_saphyr::from_str(&text).change_context_lazy(context)
}
