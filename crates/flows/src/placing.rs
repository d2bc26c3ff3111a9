//! Which hosts a new flow is offered to, and in which order.
//!
//! The load it answers: servers that work on two or three requests at a time
//! and are 40 to 90 % busy, some of them cold, slow or about to leave, behind
//! balancers that see only a part of the traffic. A flow cannot move once it is
//! open, so the choice counts for all its requests. Reports are up to a quarter
//! of a second old; what a balancer sent since then it counts itself, and the
//! host that is asked first corrects the rest by passing the flow on. A server that
//! fails its requests at once seems idle and fast, and would draw nearly all flows;
//! one that answers in a fraction of the time of its like is taken for such.

use std::net::Ipv4Addr;

use hyssopstair_wire::carried::CandidateList;
use hyssopstair_wire::carried::MAX_CANDIDATES;
use hyssopstair_wire::time::MonotonicTime;

use crate::members::HostRecord;
use crate::members::MemberTimeouts;
use crate::ranking::rank_hosts;

/// Answer time that is assumed of a host that has not told one, in
/// microseconds, where no other host has either.
const ASSUMED_ANSWER_MICROS: u64 = 20_000;

/// Part of a slot that an idle open flow is counted as. A feed asks about once a
/// second for 15 to 22 ms.
const FLOW_SLOT_SHARE: f64 = 0.02;

/// Longest factor by which a host's answer time counts against it, so that one
/// slow answer does not empty a host.
const MAX_TEMPO: f64 = 4.0;

/// Part of the usual answer time, as a divisor, below which answers are likely to
/// be errors. Requests of one service differ by a factor of two at most.
const HASTY_DIVISOR: u64 = 4;

/// Tempo of a server with such answers: it gets new flows once all others are full.
const HASTY_TEMPO: f64 = 4.0;

/// Cost of leaving the availability zone, as a part of one answer.
const OTHER_ZONE_COST: f64 = 0.05;

/// Returns the hosts of a service that a new flow may be offered to, the best
/// first, without those in `tried`.
pub fn order_candidates(
    hosts: &[HostRecord],
    service: &str,
    zone: &str,
    flow: u64,
    tried: &[Ipv4Addr],
    timeouts: &MemberTimeouts,
    now: MonotonicTime,
) -> CandidateList {
    let of_service =
        |record: &&HostRecord| record.service == service && !tried.contains(&record.peer.address);
    let usable: Vec<&HostRecord> = hosts
        .iter()
        .filter(of_service)
        .filter(|record| record.accepts_new_flows(timeouts, now))
        .collect();
    let usable = if usable.is_empty() {
        // A host that was silent for a while is better than none.
        hosts
            .iter()
            .filter(of_service)
            .filter(|record| record.is_fallback())
            .collect()
    } else {
        usable
    };
    let mut addresses: Vec<Ipv4Addr> = usable.iter().map(|record| record.peer.address).collect();
    rank_hosts(flow, &mut addresses);
    addresses.truncate(MAX_CANDIDATES);
    let usual = usual_answer_micros(&usable);
    let mut scored: Vec<(f64, Ipv4Addr)> = usable
        .iter()
        .filter(|record| addresses.contains(&record.peer.address))
        .map(|record| (expected_cost(record, zone, usual), record.peer.address))
        .collect();
    scored.sort_by(|left, right| left.0.total_cmp(&right.0));
    scored.into_iter().map(|(_, address)| address).collect()
}

/// The median of what hosts told, so that one that is slow or lies moves little.
fn usual_answer_micros(hosts: &[&HostRecord]) -> u64 {
    let mut told: Vec<u64> = hosts
        .iter()
        .map(|record| u64::from(record.load.answer_micros))
        .filter(|micros| *micros > 0)
        .collect();
    told.sort_unstable();
    told.get(told.len() / 2)
        .copied()
        .unwrap_or(ASSUMED_ANSWER_MICROS)
}

/// The time that a request would take there, in usual answers.
fn expected_cost(record: &HostRecord, zone: &str, usual: u64) -> f64 {
    let load = &record.load;
    let slots = f64::from(load.slots.max(1));
    let reported = (f64::from(load.in_progress) + f64::from(load.mean_sixteenths) / 16.0) / 2.0;
    let busy = reported + f64::from(record.sent_since) + FLOW_SLOT_SHARE * f64::from(load.flows);
    let tempo = match load.answer_micros {
        0 => 1.0,
        micros if u64::from(micros) < usual / HASTY_DIVISOR => HASTY_TEMPO,
        micros => (f64::from(micros) / usual as f64).clamp(0.5, MAX_TEMPO),
    };
    let distance = if record.peer.zone == zone {
        0.0
    } else {
        OTHER_ZONE_COST
    };
    tempo * (1.0 + busy / slots) + distance
}
