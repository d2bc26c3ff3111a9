//! Selects and orders the hosts that a new flow is offered to.
//!
//! Placement is designed for servers that work on two or three requests at a time and
//! are 40 to 90 % busy, some of them cold, slow or about to stop, behind balancers that
//! each see only a part of the traffic. A flow cannot move once it is open, so the
//! choice applies to all its requests.
//!
//! Load reports are up to a quarter of a second old. A balancer adds the flows that it
//! has sent since the last report. The first host that is offered the flow knows the
//! current load of its server, and passes the flow on if no slot is free.
//!
//! A server that fails its requests at once looks idle and fast, and would attract
//! nearly all flows. A server that answers in a fraction of the time of the other
//! servers of its service is therefore assumed to be failing.

use std::net::Ipv4Addr;
use std::time::Duration;

use hyssopstair_wire::carried::CandidateList;
use hyssopstair_wire::carried::MAX_CANDIDATES;
use hyssopstair_wire::time::MonotonicTime;

use crate::members::HostRecord;
use crate::members::MemberTimeouts;
use crate::ranking::rank_hosts;

/// Median answer time that is assumed while no host has reported one, in microseconds.
const DEFAULT_ANSWER_MICROS: u64 = 20_000;

/// Fraction of a slot that each open flow counts as, in addition to its requests in
/// progress. A feed sends about one request a second, which takes 15 to 22 ms.
const OPEN_FLOW_SLOTS: f64 = 0.02;

/// Maximum factor by which a long answer time raises the cost of a host, so that one
/// slow answer does not keep all new flows away from it.
const MAX_ANSWER_FACTOR: f64 = 4.0;

/// Divisor of the median answer time: answer times below the quotient are likely to be
/// those of errors. Requests of one service differ by a factor of two at most.
const FAST_ERROR_DIVISOR: u64 = 4;

/// Cost factor of a host that probably answers with errors. It gets new flows once all
/// other hosts are full.
const FAST_ERROR_FACTOR: f64 = 4.0;

/// Maximum number of candidates if no host has a free slot.
const MAX_BUSY_CANDIDATES: usize = 3;

/// Additional cost of a host in another availability zone, in median answer times.
const OTHER_ZONE_COST: f64 = 0.05;

/// A new flow for which hosts are selected.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Name of the service that the flow is for.
    pub service: &'a str,
    /// Availability zone of the balancer.
    pub zone: &'a str,
    /// Time within which the caller expects an answer; zero if not known.
    pub target_latency: Duration,
    /// Hash of the flow.
    pub flow_hash: u64,
    /// Hosts that the flow must not be offered to again.
    pub excluded: &'a [Ipv4Addr],
    /// Another zone whose host has not answered the last offer of the flow. The link to it may
    /// be cut, so the zone's hosts are used only if there are no others.
    pub unanswered_zone: Option<&'a str>,
    /// Names of the emptied zones, ascending.
    pub evacuated_zones: &'a [String],
}

impl PlacementRequest<'_> {
    /// Returns whether the flow may be offered to a host at all.
    fn allows(&self, record: &HostRecord, now: MonotonicTime) -> bool {
        let peer = &record.peer;
        record.service == self.service
            && record.is_service_certain(now)
            && !self.excluded.contains(&peer.address)
            && self.evacuated_zones.binary_search(&peer.zone).is_err()
    }
}

/// The hosts of a service for a new flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// The hosts that the flow is offered to, in this order.
    Offer(CandidateList),
    /// There are hosts, and none of them has room at the moment.
    Full,
    /// There is no host.
    NoHost,
}

/// Selects the hosts that a new flow is offered to. Of the usable hosts with room, the
/// [`MAX_CANDIDATES`] that rank first for the flow are selected, in the order of their
/// expected cost, the lowest first.
pub fn place_flow(
    hosts: &[HostRecord],
    request: &PlacementRequest<'_>,
    timeouts: &MemberTimeouts,
    now: MonotonicTime,
) -> Placement {
    let is_candidate = |record: &&HostRecord| request.allows(record, now);
    let usable: Vec<&HostRecord> = hosts
        .iter()
        .filter(is_candidate)
        .filter(|record| record.accepts_new_flows(timeouts, now))
        .collect();
    let usable = if usable.is_empty() {
        // A host that is suspect or avoided is better than none.
        hosts
            .iter()
            .filter(is_candidate)
            .filter(|record| record.is_fallback())
            .collect()
    } else {
        usable
    };
    if usable.is_empty() {
        return Placement::NoHost;
    }
    let usable = prefer_answering_zones(usable, request.unanswered_zone);
    let usable: Vec<&HostRecord> = usable
        .into_iter()
        .filter(|record| record.may_accept(request.target_latency, now))
        .collect();
    if usable.is_empty() {
        return Placement::Full;
    }
    let has_free_slot = usable.iter().any(|record| record.may_have_free_slot(now));
    let mut addresses: Vec<Ipv4Addr> = usable.iter().map(|record| record.peer.address).collect();
    rank_hosts(request.flow_hash, &mut addresses);
    addresses.truncate(MAX_CANDIDATES);
    let median_micros = median_answer_micros(&usable);
    let mut scored: Vec<(f64, Ipv4Addr)> = usable
        .iter()
        .filter(|record| addresses.contains(&record.peer.address))
        .map(|record| {
            (
                expected_cost(record, request.zone, median_micros),
                record.peer.address,
            )
        })
        .collect();
    scored.sort_by(|left, right| left.0.total_cmp(&right.0));
    if !has_free_slot {
        scored.truncate(MAX_BUSY_CANDIDATES);
    }
    Placement::Offer(scored.into_iter().map(|(_, address)| address).collect())
}

/// Returns the hosts outside the zone that has not answered, or all if there are no others.
fn prefer_answering_zones<'a>(
    hosts: Vec<&'a HostRecord>,
    unanswered_zone: Option<&str>,
) -> Vec<&'a HostRecord> {
    let Some(zone) = unanswered_zone else {
        return hosts;
    };
    let (unanswering, answering): (Vec<_>, Vec<_>) = hosts
        .into_iter()
        .partition(|record| record.peer.zone == zone);
    if answering.is_empty() {
        unanswering
    } else {
        answering
    }
}

/// Returns the median time that the hosts of a service take to answer.
pub fn median_answer_time(hosts: &[HostRecord], service: &str) -> Duration {
    let hosts: Vec<&HostRecord> = hosts
        .iter()
        .filter(|record| record.service == service)
        .collect();
    Duration::from_micros(median_answer_micros(&hosts))
}

/// Returns the median of the reported answer times, in microseconds. A single host that
/// is slow or reports a wrong time has little influence on the median.
fn median_answer_micros(hosts: &[&HostRecord]) -> u64 {
    let mut answer_times: Vec<u64> = hosts
        .iter()
        .map(|record| u64::from(record.load.answer_micros))
        .filter(|micros| *micros > 0)
        .collect();
    answer_times.sort_unstable();
    answer_times
        .get(answer_times.len() / 2)
        .copied()
        .unwrap_or(DEFAULT_ANSWER_MICROS)
}

/// Returns the expected time of a request at a host, in median answer times.
fn expected_cost(record: &HostRecord, zone: &str, median_micros: u64) -> f64 {
    let load = &record.load;
    let slots = f64::from(load.slots.max(1));
    let reported_requests =
        (f64::from(load.in_progress) + f64::from(load.mean_sixteenths) / 16.0) / 2.0;
    let busy_slots = reported_requests
        + f64::from(record.flows_since_report)
        + OPEN_FLOW_SLOTS * f64::from(load.flows);
    let answer_factor = match load.answer_micros {
        0 => 1.0,
        micros if u64::from(micros) < median_micros / FAST_ERROR_DIVISOR => FAST_ERROR_FACTOR,
        micros => (f64::from(micros) / median_micros as f64).clamp(0.5, MAX_ANSWER_FACTOR),
    };
    let zone_cost = if record.peer.zone == zone {
        0.0
    } else {
        OTHER_ZONE_COST
    };
    answer_factor * (1.0 + busy_slots / slots) + zone_cost
}
