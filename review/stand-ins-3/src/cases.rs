//! The cases: each plays a disruption on a small deployment and checks one rule.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::note;
use crate::fleet::send_ping;
use crate::fleet::Fleet;
use crate::fleet::OTHER_SERVICE;
use crate::fleet::SERVICE;
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
        "late-pings" => delay_pings(folder, has_trouble),
        "reuse" => reuse_address(folder, has_trouble),
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
        [(fleet.route, 443), (fleet.route, 8080), (fleet.route, 9090)],
        &fleet.callers,
        &fleet.hosts,
        fleet.lives.clone(),
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
    let Some(fleet) = Fleet::start(2, &[SERVICE; 6], 8) else {
        return 2;
    };
    let habits = Habits {
        flows_per_second: 80,
        requests: (3, 6),
        pause_ms: (2_000, 5_000),
        other_service_tenths: 0,
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

/// A host crashes while its last two pings are held up; it starts again and opens flows. The daemon
/// beside it is restarted as planned, and gets the two pings before one of the present lifetime.
fn delay_pings(folder: &Path, has_trouble: bool) -> i32 {
    let Some(fleet) = Fleet::start(2, &[SERVICE; 4], 8) else {
        return 2;
    };
    let habits = Habits {
        flows_per_second: 60,
        requests: (2, 4),
        pause_ms: (4_000, 9_000),
        other_service_tenths: 0,
        lost_one_in: 0,
    };
    let Some(mut world) = start_world(&fleet, habits) else {
        fleet.finish(folder, "the deployment did not become ready");
        return 2;
    };
    let end = fleet.clock.now() + 45 * SECOND;
    if has_trouble {
        let (daemon, life) = (Arc::clone(&fleet.daemons[0]), Arc::clone(&fleet.lives[0]));
        let (record, clock) = (Arc::clone(&fleet.record), fleet.clock);
        let disturbances = Arc::clone(&world.disturbances);
        std::thread::spawn(move || {
            let sleep = |millis| std::thread::sleep(Duration::from_millis(millis));
            let address = daemon.lock().unwrap().address;
            let disturb = |at| disturbances.lock().unwrap().insert(address, at);
            sleep(6_000);
            disturb(u64::MAX / 2);
            life.lock().unwrap().holds_pings = true;
            while life.lock().unwrap().held.len() < 2 {
                sleep(5);
            }
            sleep(100);
            let crashed_at = Instant::now();
            life.lock().unwrap().is_up = false;
            note(&record, clock, &format!("the host at {address} crashes"));
            sleep(400);
            life.lock().unwrap().begin_next();
            note(&record, clock, "it starts again, a new lifetime");
            let until = |millis: u64| {
                let at = crashed_at + Duration::from_millis(millis);
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
            };
            until(3_300);
            let mut daemon = daemon.lock().unwrap();
            note(
                &record,
                clock,
                &format!("SIGTERM to {} at {address}", daemon.name),
            );
            daemon.stop(GRACE);
            let stopped_at = Instant::now();
            // The living host pings in vain meanwhile; its next ping comes 1.2 s later.
            while life.lock().unwrap().pinged_at < stopped_at + RESTART_DELAY / 4 {
                sleep(5);
            }
            std::thread::sleep(
                (stopped_at + RESTART_DELAY).saturating_duration_since(Instant::now()),
            );
            daemon.start();
            note(
                &record,
                clock,
                &format!("{} was started again", daemon.name),
            );
            drop(daemon);
            let held = std::mem::take(&mut life.lock().unwrap().held);
            for (path, body) in held {
                let mut status = None;
                while status.is_none() {
                    sleep(20);
                    status = send_ping(address, &path, &body);
                }
                note(
                    &record,
                    clock,
                    &format!("a late ping arrives, {path}: {status:?}"),
                );
                sleep(680);
            }
            disturb(clock.now());
        });
    }
    world.run_until(end);
    let summary = format!("{:?}", world.tally);
    fleet.finish(folder, &summary);
    i32::from(world.tally.broken > 0)
}

/// A host of the other service ends with its machine, while its last two pings are held up. Its
/// address goes to a machine of the first service, whose daemon gets the two pings before one of its
/// own host.
fn reuse_address(folder: &Path, has_trouble: bool) -> i32 {
    let services = [
        OTHER_SERVICE,
        SERVICE,
        SERVICE,
        OTHER_SERVICE,
        OTHER_SERVICE,
    ];
    let Some(fleet) = Fleet::start(2, &services, 8) else {
        return 2;
    };
    let habits = Habits {
        flows_per_second: 80,
        requests: (1, 2),
        pause_ms: (500, 2_000),
        other_service_tenths: 5,
        lost_one_in: 0,
    };
    let Some(mut world) = start_world(&fleet, habits) else {
        fleet.finish(folder, "the deployment did not become ready");
        return 2;
    };
    let end = fleet.clock.now() + 25 * SECOND;
    if has_trouble {
        let (daemon, life) = (Arc::clone(&fleet.daemons[0]), Arc::clone(&fleet.lives[0]));
        let (record, clock) = (Arc::clone(&fleet.record), fleet.clock);
        std::thread::spawn(move || {
            let sleep = |millis| std::thread::sleep(Duration::from_millis(millis));
            let address = daemon.lock().unwrap().address;
            sleep(6_000);
            life.lock().unwrap().holds_pings = true;
            while life.lock().unwrap().held.len() < 2 {
                sleep(5);
            }
            sleep(100);
            let ended_at = Instant::now();
            life.lock().unwrap().is_up = false;
            let mut daemon = daemon.lock().unwrap();
            daemon.kill();
            note(
                &record,
                clock,
                &format!("the machine at {address} is gone, host and daemon"),
            );
            daemon.change_settings(OTHER_SERVICE, SERVICE);
            let reused_at = ended_at + Duration::from_millis(2_100);
            std::thread::sleep(reused_at.saturating_duration_since(Instant::now()));
            {
                let mut life = life.lock().unwrap();
                life.service = SERVICE;
                life.begin_next();
            }
            note(
                &record,
                clock,
                &format!("a host of {SERVICE} starts at {address}"),
            );
            sleep(50);
            daemon.start();
            note(
                &record,
                clock,
                &format!("its daemon starts, with settings that name {SERVICE}"),
            );
            drop(daemon);
            let held = std::mem::take(&mut life.lock().unwrap().held);
            for (path, body) in held {
                let mut status = None;
                while status.is_none() {
                    sleep(10);
                    status = send_ping(address, &path, &body);
                }
                note(
                    &record,
                    clock,
                    &format!("a late ping arrives, {path}: {status:?}"),
                );
                sleep(650);
            }
        });
    }
    world.run_until(end);
    let summary = format!("{:?}", world.tally);
    fleet.finish(folder, &summary);
    i32::from(world.tally.run_by_wrong_service > 0)
}
