//! Computes what an outage of all processes must cost callers.
//!
//! `cargo run --release -p hyssopstair-flows --example outage_bound -- FILE...`
//!
//! A file describes the outage and the callers ([`Outage`]). The bound is that of a system
//! that answers every packet of a running process at once, knows every flow of before, resets
//! each when a host runs and the balancer that its caller is routed to next, gives each server
//! slot work whenever there is any, and refuses nothing. What it loses follows from the
//! protocol: packets to processes that do not run are lost, an order that was sent on a flow
//! of before must not be repeated, and nobody waits beyond the time budget. A caller that opens
//! a flow for each request sends its opening packets at fixed times, and loses the request only
//! if a server had it when power was lost.
//!
//! Prints for each kind of request the number that fails and the number that is late, and for
//! how many of the late ones a server was busy with others.

use std::process::ExitCode;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Deserialize;

/// Time from a caller to a server and back.
const ROUND_TRIP_MS: f64 = 3.0;

/// Time after the return of power until which requests are counted.
const COUNTED_MS: f64 = 4_000.0;

/// Number of plays whose mean is printed.
const PLAYS: u64 = 20;

/// An outage of all processes, and the callers that it meets.
#[derive(Debug, Deserialize)]
struct Outage {
    /// Time without power.
    dark_ms: f64,
    /// Time from the return of power to the start of the last process. Starts are spread
    /// evenly over it.
    starts_ms: f64,
    /// Time from the return of power until the routes can be read.
    #[serde(default)]
    routes_ms: f64,
    balancers: usize,
    hosts: usize,
    /// Number of requests that a server processes concurrently.
    slots: usize,
    /// Time after its start for which a server is cold.
    cold_ms: f64,
    /// Factor by which a cold server is slower.
    cold_factor: f64,
    kinds: Vec<Kind>,
}

/// Times after an attempt at which a caller sends the opening packets of its flow, and the time
/// of the next attempt.
const OPENING_MS: [f64; 3] = [0.0, 200.0, 600.0];
const NEXT_ATTEMPT_MS: f64 = 1_400.0;

/// Requests of one kind.
#[derive(Debug, Deserialize)]
struct Kind {
    name: String,
    per_second: f64,
    is_repeatable: bool,
    /// Whether callers open a flow for each request. All others are on flows that are open when
    /// power is lost.
    #[serde(default)]
    opens_flows: bool,
    work_ms: f64,
    target_ms: f64,
    budget_ms: f64,
}

/// A request that can still be served.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    kind: usize,
    asked_ms: f64,
    /// Time at which its flow reaches a server.
    arrived_ms: f64,
}

/// Results of the requests of one kind.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    failed: f64,
    late: f64,
    late_for_lack_of_slots: f64,
}

fn main() -> ExitCode {
    for path in std::env::args().skip(1) {
        let outage = std::fs::read_to_string(&path)
            .map_err(|error| error.to_string())
            .and_then(|text| {
                serde_saphyr::from_str::<Outage>(&text).map_err(|error| error.to_string())
            });
        match outage {
            Ok(outage) => print_bound(&path, &outage),
            Err(error) => {
                eprintln!("failed to read {path}: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

fn print_bound(path: &str, outage: &Outage) {
    let mut means = vec![Tally::default(); outage.kinds.len()];
    for seed in 0..PLAYS {
        for (mean, tally) in means.iter_mut().zip(play_outage(outage, seed)) {
            mean.failed += tally.failed / PLAYS as f64;
            mean.late += tally.late / PLAYS as f64;
            mean.late_for_lack_of_slots += tally.late_for_lack_of_slots / PLAYS as f64;
        }
    }
    println!("{path}");
    for (kind, mean) in outage.kinds.iter().zip(means) {
        println!(
            "  {}: {:.0} failed, {:.0} late, {:.0} of them for lack of slots",
            kind.name, mean.failed, mean.late, mean.late_for_lack_of_slots
        );
    }
}

/// Plays an outage that begins at time 0.
fn play_outage(outage: &Outage, seed: u64) -> Vec<Tally> {
    let mut random = SmallRng::seed_from_u64(seed);
    let host_starts = spread_starts(outage, outage.hosts, &mut random);
    let balancer_starts = spread_starts(outage, outage.balancers, &mut random);
    let routes_ms = outage.dark_ms + outage.routes_ms;
    let first_host_ms = host_starts[0];
    let mut tallies = vec![Tally::default(); outage.kinds.len()];
    let mut arrivals = Vec::new();
    for (index, kind) in outage.kinds.iter().enumerate() {
        let interval_ms = 1_000.0 / kind.per_second;
        let mut asked_ms = -kind.work_ms;
        while asked_ms < outage.dark_ms + COUNTED_MS {
            let balancer_ms = balancer_starts[random.random_range(0..balancer_starts.len())];
            let served_from_ms = balancer_ms.max(routes_ms);
            let sent_until_ms = if kind.opens_flows { 0.0 } else { first_host_ms };
            if asked_ms < sent_until_ms && !kind.is_repeatable {
                // Sent on a flow of before the outage.
                tallies[index].failed += 1.0;
            } else {
                let ready_ms = first_host_ms.max(served_from_ms);
                let opened_ms = if kind.opens_flows {
                    next_opening_packet(asked_ms, ready_ms)
                } else {
                    asked_ms.max(ready_ms)
                };
                arrivals.push(Arrival {
                    kind: index,
                    asked_ms,
                    arrived_ms: opened_ms + ROUND_TRIP_MS,
                });
            }
            asked_ms += interval_ms * random.random_range(0.5..1.5);
        }
    }
    arrivals.sort_by(|one, next| one.arrived_ms.total_cmp(&next.arrived_ms));
    serve(outage, &host_starts, arrivals, &mut tallies);
    tallies
}

/// Returns the time of the first opening packet from `ready_ms` on, if the request is asked at
/// `asked_ms`.
fn next_opening_packet(asked_ms: f64, ready_ms: f64) -> f64 {
    let mut attempt_ms = asked_ms;
    loop {
        let packets = OPENING_MS.map(|offset| attempt_ms + offset);
        if let Some(packet_ms) = packets.into_iter().find(|sent_ms| *sent_ms >= ready_ms) {
            return packet_ms;
        }
        attempt_ms += NEXT_ATTEMPT_MS;
    }
}

/// Returns the times at which processes start, ascending.
fn spread_starts(outage: &Outage, count: usize, random: &mut SmallRng) -> Vec<f64> {
    let mut starts: Vec<f64> = (0..count)
        .map(|_| outage.dark_ms + random.random_range(0.0..=outage.starts_ms))
        .collect();
    starts.sort_by(f64::total_cmp);
    starts
}

/// Lets the servers work on the requests. Of those that wait, the ones that can be in time go
/// first, and among equals the one whose budget ends first.
fn serve(outage: &Outage, host_starts: &[f64], arrivals: Vec<Arrival>, tallies: &mut [Tally]) {
    let mut slots: Vec<(f64, f64)> = host_starts
        .iter()
        .flat_map(|start| vec![(*start, *start); outage.slots])
        .collect();
    let mut waiting: Vec<Arrival> = Vec::new();
    let mut arrivals = arrivals.into_iter().peekable();
    while arrivals.peek().is_some() || !waiting.is_empty() {
        slots.sort_by(|one, next| one.0.total_cmp(&next.0));
        let next_arrival_ms = arrivals.peek().map_or(f64::MAX, |next| next.arrived_ms);
        let free_ms = slots[0].0;
        if waiting.is_empty() || next_arrival_ms <= free_ms {
            waiting.extend(arrivals.next());
            continue;
        }
        let now_ms = waiting
            .iter()
            .map(|request| request.arrived_ms)
            .fold(f64::MAX, f64::min)
            .max(free_ms);
        let is_cold = now_ms < slots[0].1 + outage.cold_ms;
        let factor = if is_cold { outage.cold_factor } else { 1.0 };
        let rank = |request: &Arrival| {
            let kind = &outage.kinds[request.kind];
            let end_ms = now_ms + kind.work_ms * factor;
            let is_late = end_ms > request.asked_ms + kind.target_ms;
            (is_late, request.asked_ms + kind.budget_ms)
        };
        let (index, _) = waiting
            .iter()
            .enumerate()
            .min_by(|(_, one), (_, next)| {
                let (one, next) = (rank(one), rank(next));
                one.0.cmp(&next.0).then(one.1.total_cmp(&next.1))
            })
            .expect("a request waits");
        let request = waiting.swap_remove(index);
        let kind = &outage.kinds[request.kind];
        let end_ms = now_ms + kind.work_ms * factor;
        let tally = &mut tallies[request.kind];
        if end_ms > request.asked_ms + kind.budget_ms {
            tally.failed += 1.0;
            continue;
        }
        slots[0].0 = end_ms;
        if end_ms > request.asked_ms + kind.target_ms {
            tally.late += 1.0;
            let unhindered_ms = request.arrived_ms + kind.work_ms * factor;
            if unhindered_ms <= request.asked_ms + kind.target_ms {
                tally.late_for_lack_of_slots += 1.0;
            }
        }
    }
}
