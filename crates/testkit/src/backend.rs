//! A stand-in for a backend server. It limits the requests that run at once, serves
//! endless feeds, and records every run of a request. Faults can be set by HTTP.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::http::header::CONTENT_LENGTH;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

/// Request header with the key that identifies a request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Request header with the time that is left until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "hyssopstair-deadline";

/// Response header of a request that was rejected before it ran.
pub const SHED_HEADER: &str = "hyssopstair-shed";

/// Time between two lines of a feed.
const FEED_INTERVAL: Duration = Duration::from_millis(200);

/// Size of a document in bytes.
const DOCUMENT_BYTES: usize = 16 * 1_024;

/// Settings and faults of a backend server.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(default)]
pub struct BackendBehaviour {
    /// Number of requests that can run at once. Further ones are rejected with status 503.
    pub slots: usize,
    /// Time that a request takes, in milliseconds.
    pub work_millis: u64,
    /// The load to report, from 0 to 1, or `None` to report the actual load.
    pub reported_load: Option<f64>,
    /// Whether every request is rejected.
    pub shedding: bool,
    /// Age of the load that is reported, in milliseconds.
    pub load_lag_millis: u64,
    /// Time after the start for which the backend server is cold, in milliseconds.
    pub cold_millis: u64,
    /// Additional time that a request takes while the backend server is cold, in
    /// milliseconds.
    pub cold_work_millis: u64,
    /// Whether the bodies of responses are cut off in the middle.
    pub cuts_answers: bool,
    /// Whether every request is rejected and the health endpoint returns status 503.
    pub draining: bool,
}

impl Default for BackendBehaviour {
    fn default() -> Self {
        Self {
            slots: 3,
            work_millis: 20,
            reported_load: None,
            shedding: false,
            load_lag_millis: 0,
            cold_millis: 0,
            cold_work_millis: 0,
            cuts_answers: false,
            draining: false,
        }
    }
}

/// Record of a run of a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunRecord {
    /// The method and path.
    pub request: String,
    /// The key that identifies the request; empty if there is none.
    pub key: String,
    /// Start of the run, in milliseconds since the start of the backend server.
    pub start_millis: u64,
    /// End of the run, on the same clock; `None` while it is in progress.
    pub end_millis: Option<u64>,
    /// Whether the run was cancelled because its caller closed the connection.
    pub cancelled: bool,
    /// Time that was left until the deadline at the start, in milliseconds, if the request
    /// has a deadline.
    pub deadline_millis: Option<u64>,
}

/// Requests that a backend server received since its start.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
pub struct BackendReport {
    /// Name of the backend server's service.
    pub service: String,
    /// All runs of requests, ordered by start.
    pub runs: Vec<RunRecord>,
    /// Number of requests that were addressed to another service.
    pub misdelivered: u64,
    /// Number of feeds that were opened.
    pub feeds: u64,
}

#[derive(Debug)]
struct BackendState {
    behaviour: BackendBehaviour,
    running_count: usize,
    report: BackendReport,
    started_at: Instant,
    /// Numbers of running requests after each change, oldest first.
    load_samples: Vec<LoadSample>,
}

/// The number of running requests after a change.
#[derive(Debug, Clone, Copy)]
struct LoadSample {
    /// Time of the change, in milliseconds since the start of the backend server.
    changed_at_millis: u64,
    running_count: usize,
}

/// Maximum number of load samples. The older half is removed when it is reached.
const MAX_LOAD_SAMPLES: usize = 10_000;

impl BackendState {
    /// Returns the time since the start of the backend server in milliseconds.
    fn elapsed_millis(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn set_running_count(&mut self, running_count: usize) {
        self.running_count = running_count;
        let changed_at_millis = self.elapsed_millis();
        if self.load_samples.len() >= MAX_LOAD_SAMPLES {
            self.load_samples.drain(..MAX_LOAD_SAMPLES / 2);
        }
        self.load_samples.push(LoadSample {
            changed_at_millis,
            running_count,
        });
    }

    /// Returns the number of requests that were running when the reported load was current.
    fn reported_running_count(&self) -> usize {
        let reported_at_millis = self
            .elapsed_millis()
            .saturating_sub(self.behaviour.load_lag_millis);
        let first_later_index = self
            .load_samples
            .partition_point(|sample| sample.changed_at_millis <= reported_at_millis);
        if first_later_index == 0 {
            return 0;
        }
        self.load_samples[first_later_index - 1].running_count
    }

    /// Returns the time that a request which starts now takes.
    fn run_time(&self) -> Duration {
        let behaviour = &self.behaviour;
        let is_cold = self.elapsed_millis() < behaviour.cold_millis;
        let cold_millis = if is_cold {
            behaviour.cold_work_millis
        } else {
            0
        };
        Duration::from_millis(behaviour.work_millis + cold_millis)
    }
}

/// A backend server that runs in the process of the caller.
#[derive(Debug, Clone)]
pub struct BackendServer {
    state: Arc<Mutex<BackendState>>,
}

impl BackendServer {
    /// Creates a backend server of a service.
    pub fn new(service: &str, behaviour: BackendBehaviour) -> Self {
        let report = BackendReport {
            service: service.to_owned(),
            ..BackendReport::default()
        };
        let state = BackendState {
            behaviour,
            running_count: 0,
            report,
            started_at: Instant::now(),
            load_samples: Vec::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the router that serves the backend server's HTTP endpoints.
    pub fn router(&self) -> Router {
        Router::new()
            .route("/work/{*name}", post(run_work).get(get_document))
            .route("/feed/{name}", get(stream_feed))
            .route("/health", get(get_health))
            .route("/load", get(get_load))
            .route("/behaviour", post(set_behaviour))
            .route("/report", get(get_report))
            .with_state(self.clone())
    }

    /// Records the start of a request, or returns why it is rejected.
    fn start_run(
        &self,
        request: String,
        headers: &HeaderMap,
    ) -> Result<RunningGuard, RequestRejection> {
        let mut state = self.state.lock();
        if !self.check_service(&mut state, headers) {
            return Err(RequestRejection::Misdirected);
        }
        let behaviour = state.behaviour;
        let is_full = state.running_count >= behaviour.slots;
        if behaviour.shedding || behaviour.draining || is_full {
            return Err(RequestRejection::Shed);
        }
        let running_count = state.running_count + 1;
        state.set_running_count(running_count);
        let record = RunRecord {
            request,
            key: header_text(headers, IDEMPOTENCY_KEY_HEADER).to_owned(),
            start_millis: state.elapsed_millis(),
            end_millis: None,
            cancelled: false,
            deadline_millis: header_text(headers, DEADLINE_HEADER).parse().ok(),
        };
        state.report.runs.push(record);
        Ok(RunningGuard {
            server: self.clone(),
            index: state.report.runs.len() - 1,
            run_time: state.run_time(),
            is_completed: false,
        })
    }

    /// Returns whether a request is addressed to the backend server's own service, and
    /// counts it if it is not.
    fn check_service(&self, state: &mut BackendState, headers: &HeaderMap) -> bool {
        let host = header_text(headers, "host");
        let is_own = host == state.report.service;
        if !is_own {
            state.report.misdelivered += 1;
        }
        is_own
    }
}

/// The reason why a request was rejected.
#[derive(Debug)]
enum RequestRejection {
    /// The request is addressed to another service.
    Misdirected,
    /// All slots are in use, or the backend server rejects all requests.
    Shed,
}

impl IntoResponse for RequestRejection {
    fn into_response(self) -> Response {
        match self {
            Self::Misdirected => StatusCode::MISDIRECTED_REQUEST.into_response(),
            Self::Shed => {
                let headers = [(SHED_HEADER, "1")];
                (StatusCode::SERVICE_UNAVAILABLE, headers).into_response()
            }
        }
    }
}

/// A running request. Dropping it records the end of the run and frees its slot.
struct RunningGuard {
    server: BackendServer,
    /// Index of the run's record.
    index: usize,
    run_time: Duration,
    is_completed: bool,
}

impl RunningGuard {
    /// Waits for the time that the request takes, and returns its response with the given body.
    async fn complete(mut self, response_body: Vec<u8>) -> Response {
        tokio::time::sleep(self.run_time).await;
        self.is_completed = true;
        let cuts_answers = self.server.state.lock().behaviour.cuts_answers;
        if !cuts_answers {
            return response_body.into_response();
        }
        let half = Bytes::copy_from_slice(&response_body[..response_body.len() / 2]);
        let parts = [
            Ok(half),
            Err(std::io::Error::other("response body was cut off")),
        ];
        let mut response = Body::from_stream(futures::stream::iter(parts)).into_response();
        let length = response_body.len().into();
        response.headers_mut().insert(CONTENT_LENGTH, length);
        response
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let mut state = self.server.state.lock();
        let running_count = state.running_count - 1;
        state.set_running_count(running_count);
        let end_millis = state.elapsed_millis();
        let record = &mut state.report.runs[self.index];
        record.end_millis = Some(end_millis);
        record.cancelled = !self.is_completed;
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

async fn run_work(
    State(server): State<BackendServer>,
    Path(name): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, RequestRejection> {
    let guard = server.start_run(format!("POST /work/{name}"), &headers)?;
    let key = header_text(&headers, IDEMPOTENCY_KEY_HEADER);
    let text = format!("done {name} {key} {}", body.len());
    Ok(guard.complete(text.into_bytes()).await)
}

async fn get_document(
    State(server): State<BackendServer>,
    Path(name): Path<String>,
    headers: HeaderMap,
) -> Result<Response, RequestRejection> {
    let guard = server.start_run(format!("GET /work/{name}"), &headers)?;
    Ok(guard.complete(document_bytes(&name)).await)
}

async fn get_health(State(server): State<BackendServer>) -> StatusCode {
    if server.state.lock().behaviour.draining {
        return StatusCode::SERVICE_UNAVAILABLE;
    }
    StatusCode::OK
}

/// Returns the content of the document `name`, which is the name repeated up to the size of
/// a document.
pub fn document_bytes(name: &str) -> Vec<u8> {
    name.bytes().cycle().take(DOCUMENT_BYTES).collect()
}

async fn stream_feed(
    State(server): State<BackendServer>,
    Path(name): Path<String>,
    headers: HeaderMap,
) -> Response {
    {
        let mut state = server.state.lock();
        if !server.check_service(&mut state, &headers) {
            return StatusCode::MISDIRECTED_REQUEST.into_response();
        }
        state.report.feeds += 1;
    }
    let lines = futures::stream::unfold(0_u64, move |number| {
        let line = format!("{name} {number}\n");
        async move {
            if number > 0 {
                tokio::time::sleep(FEED_INTERVAL).await;
            }
            Some((Ok::<_, Infallible>(line), number + 1))
        }
    });
    Body::from_stream(lines).into_response()
}

async fn get_load(State(server): State<BackendServer>) -> String {
    let state = server.state.lock();
    let load = state
        .behaviour
        .reported_load
        .unwrap_or(state.reported_running_count() as f64 / state.behaviour.slots as f64);
    format!("{load:.3}")
}

async fn set_behaviour(
    State(server): State<BackendServer>,
    Json(behaviour): Json<BackendBehaviour>,
) {
    server.state.lock().behaviour = behaviour;
}

async fn get_report(State(server): State<BackendServer>) -> Json<BackendReport> {
    Json(server.state.lock().report.clone())
}
