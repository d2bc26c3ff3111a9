//! Carries one request to the backend server and its answer back.

use std::sync::Arc;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use h3::error::Code;
use h3::quic::BidiStream;
use h3::server::RequestStream;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use hyssopstair_requests::verdict::RequestVerdict;
use hyssopstair_requests::verdict::VERDICT_HEADER;
use hyssopstair_telemetry::requests::BACKEND_SPAN;
use hyssopstair_telemetry::requests::hop;
use hyssopstair_telemetry::requests::inject;
use hyssopstair_telemetry::requests::note_verdict;
use tokio::net::TcpStream;

use crate::control::node::lock;
use crate::host::state::HostState;

/// Longest request body in bytes.
const MAX_BODY: usize = 1 << 20;

/// When a refused caller may ask again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves one request of a caller.
pub async fn serve_request<S>(
    state: &Arc<HostState>,
    request: Request<()>,
    mut stream: RequestStream<S, Bytes>,
) where
    S: BidiStream<Bytes>,
{
    let Some(body) = read_body(&mut stream).await else {
        refuse(&mut stream, StatusCode::PAYLOAD_TOO_LARGE).await;
        return;
    };
    let Some(service) = state.service() else {
        refuse(&mut stream, StatusCode::SERVICE_UNAVAILABLE).await;
        return;
    };
    let is_stream = service.is_stream(request.uri().path());
    let slots = u32::from(service.slots);
    if !is_stream && !lock(&state.admission).try_admit(slots) {
        refuse(&mut stream, StatusCode::SERVICE_UNAVAILABLE).await;
        return;
    }
    run(state, &request, body, &mut stream).await;
    if !is_stream {
        lock(&state.admission).release();
    }
}

async fn run<S: BidiStream<Bytes>>(
    state: &HostState,
    request: &Request<()>,
    body: Bytes,
    stream: &mut RequestStream<S, Bytes>,
) {
    let Ok(connection) = TcpStream::connect(state.backend).await else {
        refuse(stream, StatusCode::SERVICE_UNAVAILABLE).await;
        return;
    };
    match hop(BACKEND_SPAN, send_to_backend(connection, request, body)).await {
        Ok(response) => give_answer(response, stream).await,
        Err(error) => {
            log::warn!(error:% = error; "proxy: the backend server gave no answer");
            let response = verdict_response(StatusCode::BAD_GATEWAY, RequestVerdict::MayHaveRun);
            finish(stream, response).await;
        }
    }
}

async fn send_to_backend(
    connection: TcpStream,
    request: &Request<()>,
    body: Bytes,
) -> Result<Response<Incoming>, hyper::Error> {
    let (mut sender, driver) =
        hyper::client::conn::http1::handshake(TokioIo::new(connection)).await?;
    tokio::spawn(driver);
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut outgoing = Request::new(Full::new(body));
    *outgoing.method_mut() = request.method().clone();
    *outgoing.uri_mut() = path.parse().unwrap_or_default();
    *outgoing.headers_mut() = request.headers().clone();
    let host = request.uri().host().unwrap_or("backend");
    if let Ok(value) = host.parse() {
        outgoing.headers_mut().insert(header::HOST, value);
    }
    inject(outgoing.headers_mut());
    sender.send_request(outgoing).await
}

async fn give_answer<S: BidiStream<Bytes>>(
    response: Response<Incoming>,
    stream: &mut RequestStream<S, Bytes>,
) {
    note_verdict(RequestVerdict::Done.header_value());
    let (mut parts, mut body) = response.into_parts();
    parts.headers.remove(header::CONNECTION);
    parts.headers.remove(header::TRANSFER_ENCODING);
    parts.headers.insert(
        VERDICT_HEADER,
        http::HeaderValue::from_static(RequestVerdict::Done.header_value()),
    );
    if stream
        .send_response(Response::from_parts(parts, ()))
        .await
        .is_err()
    {
        return;
    }
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            // The answer is not whole, and must not look so.
            stream.stop_stream(Code::H3_INTERNAL_ERROR);
            return;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if stream.send_data(data).await.is_err() {
            return;
        }
    }
    let _ = stream.finish().await;
}

async fn read_body<S: BidiStream<Bytes>>(stream: &mut RequestStream<S, Bytes>) -> Option<Bytes> {
    let mut body = BytesMut::new();
    while let Ok(Some(mut chunk)) = stream.recv_data().await {
        body.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
        if body.len() > MAX_BODY {
            return None;
        }
    }
    Some(body.freeze())
}

async fn refuse<S: BidiStream<Bytes>>(stream: &mut RequestStream<S, Bytes>, status: StatusCode) {
    let verdict = RequestVerdict::NotRun {
        retry_after: RETRY_AFTER,
    };
    finish(stream, verdict_response(status, verdict)).await;
}

fn verdict_response(status: StatusCode, verdict: RequestVerdict) -> Response<()> {
    note_verdict(verdict.header_value());
    let mut response = Response::new(());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        VERDICT_HEADER,
        http::HeaderValue::from_static(verdict.header_value()),
    );
    if let RequestVerdict::NotRun { retry_after } = verdict {
        headers.insert(header::RETRY_AFTER, retry_after.as_secs().into());
    }
    response
}

async fn finish<S: BidiStream<Bytes>>(
    stream: &mut RequestStream<S, Bytes>,
    response: Response<()>,
) {
    if stream.send_response(response).await.is_ok() {
        let _ = stream.finish().await;
    }
}
