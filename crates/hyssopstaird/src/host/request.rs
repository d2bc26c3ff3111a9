//! Reads a request of a caller.

use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use h3::quic::BidiStream;
use h3::server::RequestStream;
use http::HeaderMap;
use http::Request;
use http::header;
use hyssopstair_requests::admission::RequestClass;
use hyssopstair_rules::service_rule::ServiceRule;
use hyssopstair_wire::peer::BackendCall;
use hyssopstair_wire::peer::HeaderField;
use hyssopstair_wire::time::MonotonicTime;

/// Request header that carries a ticket.
pub const KEY_HEADER: &str = "idempotency-key";

/// Request header that gives the time that the caller waits, in milliseconds;
/// backend servers are given the time that is left in it.
pub const DEADLINE_HEADER: &str = "hyssopstair-deadline";

/// Request header that gives the time that the caller waits, as gRPC writes it.
const GRPC_TIMEOUT_HEADER: &str = "grpc-timeout";

/// Request header that gives the number of tickets that the caller wants.
const TICKETS_HEADER: &str = "hyssopstair-tickets";

/// Most tickets that one answer carries.
const MAX_TICKETS: usize = 32;

/// Longest request body in bytes.
const MAX_BODY: usize = 1 << 20;

/// A whole request of a caller.
#[derive(Debug)]
pub struct CallerRequest {
    /// What the backend server is asked.
    pub call: BackendCall,
    /// The idempotency key, empty when there is none.
    pub key: String,
    /// How much the request counts.
    pub class: RequestClass,
    /// When the caller stops waiting.
    pub deadline: MonotonicTime,
    /// Tickets that the caller wants with the answer.
    pub tickets: usize,
}

/// Why the body of a request is not there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The caller broke off.
    Cancelled,
    /// The body is longer than a host takes.
    TooLong,
    /// The body is not as long as the caller announced.
    WrongLength,
}

impl CallerRequest {
    /// Puts a request together that arrived at `now`.
    pub fn new(head: &Request<()>, body: &[u8], service: &ServiceRule, now: MonotonicTime) -> Self {
        let method = head.method().as_str();
        let class = if service.is_idempotent(method, head.uri().path()) {
            RequestClass::Idempotent
        } else {
            RequestClass::NonIdempotent
        };
        let headers = head.headers();
        Self {
            call: backend_call(head, body),
            key: text(headers, KEY_HEADER).to_owned(),
            class,
            deadline: now + patience(headers, service),
            tickets: wanted_tickets(headers),
        }
    }
}

/// Returns how long the caller of a request waits at most.
pub fn patience(headers: &HeaderMap, service: &ServiceRule) -> Duration {
    let longest = Duration::from_millis(u64::from(service.deadline_millis));
    let own = text(headers, DEADLINE_HEADER)
        .parse()
        .ok()
        .map(Duration::from_millis);
    let grpc = parse_grpc_timeout(text(headers, GRPC_TIMEOUT_HEADER));
    own.or(grpc)
        .map_or(longest, |patience| patience.min(longest))
}

/// Returns the number of tickets that a caller wants with the answer.
pub fn wanted_tickets(headers: &HeaderMap) -> usize {
    let wanted = text(headers, TICKETS_HEADER).parse().unwrap_or(0);
    MAX_TICKETS.min(wanted)
}

/// Returns what the backend server is asked for a request.
pub fn backend_call(head: &Request<()>, body: &[u8]) -> BackendCall {
    let path = head
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    BackendCall {
        method: head.method().to_string(),
        path: path.to_owned(),
        authority: head.uri().host().unwrap_or("backend").to_owned(),
        headers: header_fields(head.headers()),
        body: body.to_vec(),
    }
}

/// Copies headers that concern more than one connection.
pub fn header_fields(headers: &HeaderMap) -> Vec<HeaderField> {
    headers
        .iter()
        .filter(|(name, _)| !is_dropped(name.as_str()))
        .map(|(name, value)| HeaderField {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

fn is_dropped(name: &str) -> bool {
    let names = [
        header::CONNECTION.as_str(),
        header::HOST.as_str(),
        header::TE.as_str(),
        header::TRANSFER_ENCODING.as_str(),
        header::UPGRADE.as_str(),
        "keep-alive",
        "proxy-connection",
        DEADLINE_HEADER,
        TICKETS_HEADER,
    ];
    names.contains(&name)
}

/// Reads the body of a request.
///
/// # Errors
///
/// Returns an error when the body is not whole.
pub async fn read_body<S: BidiStream<Bytes>>(
    headers: &HeaderMap,
    stream: &mut RequestStream<S, Bytes>,
) -> Result<Vec<u8>, BodyError> {
    let mut body = Vec::new();
    while let Some(mut chunk) = stream.recv_data().await.map_err(|_| BodyError::Cancelled)? {
        if body.len() + chunk.remaining() > MAX_BODY {
            return Err(BodyError::TooLong);
        }
        body.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    let announced = headers.get(header::CONTENT_LENGTH);
    let is_right =
        announced.is_none_or(|value| value.as_bytes() == body.len().to_string().as_bytes());
    if !is_right {
        return Err(BodyError::WrongLength);
    }
    Ok(body)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

fn parse_grpc_timeout(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let number: u64 = number.parse().ok()?;
    match unit {
        "H" => Some(Duration::from_secs(number.saturating_mul(3_600))),
        "M" => Some(Duration::from_secs(number.saturating_mul(60))),
        "S" => Some(Duration::from_secs(number)),
        "m" => Some(Duration::from_millis(number)),
        "u" => Some(Duration::from_micros(number)),
        "n" => Some(Duration::from_nanos(number)),
        _ => None,
    }
}
