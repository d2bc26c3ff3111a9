//! Speaks HTTP to the backend server.
//!
//! Each request has a connection of its own, so that closing it cancels just
//! this request.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use hyssopstair_requests::admission::SlotOutcome;
use hyssopstair_telemetry::limiter::SharedLimiter;
use hyssopstair_telemetry::requests::BACKEND_SPAN;
use hyssopstair_telemetry::requests::inject_trace_context;
use hyssopstair_telemetry::requests::run_in_span;
use hyssopstair_wire::peer::BackendCall;
use hyssopstair_wire::peer::BackendReply;
use hyssopstair_wire::peer::HeaderField;
use hyssopstair_wire::time::MonotonicTime;
use tokio::net::TcpStream;

use crate::host::request::DEADLINE_HEADER;
use crate::host::request::header_fields;
use crate::host::slots::SlotGuard;
use crate::host::state::HostState;
use crate::host::tickets::TicketClaim;

/// Header by which a backend server says that it refused a request with status
/// 503 before it did anything.
const SHED_HEADER: &str = "hyssopstair-shed";

/// Longest wait for a connection to the backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// When a request may be tried again that the backend server did not take.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest answer that is kept whole, in bytes.
const MAX_REPLY: usize = 256 << 10;

/// What came of the hand-over of a request.
#[derive(Debug)]
pub enum BackendEnd {
    /// An answer begins.
    Answer(Box<BackendAnswer>),
    /// The request provably did not run.
    NotRun {
        /// When it may be tried again.
        retry_after: Duration,
    },
    /// Nobody knows whether the request ran.
    MayHaveRun,
    /// The same, because the deadline passed.
    TimedOut,
}

/// An answer whose body still comes.
#[derive(Debug)]
pub struct BackendAnswer {
    /// Status and headers.
    pub head: Parts,
    /// The part of the body that is there.
    pub start: Vec<u8>,
    /// The rest.
    pub body: Incoming,
    /// The slot, for requests that take one.
    pub slot: Option<SlotGuard>,
}

/// What came of collecting an answer.
#[derive(Debug)]
pub enum CollectedAnswer {
    /// The answer is whole.
    Whole(BackendReply),
    /// It is longer than is kept.
    Long(Box<BackendAnswer>),
    /// It broke off.
    Cut,
}

/// Limits the warning that the backend server cannot be reached.
static UNREACHABLE: SharedLimiter = SharedLimiter::new();

/// Limits the warning that the backend server breaks off.
static BROKEN: SharedLimiter = SharedLimiter::new();

/// Hands a request to the backend server, and returns when its answer begins.
pub async fn run(
    state: &HostState,
    call: &BackendCall,
    slot: Option<SlotGuard>,
    deadline: Option<MonotonicTime>,
    claim: Option<&mut TicketClaim>,
) -> BackendEnd {
    let connecting = TcpStream::connect(state.backend);
    let Ok(Ok(connection)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await else {
        if let Some(held_back) = UNREACHABLE.record_warning(state.node.clock.now()) {
            log::warn!(held_back; "proxy: the backend server cannot be reached");
        }
        return fail(slot);
    };
    let remaining = deadline.map(|deadline| deadline.since(state.node.clock.now()));
    // The wait for the connection may have been long: ask again right here.
    let refused = match (claim, deadline) {
        (Some(claim), Some(deadline)) => claim.hand_over(deadline).is_err(),
        _ => remaining.is_some_and(|remaining| remaining.is_zero()),
    };
    if refused {
        return BackendEnd::NotRun {
            retry_after: Duration::ZERO,
        };
    }
    let sending = run_in_span(BACKEND_SPAN, send(connection, call, remaining));
    let longest = remaining.unwrap_or(Duration::MAX);
    match tokio::time::timeout(longest, sending).await {
        Ok(Ok(response)) => judge(response, slot),
        Ok(Err(SendError::NotSent)) => fail(slot),
        Ok(Err(SendError::Broken(error))) => {
            if let Some(held_back) = BROKEN.record_warning(state.node.clock.now()) {
                log::warn!(error:% = error, held_back; "proxy: the backend server gave no answer");
            }
            if let Some(slot) = slot {
                slot.end(SlotOutcome::Failed);
            }
            BackendEnd::MayHaveRun
        }
        Err(_) => {
            if let Some(slot) = slot {
                slot.time_out();
            }
            BackendEnd::TimedOut
        }
    }
}

fn fail(slot: Option<SlotGuard>) -> BackendEnd {
    if let Some(slot) = slot {
        slot.end(SlotOutcome::Failed);
    }
    BackendEnd::NotRun {
        retry_after: RETRY_AFTER,
    }
}

fn judge(response: Response<Incoming>, slot: Option<SlotGuard>) -> BackendEnd {
    let is_shed = response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(SHED_HEADER);
    if is_shed {
        if let Some(slot) = slot {
            slot.end(SlotOutcome::Shed);
        }
        return BackendEnd::NotRun {
            retry_after: RETRY_AFTER,
        };
    }
    let (head, body) = response.into_parts();
    BackendEnd::Answer(Box::new(BackendAnswer {
        head,
        start: Vec::new(),
        body,
        slot,
    }))
}

/// Why there is no answer.
enum SendError {
    /// Nothing was sent.
    NotSent,
    /// The request was sent, in part at least.
    Broken(hyper::Error),
}

async fn send(
    connection: TcpStream,
    call: &BackendCall,
    remaining: Option<Duration>,
) -> Result<Response<Incoming>, SendError> {
    let request = build_request(call, remaining).ok_or(SendError::NotSent)?;
    let (mut sender, driver) = hyper::client::conn::http1::handshake(TokioIo::new(connection))
        .await
        .map_err(|_| SendError::NotSent)?;
    tokio::spawn(driver);
    sender.try_send_request(request).await.map_err(|mut error| {
        if error.take_message().is_some() {
            return SendError::NotSent;
        }
        SendError::Broken(error.into_error())
    })
}

fn build_request(call: &BackendCall, remaining: Option<Duration>) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(Bytes::copy_from_slice(&call.body)));
    *request.method_mut() = call.method.parse().ok()?;
    *request.uri_mut() = call.path.parse().ok()?;
    let headers = request.headers_mut();
    for field in &call.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(&field.value).ok()?);
    }
    headers.insert(header::HOST, call.authority.parse().ok()?);
    if let Some(remaining) = remaining {
        let millis = remaining.as_millis() as u64;
        headers.insert(DEADLINE_HEADER, millis.into());
    }
    inject_trace_context(headers);
    Some(request)
}

impl BackendAnswer {
    /// Returns whether the end of the body can be told from a lost connection.
    pub fn has_certain_end(&self) -> bool {
        self.body.size_hint().exact().is_some()
            || self.head.headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Returns the headers that go to the caller.
    pub fn header_fields(&self) -> Vec<HeaderField> {
        header_fields(&self.head.headers)
    }

    /// Reads the body to its end if it is short enough to be kept.
    pub async fn collect(mut self: Box<Self>) -> CollectedAnswer {
        if !self.has_certain_end() {
            return CollectedAnswer::Cut;
        }
        while let Some(frame) = self.body.frame().await {
            let Ok(frame) = frame else {
                return CollectedAnswer::Cut;
            };
            if let Ok(data) = frame.into_data() {
                self.start.extend_from_slice(&data);
            }
            if self.start.len() > MAX_REPLY {
                return CollectedAnswer::Long(self);
            }
        }
        let headers = self.header_fields();
        if let Some(slot) = self.slot {
            slot.complete();
        }
        CollectedAnswer::Whole(BackendReply {
            status: self.head.status.as_u16(),
            headers,
            body: self.start,
        })
    }
}
