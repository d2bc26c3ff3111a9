//! Requests that are tried at another host of the service.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyssopstair_requests::admission::RequestClass;
use hyssopstair_requests::relay::RelayDecision;
use hyssopstair_rules::service_rule::ServiceRule;
use hyssopstair_telemetry::counts::COUNTS;
use hyssopstair_telemetry::requests::PEER_SPAN;
use hyssopstair_telemetry::requests::TRACE_HEADER;
use hyssopstair_telemetry::requests::hop;
use hyssopstair_telemetry::requests::serve_relayed;
use hyssopstair_telemetry::requests::trace_header;
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
use crate::host::backend::BackendEnd;
use crate::host::backend::CollectedAnswer;
use crate::host::request::CallerRequest;
use crate::host::slots;
use crate::host::state::HostState;
use crate::host::tickets::TicketClaim;
use crate::peer::client::PeerError;

/// How long a peer that does not answer is left alone.
const SILENCE: Duration = Duration::from_secs(2);

/// Longest body that is relayed, in bytes.
const MAX_RELAY_BODY: usize = 256 << 10;

/// What came of a try at another host.
#[derive(Debug)]
pub enum RelayEnd {
    /// The request ran, with this answer.
    Reply(BackendReply),
    /// It did not run.
    NotRun,
    /// Nobody knows whether it ran.
    MayHaveRun,
}

/// Tries a request that did not run here at one other host, if the budget of
/// the service allows it.
pub async fn try_elsewhere(
    state: &HostState,
    service: &ServiceRule,
    request: &CallerRequest,
    mut claim: Option<&mut TicketClaim>,
) -> RelayEnd {
    let Some(peer) = choose(state, service, request) else {
        return RelayEnd::NotRun;
    };
    if let Some(claim) = claim.as_deref_mut()
        && claim.hand_over(request.deadline).is_err()
    {
        return RelayEnd::NotRun;
    }
    COUNTS.requests_relayed.increment();
    let answer = hop(PEER_SPAN, ask_peer(state, service, request, peer)).await;
    let end = read_answer(state, peer, answer);
    if let (RelayEnd::NotRun, Some(claim)) = (&end, claim) {
        claim.take_back();
    }
    end
}

async fn ask_peer(
    state: &HostState,
    service: &ServiceRule,
    request: &CallerRequest,
    peer: ProcessId,
) -> Result<PeerAnswer, PeerError> {
    let patience = request.deadline.since(state.node.clock.now());
    let mut call = request.call.clone();
    name_trace(&mut call);
    let relay = PeerRequest::Relay(Box::new(RelayRequest {
        sender: state.node.process_id(),
        target: peer,
        number: state.relay_number.fetch_add(1, Ordering::Relaxed) + 1,
        service: service.id,
        is_idempotent: request.class == RequestClass::Idempotent,
        remaining_millis: patience.as_millis() as u32,
        call,
    }));
    state
        .peers
        .send_request(peer.address, &relay, patience)
        .await
}

/// Puts the present span into a call that another host makes.
fn name_trace(call: &mut BackendCall) {
    if let Some(value) = trace_header() {
        call.headers.retain(|field| field.name != TRACE_HEADER);
        call.headers.push(HeaderField {
            name: TRACE_HEADER.to_owned(),
            value: value.into_bytes(),
        });
    }
}

/// Returns the span that a call of another host belongs to.
fn named_trace(call: &BackendCall) -> Option<&str> {
    let field = call
        .headers
        .iter()
        .find(|field| field.name == TRACE_HEADER)?;
    std::str::from_utf8(&field.value).ok()
}

fn choose(state: &HostState, service: &ServiceRule, request: &CallerRequest) -> Option<ProcessId> {
    let now = state.node.clock.now();
    if request.call.body.len() > MAX_RELAY_BODY || request.deadline <= now {
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
    loads.keep_only(&peers);
    let peer = loads.choose(&peers, now)?;
    lock(&state.budget).try_spend().then_some(peer)
}

fn read_answer(
    state: &HostState,
    peer: ProcessId,
    answer: Result<PeerAnswer, PeerError>,
) -> RelayEnd {
    let now = state.node.clock.now();
    let mut loads = lock(&state.peer_loads);
    let answer = match answer {
        Ok(PeerAnswer::Relayed(answer)) => answer,
        Ok(PeerAnswer::Refused) | Err(PeerError::NotSent) => {
            loads.avoid(peer, SILENCE, now);
            return RelayEnd::NotRun;
        }
        Ok(_) | Err(PeerError::NoAnswer) => {
            loads.avoid(peer, SILENCE, now);
            return RelayEnd::MayHaveRun;
        }
    };
    loads.hear(peer, answer.load_percent, now);
    match answer.outcome {
        RelayOutcome::Done(reply) => RelayEnd::Reply(reply),
        RelayOutcome::NotRun { retry_after_millis } => {
            let pause = Duration::from_millis(u64::from(retry_after_millis));
            loads.avoid(peer, pause, now);
            RelayEnd::NotRun
        }
        RelayOutcome::MayHaveRun => RelayEnd::MayHaveRun,
    }
}

/// Runs a request that another host has handed over, or refuses it at once.
pub async fn answer(state: &Arc<HostState>, request: RelayRequest) -> RelayAnswer {
    let Some(service) = state.service() else {
        return RelayAnswer {
            outcome: not_run(Duration::ZERO),
            load_percent: u16::MAX,
        };
    };
    let running = run(state, &service, &request);
    let outcome = serve_relayed(named_trace(&request.call), running).await;
    RelayAnswer {
        outcome,
        load_percent: slots::load_percent(state, &service),
    }
}

async fn run(
    state: &Arc<HostState>,
    service: &ServiceRule,
    request: &RelayRequest,
) -> RelayOutcome {
    let now = state.node.clock.now();
    let seen = lock(&state.relays).receive(request.sender, request.target, request.number, now);
    match seen {
        RelayDecision::Fresh => {}
        RelayDecision::Repeated => return RelayOutcome::MayHaveRun,
        RelayDecision::Refused => return not_run(SILENCE),
    }
    if request.service != service.id || state.is_draining() {
        return not_run(SILENCE);
    }
    let class = if request.is_idempotent {
        RequestClass::Idempotent
    } else {
        RequestClass::Once
    };
    let deadline = now + Duration::from_millis(u64::from(request.remaining_millis));
    let slot = match slots::take_free_slot(state, service, class, deadline) {
        Ok(slot) => slot,
        Err(retry_after) => return not_run(retry_after),
    };
    match backend::run(state, &request.call, Some(slot), Some(deadline), None).await {
        BackendEnd::Answer(answer) => match answer.collect().await {
            CollectedAnswer::Whole(reply) => RelayOutcome::Done(reply),
            CollectedAnswer::Long(_) | CollectedAnswer::Cut => RelayOutcome::MayHaveRun,
        },
        BackendEnd::NotRun { retry_after } => not_run(retry_after),
        BackendEnd::MayHaveRun | BackendEnd::TimedOut => RelayOutcome::MayHaveRun,
    }
}

fn not_run(retry_after: Duration) -> RelayOutcome {
    RelayOutcome::NotRun {
        retry_after_millis: retry_after.as_millis() as u32,
    }
}
