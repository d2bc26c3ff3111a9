//! Tests of the times at which a process calls the platform and its peers.

use std::time::Duration;

use expect_test::expect;
use hyssopstair_platform::fetch::FetchState;
use hyssopstair_platform::schedule::poll_interval;
use hyssopstair_wire::time::MonotonicTime;

/// The jitter that leaves an interval unchanged.
const NO_JITTER: f64 = 0.5;

#[test]
fn the_fleet_reads_at_a_fixed_rate_whatever_its_size() {
    let table: Vec<String> = [1, 13, 25, 100, 5_100, 55_100]
        .into_iter()
        .map(|member_count: usize| {
            let interval = poll_interval(member_count, 0, NO_JITTER);
            let rate = member_count as f64 / interval.as_secs_f64();
            format!("{member_count} processes: {interval:?} each, {rate:.0} reads/s")
        })
        .collect();
    expect![[r#"
        [
            "1 processes: 500ms each, 2 reads/s",
            "13 processes: 500ms each, 26 reads/s",
            "25 processes: 500ms each, 50 reads/s",
            "100 processes: 2s each, 50 reads/s",
            "5100 processes: 102s each, 50 reads/s",
            "55100 processes: 1102s each, 50 reads/s",
        ]
    "#]]
    .assert_debug_eq(&table);
}

#[test]
fn the_interval_doubles_while_reads_fail() {
    let small_fleet: Vec<Duration> = (0..7)
        .map(|failure_count| poll_interval(3, failure_count, NO_JITTER))
        .collect();
    expect![[r#"
        [
            500ms,
            1s,
            2s,
            4s,
            8s,
            8s,
            8s,
        ]
    "#]]
    .assert_debug_eq(&small_fleet);
    let large_fleet = poll_interval(55_100, 0, NO_JITTER);
    assert_eq!(poll_interval(55_100, 9, NO_JITTER), large_fleet);
}

#[test]
fn one_request_is_in_flight_at_a_time_and_repeated_after_a_backoff() {
    let peer = |number: u8| format!("127.1.1.{number}:7000").parse().expect("address");
    let at = MonotonicTime::from_millis;
    let mut fetch = FetchState::default();
    let mut steps = vec![fetch.next_step(3, at(0))];
    fetch.record_version(peer(1), 4);
    fetch.record_version(peer(2), 4);
    steps.push(fetch.next_step(3, at(0)));
    // A packet that arrives while the request is in flight starts no second one.
    fetch.record_version(peer(3), 4);
    steps.push(fetch.next_step(3, at(1)));
    fetch.finish_request(false, at(1_000));
    steps.push(fetch.next_step(3, at(1_000)));
    steps.push(fetch.next_step(3, at(1_100)));
    fetch.finish_request(false, at(2_100));
    steps.push(fetch.next_step(3, at(2_150)));
    // A newer version ends the backoff.
    fetch.record_version(peer(1), 5);
    steps.push(fetch.next_step(3, at(2_150)));
    fetch.finish_request(true, at(2_200));
    steps.push(fetch.next_step(5, at(2_200)));
    expect![[r#"
        [
            Idle,
            Request(
                127.1.1.2:7000,
            ),
            Wait,
            WaitUntil(
                MonotonicTime(
                    1100000,
                ),
            ),
            Request(
                127.1.1.3:7000,
            ),
            WaitUntil(
                MonotonicTime(
                    2300000,
                ),
            ),
            Request(
                127.1.1.1:7000,
            ),
            Idle,
        ]
    "#]]
    .assert_debug_eq(&steps);
}
