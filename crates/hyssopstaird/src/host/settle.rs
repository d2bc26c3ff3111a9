//! Settling of tickets that callers use at a host other than the issuer.
//!
//! Only the issuer of a ticket knows whether the ticket's request ran, so other hosts ask
//! it.

use std::sync::Arc;
use std::time::Duration;

use hyssopstair_requests::ledger::SettleDecision;
use hyssopstair_requests::ticket::RequestFingerprint;
use hyssopstair_requests::ticket::RequestTicket;
use hyssopstair_wire::peer::PeerAnswer;
use hyssopstair_wire::peer::PeerRequest;
use hyssopstair_wire::peer::SettleAnswer;
use hyssopstair_wire::peer::SettleRequest;
use hyssopstair_wire::peer::decode_reply;

use crate::control::node::lock;
use crate::host::state::HostState;
use crate::host::tickets::TicketResult;

/// Maximum time to wait for the answer of an issuer.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks the issuer of a ticket for the outcome of its request, for at most `remaining`.
/// Returns [`TicketResult::MayHaveRun`] if the issuer does not answer. `text` is the
/// ticket in its text form.
pub async fn ask_issuer(
    state: &HostState,
    ticket: &RequestTicket,
    text: &str,
    fingerprint: RequestFingerprint,
    remaining: Duration,
) -> TicketResult {
    // An issuer that the roster considers gone may only have been paused, so it is asked
    // as well. It answers only for tickets of its own incarnation.
    let request = PeerRequest::Settle(SettleRequest {
        ticket: text.to_owned(),
        fingerprint: fingerprint.0,
    });
    let timeout = SETTLE_TIMEOUT.min(remaining);
    let answer = state
        .peer_pool
        .send_request(ticket.issuer.address, &request, timeout)
        .await;
    match answer {
        Ok(PeerAnswer::Settled(answer)) => to_ticket_result(answer),
        Ok(_) | Err(_) => {
            log::warn!(
                "proxy: the issuer {} of a ticket did not settle it",
                ticket.issuer
            );
            TicketResult::MayHaveRun
        }
    }
}

/// Converts the answer of an issuer.
fn to_ticket_result(answer: SettleAnswer) -> TicketResult {
    match answer {
        SettleAnswer::Done(reply) => match reply.and_then(|bytes| decode_reply(&bytes)) {
            Some(reply) => TicketResult::Reply(reply),
            None => TicketResult::DoneWithoutReply,
        },
        SettleAnswer::Running => TicketResult::StillRunning,
        SettleAnswer::NotRun => TicketResult::NeedsTicket,
        SettleAnswer::MayHaveRun => TicketResult::MayHaveRun,
        SettleAnswer::OtherRequest => TicketResult::OtherRequest,
    }
}

/// Returns the outcome of the request with a ticket that this host has issued. An unused
/// ticket is revoked.
pub fn answer_settle_request(state: &Arc<HostState>, request: &SettleRequest) -> SettleAnswer {
    let Ok(ticket) = state.ticket_key.decode_ticket(&request.ticket) else {
        return SettleAnswer::MayHaveRun;
    };
    let fingerprint = RequestFingerprint(request.fingerprint);
    let now = state.node.clock.now();
    let decision = lock(&state.ledger).settle(&ticket, fingerprint, now);
    match decision {
        SettleDecision::Done(reply) => SettleAnswer::Done(reply.map(|bytes| bytes.to_vec())),
        SettleDecision::Running => SettleAnswer::Running,
        SettleDecision::NotRun => SettleAnswer::NotRun,
        SettleDecision::MayHaveRun => SettleAnswer::MayHaveRun,
        SettleDecision::OtherRequest => SettleAnswer::OtherRequest,
    }
}
