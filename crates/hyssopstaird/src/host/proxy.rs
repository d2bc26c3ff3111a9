//! Serves the requests of callers.

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
use crate::host::answer::AnswerWriter;
use crate::host::answer::HostAnswer;
use crate::host::backend;
use crate::host::backend::BackendAnswer;
use crate::host::backend::BackendEnd;
use crate::host::backend::CollectedAnswer;
use crate::host::relay;
use crate::host::relay::RelayEnd;
use crate::host::request;
use crate::host::request::BodyError;
use crate::host::request::CallerRequest;
use crate::host::slots;
use crate::host::state::HostState;
use crate::host::tickets;
use crate::host::tickets::TicketClaim;
use crate::host::tickets::TicketResult;

/// What a caller is answered.
enum ServedEnd {
    /// An answer of the backend server, as it comes.
    Live(Box<BackendAnswer>),
    /// A whole answer of a backend server.
    Reply(BackendReply),
    /// An answer of the host.
    Own(HostAnswer),
    /// As before, with one fresh ticket at least.
    NeedsTicket,
    /// Nothing: the caller is gone.
    Nobody,
}

/// Serves one request of a caller.
pub async fn serve_request<S: BidiStream<Bytes>>(
    state: &Arc<HostState>,
    head: Request<()>,
    mut stream: RequestStream<S, Bytes>,
    flow: &quinn::Connection,
) {
    let Some(service) = state.service() else {
        let answer = HostAnswer::not_run(Duration::from_secs(1));
        AnswerWriter::new(&mut stream, Vec::new())
            .give(answer)
            .await;
        return;
    };
    if service.is_stream(head.uri().path()) {
        serve_stream(state, &head, &mut stream, flow).await;
        return;
    }
    let now = state.node.clock.now();
    let patience = request::patience(head.headers(), &service);
    let reading = request::read_body(head.headers(), &mut stream);
    let body = match tokio::time::timeout(patience, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::Cancelled)) => return,
        Ok(Err(error)) => {
            refuse_body(&mut stream, error).await;
            return;
        }
        Err(_) => {
            let answer = HostAnswer::wrong(StatusCode::REQUEST_TIMEOUT, "the request is not whole");
            AnswerWriter::new(&mut stream, Vec::new())
                .give(answer)
                .await;
            return;
        }
    };
    let request = CallerRequest::new(&head, &body, &service, now);
    match request.class {
        RequestClass::Idempotent => {
            // A flow that ends cancels the request: the connection to the
            // backend server closes and the slot is free again.
            tokio::select! {
                () = serve_idempotent(state, &service, &request, &mut stream) => {}
                _ = flow.closed() => {}
            }
        }
        RequestClass::NonIdempotent => {
            let end = serve_once(state, &service, &request, flow).await;
            give(state, &request, end, &mut stream).await;
        }
    }
}

async fn refuse_body<S: BidiStream<Bytes>>(stream: &mut RequestStream<S, Bytes>, error: BodyError) {
    let answer = match error {
        BodyError::TooLong => {
            HostAnswer::wrong(StatusCode::PAYLOAD_TOO_LARGE, "the request is too long")
        }
        BodyError::WrongLength | BodyError::Cancelled => HostAnswer::wrong(
            StatusCode::BAD_REQUEST,
            "the request is not as long as it was announced",
        ),
    };
    AnswerWriter::new(stream, Vec::new()).give(answer).await;
}

/// Serves an answer that lasts for hours: it takes no slot and has no deadline.
async fn serve_stream<S: BidiStream<Bytes>>(
    state: &Arc<HostState>,
    head: &Request<()>,
    stream: &mut RequestStream<S, Bytes>,
    flow: &quinn::Connection,
) {
    if state.is_draining() {
        let answer = HostAnswer::not_run(Duration::ZERO);
        AnswerWriter::new(stream, Vec::new()).give(answer).await;
        return;
    }
    let call = request::backend_call(head, &[]);
    let serving = async {
        let end = backend::run(state, &call, None, None, None).await;
        let writer = AnswerWriter::new(stream, Vec::new());
        match end {
            BackendEnd::Answer(answer) => {
                writer.give_live(answer).await;
            }
            end => writer.give(own_answer(&end)).await,
        }
    };
    tokio::select! {
        () = serving => {}
        _ = flow.closed() => {}
    }
}

async fn give<S: BidiStream<Bytes>>(
    state: &HostState,
    request: &CallerRequest,
    end: ServedEnd,
    stream: &mut RequestStream<S, Bytes>,
) {
    let wanted = wanted_tickets(state, request, &end);
    let writer = AnswerWriter::new(stream, tickets::issue(state, wanted));
    match end {
        ServedEnd::Live(answer) => {
            writer.give_live(answer).await;
        }
        ServedEnd::Reply(reply) => writer.give_reply(reply).await,
        ServedEnd::Own(answer) => writer.give(answer).await,
        ServedEnd::NeedsTicket if wanted == 0 => {
            writer.give(HostAnswer::not_run(Duration::ZERO)).await;
        }
        ServedEnd::NeedsTicket => {
            let status = StatusCode::PRECONDITION_REQUIRED;
            let text = "the request needs the ticket that comes with this answer";
            writer.give(HostAnswer::wrong(status, text)).await;
        }
        ServedEnd::Nobody => {}
    }
}

/// Returns the number of tickets that go with an answer. A refusal has made the
/// ticket of its request void, so that the caller needs another.
fn wanted_tickets(state: &HostState, request: &CallerRequest, end: &ServedEnd) -> usize {
    if state.is_draining() {
        return 0;
    }
    let is_void = match end {
        ServedEnd::NeedsTicket => true,
        ServedEnd::Own(answer) => {
            let is_not_run = matches!(answer.verdict, RequestVerdict::NotRun { .. });
            is_not_run && request.class == RequestClass::NonIdempotent
        }
        ServedEnd::Live(_) | ServedEnd::Reply(_) | ServedEnd::Nobody => false,
    };
    request.tickets.max(usize::from(is_void))
}

async fn serve_idempotent<S: BidiStream<Bytes>>(
    state: &Arc<HostState>,
    service: &ServiceRule,
    request: &CallerRequest,
    stream: &mut RequestStream<S, Bytes>,
) {
    let end = match run_here(state, service, request, None).await {
        BackendEnd::Answer(answer) => {
            lock(&state.budget).deposit();
            ServedEnd::Live(answer)
        }
        end => match relay::try_elsewhere(state, service, request, None).await {
            RelayEnd::Reply(reply) => ServedEnd::Reply(reply),
            RelayEnd::NotRun | RelayEnd::MayHaveRun => ServedEnd::Own(own_answer(&end)),
        },
    };
    let patience = remaining(state, request.deadline);
    let giving = give(state, request, end, stream);
    // An answer that is not whole at the deadline is broken off.
    let _ = tokio::time::timeout(patience.max(MIN_ANSWER_TIME), giving).await;
}

/// Time to send an answer that came at the deadline.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(100);

async fn serve_once(
    state: &Arc<HostState>,
    service: &ServiceRule,
    request: &CallerRequest,
    flow: &quinn::Connection,
) -> ServedEnd {
    let mut claim = match tickets::claim(state, request).await {
        TicketResult::Claimed(claim) => claim,
        result => return ticket_answer(result),
    };
    let waiting = slots::take_slot(state, service, request.class, request.deadline);
    // Until the hand-over a flow that ends cancels the request. Afterwards the
    // request runs to its end, and its outcome is kept for the next copy.
    let slot = if state.is_draining() {
        Err(Duration::ZERO)
    } else {
        tokio::select! {
            slot = waiting => slot,
            _ = flow.closed() => return ServedEnd::Nobody,
        }
    };
    let end = match slot {
        Ok(slot) => {
            let deadline = Some(request.deadline);
            backend::run(state, &request.call, Some(slot), deadline, Some(&mut claim)).await
        }
        Err(retry_after) => BackendEnd::NotRun { retry_after },
    };
    match end {
        BackendEnd::Answer(answer) => {
            lock(&state.budget).deposit();
            keep_answer(state, request, claim, answer).await
        }
        BackendEnd::NotRun { retry_after } => {
            claim.undo_hand_over();
            once_elsewhere(state, service, request, claim, retry_after).await
        }
        end => {
            claim.finish(RunOutcome::MayHaveRun);
            ServedEnd::Own(own_answer(&end))
        }
    }
}

async fn once_elsewhere(
    state: &HostState,
    service: &ServiceRule,
    request: &CallerRequest,
    mut claim: TicketClaim,
    retry_after: Duration,
) -> ServedEnd {
    match relay::try_elsewhere(state, service, request, Some(&mut claim)).await {
        RelayEnd::Reply(reply) => {
            claim.finish(stored(&reply));
            ServedEnd::Reply(reply)
        }
        RelayEnd::NotRun => {
            claim.finish(RunOutcome::NotRun);
            ServedEnd::Own(HostAnswer::not_run(retry_after))
        }
        RelayEnd::MayHaveRun => {
            claim.finish(RunOutcome::MayHaveRun);
            ServedEnd::Own(own_answer(&BackendEnd::MayHaveRun))
        }
    }
}

/// Reads the answer to its end before the caller sees any of it, so that its
/// outcome is known even if the caller is gone.
async fn keep_answer(
    state: &HostState,
    request: &CallerRequest,
    claim: TicketClaim,
    answer: Box<BackendAnswer>,
) -> ServedEnd {
    let patience = remaining(state, request.deadline);
    match tokio::time::timeout(patience, answer.collect()).await {
        Ok(CollectedAnswer::Whole(reply)) => {
            claim.finish(stored(&reply));
            ServedEnd::Reply(reply)
        }
        Ok(CollectedAnswer::Long(answer)) => {
            claim.finish(RunOutcome::Done(None));
            ServedEnd::Live(answer)
        }
        Ok(CollectedAnswer::Cut) => {
            claim.finish(RunOutcome::MayHaveRun);
            ServedEnd::Own(own_answer(&BackendEnd::MayHaveRun))
        }
        Err(_) => {
            claim.finish(RunOutcome::MayHaveRun);
            ServedEnd::Own(own_answer(&BackendEnd::TimedOut))
        }
    }
}

fn stored(reply: &BackendReply) -> RunOutcome {
    RunOutcome::Done(Some(encode_reply(reply).into()))
}

/// Runs a request here, if there is a slot in time.
async fn run_here(
    state: &Arc<HostState>,
    service: &ServiceRule,
    request: &CallerRequest,
    claim: Option<&mut TicketClaim>,
) -> BackendEnd {
    if state.is_draining() {
        return BackendEnd::NotRun {
            retry_after: Duration::ZERO,
        };
    }
    let deadline = request.deadline;
    match slots::take_slot(state, service, request.class, deadline).await {
        Ok(slot) => backend::run(state, &request.call, Some(slot), Some(deadline), claim).await,
        Err(retry_after) => BackendEnd::NotRun { retry_after },
    }
}

fn remaining(state: &HostState, deadline: MonotonicTime) -> Duration {
    deadline.since(state.node.clock.now())
}

fn ticket_answer(result: TicketResult) -> ServedEnd {
    match result {
        TicketResult::Reply(reply) => ServedEnd::Reply(reply),
        TicketResult::NeedsTicket => ServedEnd::NeedsTicket,
        TicketResult::DoneWithoutReply => ServedEnd::Own(HostAnswer::done_without_reply()),
        TicketResult::MayHaveRun | TicketResult::Claimed(_) => {
            ServedEnd::Own(HostAnswer::may_have_run(
                StatusCode::GATEWAY_TIMEOUT,
                "the host that issued the ticket does not know or does not answer",
            ))
        }
        TicketResult::StillRunning => ServedEnd::Own(HostAnswer::may_have_run(
            StatusCode::CONFLICT,
            "another copy of the request is still running",
        )),
        TicketResult::OtherRequest => ServedEnd::Own(HostAnswer::wrong(
            StatusCode::CONFLICT,
            "the ticket was used for another request",
        )),
    }
}

fn own_answer(end: &BackendEnd) -> HostAnswer {
    match end {
        BackendEnd::NotRun { retry_after } => HostAnswer::not_run(*retry_after),
        BackendEnd::Answer(_) | BackendEnd::MayHaveRun => HostAnswer::may_have_run(
            StatusCode::BAD_GATEWAY,
            "the backend server broke off; the request may have run",
        ),
        BackendEnd::TimedOut => HostAnswer::may_have_run(
            StatusCode::GATEWAY_TIMEOUT,
            "no answer came in time; the request may have run",
        ),
    }
}
