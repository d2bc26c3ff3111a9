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
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

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
const MAX_BODY_BYTES: usize = 1 << 20;

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
    pub ticket_count: usize,
}

/// Why the body of a request is not there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The caller broke off.
    Cancelled,
    /// The body is longer than a host takes.
    TooLong,
    /// The body is not as long as the caller announced.
    LengthMismatch,
}

impl CallerRequest {
    /// Puts a request together that arrived at `now`.
    pub fn new(head: &Request<()>, body: &[u8], service: &ServiceRule, now: MonotonicTime) -> Self {
        let method = head.method().as_str();
        let class = if service.is_idempotent(method, head.uri().path()) {
            RequestClass::Idempotent
        } else {
            RequestClass::Once
        };
        let headers = head.headers();
        Self {
            call: build_backend_call(head, body),
            key: header_text(headers, IDEMPOTENCY_KEY_HEADER).to_owned(),
            class,
            deadline: now + request_timeout(headers, service),
            ticket_count: requested_ticket_count(headers),
        }
    }
}

/// Returns how long the caller of a request waits at most.
pub fn request_timeout(headers: &HeaderMap, service: &ServiceRule) -> Duration {
    let max_timeout = Duration::from_millis(u64::from(service.deadline_millis));
    let own_timeout = header_text(headers, DEADLINE_HEADER)
        .parse()
        .ok()
        .map(Duration::from_millis);
    let grpc_timeout = parse_grpc_timeout(header_text(headers, GRPC_TIMEOUT_HEADER));
    own_timeout
        .or(grpc_timeout)
        .map_or(max_timeout, |timeout| timeout.min(max_timeout))
}

/// Returns the number of tickets that a caller wants with the answer.
pub fn requested_ticket_count(headers: &HeaderMap) -> usize {
    let requested = header_text(headers, TICKETS_HEADER).parse().unwrap_or(0);
    MAX_TICKETS.min(requested)
}

/// Returns what the backend server is asked for a request.
pub fn build_backend_call(head: &Request<()>, body: &[u8]) -> BackendCall {
    let path = head
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    BackendCall {
        method: head.method().to_string(),
        path: path.to_owned(),
        authority: head.uri().host().unwrap_or("backend").to_owned(),
        headers: forwarded_header_fields(head.headers()),
        body: body.to_vec(),
    }
}

/// Copies headers that concern more than one connection.
pub fn forwarded_header_fields(headers: &HeaderMap) -> Vec<HeaderField> {
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name.as_str()))
        .map(|(name, value)| HeaderField {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

fn is_hop_by_hop(name: &str) -> bool {
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
        if body.len() + chunk.remaining() > MAX_BODY_BYTES {
            return Err(BodyError::TooLong);
        }
        body.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    let content_length = headers.get(header::CONTENT_LENGTH);
    let has_expected_length =
        content_length.is_none_or(|value| value.as_bytes() == body.len().to_string().as_bytes());
    if !has_expected_length {
        return Err(BodyError::LengthMismatch);
    }
    Ok(body)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
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
