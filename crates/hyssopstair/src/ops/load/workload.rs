//! The workload file; see `docs/reference/workload.md`.

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
    /// Seed of arrivals and of the choice of traced requests.
    #[serde(default)]
    pub seed: u64,
    /// Time until the full rates are reached, in seconds.
    #[serde(default)]
    pub ramp_seconds: f64,
    /// Share of the requests that carry a sampled trace context, from 0 to 1.
    #[serde(default)]
    pub traced: f64,
    /// Certificate that callers trust, in PEM.
    pub certificate: PathBuf,
    /// The services that are asked.
    pub services: Vec<ServiceLoad>,
    /// What is broken on purpose, and when.
    #[serde(default)]
    pub faults: Vec<FaultPlan>,
}

/// What is asked of one service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLoad {
    /// The name of the service.
    pub name: String,
    /// Where callers send to.
    pub address: SocketAddr,
    /// Feeds that are held open to the end, each on a flow of its own.
    #[serde(default)]
    pub feeds: u32,
    /// More feeds, in groups.
    #[serde(default)]
    pub feed_groups: Vec<FeedLoad>,
    /// Requests, in groups.
    #[serde(default)]
    pub requests: Vec<RequestLoad>,
    /// Addresses of backend servers that are asked for their run logs.
    #[serde(default)]
    pub backends: Vec<SocketAddr>,
}

/// Feeds of one kind.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FeedLoad {
    /// How many are held open.
    pub count: u32,
    /// Time after which a feed is closed and opened again, in seconds.
    #[serde(default)]
    pub reconnect_seconds: Option<f64>,
}

/// Requests of one kind.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestLoad {
    /// The method, `GET` or `POST`.
    pub method: String,
    /// The path; a number is appended.
    pub path: String,
    /// Requests per second on average; their arrivals are a Poisson process.
    pub rate: f64,
    /// Flows that the requests are spread over.
    pub flows: u32,
    /// Whether a request may run more than once; by default a `GET` may.
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// Time that a caller waits for an answer, in milliseconds.
    #[serde(default)]
    pub deadline_millis: Option<u64>,
    /// Time after which a flow is replaced by a new one, in seconds.
    #[serde(default)]
    pub reconnect_seconds: Option<f64>,
}

impl RequestLoad {
    /// Returns whether a request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.idempotent.unwrap_or(self.method == "GET")
    }
}

/// Something that is broken on purpose.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultPlan {
    /// When, in seconds after the start.
    pub at: f64,
    /// Its name in the plot and the report.
    pub name: String,
    /// What is done.
    #[serde(flatten)]
    pub action: FaultAction,
}

/// What is done to break something.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultAction {
    /// JSON is sent to a stand-in.
    Post {
        /// Where to.
        url: String,
        /// The JSON text.
        body: String,
    },
    /// A signal is sent to a process.
    Signal {
        /// The signal.
        kind: SignalKind,
        /// A file that holds the process id.
        pid_file: PathBuf,
    },
}

/// A signal that a workload may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SignalKind {
    /// Ends the process at once.
    Kill,
    /// Asks the process to stop.
    Terminate,
    /// Freezes the process.
    Stop,
    /// Lets a frozen process go on.
    Continue,
}

/// Reads a workload file.
///
/// # Errors
///
/// Returns an error that names line and field of the first mistake.
pub fn read_workload(path: &Path) -> Result<LoadWorkload, Report<CommandError>> {
    let context = || {
        CommandError::new(
            FailureKind::InvalidInput,
            format!("failed to read workload {}", path.display()),
        )
    };
    let text = fs::read_to_string(path).change_context_lazy(context)?;
    parse_workload(&text)
        .map_err(Report::new)
        .change_context_lazy(context)
}

/// Why a workload cannot be used.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum WorkloadError {
    /// The text is no workload.
    #[error("{0}")]
    Syntax(String),
    /// A number is out of its range.
    #[error("field \"{field}\" is {value}, expected {expected}")]
    Range {
        /// The field.
        field: &'static str,
        /// Its value.
        value: f64,
        /// What may stand there.
        expected: &'static str,
    },
}

/// Reads a workload.
///
/// # Errors
///
/// Returns an error that names line or field of the first mistake.
pub fn parse_workload(text: &str) -> Result<LoadWorkload, WorkloadError> {
    let workload: LoadWorkload =
        serde_saphyr::from_str(text).map_err(|error| WorkloadError::Syntax(error.to_string()))?;
    validate(&workload)?;
    Ok(workload)
}

fn validate(workload: &LoadWorkload) -> Result<(), WorkloadError> {
    let positive = "a number above 0";
    check_range(
        "seconds",
        workload.seconds,
        workload.seconds > 0.0,
        positive,
    )?;
    let traced = workload.traced;
    let is_share = (0.0..=1.0).contains(&traced);
    check_range("traced", traced, is_share, "a share from 0 to 1")?;
    let groups = workload.services.iter().flat_map(|item| &item.requests);
    for group in groups {
        check_range("rate", group.rate, group.rate > 0.0, positive)?;
        let flows = f64::from(group.flows);
        check_range("flows", flows, group.flows > 0, positive)?;
    }
    Ok(())
}

fn check_range(
    field: &'static str,
    value: f64,
    is_valid: bool,
    expected: &'static str,
) -> Result<(), WorkloadError> {
    if is_valid {
        return Ok(());
    }
    Err(WorkloadError::Range {
        field,
        value,
        expected,
    })
}
