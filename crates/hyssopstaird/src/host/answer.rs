//! Responses to callers, each with a verdict that says whether the request ran.

use std::time::Duration;

use bytes::Bytes;
use h3::error::Code;
use h3::quic::BidiStream;
use h3::server::RequestStream;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyssopstair_requests::verdict::RequestVerdict;
use hyssopstair_requests::verdict::TICKET_HEADER;
use hyssopstair_requests::verdict::VERDICT_HEADER;
use hyssopstair_telemetry::requests::record_verdict;
use hyssopstair_wire::peer::BackendReply;
use hyssopstair_wire::peer::HeaderField;

use crate::host::backend::BackendResponse;

/// A response that the host generates itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostResponse {
    /// The HTTP status code.
    pub status: StatusCode,
    /// Whether the request ran, as far as the host knows.
    pub verdict: RequestVerdict,
    /// A sentence for the body that explains the status.
    pub text: &'static str,
}

impl HostResponse {
    /// Returns a response with status 503 for a request that did not run and may be retried
    /// after `retry_after`.
    pub fn not_run(retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            verdict: RequestVerdict::NotRun { retry_after },
            text: "the request was not run; come back later",
        }
    }

    /// Returns a response for an invalid request, which did not run.
    pub fn rejected(status: StatusCode, text: &'static str) -> Self {
        let verdict = RequestVerdict::NotRun {
            retry_after: Duration::ZERO,
        };
        Self {
            status,
            verdict,
            text,
        }
    }

    /// Returns a response for a request of which it is unknown whether it ran.
    pub fn may_have_run(status: StatusCode, text: &'static str) -> Self {
        Self {
            status,
            verdict: RequestVerdict::MayHaveRun,
            text,
        }
    }

    /// Returns a response for a request that has already run and whose original response
    /// was not stored.
    pub fn done_without_reply() -> Self {
        Self {
            status: StatusCode::CONFLICT,
            verdict: RequestVerdict::Done,
            text: "the request ran before; its answer is not kept",
        }
    }
}

/// Writes the response to a request, with the tickets that are issued to its caller.
pub struct ResponseWriter<'a, S: BidiStream<Bytes>> {
    stream: &'a mut RequestStream<S, Bytes>,
    tickets: Vec<String>,
}

impl<'a, S: BidiStream<Bytes>> ResponseWriter<'a, S> {
    /// Creates a writer for the stream of a request. `tickets` are sent in headers of the
    /// response.
    pub fn new(stream: &'a mut RequestStream<S, Bytes>, tickets: Vec<String>) -> Self {
        Self { stream, tickets }
    }

    /// Sends a response that the host generated.
    pub async fn send_host_response(self, host_response: HostResponse) {
        let body = format!(
            "{}: {}\n",
            host_response.verdict.header_value(),
            host_response.text
        );
        let mut response = Response::new(());
        *response.status_mut() = host_response.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_LENGTH, body.len().into());
        if let RequestVerdict::NotRun { retry_after } = host_response.verdict {
            headers.insert(header::RETRY_AFTER, ceil_seconds(retry_after).into());
        }
        self.send_complete(response, host_response.verdict, body.into())
            .await;
    }

    /// Sends a complete response of a backend server.
    pub async fn send_reply(self, reply: BackendReply) {
        let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let response = build_response(status, &reply.headers);
        let verdict = reply_verdict(status);
        self.send_complete(response, verdict, reply.body.into())
            .await;
    }

    /// Sends a response of the backend server while its body is received, and returns
    /// whether the complete response was sent.
    pub async fn stream_response(mut self, mut backend_response: Box<BackendResponse>) -> bool {
        let mut response = build_response(
            backend_response.head.status,
            &backend_response.header_fields(),
        );
        self.add_headers(&mut response, reply_verdict(backend_response.head.status));
        if self.stream.send_response(response).await.is_err() {
            return false;
        }
        let has_detectable_end = backend_response.has_detectable_end();
        let buffered = std::mem::take(&mut backend_response.buffered);
        if !buffered.is_empty() && self.stream.send_data(buffered.into()).await.is_err() {
            return false;
        }
        while let Some(frame) = backend_response.body.frame().await {
            let Ok(frame) = frame else {
                self.reset_stream();
                return false;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if self.stream.send_data(data).await.is_err() {
                return false;
            }
        }
        if !has_detectable_end {
            self.reset_stream();
            return false;
        }
        if let Some(slot) = backend_response.slot {
            slot.complete();
        }
        let _ = self.stream.finish().await;
        true
    }

    /// Resets the stream, so that the caller does not mistake a truncated response for a
    /// complete one.
    fn reset_stream(&mut self) {
        self.stream.stop_stream(Code::H3_INTERNAL_ERROR);
    }

    async fn send_complete(self, mut response: Response<()>, verdict: RequestVerdict, body: Bytes) {
        self.add_headers(&mut response, verdict);
        if self.stream.send_response(response).await.is_err() {
            return;
        }
        if !body.is_empty() && self.stream.send_data(body).await.is_err() {
            return;
        }
        let _ = self.stream.finish().await;
    }

    fn add_headers(&self, response: &mut Response<()>, verdict: RequestVerdict) {
        record_verdict(verdict.header_value());
        let headers = response.headers_mut();
        let value = HeaderValue::from_static(verdict.header_value());
        headers.insert(VERDICT_HEADER, value);
        for ticket in &self.tickets {
            if let Ok(value) = HeaderValue::from_str(ticket) {
                headers.append(TICKET_HEADER, value);
            }
        }
    }
}

/// Returns the verdict for a response of the backend server. With a gateway error it is
/// unknown whether the request ran behind the backend server; any other status means that
/// the request is done.
fn reply_verdict(status: StatusCode) -> RequestVerdict {
    match status {
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT => {
            RequestVerdict::MayHaveRun
        }
        _ => RequestVerdict::Done,
    }
}

/// Returns a response without a body. Invalid header fields are left out.
fn build_response(status: StatusCode, fields: &[HeaderField]) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// Returns the duration in seconds, rounded up.
fn ceil_seconds(duration: Duration) -> u64 {
    duration.as_millis().div_ceil(1_000) as u64
}
