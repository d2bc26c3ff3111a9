//! Tests of the admission control, the retry budget and the relay of requests.

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
const COMPLETED: SlotOutcome = SlotOutcome::Completed(Duration::from_millis(20));

fn time_at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn request(key: u64, class: RequestClass, deadline: u64) -> SlotRequest {
    SlotRequest {
        key: RequestKey(key),
        class,
        deadline: time_at(deadline),
    }
}

/// Returns a controller whose concurrency limit has reached both slots, with an
/// estimated service time of 20 ms.
fn warm_controller() -> AdmissionController {
    let mut controller = AdmissionController::default();
    for key in 0..20 {
        let decision = admit(
            &mut controller,
            request(key, RequestClass::NonIdempotent, 9_000),
            1,
        );
        assert_eq!(decision, "Run []");
        controller.release(COMPLETED, &RULES, time_at(1));
    }
    controller
}

fn admit(controller: &mut AdmissionController, request: SlotRequest, millis: u64) -> String {
    let mut decisions = Vec::new();
    let decision = controller.admit(request, &RULES, time_at(millis), &mut decisions);
    format!("{decision:?} {decisions:?}")
}

#[test]
fn cold_host_starts_with_one_slot() {
    let mut controller = AdmissionController::default();
    let first = admit(
        &mut controller,
        request(1, RequestClass::NonIdempotent, 9_000),
        1,
    );
    let second = admit(
        &mut controller,
        request(2, RequestClass::NonIdempotent, 9_000),
        1,
    );
    expect!["Run [] Wait []"].assert_eq(&format!("{first} {second}"));
    let decisions = controller.release(COMPLETED, &RULES, time_at(21));
    expect!["[QueueDecision { key: RequestKey(2), decision: Run }]"]
        .assert_eq(&format!("{decisions:?}"));
    let third = admit(
        &mut controller,
        request(3, RequestClass::NonIdempotent, 9_000),
        21,
    );
    assert_eq!(third, "Run []");
}

#[test]
fn full_queue_refuses_and_evicts_for_non_idempotent_requests() {
    let mut controller = warm_controller();
    let mut log = Vec::new();
    for key in 1..=5 {
        let class = RequestClass::Idempotent;
        log.push(admit(&mut controller, request(key, class, 9_000), 2));
    }
    log.push(admit(
        &mut controller,
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
fn request_that_cannot_meet_its_deadline_is_refused() {
    let mut controller = warm_controller();
    admit(
        &mut controller,
        request(1, RequestClass::NonIdempotent, 9_000),
        2,
    );
    admit(
        &mut controller,
        request(2, RequestClass::NonIdempotent, 9_000),
        2,
    );
    let too_late = admit(
        &mut controller,
        request(3, RequestClass::NonIdempotent, 25),
        2,
    );
    let in_time = admit(
        &mut controller,
        request(4, RequestClass::NonIdempotent, 60),
        2,
    );
    let decisions = controller.advance(&RULES, time_at(45));
    expect![[r#"
        Refuse { retry_after: 10ms } []
        Wait []
        [QueueDecision { key: RequestKey(4), decision: Refuse { retry_after: 20ms } }]"#]]
    .assert_eq(&format!("{too_late}\n{in_time}\n{decisions:?}"));
}

#[test]
fn stale_estimate_beyond_all_deadlines_is_probed() {
    let mut controller = AdmissionController::default();
    admit(
        &mut controller,
        request(1, RequestClass::NonIdempotent, 100),
        0,
    );
    controller.release(
        SlotOutcome::TimedOut(Duration::from_millis(100)),
        &RULES,
        time_at(100),
    );
    let mut trace = String::new();
    for (class, millis) in [
        (RequestClass::Idempotent, 1_099),
        (RequestClass::NonIdempotent, 1_100),
        (RequestClass::Idempotent, 1_100),
        (RequestClass::Idempotent, 1_101),
    ] {
        let decision = admit(
            &mut controller,
            request(millis, class, millis + 100),
            millis,
        );
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
fn shed_requests_back_off_and_one_probe_ends_the_backoff() {
    let mut controller = warm_controller();
    let mut log = Vec::new();
    for millis in [100, 150, 250] {
        log.push(admit(
            &mut controller,
            request(millis, RequestClass::NonIdempotent, 9_000),
            millis,
        ));
        log.push(format!(
            "{:?}",
            controller.release(SlotOutcome::Shed, &RULES, time_at(millis))
        ));
        log.push(format!(
            "{}",
            controller.load_percent(&RULES, time_at(millis))
        ));
    }
    log.push(admit(
        &mut controller,
        request(9, RequestClass::NonIdempotent, 9_000),
        260,
    ));
    log.push(format!("{:?}", controller.next_advance_at(time_at(260))));
    log.push(format!("{:?}", controller.advance(&RULES, time_at(450))));
    log.push(format!(
        "{:?}",
        controller.release(COMPLETED, &RULES, time_at(470))
    ));
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
fn load_report_is_ignored_after_a_recent_completion() {
    let mut controller = warm_controller();
    controller.record_load_report(1.0, time_at(2));
    admit(
        &mut controller,
        request(1, RequestClass::NonIdempotent, 90_000),
        2,
    );
    let after_ignored_report = admit(
        &mut controller,
        request(2, RequestClass::NonIdempotent, 90_000),
        2,
    );
    controller.release(COMPLETED, &RULES, time_at(22));
    controller.release(COMPLETED, &RULES, time_at(22));
    controller.record_load_report(1.0, time_at(30_000));
    admit(
        &mut controller,
        request(3, RequestClass::NonIdempotent, 90_000),
        30_000,
    );
    let after_applied_report = admit(
        &mut controller,
        request(4, RequestClass::NonIdempotent, 90_000),
        30_000,
    );
    expect!["Run [] Wait []"].assert_eq(&format!("{after_ignored_report} {after_applied_report}"));
}

#[test]
fn relayed_request_never_waits() {
    let mut controller = warm_controller();
    let relayed = request(1, RequestClass::NonIdempotent, 9_000);
    let decisions = [1, 2, 3].map(|_| controller.admit_relayed(relayed, &RULES, time_at(2)));
    assert_eq!(decisions[1], SlotDecision::Run);
    expect!["Refuse { retry_after: 10ms }"].assert_eq(&format!("{:?}", decisions[2]));
}

#[test]
fn cancelled_request_frees_its_place_in_the_queue() {
    let mut controller = warm_controller();
    for key in 1..=4 {
        admit(
            &mut controller,
            request(key, RequestClass::NonIdempotent, 9_000),
            2,
        );
    }
    controller.cancel(RequestKey(3));
    let next = admit(
        &mut controller,
        request(5, RequestClass::NonIdempotent, 9_000),
        2,
    );
    assert_eq!(next, "Wait []");
    controller.release(SlotOutcome::Unused, &RULES, time_at(3));
    assert_eq!(
        (controller.running_count(), controller.waiting_count()),
        (2, 1)
    );
}

fn process_id(last: u8) -> ProcessId {
    ProcessId {
        address: std::net::SocketAddrV4::new([127, 1, 2, last].into(), 7000),
        incarnation: HostIncarnation(7),
    }
}

#[test]
fn budget_allows_one_retry_per_ten_successes() {
    let mut budget = RetryBudget::default();
    let mut withdrawn_count = 0;
    for _ in 0..1_000 {
        if budget.try_withdraw() {
            withdrawn_count += 1;
        }
    }
    assert_eq!(withdrawn_count, 10);
    for _ in 0..100 {
        budget.deposit();
        if budget.try_withdraw() {
            withdrawn_count += 1;
        }
    }
    assert!((19..=20).contains(&withdrawn_count), "{withdrawn_count}");
}

#[test]
fn repeated_relay_is_detected() {
    let mut log = RelayLog::new(process_id(1));
    let decisions = [
        log.record_relay(process_id(2), process_id(1), 1, time_at(1)),
        log.record_relay(process_id(2), process_id(1), 3, time_at(1)),
        log.record_relay(process_id(2), process_id(1), 3, time_at(1)),
        log.record_relay(process_id(2), process_id(1), 2, time_at(1)),
        log.record_relay(process_id(2), process_id(3), 4, time_at(1)),
        log.record_relay(process_id(3), process_id(1), 1, time_at(1)),
    ];
    expect!["[New, New, Repeated, New, Refused, New]"].assert_eq(&format!("{decisions:?}"));
    for number in 5..1_000 {
        log.record_relay(process_id(2), process_id(1), number, time_at(1));
    }
    let below_floor = log.record_relay(process_id(2), process_id(1), 4, time_at(1));
    expect!["Repeated"].assert_eq(&format!("{below_floor:?}"));
}

#[test]
fn loaded_peers_are_chosen_less_and_excluded_peers_never() {
    let peers = [process_id(1), process_id(2), process_id(3)];
    let mut loads = PeerLoads::new(7);
    loads.record_load(peers[0], 100, time_at(1));
    loads.record_load(peers[1], 0, time_at(1));
    loads.exclude_peer(peers[2], Duration::from_secs(1), time_at(1));
    let mut counts = [0; 3];
    for _ in 0..1_000 {
        let chosen = loads.choose_peer(&peers, time_at(2)).unwrap();
        counts[usize::from(chosen.address.ip().octets()[3]) - 1] += 1;
    }
    assert_eq!(counts[2], 0);
    assert!(counts[1] > 2 * counts[0], "{counts:?}");
}
