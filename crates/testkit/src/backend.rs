//! A stand-in for a backend server: slots, feeds, a log of every run, and
//! faults on request.

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

/// Name of the request header that names a request.
pub const KEY_HEADER: &str = "idempotency-key";

/// Name of the request header that gives the time that is left.
pub const DEADLINE_HEADER: &str = "hyssopstair-deadline";

/// Name of the response header by which a refused request is known not to have
/// run.
pub const SHED_HEADER: &str = "hyssopstair-shed";

/// Time between two lines of a feed.
const FEED_INTERVAL: Duration = Duration::from_millis(200);

/// Length of a document in bytes.
const DOCUMENT_LENGTH: usize = 16 * 1_024;

/// How a backend server behaves.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(default)]
pub struct BackendBehaviour {
    /// Requests that run at once; more are answered with status 503.
    pub slots: usize,
    /// Time that a request takes, in milliseconds.
    pub work_millis: u64,
    /// The load that is reported, from 0 to 1; none for the true one.
    pub reported_load: Option<f64>,
    /// Every request is refused.
    pub shedding: bool,
    /// The load is reported as it was this many milliseconds ago.
    pub load_lag_millis: u64,
    /// For this many milliseconds after its start the backend server is cold.
    pub cold_millis: u64,
    /// Time that a request takes longer while the backend server is cold, in
    /// milliseconds.
    pub cold_work_millis: u64,
    /// Answers break off in the middle.
    pub cuts_answers: bool,
    /// No request is taken, and the health endpoint says so.
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

/// One run of a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunRecord {
    /// The method and path.
    pub request: String,
    /// The key that names the request; empty when there is none.
    pub key: String,
    /// When it started, in milliseconds since the start of the process.
    pub start_millis: u64,
    /// When it ended; none while it runs.
    pub end_millis: Option<u64>,
    /// Whether its caller went away before it ended.
    pub cancelled: bool,
    /// The time that was left at its start, in milliseconds, when it was given.
    pub deadline_millis: Option<u64>,
}

/// What a backend server has seen.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
pub struct BackendReport {
    /// The service that it belongs to.
    pub service: String,
    /// All runs of requests, in order.
    pub runs: Vec<RunRecord>,
    /// Requests that were sent to another service.
    pub misdelivered: u64,
    /// Feeds that were opened.
    pub feeds: u64,
}

#[derive(Debug)]
struct BackendState {
    behaviour: BackendBehaviour,
    running: usize,
    report: BackendReport,
    start: Instant,
    /// The load after each change, oldest first.
    loads: Vec<LoadSample>,
}

/// The load from one moment on.
#[derive(Debug, Clone, Copy)]
struct LoadSample {
    millis: u64,
    running: usize,
}

/// Load samples that are kept.
const MAX_SAMPLES: usize = 10_000;

impl BackendState {
    fn millis(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn set_running(&mut self, running: usize) {
        self.running = running;
        let millis = self.millis();
        if self.loads.len() >= MAX_SAMPLES {
            self.loads.drain(..MAX_SAMPLES / 2);
        }
        self.loads.push(LoadSample { millis, running });
    }

    /// Returns the requests that ran as long ago as the reports lag.
    fn lagging_running(&self) -> usize {
        let moment = self.millis().saturating_sub(self.behaviour.load_lag_millis);
        let later = self.loads.partition_point(|sample| sample.millis <= moment);
        if later == 0 {
            return 0;
        }
        self.loads[later - 1].running
    }

    fn work(&self) -> Duration {
        let behaviour = &self.behaviour;
        let is_cold = self.millis() < behaviour.cold_millis;
        let cold = if is_cold {
            behaviour.cold_work_millis
        } else {
            0
        };
        Duration::from_millis(behaviour.work_millis + cold)
    }
}

/// The stand-in.
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
            running: 0,
            report,
            start: Instant::now(),
            loads: Vec::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the HTTP service.
    pub fn router(&self) -> Router {
        Router::new()
            .route("/work/{*name}", post(work).get(document))
            .route("/feed/{name}", get(feed))
            .route("/health", get(health))
            .route("/load", get(load))
            .route("/behaviour", post(set_behaviour))
            .route("/report", get(report))
            .with_state(self.clone())
    }

    fn begin(&self, request: String, headers: &HeaderMap) -> Result<RunningGuard, BackendRefusal> {
        let mut state = self.state.lock();
        if !self.is_mine(&mut state, headers) {
            return Err(BackendRefusal::Misdirected);
        }
        let behaviour = state.behaviour;
        let is_full = state.running >= behaviour.slots;
        if behaviour.shedding || behaviour.draining || is_full {
            return Err(BackendRefusal::Shed);
        }
        let running = state.running + 1;
        state.set_running(running);
        let record = RunRecord {
            request,
            key: header_text(headers, KEY_HEADER).to_owned(),
            start_millis: state.millis(),
            end_millis: None,
            cancelled: false,
            deadline_millis: header_text(headers, DEADLINE_HEADER).parse().ok(),
        };
        state.report.runs.push(record);
        Ok(RunningGuard {
            server: self.clone(),
            index: state.report.runs.len() - 1,
            work: state.work(),
            is_done: false,
        })
    }

    fn is_mine(&self, state: &mut BackendState, headers: &HeaderMap) -> bool {
        let host = header_text(headers, "host");
        let is_mine = host == state.report.service;
        if !is_mine {
            state.report.misdelivered += 1;
        }
        is_mine
    }
}

/// Why a request was not taken.
#[derive(Debug)]
enum BackendRefusal {
    /// It is for another service.
    Misdirected,
    /// There is no slot.
    Shed,
}

impl IntoResponse for BackendRefusal {
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

/// A request that runs; the slot is free again when it is dropped.
struct RunningGuard {
    server: BackendServer,
    index: usize,
    work: Duration,
    is_done: bool,
}

impl RunningGuard {
    /// Works on the request, and returns its whole answer.
    async fn finish(mut self, answer: Vec<u8>) -> Response {
        tokio::time::sleep(self.work).await;
        self.is_done = true;
        let cuts_answers = self.server.state.lock().behaviour.cuts_answers;
        if !cuts_answers {
            return answer.into_response();
        }
        let half = Bytes::copy_from_slice(&answer[..answer.len() / 2]);
        let parts = [Ok(half), Err(std::io::Error::other("cut"))];
        let mut response = Body::from_stream(futures::stream::iter(parts)).into_response();
        let length = answer.len().into();
        response.headers_mut().insert(CONTENT_LENGTH, length);
        response
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let mut state = self.server.state.lock();
        let running = state.running - 1;
        state.set_running(running);
        let millis = state.millis();
        let record = &mut state.report.runs[self.index];
        record.end_millis = Some(millis);
        record.cancelled = !self.is_done;
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

async fn work(
    State(server): State<BackendServer>,
    Path(name): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, BackendRefusal> {
    let guard = server.begin(format!("POST /work/{name}"), &headers)?;
    let key = header_text(&headers, KEY_HEADER);
    let answer = format!("done {name} {key} {}", body.len());
    Ok(guard.finish(answer.into_bytes()).await)
}

async fn document(
    State(server): State<BackendServer>,
    Path(name): Path<String>,
    headers: HeaderMap,
) -> Result<Response, BackendRefusal> {
    let guard = server.begin(format!("GET /work/{name}"), &headers)?;
    Ok(guard.finish(document_bytes(&name)).await)
}

async fn health(State(server): State<BackendServer>) -> StatusCode {
    if server.state.lock().behaviour.draining {
        return StatusCode::SERVICE_UNAVAILABLE;
    }
    StatusCode::OK
}

/// Returns the document with a name: its name, repeated.
pub fn document_bytes(name: &str) -> Vec<u8> {
    name.bytes().cycle().take(DOCUMENT_LENGTH).collect()
}

async fn feed(
    State(server): State<BackendServer>,
    Path(name): Path<String>,
    headers: HeaderMap,
) -> Response {
    {
        let mut state = server.state.lock();
        if !server.is_mine(&mut state, &headers) {
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

async fn load(State(server): State<BackendServer>) -> String {
    let state = server.state.lock();
    let load = state
        .behaviour
        .reported_load
        .unwrap_or(state.lagging_running() as f64 / state.behaviour.slots as f64);
    format!("{load:.3}")
}

async fn set_behaviour(
    State(server): State<BackendServer>,
    Json(behaviour): Json<BackendBehaviour>,
) {
    server.state.lock().behaviour = behaviour;
}

async fn report(State(server): State<BackendServer>) -> Json<BackendReport> {
    Json(server.state.lock().report.clone())
}
