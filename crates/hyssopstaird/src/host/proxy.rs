//! Handling of callers' requests.
//!
//! A request that is not idempotent needs a ticket. Its host claims the ticket, and
//! records whether the request ran, before the caller receives a response. A copy of the
//! request that arrives later with the same ticket therefore gets the recorded outcome and
//! does not run again. Idempotent requests need no ticket and are cancelled when their flow
//! ends. Streams, whose responses last for hours, need neither a slot nor a deadline.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h3::quic::BidiStream;
use h3::server::RequestStream;
use http::Request;
use http::StatusCode;
use hyssopstair_requests::admission::RequestClass;
use hyssopstair_requests::ledger::RunOutcome;
use hyssopstair_requests::verdict::RequestVerdict;
use hyssopstair_rules::service_rule::ServiceRule;
use hyssopstair_wire::peer::BackendReply;
use hyssopstair_wire::peer::encode_reply;
use hyssopstair_wire::time::MonotonicTime;

use crate::control::node::lock;
use crate::host::answer::HostResponse;
use crate::host::answer::ResponseWriter;
use crate::host::backend;
use crate::host::backend::BackendResponse;
use crate::host::backend::BackendResult;
use crate::host::backend::CollectedResponse;
use crate::host::relay;
use crate::host::relay::RelayResult;
use crate::host::request;
use crate::host::request::BodyError;
use crate::host::request::CallerRequest;
use crate::host::slots;
use crate::host::state::HostState;
use crate::host::tickets;
use crate::host::tickets::TicketClaim;
use crate::host::tickets::TicketResult;

/// The result of a request, from which the caller's response is created.
enum ServeResult {
    /// A response of the backend server whose body is still being received.
    Streamed(Box<BackendResponse>),
    /// A complete response of a backend server.
    Reply(BackendReply),
    /// A response that the host generated.
    Host(HostResponse),
    /// The request needs a new ticket, which is sent with the response.
    NeedsTicket,
    /// The caller's flow has ended, so that no response is sent.
    CallerGone,
}

/// Handles a request of a caller. `flow` is the connection on which it was received.
pub async fn serve_request<S: BidiStream<Bytes>>(
    state: &Arc<HostState>,
    head: Request<()>,
    mut stream: RequestStream<S, Bytes>,
    flow: &quinn::Connection,
) {
    let Some(service) = state.service_rule() else {
        let response = HostResponse::not_run(Duration::from_secs(1));
        ResponseWriter::new(&mut stream, Vec::new())
            .send_host_response(response)
            .await;
        return;
    };
    if service.is_stream(head.uri().path()) {
        serve_stream(state, &head, &mut stream, flow).await;
        return;
    }
    let now = state.node.clock.now();
    let timeout = request::request_timeout(head.headers(), &service);
    let read = request::read_body(head.headers(), &mut stream);
    let body = match tokio::time::timeout(timeout, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::Cancelled)) => return,
        Ok(Err(error)) => {
            reject_body(&mut stream, error).await;
            return;
        }
        Err(_) => {
            let response =
                HostResponse::rejected(StatusCode::REQUEST_TIMEOUT, "the request is not whole");
            ResponseWriter::new(&mut stream, Vec::new())
                .send_host_response(response)
                .await;
            return;
        }
    };
    let request = CallerRequest::new(&head, &body, &service, now);
    match request.class {
        RequestClass::Idempotent => {
            // If the flow ends, the request is cancelled: the connection to the backend
            // server is closed and the slot is released.
            tokio::select! {
                () = serve_idempotent(state, &service, &request, &mut stream) => {}
                _ = flow.closed() => {}
            }
        }
        RequestClass::NonIdempotent => {
            let result = serve_once(state, &service, &request, flow).await;
            send_result(state, &request, result, &mut stream).await;
        }
    }
}

/// Responds to a request whose body could not be read.
async fn reject_body<S: BidiStream<Bytes>>(stream: &mut RequestStream<S, Bytes>, error: BodyError) {
    let response = match error {
        BodyError::TooLong => {
            HostResponse::rejected(StatusCode::PAYLOAD_TOO_LARGE, "the request is too long")
        }
        BodyError::LengthMismatch | BodyError::Cancelled => HostResponse::rejected(
            StatusCode::BAD_REQUEST,
            "the request is not as long as it was announced",
        ),
    };
    ResponseWriter::new(stream, Vec::new())
        .send_host_response(response)
        .await;
}

/// Handles a request for a stream, whose response lasts for hours. It acquires no slot and
/// has no deadline.
async fn serve_stream<S: BidiStream<Bytes>>(
    state: &Arc<HostState>,
    head: &Request<()>,
    stream: &mut RequestStream<S, Bytes>,
    flow: &quinn::Connection,
) {
    if state.is_draining() {
        let response = HostResponse::not_run(Duration::ZERO);
        ResponseWriter::new(stream, Vec::new())
            .send_host_response(response)
            .await;
        return;
    }
    let call = request::build_backend_call(head, &[]);
    let serve = async {
        let result = backend::run_call(state, &call, None, None, None).await;
        let writer = ResponseWriter::new(stream, Vec::new());
        match result {
            BackendResult::Response(response) => {
                writer.stream_response(response).await;
            }
            result => writer.send_host_response(to_host_response(&result)).await,
        }
    };
    tokio::select! {
        () = serve => {}
        _ = flow.closed() => {}
    }
}

/// Sends the response for a result, with the tickets that the caller needs.
async fn send_result<S: BidiStream<Bytes>>(
    state: &HostState,
    request: &CallerRequest,
    result: ServeResult,
    stream: &mut RequestStream<S, Bytes>,
) {
    let ticket_count = count_tickets(state, request, &result);
    let writer = ResponseWriter::new(stream, tickets::issue_tickets(state, ticket_count));
    match result {
        ServeResult::Streamed(response) => {
            writer.stream_response(response).await;
        }
        ServeResult::Reply(reply) => writer.send_reply(reply).await,
        ServeResult::Host(response) => writer.send_host_response(response).await,
        ServeResult::NeedsTicket if ticket_count == 0 => {
            writer
                .send_host_response(HostResponse::not_run(Duration::ZERO))
                .await;
        }
        ServeResult::NeedsTicket => {
            let status = StatusCode::PRECONDITION_REQUIRED;
            let text = "the request needs the ticket that comes with this answer";
            writer
                .send_host_response(HostResponse::rejected(status, text))
                .await;
        }
        ServeResult::CallerGone => {}
    }
}

/// Returns the number of tickets that are sent with a response. The ticket of a request that
/// did not run cannot be used again, so the caller needs at least one new ticket to retry.
fn count_tickets(state: &HostState, request: &CallerRequest, result: &ServeResult) -> usize {
    if state.is_draining() {
        return 0;
    }
    let needs_new_ticket = match result {
        ServeResult::NeedsTicket => true,
        ServeResult::Host(response) => {
            let is_not_run = matches!(response.verdict, RequestVerdict::NotRun { .. });
            is_not_run && request.class == RequestClass::NonIdempotent
        }
        ServeResult::Streamed(_) | ServeResult::Reply(_) | ServeResult::CallerGone => false,
    };
    request.ticket_count.max(usize::from(needs_new_ticket))
}

/// Handles an idempotent request, which is relayed to another host if it gets no response on
/// this one.
async fn serve_idempotent<S: BidiStream<Bytes>>(
    state: &Arc<HostState>,
    service: &ServiceRule,
    request: &CallerRequest,
    stream: &mut RequestStream<S, Bytes>,
) {
    let result = match run_locally(state, service, request, None).await {
        BackendResult::Response(response) => {
            lock(&state.retry_budget).deposit();
            ServeResult::Streamed(response)
        }
        result => match relay::relay_request(state, service, request, None).await {
            RelayResult::Reply(reply) => ServeResult::Reply(reply),
            RelayResult::NotRun | RelayResult::MayHaveRun => {
                ServeResult::Host(to_host_response(&result))
            }
        },
    };
    let timeout = remaining_time(state, request.deadline);
    let send = send_result(state, request, result, stream);
    // A response that is not complete at the deadline is cut off.
    let _ = tokio::time::timeout(timeout.max(MIN_SEND_TIME), send).await;
}

/// Minimum time to send a response that was received shortly before the deadline.
const MIN_SEND_TIME: Duration = Duration::from_millis(100);

/// Handles a request that must not run twice.
async fn serve_once(
    state: &Arc<HostState>,
    service: &ServiceRule,
    request: &CallerRequest,
    flow: &quinn::Connection,
) -> ServeResult {
    let mut claim = match tickets::claim_ticket(state, request).await {
        TicketResult::Claimed(claim) => claim,
        result => return to_serve_result(result),
    };
    let acquire = slots::acquire_slot(state, service, request.class, request.deadline);
    // While the request waits for a slot, the end of the flow cancels it. After that it
    // runs to its end, and its outcome is stored for a later copy.
    let slot = if state.is_draining() {
        Err(Duration::ZERO)
    } else {
        tokio::select! {
            slot = acquire => slot,
            _ = flow.closed() => return ServeResult::CallerGone,
        }
    };
    let result = match slot {
        Ok(slot) => {
            let deadline = Some(request.deadline);
            backend::run_call(state, &request.call, Some(slot), deadline, Some(&mut claim)).await
        }
        Err(retry_after) => BackendResult::NotRun { retry_after },
    };
    match result {
        BackendResult::Response(response) => {
            lock(&state.retry_budget).deposit();
            store_response(state, request, claim, response).await
        }
        BackendResult::NotRun { retry_after } => {
            claim.undo_hand_over();
            relay_once(state, service, request, claim, retry_after).await
        }
        result => {
            claim.finish(RunOutcome::MayHaveRun);
            ServeResult::Host(to_host_response(&result))
        }
    }
}

/// Relays a request that must not run twice and records its outcome. `retry_after` is sent
/// to the caller if the request did not run on the other host either.
async fn relay_once(
    state: &HostState,
    service: &ServiceRule,
    request: &CallerRequest,
    mut claim: TicketClaim,
    retry_after: Duration,
) -> ServeResult {
    match relay::relay_request(state, service, request, Some(&mut claim)).await {
        RelayResult::Reply(reply) => {
            claim.finish(stored_outcome(&reply));
            ServeResult::Reply(reply)
        }
        RelayResult::NotRun => {
            claim.finish(RunOutcome::NotRun);
            ServeResult::Host(HostResponse::not_run(retry_after))
        }
        RelayResult::MayHaveRun => {
            claim.finish(RunOutcome::MayHaveRun);
            ServeResult::Host(to_host_response(&BackendResult::MayHaveRun))
        }
    }
}

/// Reads the complete response before any part of it is sent to the caller, and records the
/// outcome, which is then known even if the caller has disconnected. A response that is too
/// long is recorded as done without its content.
async fn store_response(
    state: &HostState,
    request: &CallerRequest,
    claim: TicketClaim,
    response: Box<BackendResponse>,
) -> ServeResult {
    let timeout = remaining_time(state, request.deadline);
    match tokio::time::timeout(timeout, response.collect()).await {
        Ok(CollectedResponse::Complete(reply)) => {
            claim.finish(stored_outcome(&reply));
            ServeResult::Reply(reply)
        }
        Ok(CollectedResponse::TooLong(response)) => {
            claim.finish(RunOutcome::Done(None));
            ServeResult::Streamed(response)
        }
        Ok(CollectedResponse::Truncated) => {
            claim.finish(RunOutcome::MayHaveRun);
            ServeResult::Host(to_host_response(&BackendResult::MayHaveRun))
        }
        Err(_) => {
            claim.finish(RunOutcome::MayHaveRun);
            ServeResult::Host(to_host_response(&BackendResult::TimedOut))
        }
    }
}

/// Returns the outcome of a request with a complete response.
fn stored_outcome(reply: &BackendReply) -> RunOutcome {
    RunOutcome::Done(Some(encode_reply(reply).into()))
}

/// Runs a request on this host if it acquires a slot in time.
async fn run_locally(
    state: &Arc<HostState>,
    service: &ServiceRule,
    request: &CallerRequest,
    claim: Option<&mut TicketClaim>,
) -> BackendResult {
    if state.is_draining() {
        return BackendResult::NotRun {
            retry_after: Duration::ZERO,
        };
    }
    let deadline = request.deadline;
    match slots::acquire_slot(state, service, request.class, deadline).await {
        Ok(slot) => {
            backend::run_call(state, &request.call, Some(slot), Some(deadline), claim).await
        }
        Err(retry_after) => BackendResult::NotRun { retry_after },
    }
}

/// Returns the time until the deadline.
fn remaining_time(state: &HostState, deadline: MonotonicTime) -> Duration {
    deadline.since(state.node.clock.now())
}

/// Returns the result of a request whose ticket could not be claimed.
fn to_serve_result(result: TicketResult) -> ServeResult {
    match result {
        TicketResult::Reply(reply) => ServeResult::Reply(reply),
        TicketResult::NeedsTicket => ServeResult::NeedsTicket,
        TicketResult::DoneWithoutReply => ServeResult::Host(HostResponse::done_without_reply()),
        TicketResult::MayHaveRun | TicketResult::Claimed(_) => {
            ServeResult::Host(HostResponse::may_have_run(
                StatusCode::GATEWAY_TIMEOUT,
                "the host that issued the ticket does not know or does not answer",
            ))
        }
        TicketResult::StillRunning => ServeResult::Host(HostResponse::may_have_run(
            StatusCode::CONFLICT,
            "another copy of the request is still running",
        )),
        TicketResult::OtherRequest => ServeResult::Host(HostResponse::rejected(
            StatusCode::CONFLICT,
            "the ticket was used for another request",
        )),
    }
}

/// Returns the host's own response to a request that the backend server did not answer.
fn to_host_response(result: &BackendResult) -> HostResponse {
    match result {
        BackendResult::NotRun { retry_after } => HostResponse::not_run(*retry_after),
        BackendResult::Response(_) | BackendResult::MayHaveRun => HostResponse::may_have_run(
            StatusCode::BAD_GATEWAY,
            "the backend server broke off; the request may have run",
        ),
        BackendResult::TimedOut => HostResponse::may_have_run(
            StatusCode::GATEWAY_TIMEOUT,
            "no answer came in time; the request may have run",
        ),
    }
}
