//! Reads and validates the workload file; `docs/reference/workload.md` describes it.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use error_stack::Report;
use error_stack::ResultExt;
use serde::Deserialize;

use crate::error::CommandError;
use crate::error::FailureKind;

/// The content of a workload file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadWorkload {
    /// The duration of the load, in seconds.
    pub seconds: f64,
    /// Seed of the arrival times and of the choice of traced requests.
    #[serde(default)]
    pub seed: u64,
    /// Time during which the rates increase linearly from 0, in seconds.
    #[serde(default)]
    pub ramp_seconds: f64,
    /// Share of the requests that carry a sampled trace context, from 0 to 1.
    #[serde(default)]
    pub traced: f64,
    /// File with the root certificate that callers trust, in PEM format.
    pub certificate: PathBuf,
    /// The services to which load is sent.
    pub services: Vec<ServiceLoad>,
    /// Faults that are injected during the load.
    #[serde(default)]
    pub faults: Vec<FaultPlan>,
}

/// The load on one service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLoad {
    /// The name of the service.
    pub name: String,
    /// The address to which callers send packets.
    pub address: SocketAddr,
    /// Number of feeds that stay open until the end, each on its own flow.
    #[serde(default)]
    pub feeds: u32,
    /// Further feeds, in groups that may reopen them.
    #[serde(default)]
    pub feed_groups: Vec<FeedLoad>,
    /// Groups of requests.
    #[serde(default)]
    pub requests: Vec<RequestLoad>,
    /// Addresses of the backend servers whose reports are fetched.
    #[serde(default)]
    pub backends: Vec<SocketAddr>,
}

/// A group of feeds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FeedLoad {
    /// Number of feeds that are open at the same time.
    pub count: u32,
    /// Time after which a feed is closed and reopened, in seconds. By default, feeds
    /// stay open until the end.
    #[serde(default)]
    pub reconnect_seconds: Option<f64>,
}

/// A group of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestLoad {
    /// The method, `GET` or `POST`.
    pub method: String,
    /// The path, to which a unique name is appended.
    pub path: String,
    /// Mean number of requests per second; their arrivals are a Poisson process.
    pub rate: f64,
    /// Number of flows over which the requests are sent in turn.
    pub flows: u32,
    /// Whether a request may run more than once. By default, only a `GET` may.
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// Deadline that is sent with each request, in milliseconds; the caller stops waiting
    /// 500 ms after it. By default, none is sent and the caller waits without limit.
    #[serde(default)]
    pub deadline_millis: Option<u64>,
    /// Time after which a flow is replaced by a new one, in seconds. By default,
    /// flows stay open until the end.
    #[serde(default)]
    pub reconnect_seconds: Option<f64>,
}

impl RequestLoad {
    /// Returns whether a request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.idempotent.unwrap_or(self.method == "GET")
    }
}

/// A fault to inject.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultPlan {
    /// When the fault is injected, in seconds after the start.
    pub at: f64,
    /// Name of the fault in the plot and the report.
    pub name: String,
    /// How the fault is injected.
    #[serde(flatten)]
    pub action: FaultAction,
}

/// How a fault is injected.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultAction {
    /// Sends a POST request with a JSON body, for example to a simulated backend
    /// server whose behaviour changes as a result.
    Post {
        /// The URL.
        url: String,
        /// The JSON text.
        body: String,
    },
    /// Sends a signal to a process.
    Signal {
        /// The signal.
        kind: SignalKind,
        /// File that contains the process ID.
        pid_file: PathBuf,
    },
}

/// A signal that a fault may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SignalKind {
    /// Kills the process (SIGKILL).
    Kill,
    /// Requests the process to terminate (SIGTERM).
    Terminate,
    /// Suspends the process (SIGSTOP).
    Stop,
    /// Resumes a suspended process (SIGCONT).
    Continue,
}

/// Reads and validates a workload file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is invalid. It names the line or
/// field of the first invalid value.
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

/// The first error found in a workload file.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum WorkloadError {
    /// The text is not valid YAML, or a field is unknown, missing or of the wrong
    /// type.
    #[error("{0}")]
    Syntax(String),
    /// A number is out of range.
    #[error("field \"{field}\" is {value}, expected {expected}")]
    Range {
        /// The name of the field.
        field: &'static str,
        /// The value of the field.
        value: f64,
        /// The valid values, as text.
        expected: &'static str,
    },
}

/// Parses and validates the text of a workload file.
///
/// # Errors
///
/// Returns the first error in the text, which names its line or field.
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
