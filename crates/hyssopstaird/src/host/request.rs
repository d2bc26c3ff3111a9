//! Parsing of callers' requests.

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

/// Request header that contains a ticket.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Request header with the time that the caller waits for the response, in milliseconds.
/// Requests to backend servers contain the remaining time in the same header.
pub const DEADLINE_HEADER: &str = "hyssopstair-deadline";

/// Request header with the time that the caller waits for the response, in the format of
/// gRPC.
const GRPC_TIMEOUT_HEADER: &str = "grpc-timeout";

/// Request header with the number of tickets that the caller requests.
const TICKETS_HEADER: &str = "hyssopstair-tickets";

/// Maximum number of tickets that one response contains.
const MAX_TICKETS: usize = 32;

/// Maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// A completely received request of a caller.
#[derive(Debug)]
pub struct CallerRequest {
    /// The request to the backend server.
    pub call: BackendCall,
    /// The value of the header `idempotency-key`, or an empty string if it is missing.
    pub key: String,
    /// Whether the request may run more than once.
    pub class: RequestClass,
    /// The time at which the caller stops waiting for the response.
    pub deadline: MonotonicTime,
    /// Number of tickets that the caller requests with the response.
    pub ticket_count: usize,
}

/// The reason why the body of a request could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The caller cancelled the request.
    Cancelled,
    /// The body is longer than `MAX_BODY_BYTES`.
    TooLong,
    /// The length of the body differs from the header `content-length`.
    LengthMismatch,
}

impl CallerRequest {
    /// Creates a request from its parts. `now` is the time at which its head was received,
    /// from which the deadline is computed.
    pub fn new(head: &Request<()>, body: &[u8], service: &ServiceRule, now: MonotonicTime) -> Self {
        let method = head.method().as_str();
        let class = if service.is_idempotent(method, head.uri().path()) {
            RequestClass::Idempotent
        } else {
            RequestClass::NonIdempotent
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

/// Returns the time that the caller waits for the response, limited by the deadline of the
/// service.
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

/// Returns the number of tickets that a caller requests, at most `MAX_TICKETS`.
pub fn requested_ticket_count(headers: &HeaderMap) -> usize {
    let requested = header_text(headers, TICKETS_HEADER).parse().unwrap_or(0);
    MAX_TICKETS.min(requested)
}

/// Returns the request to the backend server for a caller's request.
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

/// Returns the header fields of a request or response that are forwarded.
pub fn forwarded_header_fields(headers: &HeaderMap) -> Vec<HeaderField> {
    headers
        .iter()
        .filter(|(name, _)| !is_stripped(name.as_str()))
        .map(|(name, value)| HeaderField {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Returns whether the host strips a header field, because the field applies only to a
/// single connection, is addressed to the host itself, or is set anew by the host.
fn is_stripped(name: &str) -> bool {
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

/// Reads the complete body of a request.
///
/// # Errors
///
/// Returns an error if the caller cancels the request, or if the body is too long or does
/// not have the announced length.
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

/// Returns the value of a header, or an empty string if it is missing or not ASCII text.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

/// Parses a gRPC timeout, a number followed by a unit, such as `250m` for 250
/// milliseconds.
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
