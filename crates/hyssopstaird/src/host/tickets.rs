//! Tickets, which prevent requests that are not idempotent from running twice.

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

/// The result of claiming the ticket of a request.
#[derive(Debug)]
pub enum TicketResult {
    /// The ticket is claimed and the request may run.
    Claimed(TicketClaim),
    /// The request has already run, with this response.
    Reply(BackendReply),
    /// The request has already run, but its response was not stored.
    DoneWithoutReply,
    /// The request did not run and needs a new ticket.
    NeedsTicket,
    /// It is unknown whether the request ran.
    MayHaveRun,
    /// Another copy of the request is still running.
    StillRunning,
    /// The ticket was used for a different request.
    OtherRequest,
}

/// A claimed ticket, which permits its request to run once. If it is dropped, the outcome
/// is recorded as not run, or as unknown if the request was handed over to a backend
/// server or another host.
#[derive(Debug)]
pub struct TicketClaim {
    state: Arc<HostState>,
    number: TicketNumber,
    is_handed_over: bool,
    is_finished: bool,
}

impl TicketClaim {
    /// Records that the request is handed over to a backend server or another host. Must
    /// be called immediately before the request is sent, after any wait.
    ///
    /// # Errors
    ///
    /// Returns an error if the request must not run, because the ticket has expired or the
    /// deadline has passed.
    pub fn hand_over(&mut self, deadline: MonotonicTime) -> Result<(), HandOverError> {
        let now = self.state.node.clock.now();
        lock(&self.state.ledger).hand_over(self.number, deadline, now)?;
        self.is_handed_over = true;
        Ok(())
    }

    /// Reverts a hand-over after which the request certainly did not run.
    pub fn undo_hand_over(&mut self) {
        lock(&self.state.ledger).undo_hand_over(self.number);
        self.is_handed_over = false;
    }

    /// Records the outcome of the request.
    pub fn finish(mut self, outcome: RunOutcome) {
        self.record(outcome);
    }

    fn record(&mut self, outcome: RunOutcome) {
        self.is_finished = true;
        lock(&self.state.ledger).record_outcome(self.number, outcome);
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

/// Issues `count` tickets and returns them in their text form.
pub fn issue_tickets(state: &HostState, count: usize) -> Vec<String> {
    let now = state.node.clock.now();
    let mut ledger = lock(&state.ledger);
    (0..count)
        .map(|_| state.ticket_key.encode_ticket(&ledger.issue(now)))
        .collect()
}

/// Claims the ticket of a request. If another copy of the request is running, waits for
/// its end until the deadline.
pub async fn claim_ticket(state: &Arc<HostState>, request: &CallerRequest) -> TicketResult {
    let Ok(ticket) = state.ticket_key.decode_ticket(&request.key) else {
        return TicketResult::NeedsTicket;
    };
    let call = &request.call;
    let fingerprint = state
        .ticket_key
        .fingerprint(&call.method, &call.path, &call.body);
    loop {
        let ended = state.ticket_ended.notified();
        let now = state.node.clock.now();
        let decision = lock(&state.ledger).claim(&ticket, fingerprint, now);
        if decision != TicketDecision::Wait {
            return apply_decision(state, request, &ticket, fingerprint, decision).await;
        }
        let timeout = request.deadline.since(now);
        if timeout.is_zero() || tokio::time::timeout(timeout, ended).await.is_err() {
            return TicketResult::StillRunning;
        }
    }
}

/// Converts the ledger's decision to a result. Asks the issuer if another process issued
/// the ticket.
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

/// Returns the time until the deadline of a request.
fn remaining_time(state: &HostState, request: &CallerRequest) -> Duration {
    request.deadline.since(state.node.clock.now())
}

/// Decodes the stored response of a request that has already run.
fn to_ticket_result(reply: Option<&StoredReply>) -> TicketResult {
    match reply.and_then(|bytes| decode_reply(bytes)) {
        Some(reply) => TicketResult::Reply(reply),
        None => TicketResult::DoneWithoutReply,
    }
}
