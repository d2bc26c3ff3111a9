//! Some watch of a fleet ends soon after any moment, whatever the size of the fleet.

use std::time::Duration;

use expect_test::expect;
use hyssopstair_flows::watch_schedule::WatchSchedule;

/// Returns the longest time between the ends of two watches, from a change that ends all
/// of them until 60 s later.
fn find_longest_gap(balancer_count: u32) -> Duration {
    let mut ends = vec![Duration::ZERO];
    for rank in 0..balancer_count {
        let schedule = WatchSchedule {
            balancer_count,
            rank,
        };
        let mut end = schedule.next_timeout(true);
        while end < Duration::from_secs(60) {
            ends.push(end);
            end += schedule.next_timeout(false);
        }
    }
    ends.sort();
    let gaps = ends.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or_default()
}

/// Time from a disturbance until the bounds hold again, 4 s, less the time after which a
/// response counts as lost, 1 s.
const MAX_GAP: Duration = Duration::from_secs(3);

#[test]
fn silent_connections_are_noticed_within_the_time_of_one_short_watch() {
    let counts = [1, 2, 3, 6, 14, 22, 59, 1_500];
    assert!(
        counts
            .into_iter()
            .all(|count| find_longest_gap(count) < MAX_GAP)
    );
    let gaps: Vec<String> = counts
        .into_iter()
        .map(|count| {
            format!(
                "{count} balancers: {} ms",
                find_longest_gap(count).as_millis()
            )
        })
        .collect();
    expect![[r#"
        1 balancers: 2500 ms
        2 balancers: 1250 ms
        3 balancers: 833 ms
        6 balancers: 667 ms
        14 balancers: 667 ms
        22 balancers: 667 ms
        59 balancers: 271 ms
        1500 balancers: 10 ms"#]]
    .assert_eq(&gaps.join("\n"));
}

#[test]
fn an_unknown_place_among_the_balancers_yields_a_time_above_zero() {
    let schedule = WatchSchedule {
        balancer_count: 0,
        rank: 7,
    };
    assert!(schedule.next_timeout(true) > Duration::ZERO);
}

#[test]
fn a_fleet_notices_the_return_of_the_store_soon_with_few_calls() {
    let lines = [1, 4, 9, 22, 1_500].map(|balancer_count| {
        let schedule = WatchSchedule {
            balancer_count,
            rank: 0,
        };
        let delay = schedule.retry_delay();
        let mean_interval = delay / balancer_count;
        assert!(mean_interval <= Duration::from_millis(250));
        assert!(delay <= MAX_GAP, "one balancer alone notices it in time");
        format!("{balancer_count}: {delay:?}, together every {mean_interval:?}")
    });
    expect![[r#"
        1: 250ms, together every 250ms
        4: 250ms, together every 62.5ms
        9: 540ms, together every 60ms
        22: 1s, together every 45.454545ms
        1500: 1s, together every 666.666µs"#]]
    .assert_eq(&lines.join("\n"));
}
