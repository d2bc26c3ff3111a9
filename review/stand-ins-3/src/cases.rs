//! The cases: each plays a disruption on a small deployment and checks one rule.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::note;
use crate::fleet::Fleet;
use crate::world::Habits;
use crate::world::World;

const SECOND: u64 = 1_000_000;
const GRACE: Duration = Duration::from_secs(6);
/// Time from the end of a process to its next start.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time from one machine of planned work to the next (`gap_s`).
const ROLL_GAP: Duration = Duration::from_millis(1_200);

pub fn run(case: &str, folder: &Path, has_trouble: bool) -> i32 {
    match case {
        "roll" => roll_daemons(folder, has_trouble),
        _ => 2,
    }
}

fn env(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn start_world(fleet: &Fleet, habits: Habits) -> Option<World> {
    let mut world = World::new(
        fleet.clock,
        Arc::clone(&fleet.record),
        Arc::clone(&fleet.rotation),
        habits,
        [(fleet.route, 443), (fleet.route, 8080)],
        &fleet.callers,
        &fleet.hosts,
        env("SEED", u64::from(std::process::id())),
    );
    world.opens_flows = false;
    for _ in 0..40 {
        world.run_until(fleet.clock.now() + SECOND / 4);
        if fleet.are_all_ready() {
            world.run_until(fleet.clock.now() + 2 * SECOND);
            world.opens_flows = true;
            return Some(world);
        }
    }
    None
}

/// The daemons beside the hosts are stopped and started in turn, as planned work, while the network
/// loses few datagrams on their way to consumers.
fn roll_daemons(folder: &Path, has_trouble: bool) -> i32 {
    let Some(fleet) = Fleet::start(2, 6, 8) else {
        return 2;
    };
    let habits = Habits {
        flows_per_second: 80,
        requests: (3, 6),
        pause_ms: (2_000, 5_000),
        lost_one_in: 100,
    };
    let Some(mut world) = start_world(&fleet, habits) else {
        fleet.finish(folder, "the deployment did not become ready");
        return 2;
    };
    let begin = fleet.clock.now();
    let end = begin + 90 * SECOND;
    if has_trouble {
        let (daemons, record, clock) = (
            fleet.daemons.clone(),
            Arc::clone(&fleet.record),
            fleet.clock,
        );
        let disturbances = Arc::clone(&world.disturbances);
        world.is_planned = true;
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs(8));
            loop {
                for daemon in &daemons {
                    let next_at = Instant::now() + ROLL_GAP;
                    let mut daemon = daemon.lock().unwrap();
                    let text = format!("SIGTERM to {} at {}", daemon.name, daemon.address);
                    note(&record, clock, &text);
                    // Counts as disturbed until it has started again.
                    disturbances
                        .lock()
                        .unwrap()
                        .insert(daemon.address, u64::MAX / 2);
                    daemon.stop(GRACE);
                    std::thread::sleep(RESTART_DELAY);
                    if clock.now() > end - SECOND {
                        return;
                    }
                    daemon.start();
                    disturbances
                        .lock()
                        .unwrap()
                        .insert(daemon.address, clock.now());
                    note(
                        &record,
                        clock,
                        &format!("{} was started again", daemon.name),
                    );
                    drop(daemon);
                    std::thread::sleep(next_at.saturating_duration_since(Instant::now()));
                }
                std::thread::sleep(Duration::from_secs(3));
            }
        });
    }
    world.run_until(end);
    let summary = format!("{:?}", world.tally);
    fleet.finish(folder, &summary);
    i32::from(world.tally.broken > 0)
}
