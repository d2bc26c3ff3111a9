//! Relaying of requests to another host of the same service.
//!
//! A host relays a request that its own backend server did not run or, if the request is
//! idempotent, did not answer. It relays each request at most once, and only if the retry
//! budget allows it. The other host runs the request if it has a free slot and otherwise
//! refuses it at once.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyssopstair_requests::admission::RequestClass;
use hyssopstair_requests::relay::RelayDecision;
use hyssopstair_rules::service_rule::ServiceRule;
use hyssopstair_telemetry::counts::COUNTERS;
use hyssopstair_telemetry::requests::PEER_SPAN;
use hyssopstair_telemetry::requests::TRACE_HEADER;
use hyssopstair_telemetry::requests::run_in_span;
use hyssopstair_telemetry::requests::serve_relayed_request;
use hyssopstair_telemetry::requests::traceparent_value;
use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::peer::BackendCall;
use hyssopstair_wire::peer::BackendReply;
use hyssopstair_wire::peer::HeaderField;
use hyssopstair_wire::peer::PeerAnswer;
use hyssopstair_wire::peer::PeerRequest;
use hyssopstair_wire::peer::RelayAnswer;
use hyssopstair_wire::peer::RelayOutcome;
use hyssopstair_wire::peer::RelayRequest;

use crate::control::node::lock;
use crate::host::backend;
use crate::host::backend::BackendResult;
use crate::host::backend::CollectedResponse;
use crate::host::request::CallerRequest;
use crate::host::slots;
use crate::host::state::HostState;
use crate::host::tickets::TicketClaim;
use crate::peer::client::PeerError;

/// Time for which no requests are relayed to a peer that did not answer or refused one.
const PEER_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Maximum length of the body of a relayed request, in bytes.
const MAX_RELAY_BODY_BYTES: usize = 256 << 10;

/// The result of relaying a request.
#[derive(Debug)]
pub enum RelayResult {
    /// The request ran and has this response.
    Reply(BackendReply),
    /// The request did not run.
    NotRun,
    /// It is unknown whether the request ran.
    MayHaveRun,
}

/// Relays a request to another host, if one is available and the retry budget allows it.
/// Records the hand-over in `claim` if there is one.
pub async fn relay_request(
    state: &HostState,
    service: &ServiceRule,
    request: &CallerRequest,
    mut claim: Option<&mut TicketClaim>,
) -> RelayResult {
    let Some(peer) = choose_peer(state, service, request) else {
        return RelayResult::NotRun;
    };
    if let Some(claim) = claim.as_deref_mut()
        && claim.hand_over(request.deadline).is_err()
    {
        return RelayResult::NotRun;
    }
    COUNTERS.requests_relayed.increment();
    let answer = run_in_span(PEER_SPAN, send_relay(state, service, request, peer)).await;
    let result = read_relay_answer(state, peer, answer);
    if let (RelayResult::NotRun, Some(claim)) = (&result, claim) {
        claim.undo_hand_over();
    }
    result
}

/// Sends a request to `peer` and waits for the answer until the deadline.
async fn send_relay(
    state: &HostState,
    service: &ServiceRule,
    request: &CallerRequest,
    peer: ProcessId,
) -> Result<PeerAnswer, PeerError> {
    let timeout = request.deadline.since(state.node.clock.now());
    let mut call = request.call.clone();
    set_trace_header(&mut call);
    let peer_request = PeerRequest::Relay(Box::new(RelayRequest {
        sender: state.node.process_id(),
        target: peer,
        number: state.last_relay_number.fetch_add(1, Ordering::Relaxed) + 1,
        service: service.id,
        is_idempotent: request.class == RequestClass::Idempotent,
        remaining_millis: timeout.as_millis() as u32,
        call,
    }));
    state
        .peer_pool
        .send_request(peer.address, &peer_request, timeout)
        .await
}

/// Sets the trace header of a call to the current span, so that the spans of the other host
/// become its children.
fn set_trace_header(call: &mut BackendCall) {
    if let Some(value) = traceparent_value() {
        call.headers.retain(|field| field.name != TRACE_HEADER);
        call.headers.push(HeaderField {
            name: TRACE_HEADER.to_owned(),
            value: value.into_bytes(),
        });
    }
}

/// Returns the value of the trace header of a relayed call.
fn find_trace_header(call: &BackendCall) -> Option<&str> {
    let field = call
        .headers
        .iter()
        .find(|field| field.name == TRACE_HEADER)?;
    std::str::from_utf8(&field.value).ok()
}

/// Chooses the host to which a request is relayed and spends one attempt of the retry
/// budget. Returns `None` if the body is too long, the deadline has passed, no host is
/// available or the budget is exhausted.
fn choose_peer(
    state: &HostState,
    service: &ServiceRule,
    request: &CallerRequest,
) -> Option<ProcessId> {
    let now = state.node.clock.now();
    if request.call.body.len() > MAX_RELAY_BODY_BYTES || request.deadline <= now {
        return None;
    }
    let view = state.node.view();
    let process_id = state.node.process_id();
    let peers: Vec<ProcessId> = view
        .candidates(service.id)
        .iter()
        .map(|candidate| candidate.host)
        .filter(|host| *host != process_id)
        .collect();
    let mut loads = lock(&state.peer_loads);
    loads.retain_peers(&peers);
    let peer = loads.choose_peer(&peers, now)?;
    lock(&state.retry_budget).try_withdraw().then_some(peer)
}

/// Converts the answer of a peer, and records its load and how long to avoid it.
fn read_relay_answer(
    state: &HostState,
    peer: ProcessId,
    answer: Result<PeerAnswer, PeerError>,
) -> RelayResult {
    let now = state.node.clock.now();
    let mut loads = lock(&state.peer_loads);
    let answer = match answer {
        Ok(PeerAnswer::Relayed(answer)) => answer,
        Ok(PeerAnswer::Refused) | Err(PeerError::NotSent) => {
            loads.exclude_peer(peer, PEER_RETRY_DELAY, now);
            return RelayResult::NotRun;
        }
        Ok(_) | Err(PeerError::NoAnswer) => {
            loads.exclude_peer(peer, PEER_RETRY_DELAY, now);
            return RelayResult::MayHaveRun;
        }
    };
    loads.record_load(peer, answer.load_percent, now);
    match answer.outcome {
        RelayOutcome::Done(reply) => RelayResult::Reply(reply),
        RelayOutcome::NotRun { retry_after_millis } => {
            let retry_after = Duration::from_millis(u64::from(retry_after_millis));
            loads.exclude_peer(peer, retry_after, now);
            RelayResult::NotRun
        }
        RelayOutcome::MayHaveRun => RelayResult::MayHaveRun,
    }
}

/// Runs a request that another host has relayed, or refuses it at once.
pub async fn answer_relay_request(state: &Arc<HostState>, request: RelayRequest) -> RelayAnswer {
    let Some(service) = state.service_rule() else {
        return RelayAnswer {
            outcome: not_run_outcome(Duration::ZERO),
            load_percent: u16::MAX,
        };
    };
    let running = run_relayed(state, &service, &request);
    let outcome = serve_relayed_request(find_trace_header(&request.call), running).await;
    RelayAnswer {
        outcome,
        load_percent: slots::load_percent(state, &service),
    }
}

/// Runs a relayed request if it is received for the first time and a slot is free.
async fn run_relayed(
    state: &Arc<HostState>,
    service: &ServiceRule,
    request: &RelayRequest,
) -> RelayOutcome {
    let now = state.node.clock.now();
    let decision =
        lock(&state.relay_log).record_relay(request.sender, request.target, request.number, now);
    match decision {
        RelayDecision::New => {}
        RelayDecision::Repeated => return RelayOutcome::MayHaveRun,
        RelayDecision::Refused => return not_run_outcome(PEER_RETRY_DELAY),
    }
    if request.service != service.id || state.is_draining() {
        return not_run_outcome(PEER_RETRY_DELAY);
    }
    let class = if request.is_idempotent {
        RequestClass::Idempotent
    } else {
        RequestClass::NonIdempotent
    };
    let deadline = now + Duration::from_millis(u64::from(request.remaining_millis));
    let slot = match slots::try_acquire_slot(state, service, class, deadline) {
        Ok(slot) => slot,
        Err(retry_after) => return not_run_outcome(retry_after),
    };
    match backend::run_call(state, &request.call, Some(slot), Some(deadline), None).await {
        BackendResult::Response(response) => match response.collect().await {
            CollectedResponse::Complete(reply) => RelayOutcome::Done(reply),
            CollectedResponse::TooLong(_) | CollectedResponse::Truncated => {
                RelayOutcome::MayHaveRun
            }
        },
        BackendResult::NotRun { retry_after } => not_run_outcome(retry_after),
        BackendResult::MayHaveRun | BackendResult::TimedOut => RelayOutcome::MayHaveRun,
    }
}

fn not_run_outcome(retry_after: Duration) -> RelayOutcome {
    RelayOutcome::NotRun {
        retry_after_millis: retry_after.as_millis() as u32,
    }
}
