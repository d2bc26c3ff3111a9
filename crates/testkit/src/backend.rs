//! A stand-in for a backend server: slots, feeds, a log of every run, and
//! faults on request.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

/// Name of the request header that names a request.
pub const KEY_HEADER: &str = "idempotency-key";

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
    /// Every request is answered with status 503.
    pub shedding: bool,
}

impl Default for BackendBehaviour {
    fn default() -> Self {
        Self {
            slots: 3,
            work_millis: 20,
            reported_load: None,
            shedding: false,
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
            .route("/health", get(|| async { StatusCode::OK }))
            .route("/load", get(load))
            .route("/behaviour", post(set_behaviour))
            .route("/report", get(report))
            .with_state(self.clone())
    }

    fn begin(&self, request: String, headers: &HeaderMap) -> Result<RunningGuard, StatusCode> {
        let mut state = self.state.lock();
        if !self.is_mine(&mut state, headers) {
            return Err(StatusCode::MISDIRECTED_REQUEST);
        }
        if state.behaviour.shedding || state.running >= state.behaviour.slots {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        state.running += 1;
        let key = header_text(headers, KEY_HEADER).to_owned();
        state.report.runs.push(RunRecord { request, key });
        Ok(RunningGuard {
            server: self.clone(),
            work: Duration::from_millis(state.behaviour.work_millis),
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

/// A request that runs; the slot is free again when it is dropped.
struct RunningGuard {
    server: BackendServer,
    work: Duration,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.server.state.lock().running -= 1;
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
) -> Result<String, StatusCode> {
    let guard = server.begin(format!("POST /work/{name}"), &headers)?;
    tokio::time::sleep(guard.work).await;
    let key = header_text(&headers, KEY_HEADER);
    Ok(format!("done {name} {key} {}", body.len()))
}

async fn document(
    State(server): State<BackendServer>,
    Path(name): Path<String>,
    headers: HeaderMap,
) -> Result<Vec<u8>, StatusCode> {
    let guard = server.begin(format!("GET /work/{name}"), &headers)?;
    tokio::time::sleep(guard.work).await;
    Ok(document_bytes(&name))
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
        .unwrap_or(state.running as f64 / state.behaviour.slots as f64);
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
