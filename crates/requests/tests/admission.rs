//! Which requests run, wait and are refused on one host.

use std::time::Duration;

use expect_test::expect;
use hyssopstair_requests::admission::AdmissionController;
use hyssopstair_requests::admission::AdmissionRules;
use hyssopstair_requests::admission::RequestClass;
use hyssopstair_requests::admission::RequestKey;
use hyssopstair_requests::admission::SlotDecision;
use hyssopstair_requests::admission::SlotOutcome;
use hyssopstair_requests::admission::SlotRequest;
use hyssopstair_requests::budget::RetryBudget;
use hyssopstair_requests::relay::PeerLoads;
use hyssopstair_requests::relay::RelayLog;
use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::time::MonotonicTime;

const RULES: AdmissionRules = AdmissionRules { slots: 2, queue: 2 };
const WORK: SlotOutcome = SlotOutcome::Completed(Duration::from_millis(20));

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn request(key: u64, class: RequestClass, deadline: u64) -> SlotRequest {
    SlotRequest {
        key: RequestKey(key),
        class,
        deadline: at(deadline),
    }
}

/// Returns a host whose two slots are open and whose requests take 20 ms.
fn warm_host() -> AdmissionController {
    let mut state = AdmissionController::default();
    for key in 0..20 {
        let decision = admit(
            &mut state,
            request(key, RequestClass::NonIdempotent, 9_000),
            1,
        );
        assert_eq!(decision, "Run []");
        state.release(WORK, &RULES, at(1));
    }
    state
}

fn admit(state: &mut AdmissionController, request: SlotRequest, millis: u64) -> String {
    let mut changes = Vec::new();
    let decision = state.admit(request, &RULES, at(millis), &mut changes);
    format!("{decision:?} {changes:?}")
}

#[test]
fn cold_host_opens_one_slot_first() {
    let mut state = AdmissionController::default();
    let first = admit(
        &mut state,
        request(1, RequestClass::NonIdempotent, 9_000),
        1,
    );
    let second = admit(
        &mut state,
        request(2, RequestClass::NonIdempotent, 9_000),
        1,
    );
    expect!["Run [] Wait []"].assert_eq(&format!("{first} {second}"));
    let changes = state.release(WORK, &RULES, at(21));
    expect!["[QueueDecision { key: RequestKey(2), decision: Run }]"]
        .assert_eq(&format!("{changes:?}"));
    let third = admit(
        &mut state,
        request(3, RequestClass::NonIdempotent, 9_000),
        21,
    );
    assert_eq!(third, "Run []");
}

#[test]
fn full_queue_refuses_and_work_that_counts_double_goes_first() {
    let mut state = warm_host();
    let mut log = Vec::new();
    for key in 1..=5 {
        let class = RequestClass::Idempotent;
        log.push(admit(&mut state, request(key, class, 9_000), 2));
    }
    log.push(admit(
        &mut state,
        request(6, RequestClass::NonIdempotent, 9_000),
        2,
    ));
    expect![[r#"
        Run []
        Run []
        Wait []
        Wait []
        Refuse { retry_after: 30ms } []
        Wait [QueueDecision { key: RequestKey(4), decision: Refuse { retry_after: 30ms } }]"#]]
    .assert_eq(&log.join("\n"));
}

#[test]
fn work_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut state = warm_host();
    admit(
        &mut state,
        request(1, RequestClass::NonIdempotent, 9_000),
        2,
    );
    admit(
        &mut state,
        request(2, RequestClass::NonIdempotent, 9_000),
        2,
    );
    let late = admit(&mut state, request(3, RequestClass::NonIdempotent, 25), 2);
    let waits = admit(&mut state, request(4, RequestClass::NonIdempotent, 60), 2);
    let changes = state.advance(&RULES, at(45));
    expect![[r#"
        Refuse { retry_after: 10ms } []
        Wait []
        [QueueDecision { key: RequestKey(4), decision: Refuse { retry_after: 20ms } }]"#]]
    .assert_eq(&format!("{late}\n{waits}\n{changes:?}"));
}

#[test]
fn estimate_beyond_all_deadlines_is_tried_again() {
    let mut state = AdmissionController::default();
    admit(&mut state, request(1, RequestClass::NonIdempotent, 100), 0);
    state.release(
        SlotOutcome::TimedOut(Duration::from_millis(100)),
        &RULES,
        at(100),
    );
    let mut trace = String::new();
    for (class, millis) in [
        (RequestClass::Idempotent, 1_099),
        (RequestClass::NonIdempotent, 1_100),
        (RequestClass::Idempotent, 1_100),
        (RequestClass::Idempotent, 1_101),
    ] {
        let decision = admit(&mut state, request(millis, class, millis + 100), millis);
        trace.push_str(&format!("{millis} {class:?}: {decision}\n"));
    }
    expect![[r#"
        1099 Idempotent: Refuse { retry_after: 10ms } []
        1100 NonIdempotent: Refuse { retry_after: 10ms } []
        1100 Idempotent: Run []
        1101 Idempotent: Wait []
    "#]]
    .assert_eq(&trace);
}

#[test]
fn shed_answers_pause_the_host_and_one_probe_ends_the_pause() {
    let mut state = warm_host();
    let mut log = Vec::new();
    for millis in [100, 150, 250] {
        log.push(admit(
            &mut state,
            request(millis, RequestClass::NonIdempotent, 9_000),
            millis,
        ));
        log.push(format!(
            "{:?}",
            state.release(SlotOutcome::Shed, &RULES, at(millis))
        ));
        log.push(format!("{}", state.load_percent(&RULES, at(millis))));
    }
    log.push(admit(
        &mut state,
        request(9, RequestClass::NonIdempotent, 9_000),
        260,
    ));
    log.push(format!("{:?}", state.next_advance_at(at(260))));
    log.push(format!("{:?}", state.advance(&RULES, at(450))));
    log.push(format!("{:?}", state.release(WORK, &RULES, at(470))));
    expect![[r#"
        Run []
        []
        65535
        Run []
        []
        65535
        Run []
        []
        65535
        Wait []
        Some(MonotonicTime(450000))
        [QueueDecision { key: RequestKey(9), decision: Run }]
        []"#]]
    .assert_eq(&log.join("\n"));
}

#[test]
fn report_of_the_backend_server_is_outweighed_by_completed_requests() {
    let mut state = warm_host();
    state.record_load_report(1.0, at(2));
    admit(
        &mut state,
        request(1, RequestClass::NonIdempotent, 90_000),
        2,
    );
    let busy = admit(
        &mut state,
        request(2, RequestClass::NonIdempotent, 90_000),
        2,
    );
    state.release(WORK, &RULES, at(22));
    state.release(WORK, &RULES, at(22));
    state.record_load_report(1.0, at(30_000));
    admit(
        &mut state,
        request(3, RequestClass::NonIdempotent, 90_000),
        30_000,
    );
    let idle = admit(
        &mut state,
        request(4, RequestClass::NonIdempotent, 90_000),
        30_000,
    );
    expect!["Run [] Wait []"].assert_eq(&format!("{busy} {idle}"));
}

#[test]
fn relayed_request_never_waits() {
    let mut state = warm_host();
    let relayed = request(1, RequestClass::NonIdempotent, 9_000);
    let decisions = [1, 2, 3].map(|_| state.admit_relayed(relayed, &RULES, at(2)));
    assert_eq!(decisions[1], SlotDecision::Run);
    expect!["Refuse { retry_after: 10ms }"].assert_eq(&format!("{:?}", decisions[2]));
}

#[test]
fn cancelled_request_gives_its_place_back() {
    let mut state = warm_host();
    for key in 1..=4 {
        admit(
            &mut state,
            request(key, RequestClass::NonIdempotent, 9_000),
            2,
        );
    }
    state.cancel(RequestKey(3));
    let next = admit(
        &mut state,
        request(5, RequestClass::NonIdempotent, 9_000),
        2,
    );
    assert_eq!(next, "Wait []");
    state.release(SlotOutcome::Unused, &RULES, at(3));
    assert_eq!((state.running_count(), state.waiting_count()), (2, 1));
}

fn process(last: u8) -> ProcessId {
    ProcessId {
        address: std::net::SocketAddrV4::new([127, 1, 2, last].into(), 7000),
        incarnation: HostIncarnation(7),
    }
}

#[test]
fn budget_allows_one_second_try_per_ten_successes() {
    let mut budget = RetryBudget::default();
    let mut spent = 0;
    for _ in 0..1_000 {
        if budget.try_withdraw() {
            spent += 1;
        }
    }
    assert_eq!(spent, 10);
    for _ in 0..100 {
        budget.deposit();
        if budget.try_withdraw() {
            spent += 1;
        }
    }
    assert!((19..=20).contains(&spent), "{spent}");
}

#[test]
fn repeated_relay_is_recognised() {
    let mut log = RelayLog::new(process(1));
    let decisions = [
        log.record_relay(process(2), process(1), 1, at(1)),
        log.record_relay(process(2), process(1), 3, at(1)),
        log.record_relay(process(2), process(1), 3, at(1)),
        log.record_relay(process(2), process(1), 2, at(1)),
        log.record_relay(process(2), process(3), 4, at(1)),
        log.record_relay(process(3), process(1), 1, at(1)),
    ];
    expect!["[New, New, Repeated, New, Refused, New]"].assert_eq(&format!("{decisions:?}"));
    for number in 5..1_000 {
        log.record_relay(process(2), process(1), number, at(1));
    }
    let old = log.record_relay(process(2), process(1), 4, at(1));
    expect!["Repeated"].assert_eq(&format!("{old:?}"));
}

#[test]
fn loaded_and_avoided_peers_are_chosen_less() {
    let peers = [process(1), process(2), process(3)];
    let mut loads = PeerLoads::new(7);
    loads.record_load(peers[0], 100, at(1));
    loads.record_load(peers[1], 0, at(1));
    loads.avoid_peer(peers[2], Duration::from_secs(1), at(1));
    let mut counts = [0; 3];
    for _ in 0..1_000 {
        let chosen = loads.choose_peer(&peers, at(2)).unwrap();
        counts[usize::from(chosen.address.ip().octets()[3]) - 1] += 1;
    }
    assert_eq!(counts[2], 0);
    assert!(counts[1] > 2 * counts[0], "{counts:?}");
}
