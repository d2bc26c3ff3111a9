//! Checks the invariants of the system under random faults.
//!
//! A seed determines the fleet, the faults and their times. `HYSSOPSTAIR_FUZZ_CASES` sets
//! the number of seeds, and `HYSSOPSTAIR_FUZZ_SEED` selects a single one.

mod fixture;
mod model;

use std::env;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::model::world::Fault;
use crate::model::world::World;
use crate::model::world::WorldPlan;

/// Number of seeds, starting at 0, if no environment variable selects them.
const DEFAULT_CASES: u64 = 60;

/// Draws a fault of a process or server that the plan has.
fn random_fault(random: &mut SmallRng, plan: &WorldPlan) -> Fault {
    let balancer = random.random_range(1..=plan.balancers);
    let host = random.random_range(1..=plan.hosts);
    match random.random_range(0..32) {
        0..=2 => Fault::KillBalancer(balancer),
        3..=6 => Fault::StopBalancer(balancer),
        7..=8 => Fault::KillHost(host),
        9..=11 => Fault::StopHost(host),
        12..=14 => Fault::CrashServer(host),
        15 => Fault::DrainServer(host),
        16..=17 => Fault::CutHost(host),
        18 => Fault::KillAllProcesses,
        19..=20 => Fault::FreezeBalancer(balancer),
        21..=23 => Fault::FreezeHost(host),
        24..=26 => Fault::MoveRoute,
        27..=28 => Fault::ReuseAddress(host),
        29..=30 => Fault::SetServerBack(host),
        _ => Fault::LosePower,
    }
}

/// Returns the plan that a seed determines.
fn build_plan(seed: u64) -> WorldPlan {
    let mut random = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let mut plan = WorldPlan {
        balancers: random.random_range(2..=5),
        hosts: random.random_range(2..=9),
        callers: random.random_range(10..=80),
        slots: random.random_range(1..=3),
        work_micros: (5_000, 40_000),
        max_pause_millis: 300,
        sets_clocks_back: true,
        loss_per_mille: random.random_range(0..=5),
        duration_millis: 20_000,
        has_archive_service: random.random_bool(0.4),
        moves_most_flows: random.random_bool(0.3),
        ..WorldPlan::default()
    };
    for _ in 0..random.random_range(2..=14) {
        let at = random.random_range(3_000..18_000);
        let fault = random_fault(&mut random, &plan);
        plan.faults.push((at, fault));
    }
    add_restore(seed, &mut plan);
    add_clock_jump(seed, &mut plan);
    plan.learns_from_peers = seed % 2 == 1;
    plan
}

/// Lets the store of half of the plans come back from a copy, often shortly before an
/// outage. The draws are separate from those of the other faults.
fn add_restore(seed: u64, plan: &mut WorldPlan) {
    let mut random = SmallRng::seed_from_u64(seed ^ 0xc0b1);
    if random.random_bool(0.5) {
        return;
    }
    let at = random.random_range(3_000..16_000);
    let age_millis = random.random_range(500..8_000);
    plan.faults.push((at, Fault::RestoreStore(age_millis)));
    let host = random.random_range(1..=plan.hosts);
    let outage = match random.random_range(0..4) {
        0 => Fault::LosePower,
        1 => Fault::KillHost(host),
        2 => Fault::KillAllProcesses,
        _ => return,
    };
    plan.faults
        .push((at + random.random_range(0..2_000), outage));
}

/// Lets a server of half of the plans start while the clock of its instance is ahead, and
/// restarts the host beside it or suspends it a short time later. The draws are separate from
/// those of the other faults.
fn add_clock_jump(seed: u64, plan: &mut WorldPlan) {
    let mut random = SmallRng::seed_from_u64(seed ^ 0xc10c);
    if random.random_bool(0.5) {
        return;
    }
    let host = random.random_range(1..=plan.hosts);
    let crash_at = random.random_range(3_000..14_000);
    let lead_millis = random.random_range(500..3_000);
    plan.faults
        .push((crash_at, Fault::SetServerAhead(host, lead_millis)));
    let next = match random.random_range(0..3) {
        0 => Fault::KillHost(host),
        1 => Fault::StopHost(host),
        _ => Fault::FreezeHost(host),
    };
    plan.faults
        .push((crash_at + random.random_range(0..3_500), next));
}

/// Runs the simulation of a seed. Returns a description of the first violations, at most
/// three, and of a run in which fewer than 50 requests were answered.
fn run_seed(seed: u64) -> Vec<String> {
    let mut world = World::new(build_plan(seed), seed);
    world.run();
    let mut failures: Vec<String> = world
        .oracle
        .violations()
        .iter()
        .take(3)
        .map(|text| format!("seed {seed}: {text}"))
        .collect();
    if world.tally.answered < 50 {
        failures.push(format!(
            "seed {seed}: fewer than 50 requests were answered: {:?}",
            world.tally
        ));
    }
    failures
}

#[test]
fn no_invariant_is_violated_under_random_faults() {
    let seeds: Vec<u64> = match env::var("HYSSOPSTAIR_FUZZ_SEED") {
        Ok(seed) => vec![seed.parse().expect("HYSSOPSTAIR_FUZZ_SEED is a number")],
        Err(_) => {
            let cases = env::var("HYSSOPSTAIR_FUZZ_CASES")
                .ok()
                .and_then(|cases| cases.parse().ok())
                .unwrap_or(DEFAULT_CASES);
            (0..cases).collect()
        }
    };
    let failures: Vec<String> = seeds.into_iter().flat_map(run_seed).collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Seeds that have violated an invariant: a host that was restarted within two heartbeats
/// of its server's start denied the flows that had opened in between. In all but the first two,
/// the time of day jumped back between the two starts.
#[test]
fn seeds_that_have_failed_pass() {
    let seeds = [390, 423, 232, 814, 868, 880, 1_208, 1_265, 1_354, 2_580];
    let failures: Vec<String> = seeds.into_iter().flat_map(run_seed).collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
#[ignore = "prints the events of one flow; run by hand"]
fn trace_of_a_flow() {
    let seed: u64 = env::var("HYSSOPSTAIR_FUZZ_SEED")
        .unwrap_or_default()
        .parse()
        .unwrap_or(0);
    let plan = build_plan(seed);
    println!("{plan:?}");
    let mut world = World::new(plan, seed);
    world.traced_caller = env::var("HYSSOPSTAIR_FUZZ_CALLER").ok();
    world.run();
    println!("{:?} {:?}", world.tally, world.oracle.violations());
}
