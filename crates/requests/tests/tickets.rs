//! Tickets: their text form, and what their issuer remembers of them.

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
const BODY: RequestFingerprint = RequestFingerprint(1);

fn process(incarnation: u32) -> ProcessId {
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
    TicketLedger::new(process(7), limits, TicketNumber(100))
}

#[test]
fn text_form_keeps_the_ticket() {
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
fn second_copy_waits_and_gets_the_stored_reply() {
    let mut ledger = ledger();
    let ticket = ledger.issue(START);
    assert_eq!(ledger.claim(&ticket, BODY, START), TicketDecision::Run);
    assert_eq!(ledger.claim(&ticket, BODY, START), TicketDecision::Wait);
    assert_eq!(ledger.hand_over(ticket.number, LATER, START), Ok(()));
    let reply: std::sync::Arc<[u8]> = b"enrolled".as_slice().into();
    ledger.record_outcome(ticket.number, RunOutcome::Done(Some(reply.clone())));
    assert_eq!(
        ledger.claim(&ticket, BODY, LATER),
        TicketDecision::Replay(Some(reply.clone()))
    );
    assert_eq!(
        ledger.settle(&ticket, BODY, LATER),
        SettleDecision::Done(Some(reply))
    );
    assert_eq!(
        ledger.claim(&ticket, RequestFingerprint(2), LATER),
        TicketDecision::OtherRequest
    );
}

#[test]
fn settled_ticket_never_runs() {
    let mut ledger = ledger();
    let ticket = ledger.issue(START);
    assert_eq!(ledger.settle(&ticket, BODY, START), SettleDecision::NotRun);
    assert_eq!(ledger.claim(&ticket, BODY, START), TicketDecision::NotRun);
}

#[test]
fn paused_process_does_not_hand_over_an_expired_ticket() {
    let mut ledger = ledger();
    let ticket = ledger.issue(START);
    let far = LATER + TICKET_LIFETIME * 2;
    ledger.claim(&ticket, BODY, START);
    assert_eq!(
        ledger.hand_over(ticket.number, far, START + TICKET_LIFETIME),
        Err(HandOverError::Expired)
    );
    assert_eq!(ledger.claim(&ticket, BODY, START), TicketDecision::NotRun);
}

#[test]
fn request_past_its_deadline_is_not_handed_over() {
    let mut ledger = ledger();
    let ticket = ledger.issue(START);
    ledger.claim(&ticket, BODY, START);
    assert_eq!(
        ledger.hand_over(ticket.number, LATER, LATER),
        Err(HandOverError::DeadlinePassed)
    );
}

#[test]
fn earlier_incarnation_is_not_answered_for() {
    let mut before = ledger();
    let ticket = before.issue(START);
    let mut after = TicketLedger::new(process(8), LedgerLimits::default(), TicketNumber(100));
    after.issue(START);
    assert_eq!(
        after.claim(&ticket, BODY, START),
        TicketDecision::MayHaveRun
    );
    assert_eq!(
        after.settle(&ticket, BODY, START),
        SettleDecision::MayHaveRun
    );
}

#[test]
fn forgotten_outcome_is_never_called_not_run() {
    let mut ledger = ledger();
    let ran = ledger.issue(START);
    let unused = ledger.issue(START + Duration::from_secs(1));
    ledger.claim(&ran, BODY, START);
    ledger.hand_over(ran.number, LATER, START).unwrap();
    ledger.record_outcome(ran.number, RunOutcome::Done(None));
    let late = START + TICKET_LIFETIME * 2;
    let fresh = ledger.issue(late);
    ledger.claim(&fresh, BODY, late);
    assert_eq!(ledger.record_count(), 1);
    assert_eq!(ledger.claim(&ran, BODY, late), TicketDecision::MayHaveRun);
    assert_eq!(ledger.claim(&unused, BODY, late), TicketDecision::NotRun);
}

#[test]
fn full_ledger_refuses_and_keeps_its_outcomes() {
    let mut ledger = ledger();
    let tickets: Vec<_> = (0..6).map(|_| ledger.issue(START)).collect();
    let decisions: Vec<_> = tickets
        .iter()
        .map(|ticket| ledger.claim(ticket, BODY, START))
        .collect();
    expect!["[Run, Run, Run, Run, NotRun, NotRun]"].assert_eq(&format!("{decisions:?}"));
    ledger.record_outcome(tickets[0].number, RunOutcome::MayHaveRun);
    let late = START + TICKET_LIFETIME;
    ledger.hand_over(tickets[1].number, late, START).unwrap();
    // The records of tickets that still run outlast their expiry.
    let fresh = ledger.issue(late);
    assert_eq!(ledger.claim(&fresh, BODY, late), TicketDecision::Run);
    assert_eq!(ledger.claim(&tickets[1], BODY, late), TicketDecision::Wait);
    assert_eq!(
        ledger.claim(&tickets[5], BODY, late),
        TicketDecision::MayHaveRun
    );
}
