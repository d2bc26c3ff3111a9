//! Prints load curves of the admission control.
//!
//! For each deployment, deadline, caller behaviour, arrival rate and policy step,
//! prints the completed, refused and late requests. After each curve, prints the
//! counts of each host at three times the capacity under the full policy.

use std::time::Duration;

use crate::curve::run_curve;
use crate::curve::setting::CurveSetting;
use crate::curve::setting::PolicyStep;
use crate::curve::tally::CurveTally;
use crate::curve::tally::millis;
use crate::curve::tally::percentile;

#[path = "../tests/curve/mod.rs"]
mod curve;

/// Deployments and their number of slots per host.
const DEPLOYMENTS: [(&str, u32); 2] = [("Foundation", 3), ("Hydroflow", 2)];

/// Deadlines of the callers.
const DEADLINES: [Duration; 3] = [
    Duration::from_millis(100),
    Duration::from_secs(1),
    Duration::from_secs(5),
];

/// Arrival rates, as multiples of the capacity.
const RATES: [f64; 5] = [0.5, 0.8, 1.0, 1.5, 3.0];

/// Seed of the arrivals and service times.
const SEED: u64 = 20_261_203;

fn main() {
    for (name, slots) in DEPLOYMENTS {
        for deadline in DEADLINES {
            for callers_retry in [false, true] {
                let setting = CurveSetting {
                    slots,
                    deadline,
                    rate: 1.0,
                    callers_retry,
                    step: PolicyStep::Pause,
                    seed: SEED,
                };
                println!("\n{name}, deadline {deadline:?}, callers retry: {callers_retry}\n");
                print_curve(&setting);
            }
        }
    }
}

fn print_curve(setting: &CurveSetting) {
    println!(
        "| rate | step | goodput/s | not-run share | p50 ms | p99 ms | late | shed | max/mean | variation | service ms | false not-run | relays done/refused/all | refusal p99 us |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for rate in RATES {
        for step in PolicyStep::ALL {
            let point = CurveSetting {
                rate,
                step,
                ..*setting
            };
            let tally = run_curve(&point);
            print_row(&point, &tally);
        }
    }
    let point = CurveSetting {
        rate: 3.0,
        ..*setting
    };
    print_hosts(&run_curve(&point));
}

fn print_row(point: &CurveSetting, tally: &CurveTally) {
    let refusal = percentile(&tally.refusal_times, 99);
    println!(
        "| {} | {:?} | {} | {} | {}/{}/{} | {:.1} |",
        point.rate,
        point.step,
        tally.row(),
        tally.false_not_run,
        tally.relays_completed,
        tally.relays_refused,
        tally.relays,
        millis(refusal) * 1e3,
    );
}

fn print_hosts(tally: &CurveTally) {
    println!("\n| host | received | refused | dropped | shed | completed | late | busy s |");
    println!("|---|---|---|---|---|---|---|---|");
    for host in &tally.hosts {
        println!(
            "| {:?} | {} | {} | {} | {} | {} | {} | {:.1} |",
            host.kind,
            host.received,
            host.refused,
            host.dropped,
            host.shed,
            host.completed,
            host.late,
            host.busy_time.as_secs_f64(),
        );
    }
}
