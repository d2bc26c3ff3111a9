//! HTTP client for the backend server.
//!
//! Each request uses a connection of its own, so that closing the connection cancels
//! exactly this request.

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
use crate::host::request::forwarded_header_fields;
use crate::host::slots::SlotGuard;
use crate::host::state::HostState;
use crate::host::tickets::TicketClaim;

/// Response header with which a backend server, in a response with status 503, confirms that
/// it has shed the request without running any part of it.
const SHED_HEADER: &str = "hyssopstair-shed";

/// Maximum time to connect to the backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a caller may retry a request that the backend server did not accept.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum length of the body of a response that is collected and stored, in bytes.
const MAX_REPLY_BYTES: usize = 256 << 10;

/// The result of sending a request to the backend server.
#[derive(Debug)]
pub enum BackendResult {
    /// The head of the response was received.
    Response(Box<BackendResponse>),
    /// The request certainly did not run.
    NotRun {
        /// Time after which the request may be retried.
        retry_after: Duration,
    },
    /// It is unknown whether the request ran.
    MayHaveRun,
    /// No response was received before the deadline; it is unknown whether the request ran.
    TimedOut,
}

/// A response whose body is still being received.
#[derive(Debug)]
pub struct BackendResponse {
    /// The status and the header fields.
    pub head: Parts,
    /// The part of the body that was already read.
    pub buffered: Vec<u8>,
    /// The rest of the body.
    pub body: Incoming,
    /// The slot of the request. Streams have none.
    pub slot: Option<SlotGuard>,
}

/// The result of collecting a response.
#[derive(Debug)]
pub enum CollectedResponse {
    /// The complete response.
    Complete(BackendReply),
    /// The response is too long to be collected; its body was read in part.
    TooLong(Box<BackendResponse>),
    /// The response ended before it was complete, or its end cannot be detected.
    Truncated,
}

/// Limits the warning that the backend server is unreachable.
static UNREACHABLE_LIMITER: SharedLimiter = SharedLimiter::new();

/// Limits the warning that the backend server did not answer a request.
static INTERRUPTED_LIMITER: SharedLimiter = SharedLimiter::new();

/// Sends a request to the backend server and waits for the head of the response until the
/// deadline. Immediately before sending, records the hand-over in `claim` if there is one.
/// `slot` is released unless a response is returned, which then owns it.
pub async fn run_call(
    state: &HostState,
    call: &BackendCall,
    slot: Option<SlotGuard>,
    deadline: Option<MonotonicTime>,
    claim: Option<&mut TicketClaim>,
) -> BackendResult {
    let connect = TcpStream::connect(state.backend);
    let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, connect).await else {
        if let Some(held_back) = UNREACHABLE_LIMITER.record_warning(state.node.clock.now()) {
            log::warn!(held_back; "proxy: the backend server is unreachable");
        }
        return fail_call(slot);
    };
    let remaining = deadline.map(|deadline| deadline.since(state.node.clock.now()));
    // The deadline may have passed while the connection was opened, so it is checked
    // immediately before the request is sent.
    let is_refused = match (claim, deadline) {
        (Some(claim), Some(deadline)) => claim.hand_over(deadline).is_err(),
        _ => remaining.is_some_and(|remaining| remaining.is_zero()),
    };
    if is_refused {
        return BackendResult::NotRun {
            retry_after: Duration::ZERO,
        };
    }
    let exchange = run_in_span(BACKEND_SPAN, send_call(stream, call, remaining));
    let timeout = remaining.unwrap_or(Duration::MAX);
    match tokio::time::timeout(timeout, exchange).await {
        Ok(Ok(response)) => read_response(response, slot),
        Ok(Err(SendError::NotSent)) => fail_call(slot),
        Ok(Err(SendError::Interrupted(error))) => {
            if let Some(held_back) = INTERRUPTED_LIMITER.record_warning(state.node.clock.now()) {
                log::warn!(
                    error:% = error, held_back;
                    "proxy: failed to get a response from the backend server"
                );
            }
            if let Some(slot) = slot {
                slot.release(SlotOutcome::Failed);
            }
            BackendResult::MayHaveRun
        }
        Err(_) => {
            if let Some(slot) = slot {
                slot.time_out();
            }
            BackendResult::TimedOut
        }
    }
}

/// Releases the slot of a request that could not be sent, and returns
/// [`BackendResult::NotRun`].
fn fail_call(slot: Option<SlotGuard>) -> BackendResult {
    if let Some(slot) = slot {
        slot.release(SlotOutcome::Failed);
    }
    BackendResult::NotRun {
        retry_after: RETRY_DELAY,
    }
}

/// Returns the response, or [`BackendResult::NotRun`] if the backend server has shed the
/// request.
fn read_response(response: Response<Incoming>, slot: Option<SlotGuard>) -> BackendResult {
    let is_shed = response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(SHED_HEADER);
    if is_shed {
        if let Some(slot) = slot {
            slot.release(SlotOutcome::Shed);
        }
        return BackendResult::NotRun {
            retry_after: RETRY_DELAY,
        };
    }
    let (head, body) = response.into_parts();
    BackendResult::Response(Box::new(BackendResponse {
        head,
        buffered: Vec::new(),
        body,
        slot,
    }))
}

/// The reason why a request has no response.
enum SendError {
    /// No part of the request was sent.
    NotSent,
    /// At least a part of the request was sent.
    Interrupted(hyper::Error),
}

/// Sends a request over a new connection and returns the response.
async fn send_call(
    stream: TcpStream,
    call: &BackendCall,
    remaining: Option<Duration>,
) -> Result<Response<Incoming>, SendError> {
    let request = build_request(call, remaining).ok_or(SendError::NotSent)?;
    let (mut sender, driver) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| SendError::NotSent)?;
    tokio::spawn(driver);
    sender.try_send_request(request).await.map_err(|mut error| {
        if error.take_message().is_some() {
            return SendError::NotSent;
        }
        SendError::Interrupted(error.into_error())
    })
}

/// Returns the HTTP request for a call, with the time until the deadline and the trace
/// context in its headers, or `None` if a part of the call is invalid.
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

impl BackendResponse {
    /// Returns whether the end of the body can be distinguished from a lost connection,
    /// which is the case if its length is known or it is sent in chunks.
    pub fn has_detectable_end(&self) -> bool {
        self.body.size_hint().exact().is_some()
            || self.head.headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Returns the header fields that are forwarded to the caller.
    pub fn header_fields(&self) -> Vec<HeaderField> {
        forwarded_header_fields(&self.head.headers)
    }

    /// Reads the body to its end, unless it is longer than `MAX_REPLY_BYTES`.
    pub async fn collect(mut self: Box<Self>) -> CollectedResponse {
        if !self.has_detectable_end() {
            return CollectedResponse::Truncated;
        }
        while let Some(frame) = self.body.frame().await {
            let Ok(frame) = frame else {
                return CollectedResponse::Truncated;
            };
            if let Ok(data) = frame.into_data() {
                self.buffered.extend_from_slice(&data);
            }
            if self.buffered.len() > MAX_REPLY_BYTES {
                return CollectedResponse::TooLong(self);
            }
        }
        let headers = self.header_fields();
        if let Some(slot) = self.slot {
            slot.complete();
        }
        CollectedResponse::Complete(BackendReply {
            status: self.head.status.as_u16(),
            headers,
            body: self.buffered,
        })
    }
}
