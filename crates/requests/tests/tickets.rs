//! Tests of the text form of tickets and of the ledger of their issuer.

use std::net::SocketAddrV4;
use std::time::Duration;

use expect_test::expect;
use hyssopstair_requests::ledger::HandOverError;
use hyssopstair_requests::ledger::LedgerLimits;
use hyssopstair_requests::ledger::RunOutcome;
use hyssopstair_requests::ledger::SettleDecision;
use hyssopstair_requests::ledger::TICKET_LIFETIME;
use hyssopstair_requests::ledger::TicketDecision;
use hyssopstair_requests::ledger::TicketLedger;
use hyssopstair_requests::ticket::RequestFingerprint;
use hyssopstair_requests::ticket::TicketError;
use hyssopstair_requests::ticket::TicketKey;
use hyssopstair_requests::ticket::TicketNumber;
use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::time::MonotonicTime;
use hyssopstair_wire::token::FleetSecret;

const START: MonotonicTime = MonotonicTime::from_millis(1_000);
const LATER: MonotonicTime = MonotonicTime::from_millis(5_000);
const FINGERPRINT: RequestFingerprint = RequestFingerprint(1);

fn process_id(incarnation: u32) -> ProcessId {
    ProcessId {
        address: SocketAddrV4::new([127, 1, 2, 1].into(), 7000),
        incarnation: HostIncarnation(incarnation),
    }
}

fn ledger() -> TicketLedger {
    let limits = LedgerLimits {
        max_records: 4,
        max_reply_bytes: 64,
    };
    TicketLedger::new(process_id(7), limits, TicketNumber(100))
}

#[test]
fn ticket_round_trips_through_its_text_form() {
    let key = TicketKey::derive(&FleetSecret::new([3; 16]));
    let ticket = ledger().issue(START);
    let text = key.encode_ticket(&ticket);
    expect!["hyt1-7f0102011b580000000700000000000000640000000007365040e3fb27d9f35fe49d"]
        .assert_eq(&text);
    assert_eq!(key.decode_ticket(&text), Ok(ticket));
    assert_eq!(key.decode_ticket("8f2a"), Err(TicketError::Malformed));
    let forged = text.replace("0064", "0065");
    assert_eq!(key.decode_ticket(&forged), Err(TicketError::WrongTag));
}

#[test]
fn second_copy_waits_and_receives_the_stored_reply() {
    let mut ledger = ledger();
    let ticket = ledger.issue(START);
    assert_eq!(
        ledger.claim(&ticket, FINGERPRINT, START),
        TicketDecision::Run
    );
    assert_eq!(
        ledger.claim(&ticket, FINGERPRINT, START),
        TicketDecision::Wait
    );
    assert_eq!(ledger.hand_over(ticket.number, LATER, START), Ok(()));
    let reply: std::sync::Arc<[u8]> = b"enrolled".as_slice().into();
    ledger.record_outcome(ticket.number, RunOutcome::Done(Some(reply.clone())));
    assert_eq!(
        ledger.claim(&ticket, FINGERPRINT, LATER),
        TicketDecision::Replay(Some(reply.clone()))
    );
    assert_eq!(
        ledger.settle(&ticket, FINGERPRINT, LATER),
        SettleDecision::Done(Some(reply))
    );
    assert_eq!(
        ledger.claim(&ticket, RequestFingerprint(2), LATER),
        TicketDecision::OtherRequest
    );
}

#[test]
fn settled_ticket_cannot_be_claimed() {
    let mut ledger = ledger();
    let ticket = ledger.issue(START);
    assert_eq!(
        ledger.settle(&ticket, FINGERPRINT, START),
        SettleDecision::NotRun
    );
    assert_eq!(
        ledger.claim(&ticket, FINGERPRINT, START),
        TicketDecision::NotRun
    );
}

#[test]
fn suspended_process_does_not_hand_over_an_expired_ticket() {
    let mut ledger = ledger();
    let ticket = ledger.issue(START);
    let deadline = LATER + TICKET_LIFETIME * 2;
    ledger.claim(&ticket, FINGERPRINT, START);
    assert_eq!(
        ledger.hand_over(ticket.number, deadline, START + TICKET_LIFETIME),
        Err(HandOverError::Expired)
    );
    assert_eq!(
        ledger.claim(&ticket, FINGERPRINT, START),
        TicketDecision::NotRun
    );
}

#[test]
fn request_past_its_deadline_is_not_handed_over() {
    let mut ledger = ledger();
    let ticket = ledger.issue(START);
    ledger.claim(&ticket, FINGERPRINT, START);
    assert_eq!(
        ledger.hand_over(ticket.number, LATER, LATER),
        Err(HandOverError::DeadlinePassed)
    );
}

#[test]
fn ticket_of_an_earlier_incarnation_may_have_run() {
    let mut old_ledger = ledger();
    let ticket = old_ledger.issue(START);
    let mut new_ledger =
        TicketLedger::new(process_id(8), LedgerLimits::default(), TicketNumber(100));
    new_ledger.issue(START);
    assert_eq!(
        new_ledger.claim(&ticket, FINGERPRINT, START),
        TicketDecision::MayHaveRun
    );
    assert_eq!(
        new_ledger.settle(&ticket, FINGERPRINT, START),
        SettleDecision::MayHaveRun
    );
}

#[test]
fn purged_outcome_is_never_reported_as_not_run() {
    let mut ledger = ledger();
    let claimed = ledger.issue(START);
    let unused = ledger.issue(START + Duration::from_secs(1));
    ledger.claim(&claimed, FINGERPRINT, START);
    ledger.hand_over(claimed.number, LATER, START).unwrap();
    ledger.record_outcome(claimed.number, RunOutcome::Done(None));
    let late = START + TICKET_LIFETIME * 2;
    let new_ticket = ledger.issue(late);
    ledger.claim(&new_ticket, FINGERPRINT, late);
    assert_eq!(ledger.record_count(), 1);
    assert_eq!(
        ledger.claim(&claimed, FINGERPRINT, late),
        TicketDecision::MayHaveRun
    );
    assert_eq!(
        ledger.claim(&unused, FINGERPRINT, late),
        TicketDecision::NotRun
    );
}

#[test]
fn full_ledger_refuses_and_keeps_its_outcomes() {
    let mut ledger = ledger();
    let tickets: Vec<_> = (0..6).map(|_| ledger.issue(START)).collect();
    let decisions: Vec<_> = tickets
        .iter()
        .map(|ticket| ledger.claim(ticket, FINGERPRINT, START))
        .collect();
    expect!["[Run, Run, Run, Run, NotRun, NotRun]"].assert_eq(&format!("{decisions:?}"));
    ledger.record_outcome(tickets[0].number, RunOutcome::MayHaveRun);
    let late = START + TICKET_LIFETIME;
    ledger.hand_over(tickets[1].number, late, START).unwrap();
    // The record of a running request is kept after its ticket has expired.
    let new_ticket = ledger.issue(late);
    assert_eq!(
        ledger.claim(&new_ticket, FINGERPRINT, late),
        TicketDecision::Run
    );
    assert_eq!(
        ledger.claim(&tickets[1], FINGERPRINT, late),
        TicketDecision::Wait
    );
    assert_eq!(
        ledger.claim(&tickets[5], FINGERPRINT, late),
        TicketDecision::MayHaveRun
    );
}
