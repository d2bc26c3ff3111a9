//! What callers get after a loss of power, on balancers with small links.
//!
//! The load is that of the largest fleets at a smaller scale: most callers keep a flow
//! open for many requests and pause between them, and all servers and processes start
//! anew at the same time.

mod fixture;
mod model;

use crate::model::world::Fault;
use crate::model::world::PlacingPolicy;
use crate::model::world::World;
use crate::model::world::WorldPlan;

/// Time of the loss of power, in milliseconds.
const OUTAGE_MILLIS: u64 = 6_000;

/// Bytes per second of a balancer's link, an eighth of that of the users' smallest
/// balancers, which carry about ten times as many flows.
const LINK_BYTES_PER_SECOND: u64 = 150_000;

/// Returns a plan in which callers are busy for a third of their time.
fn outage_plan() -> WorldPlan {
    WorldPlan {
        balancers: 8,
        hosts: 120,
        callers: 250,
        slots: 2,
        work_micros: (20_000, 30_000),
        slow_hosts: 0,
        failing_hosts: 0,
        policy: PlacingPolicy::Product,
        burst: None,
        max_pause_millis: 600,
        link_bytes_per_second: Some(LINK_BYTES_PER_SECOND),
        sets_clocks_back: false,
        loss_per_mille: 0,
        faults: vec![(OUTAGE_MILLIS, Fault::LosePowerTogether)],
        duration_millis: 12_000,
        has_archive_service: false,
        moves_most_flows: false,
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
