//! Tickets of the requests that a host serves.

use std::sync::Arc;
use std::time::Duration;

use hyssopstair_requests::ledger::HandOverError;
use hyssopstair_requests::ledger::RunOutcome;
use hyssopstair_requests::ledger::StoredReply;
use hyssopstair_requests::ledger::TicketDecision;
use hyssopstair_requests::ticket::RequestFingerprint;
use hyssopstair_requests::ticket::RequestTicket;
use hyssopstair_requests::ticket::TicketNumber;
use hyssopstair_wire::peer::BackendReply;
use hyssopstair_wire::peer::decode_reply;
use hyssopstair_wire::time::MonotonicTime;

use crate::control::node::lock;
use crate::host::request::CallerRequest;
use crate::host::settle;
use crate::host::state::HostState;

/// What the ticket of a request says about it.
#[derive(Debug)]
pub enum TicketResult {
    /// The request may run.
    Claimed(TicketClaim),
    /// The request ran before, with this answer.
    Reply(BackendReply),
    /// The request ran before; its answer is not kept.
    DoneWithoutReply,
    /// The request needs a fresh ticket.
    NeedsTicket,
    /// Nobody knows whether the request ran.
    MayHaveRun,
    /// Another copy of the request is at work.
    StillRunning,
    /// The ticket was used for another request.
    OtherRequest,
}

/// The right to run one request. When it is dropped, the request has not run,
/// or may have run if it was handed over.
#[derive(Debug)]
pub struct TicketClaim {
    state: Arc<HostState>,
    number: TicketNumber,
    is_handed_over: bool,
    is_finished: bool,
}

impl TicketClaim {
    /// Asks for the hand-over to a backend server, right before it.
    ///
    /// # Errors
    ///
    /// Returns an error when the request must not run.
    pub fn hand_over(&mut self, deadline: MonotonicTime) -> Result<(), HandOverError> {
        let now = self.state.node.clock.now();
        lock(&self.state.ledger).hand_over(self.number, deadline, now)?;
        self.is_handed_over = true;
        Ok(())
    }

    /// Takes back a hand-over that provably sent nothing.
    pub fn take_back(&mut self) {
        lock(&self.state.ledger).take_back(self.number);
        self.is_handed_over = false;
    }

    /// Records how the request ended.
    pub fn finish(mut self, outcome: RunOutcome) {
        self.record(outcome);
    }

    fn record(&mut self, outcome: RunOutcome) {
        self.is_finished = true;
        lock(&self.state.ledger).finish(self.number, outcome);
        self.state.ticket_ended.notify_waiters();
    }
}

impl Drop for TicketClaim {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let outcome = if self.is_handed_over {
            RunOutcome::MayHaveRun
        } else {
            RunOutcome::NotRun
        };
        self.record(outcome);
    }
}

/// Issues tickets in their text form.
pub fn issue_tickets(state: &HostState, count: usize) -> Vec<String> {
    let now = state.node.clock.now();
    let mut ledger = lock(&state.ledger);
    (0..count)
        .map(|_| state.ticket_key.seal(&ledger.issue(now)))
        .collect()
}

/// Claims the ticket of a request, waiting for another copy of it to end.
pub async fn claim_ticket(state: &Arc<HostState>, request: &CallerRequest) -> TicketResult {
    let Ok(ticket) = state.ticket_key.open(&request.key) else {
        return TicketResult::NeedsTicket;
    };
    let call = &request.call;
    let fingerprint = state
        .ticket_key
        .fingerprint(&call.method, &call.path, &call.body);
    loop {
        let ended = state.ticket_ended.notified();
        let now = state.node.clock.now();
        let decision = lock(&state.ledger).present(&ticket, fingerprint, now);
        if decision != TicketDecision::Wait {
            return apply_decision(state, request, &ticket, fingerprint, decision).await;
        }
        let timeout = request.deadline.since(now);
        if timeout.is_zero() || tokio::time::timeout(timeout, ended).await.is_err() {
            return TicketResult::StillRunning;
        }
    }
}

async fn apply_decision(
    state: &Arc<HostState>,
    request: &CallerRequest,
    ticket: &RequestTicket,
    fingerprint: RequestFingerprint,
    decision: TicketDecision,
) -> TicketResult {
    match decision {
        TicketDecision::Run => TicketResult::Claimed(TicketClaim {
            state: state.clone(),
            number: ticket.number,
            is_handed_over: false,
            is_finished: false,
        }),
        TicketDecision::Wait => TicketResult::StillRunning,
        TicketDecision::Replay(reply) => to_ticket_result(reply.as_ref()),
        TicketDecision::NotRun => TicketResult::NeedsTicket,
        TicketDecision::MayHaveRun => TicketResult::MayHaveRun,
        TicketDecision::OtherRequest => TicketResult::OtherRequest,
        TicketDecision::AskIssuer => {
            let timeout = remaining_time(state, request);
            settle::ask_issuer(state, ticket, &request.key, fingerprint, timeout).await
        }
    }
}

fn remaining_time(state: &HostState, request: &CallerRequest) -> Duration {
    request.deadline.since(state.node.clock.now())
}

fn to_ticket_result(reply: Option<&StoredReply>) -> TicketResult {
    match reply.and_then(|bytes| decode_reply(bytes)) {
        Some(reply) => TicketResult::Reply(reply),
        None => TicketResult::DoneWithoutReply,
    }
}
