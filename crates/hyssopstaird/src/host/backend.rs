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
use hyssopstair_requests::admission::SlotEnd;
use hyssopstair_telemetry::limiter::SharedLimiter;
use hyssopstair_telemetry::requests::BACKEND_SPAN;
use hyssopstair_telemetry::requests::hop;
use hyssopstair_telemetry::requests::inject;
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

/// Header by which a backend server says that it refused a request with status
/// 503 before it did anything.
const SHED_HEADER: &str = "hyssopstair-shed";

/// Longest wait for a connection to the backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// When a request may be tried again that the backend server did not take.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest answer that is kept whole, in bytes.
const MAX_REPLY_BYTES: usize = 256 << 10;

/// What came of the hand-over of a request.
#[derive(Debug)]
pub enum BackendResult {
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
    pub buffered: Vec<u8>,
    /// The rest.
    pub body: Incoming,
    /// The slot, for requests that take one.
    pub slot: Option<SlotGuard>,
}

/// What came of collecting an answer.
#[derive(Debug)]
pub enum CollectedAnswer {
    /// The answer is whole.
    Complete(BackendReply),
    /// It is longer than is kept.
    TooLong(Box<BackendAnswer>),
    /// It broke off.
    Truncated,
}

/// Limits the warning that the backend server cannot be reached.
static UNREACHABLE_LIMITER: SharedLimiter = SharedLimiter::new();

/// Limits the warning that the backend server breaks off.
static INTERRUPTED_LIMITER: SharedLimiter = SharedLimiter::new();

/// Hands a request to the backend server, and returns when its answer begins.
pub async fn run_call(
    state: &HostState,
    call: &BackendCall,
    slot: Option<SlotGuard>,
    deadline: Option<MonotonicTime>,
    claim: Option<&mut TicketClaim>,
) -> BackendResult {
    let connect = TcpStream::connect(state.backend);
    let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, connect).await else {
        if let Some(held_back) = UNREACHABLE_LIMITER.warn(state.node.clock.now()) {
            log::warn!(held_back; "proxy: the backend server cannot be reached");
        }
        return fail_call(slot);
    };
    let remaining = deadline.map(|deadline| deadline.since(state.node.clock.now()));
    // The wait for the connection may have been long: ask again right here.
    let is_refused = match (claim, deadline) {
        (Some(claim), Some(deadline)) => claim.hand_over(deadline).is_err(),
        _ => remaining.is_some_and(|remaining| remaining.is_zero()),
    };
    if is_refused {
        return BackendResult::NotRun {
            retry_after: Duration::ZERO,
        };
    }
    let exchange = hop(BACKEND_SPAN, send_call(stream, call, remaining));
    let timeout = remaining.unwrap_or(Duration::MAX);
    match tokio::time::timeout(timeout, exchange).await {
        Ok(Ok(response)) => read_response(response, slot),
        Ok(Err(SendError::NotSent)) => fail_call(slot),
        Ok(Err(SendError::Interrupted(error))) => {
            if let Some(held_back) = INTERRUPTED_LIMITER.warn(state.node.clock.now()) {
                log::warn!(error:% = error, held_back; "proxy: the backend server gave no answer");
            }
            if let Some(slot) = slot {
                slot.release(SlotEnd::Failed);
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

fn fail_call(slot: Option<SlotGuard>) -> BackendResult {
    if let Some(slot) = slot {
        slot.release(SlotEnd::Failed);
    }
    BackendResult::NotRun {
        retry_after: RETRY_DELAY,
    }
}

fn read_response(response: Response<Incoming>, slot: Option<SlotGuard>) -> BackendResult {
    let is_shed = response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(SHED_HEADER);
    if is_shed {
        if let Some(slot) = slot {
            slot.release(SlotEnd::Shed);
        }
        return BackendResult::NotRun {
            retry_after: RETRY_DELAY,
        };
    }
    let (head, body) = response.into_parts();
    BackendResult::Answer(Box::new(BackendAnswer {
        head,
        buffered: Vec::new(),
        body,
        slot,
    }))
}

/// Why there is no answer.
enum SendError {
    /// Nothing was sent.
    NotSent,
    /// The request was sent, in part at least.
    Interrupted(hyper::Error),
}

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
    inject(headers);
    Some(request)
}

impl BackendAnswer {
    /// Returns whether the end of the body can be told from a lost connection.
    pub fn has_detectable_end(&self) -> bool {
        self.body.size_hint().exact().is_some()
            || self.head.headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Returns the headers that go to the caller.
    pub fn header_fields(&self) -> Vec<HeaderField> {
        forwarded_header_fields(&self.head.headers)
    }

    /// Reads the body to its end if it is short enough to be kept.
    pub async fn collect(mut self: Box<Self>) -> CollectedAnswer {
        if !self.has_detectable_end() {
            return CollectedAnswer::Truncated;
        }
        while let Some(frame) = self.body.frame().await {
            let Ok(frame) = frame else {
                return CollectedAnswer::Truncated;
            };
            if let Ok(data) = frame.into_data() {
                self.buffered.extend_from_slice(&data);
            }
            if self.buffered.len() > MAX_REPLY_BYTES {
                return CollectedAnswer::TooLong(self);
            }
        }
        let headers = self.header_fields();
        if let Some(slot) = self.slot {
            slot.complete();
        }
        CollectedAnswer::Complete(BackendReply {
            status: self.head.status.as_u16(),
            headers,
            body: self.buffered,
        })
    }
}
