//! When a process calls the platform and its peers.

use std::time::Duration;

use expect_test::expect;
use hyssopstair_platform::fetch::FetchState;
use hyssopstair_platform::schedule::poll_interval;
use hyssopstair_wire::time::MonotonicTime;

const MIDDLE: f64 = 0.5;

#[test]
fn the_fleet_reads_at_a_fixed_rate_whatever_its_size() {
    let table: Vec<String> = [1, 13, 25, 100, 5_100, 55_100]
        .into_iter()
        .map(|members: usize| {
            let interval = poll_interval(members, 0, MIDDLE);
            let rate = members as f64 / interval.as_secs_f64();
            format!("{members} processes: {interval:?} each, {rate:.0} reads/s")
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
fn reads_without_an_answer_get_rarer() {
    let small: Vec<Duration> = (0..7)
        .map(|failures| poll_interval(3, failures, MIDDLE))
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
    .assert_debug_eq(&small);
    let regular = poll_interval(55_100, 0, MIDDLE);
    assert_eq!(poll_interval(55_100, 9, MIDDLE), regular);
}

#[test]
fn one_peer_is_asked_at_a_time_and_again_after_a_pause() {
    let peer = |number: u8| format!("127.1.1.{number}:7000").parse().expect("address");
    let at = MonotonicTime::from_millis;
    let mut fetch = FetchState::default();
    let mut steps = vec![fetch.next_step(3, at(0))];
    fetch.record_version(peer(1), 4);
    fetch.record_version(peer(2), 4);
    steps.push(fetch.next_step(3, at(0)));
    // Packets that come meanwhile start no second question.
    fetch.record_version(peer(3), 4);
    steps.push(fetch.next_step(3, at(1)));
    fetch.finish_request(false, at(1_000));
    steps.push(fetch.next_step(3, at(1_000)));
    steps.push(fetch.next_step(3, at(1_100)));
    fetch.finish_request(false, at(2_100));
    steps.push(fetch.next_step(3, at(2_150)));
    // A newer version ends the pause.
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
