//! A fleet in which instances end and their addresses go to another service.

mod fixture;
mod model;

use expect_test::expect;

use crate::model::world::Fault;
use crate::model::world::World;
use crate::model::world::WorldPlan;

/// Number of instances whose addresses are reused.
const REUSED_COUNT: u8 = 14;

/// Number of runs, each with another seed.
const RUN_COUNT: u64 = 12;

/// Returns the plan of a fleet of 76 processes in which a part of the instances of the route's
/// service end at the same time, and their addresses are reused by the other service.
fn reuse_plan() -> WorldPlan {
    WorldPlan {
        balancers: 21,
        hosts: 55,
        callers: 250,
        work_micros: (5_000, 40_000),
        max_pause_millis: 300,
        learns_from_peers: true,
        loss_per_mille: 2,
        faults: (1..=REUSED_COUNT)
            .map(|host| (5_000, Fault::ReuseAddress(host)))
            .collect(),
        duration_millis: 10_000,
        has_archive_service: true,
        ..WorldPlan::default()
    }
}

// Balancers offer flows to a silent host for longer than its address stays unused.
#[test]
fn no_flow_reaches_the_next_service_at_a_reused_address() {
    let mut failures: Vec<String> = Vec::new();
    for seed in 1..=RUN_COUNT {
        let mut world = World::new(reuse_plan(), seed);
        world.run();
        let violations = world.oracle.violations();
        failures.extend(violations.iter().map(|text| format!("seed {seed}: {text}")));
    }
    let first_failures = failures[..failures.len().min(3)].join("\n");
    let summary = format!("{} violations\n{first_failures}", failures.len());
    expect!["0 violations"].assert_eq(summary.trim_end());
}
