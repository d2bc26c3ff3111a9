//! What callers get after a loss of power, on balancers with small links.
//!
//! The load is that of the largest fleets at a smaller scale: most callers keep a flow
//! open for many requests and pause between them, and all servers and processes start
//! anew at the same time.

mod fixture;
mod model;

use expect_test::expect;

use crate::model::world::Fault;
use crate::model::world::World;
use crate::model::world::WorldPlan;

/// Time of the loss of power, in milliseconds.
const OUTAGE_MILLIS: u64 = 6_000;

/// Bytes per second of a balancer's link, an eighth of that of the users' smallest
/// balancers, which carry about ten times as many flows.
const LINK_BYTES_PER_SECOND: u64 = 150_000;

/// Returns a plan in which callers are idle for most of the time.
fn outage_plan() -> WorldPlan {
    WorldPlan {
        balancers: 8,
        hosts: 120,
        callers: 250,
        work_micros: (20_000, 30_000),
        max_pause_millis: 600,
        link_bytes_per_second: Some(LINK_BYTES_PER_SECOND),
        faults: vec![(OUTAGE_MILLIS, Fault::LosePowerTogether)],
        duration_millis: 12_000,
        ..WorldPlan::default()
    }
}

#[test]
fn nearly_all_requests_are_answered_in_time_two_seconds_after_an_outage() {
    let mut world = World::new(outage_plan(), 1);
    world.run();
    let first_second = (OUTAGE_MILLIS / 1_000) as usize + 2;
    let results = &world.results_by_second;
    for (in_time, total) in &results[first_second..first_second + 4] {
        assert!(
            in_time * 100 >= total * 90,
            "{} packets probed servers; in time and all, by second: {results:?}",
            world.probe_count
        );
    }
}

// Most flows are idle when power is lost. A caller that learns of it before its next
// request opens a new flow for the request; otherwise, the request is lost.
#[test]
fn callers_lose_fewer_requests_if_hosts_have_saved_their_flows() {
    let mut results = Vec::new();
    for saves_flows in [false, true] {
        let mut broken_count = 0;
        for seed in 0..4 {
            let mut world = World::new(
                WorldPlan {
                    hosts: 30,
                    link_bytes_per_second: None,
                    max_pause_millis: 2_000,
                    saves_flows,
                    ..outage_plan()
                },
                seed,
            );
            world.run();
            assert!(world.oracle.violations().is_empty());
            broken_count += world.tally.broken;
        }
        results.push(format!("saves flows: {saves_flows}, lost: {broken_count}"));
    }
    expect![[r#"
        saves flows: false, lost: 510
        saves flows: true, lost: 423"#]]
    .assert_eq(&results.join("\n"));
}

// The load: all servers lose power and are cold for two seconds, in which they answer few more
// requests than new ones are sent, and the callers of the outage come back as well. Requests that
// can still be answered in time must not wait behind those that are late already.
#[test]
fn requests_sent_after_an_outage_are_answered_in_time_by_cold_servers() {
    let mut totals = (0, 0);
    let mut lost_count = 0;
    for seed in 0..4 {
        let mut world = World::new(
            WorldPlan {
                hosts: 16,
                callers: 250,
                work_micros: (25_000, 35_000),
                cold_percent: 160,
                max_pause_millis: 500,
                link_bytes_per_second: None,
                ..outage_plan()
            },
            seed,
        );
        world.run();
        assert!(world.oracle.violations().is_empty());
        let tally = world.tally;
        lost_count += tally.refused + tally.given_up;
        let first_second = (OUTAGE_MILLIS / 1_000) as usize + 1;
        for (in_time, total) in &world.results_by_second[first_second..first_second + 2] {
            totals.0 += in_time;
            totals.1 += total;
        }
    }
    let (in_time, total) = totals;
    expect!["in time: 3640 of 5016, refused or given up: 0"].assert_eq(&format!(
        "in time: {in_time} of {total}, refused or given up: {lost_count}"
    ));
    assert!(in_time * 2 > total, "most of them are late or lost");
}
