//! Offers new flows to hosts.
//!
//! A flow whose offer times out, or that all candidates decline, is offered again to
//! hosts that have not been tried. A flow that no host can accept may be held for a
//! short time before it is refused.

use std::net::Ipv4Addr;
use std::time::Duration;

use arrayvec::ArrayVec;
use hyssopstair_wire::carried::CandidateList;
use hyssopstair_wire::carried::CarryHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::PeerVersion;
use hyssopstair_wire::time::MonotonicTime;

use crate::balancer::FlowBalancer;
use crate::event::DropReason;
use crate::event::FlowEvent;
use crate::event::RefusalReason;
use crate::holding::HeldFlow;
use crate::holding::max_fresh_age;
use crate::holding::max_hold_time;
use crate::holding::opening_age;
use crate::outbox::FlowOutbox;
use crate::packet::RawPacket;
use crate::placing::Placement;
use crate::placing::PlacementRequest;
use crate::placing::median_answer_time;
use crate::placing::place_flow;
use crate::ranking::hash_flow;
use crate::routes::RouteTable;

/// Time a host has to accept a flow before the flow is offered to another one. A
/// round trip and the server's handshake take 2 ms; the rest allows for a machine
/// that runs several times slower than usual.
const OFFER_TIMEOUT: Duration = Duration::from_millis(60);

/// Time after which an opening packet cannot be a retransmission of an earlier one.
/// Callers retransmit for the last time after 600 ms and give up after 1.4 s.
pub(super) const OPENING_RETRANSMIT_WINDOW: Duration = Duration::from_millis(1_500);

/// Number of offers after which a flow that times out is not offered again.
const MAX_ATTEMPTS: u8 = 3;

/// Maximum number of tried hosts remembered for one flow.
const MAX_TRIED_HOSTS: usize = 32;

/// Hosts that a flow has already been offered to.
type TriedHosts = ArrayVec<Ipv4Addr, MAX_TRIED_HOSTS>;

/// A new flow that was offered to hosts and that none has accepted yet.
#[derive(Debug, Clone)]
pub(super) struct PendingOpening {
    flow: FlowKey,
    /// Host that the current offer was sent to.
    first_host: Ipv4Addr,
    /// Hosts of the current offer, `first_host` included, in the order in which they are
    /// asked.
    offered_hosts: CandidateList,
    arrived_at: MonotonicTime,
    /// Age of the flow at `arrived_at`.
    age_at_arrival: Duration,
    sent_at: MonotonicTime,
    /// Number of offers, the current one included.
    attempt_count: u8,
    tried_hosts: TriedHosts,
    /// Another zone whose host has not answered the last offer.
    unanswered_zone: Option<String>,
    bytes: Vec<u8>,
}

/// A new flow to be offered to hosts.
#[derive(Debug, Clone)]
struct NewFlow {
    flow: FlowKey,
    arrived_at: MonotonicTime,
    /// Age of the flow at `arrived_at`.
    age_at_arrival: Duration,
    /// Number of earlier offers.
    attempt_count: u8,
    tried_hosts: TriedHosts,
    /// Another zone whose host has not answered the last offer.
    unanswered_zone: Option<String>,
    bytes: Vec<u8>,
}

/// What the route of a flow says about it.
#[derive(Debug, Clone)]
struct RouteMatch {
    service: String,
    timeout: Duration,
    /// Time within which callers expect an answer; zero if not known.
    target_latency: Duration,
    priority: u8,
}

impl FlowBalancer {
    /// Handles the opening packet of a flow. Ignores it while an offer is pending or the
    /// flow is held, forwards a retransmission to the host that has accepted the flow,
    /// and offers the flow otherwise.
    pub(super) fn receive_opening_packet(
        &mut self,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        if self.hold_queue.contains(&flow) {
            return;
        }
        let pending = self.openings.iter().find(|opening| opening.flow == flow);
        let offer_timeout = self.offer_time.timeout(OFFER_TIMEOUT);
        if pending.is_some_and(|opening| now.since(opening.sent_at) < offer_timeout) {
            // The current offer has not timed out yet.
            return;
        }
        let is_retransmit = packet.header.acknowledged > 0;
        if is_retransmit && pending.is_none() && self.hints.get(&flow).is_some() {
            // A host accepted the flow, and the answer to the caller was lost.
            self.receive_established_packet(packet, now, outbox);
            return;
        }
        let new_flow = NewFlow {
            flow,
            arrived_at: pending.map_or(now, |opening| opening.arrived_at),
            age_at_arrival: pending.map_or(opening_age(packet.header.acknowledged), |opening| {
                opening.age_at_arrival
            }),
            attempt_count: pending.map_or(0, |opening| opening.attempt_count),
            tried_hosts: pending
                .map_or_else(Default::default, |opening| opening.tried_hosts.clone()),
            unanswered_zone: pending.and_then(|opening| self.find_unanswered_zone(opening)),
            bytes: packet.bytes.to_vec(),
        };
        self.openings.retain(|opening| opening.flow != flow);
        self.offer_flow(new_flow, now, outbox);
    }

    /// Offers a flow to the best hosts that have not been tried. Holds or refuses the
    /// flow if there are none.
    fn offer_flow(&mut self, new_flow: NewFlow, now: MonotonicTime, outbox: &mut FlowOutbox) {
        if self.routes.table().version() == 0 {
            self.hold_until_routes(new_flow, outbox);
            return;
        }
        let Some(route_match) = self.match_route(&new_flow.flow) else {
            self.refuse_flow(new_flow.flow, RefusalReason::NoRoute, outbox);
            return;
        };
        match self.place_new_flow(&new_flow, &route_match, now) {
            Placement::Offer(candidates) => {
                self.send_offer(new_flow, &route_match, candidates, now, outbox);
            }
            Placement::Full => {
                let reason = RefusalReason::NoCapacity;
                self.hold_or_refuse_flow(new_flow, &route_match, reason, now, outbox);
            }
            Placement::NoHost => {
                let reason = self.explain_missing_host(&new_flow, &route_match);
                self.hold_or_refuse_flow(new_flow, &route_match, reason, now, outbox);
            }
        }
    }

    /// Sends an offer to the first candidate.
    fn send_offer(
        &mut self,
        new_flow: NewFlow,
        route_match: &RouteMatch,
        candidates: CandidateList,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let Some((first_host, next_hosts)) = candidates.split_first() else {
            return;
        };
        let first_host = *first_host;
        self.record_placement(&new_flow, route_match, first_host, now, outbox);
        let header = CarryHeader {
            next: next_hosts.iter().copied().collect(),
            ..self.build_forward_header(ForwardPurpose::Open)
        };
        let message = if self.understand_offers(&candidates) {
            CarryMessage::Offer {
                header,
                service: route_match.service.clone(),
            }
        } else {
            CarryMessage::Forward(header)
        };
        outbox.enqueue_message(first_host, &message, &new_flow.bytes);
        self.openings.push(PendingOpening {
            flow: new_flow.flow,
            first_host,
            offered_hosts: candidates,
            arrived_at: new_flow.arrived_at,
            age_at_arrival: new_flow.age_at_arrival,
            sent_at: now,
            attempt_count: new_flow.attempt_count + 1,
            tried_hosts: new_flow.tried_hosts,
            unanswered_zone: new_flow.unanswered_zone,
            bytes: new_flow.bytes,
        });
    }

    /// Returns whether all of these hosts understand [`CarryMessage::Offer`].
    fn understand_offers(&self, hosts: &[Ipv4Addr]) -> bool {
        hosts.iter().all(|host| {
            let record = self.members.host(*host);
            record.is_some_and(|record| record.peer.version >= PeerVersion::OFFERS)
        })
    }

    /// Offers flows to other hosts if no host has accepted them in time. After the last
    /// attempt, drops the pending opening once the caller no longer retransmits.
    pub(super) fn retry_expired_offers(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        let offer_timeout = self.offer_time.timeout(OFFER_TIMEOUT);
        let mut index = 0;
        while index < self.openings.len() {
            let opening = &self.openings[index];
            let offer_age = now.since(opening.sent_at);
            let is_last_attempt = opening.attempt_count >= MAX_ATTEMPTS;
            if offer_age < offer_timeout
                || (is_last_attempt && offer_age < OPENING_RETRANSMIT_WINDOW)
            {
                index += 1;
                continue;
            }
            let opening = self.openings.swap_remove(index);
            if is_last_attempt {
                continue;
            }
            let has_responded = self
                .members
                .host(opening.first_host)
                .is_some_and(|record| record.peer.last_seen_at > opening.sent_at);
            if !has_responded {
                self.members.avoid_host(opening.first_host, now);
            }
            let unanswered_zone = self.find_unanswered_zone(&opening);
            let first_host = opening.first_host;
            let new_flow = NewFlow {
                unanswered_zone,
                ..opening.into_new_flow(&[first_host])
            };
            self.offer_flow(new_flow, now, outbox);
        }
    }

    /// Returns the zone of the host that has not answered an offer, or the one that has not
    /// answered before if the host is in the balancer's own zone.
    fn find_unanswered_zone(&self, opening: &PendingOpening) -> Option<String> {
        let zone = self.members.peer(opening.first_host).map(|peer| &peer.zone);
        zone.filter(|zone| **zone != self.identity.zone)
            .or(opening.unanswered_zone.as_ref())
            .cloned()
    }

    /// Returns whether several hosts may have accepted a pending flow: it was offered more than
    /// once, or its first opening packet did not come to this balancer, so that another one may
    /// have offered it.
    pub(super) fn has_several_offers(&self, flow: &FlowKey) -> bool {
        self.openings.iter().any(|opening| {
            let is_repetition = opening.age_at_arrival > Duration::ZERO;
            opening.flow == *flow && (opening.attempt_count > 1 || is_repetition)
        })
    }

    /// Ends the offer of a flow that a host has accepted, and offers a held flow of the
    /// same service, which may have capacity for another one.
    pub(super) fn complete_opening(
        &mut self,
        flow: &FlowKey,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        if let Some(index) = self.find_opening(flow) {
            let opening = self.openings.swap_remove(index);
            self.offer_time.record(now.since(opening.sent_at));
        }
        if !self.hold_queue.is_empty() {
            self.offer_next_held_flow(flow, now, outbox);
        }
    }

    /// Offers a flow to other hosts after all candidates of the current offer have
    /// declined it.
    pub(super) fn reoffer_returned_flow(
        &mut self,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        let Some(index) = self.find_opening(&flow) else {
            return;
        };
        let opening = self.openings.swap_remove(index);
        self.offer_time.record(now.since(opening.sent_at));
        let offered_hosts = opening.offered_hosts.clone();
        let target_latency = self.routes.table().target_latency(flow.target);
        for host in &offered_hosts {
            self.members.record_full(*host, target_latency, now);
        }
        self.offer_flow(opening.into_new_flow(&offered_hosts), now, outbox);
    }

    fn find_opening(&self, flow: &FlowKey) -> Option<usize> {
        self.openings
            .iter()
            .position(|opening| opening.flow == *flow)
    }

    /// Refuses the held flows whose deadline has passed, and offers the others, the
    /// highest-ranked first, as long as hosts have room.
    pub(super) fn process_held_flows(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        for held_flow in self.hold_queue.take_expired(now) {
            self.refuse_flow(held_flow.flow, RefusalReason::NoCapacity, outbox);
        }
        if self.routes.table().version() == 0 {
            return;
        }
        let mut full_services: Vec<String> = Vec::new();
        loop {
            let routes = self.routes.table();
            let next_flow = self.hold_queue.take_next(now, |held_flow| {
                let service = service_of(routes, &held_flow.flow);
                service.is_none_or(|service| !full_services.iter().any(|full| full == service))
            });
            let Some(held_flow) = next_flow else {
                return;
            };
            let service = service_of(self.routes.table(), &held_flow.flow).map(str::to_owned);
            let flow = held_flow.flow;
            self.offer_flow(NewFlow::from(held_flow), now, outbox);
            if self.hold_queue.contains(&flow) {
                full_services.extend(service);
            }
        }
    }

    /// Offers the highest-ranked held flow of the service that has just accepted
    /// `accepted_flow`.
    fn offer_next_held_flow(
        &mut self,
        accepted_flow: &FlowKey,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let Some(service) = self
            .match_route(accepted_flow)
            .map(|route_match| route_match.service)
        else {
            return;
        };
        let routes = self.routes.table();
        let next_held_flow = self.hold_queue.take_next(now, |held_flow| {
            service_of(routes, &held_flow.flow) == Some(service.as_str())
        });
        if let Some(held_flow) = next_held_flow {
            self.offer_flow(NewFlow::from(held_flow), now, outbox);
        }
    }

    /// Returns why no host can be offered the flow: all were tried, all are in emptied zones,
    /// or there is none.
    fn explain_missing_host(&self, new_flow: &NewFlow, route_match: &RouteMatch) -> RefusalReason {
        if !new_flow.tried_hosts.is_empty() {
            RefusalReason::NoCapacity
        } else if self.is_service_evacuated(&route_match.service) {
            RefusalReason::ZoneEvacuated
        } else {
            RefusalReason::NoHost
        }
    }

    /// Holds a flow that arrived before the routes. Which service it is for is not known, so
    /// it waits as long as its caller retransmits.
    fn hold_until_routes(&mut self, new_flow: NewFlow, outbox: &mut FlowOutbox) {
        let rejected = self.hold_queue.push(HeldFlow {
            flow: new_flow.flow,
            priority: 0,
            arrived_at: new_flow.arrived_at,
            age_at_arrival: new_flow.age_at_arrival,
            max_fresh_age: max_fresh_age(Duration::ZERO, Duration::ZERO),
            deadline: new_flow.arrived_at
                + max_hold_time(
                    Duration::ZERO,
                    Duration::ZERO,
                    new_flow.age_at_arrival,
                    false,
                ),
            bytes: new_flow.bytes,
        });
        if rejected.is_some() {
            outbox.record_event(FlowEvent::Dropped {
                reason: DropReason::NotReady,
            });
        }
    }

    fn hold_or_refuse_flow(
        &mut self,
        new_flow: NewFlow,
        route_match: &RouteMatch,
        reason: RefusalReason,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let is_discovery_complete = self.is_discovery_complete(now);
        let answer_time = median_answer_time(self.members.hosts(), &route_match.service);
        let deadline = new_flow.arrived_at
            + max_hold_time(
                route_match.timeout,
                answer_time,
                new_flow.age_at_arrival,
                is_discovery_complete,
            );
        let is_unservable = is_discovery_complete && reason != RefusalReason::NoCapacity;
        if is_unservable || now >= deadline {
            self.refuse_flow(new_flow.flow, reason, outbox);
            return;
        }
        let rejected = self.hold_queue.push(HeldFlow {
            flow: new_flow.flow,
            priority: route_match.priority,
            arrived_at: new_flow.arrived_at,
            age_at_arrival: new_flow.age_at_arrival,
            max_fresh_age: max_fresh_age(route_match.target_latency, answer_time),
            deadline,
            bytes: new_flow.bytes,
        });
        if let Some(held_flow) = rejected {
            self.refuse_flow(held_flow.flow, reason, outbox);
        }
    }

    /// Returns whether a host of the service accepts new flows, and all that do are in emptied
    /// zones.
    fn is_service_evacuated(&self, service: &str) -> bool {
        let mut fallbacks = self
            .members
            .hosts()
            .iter()
            .filter(|record| record.service == service && record.is_fallback())
            .peekable();
        fallbacks.peek().is_some()
            && fallbacks.all(|record| self.evacuation.contains(&record.peer.zone))
    }

    fn match_route(&self, flow: &FlowKey) -> Option<RouteMatch> {
        let route = self.routes.table().route(flow.target)?;
        Some(RouteMatch {
            service: route.service_of(flow)?.to_owned(),
            timeout: Duration::from_millis(u64::from(route.timeout_millis)),
            target_latency: route.target_latency(),
            priority: route.priority,
        })
    }

    fn place_new_flow(
        &self,
        new_flow: &NewFlow,
        route_match: &RouteMatch,
        now: MonotonicTime,
    ) -> Placement {
        let request = PlacementRequest {
            service: &route_match.service,
            zone: &self.identity.zone,
            target_latency: route_match.target_latency,
            flow_hash: hash_flow(&new_flow.flow),
            excluded: &new_flow.tried_hosts,
            unanswered_zone: new_flow.unanswered_zone.as_deref(),
            evacuated_zones: self.evacuation.zones(),
        };
        let timeouts = self.members.timeouts();
        place_flow(self.members.hosts(), &request, &timeouts, now)
    }

    pub(super) fn refuse_flow(
        &self,
        flow: FlowKey,
        reason: RefusalReason,
        outbox: &mut FlowOutbox,
    ) {
        outbox.enqueue_reset(flow, 0);
        outbox.record_event(FlowEvent::Refused {
            flow,
            reason,
            routes: self.routes.table().version(),
        });
    }

    fn record_placement(
        &mut self,
        new_flow: &NewFlow,
        route_match: &RouteMatch,
        host: Ipv4Addr,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let routes = self.routes.table().version();
        let Some(record) = self.members.host_mut(host) else {
            return;
        };
        record.flows_since_report = record.flows_since_report.saturating_add(1);
        outbox.record_event(FlowEvent::Placed {
            flow: new_flow.flow,
            host,
            service: route_match.service.clone(),
            hello_age_millis: now.since(record.peer.hello_at).as_millis() as u32,
            routes,
            in_progress: record.load.in_progress,
            report_age_millis: now.since(record.reported_at).as_millis() as u32,
            attempt: new_flow.attempt_count,
        });
    }
}

impl PendingOpening {
    /// Returns whether the flow is offered again if the current offer times out.
    pub(super) fn may_be_repeated(&self) -> bool {
        self.attempt_count < MAX_ATTEMPTS
    }

    /// Converts the pending opening into a flow to be offered again, with `hosts` added
    /// to its tried hosts.
    fn into_new_flow(self, hosts: &[Ipv4Addr]) -> NewFlow {
        let mut tried_hosts = self.tried_hosts;
        for host in hosts {
            if !tried_hosts.contains(host) && tried_hosts.try_push(*host).is_err() {
                break;
            }
        }
        NewFlow {
            flow: self.flow,
            arrived_at: self.arrived_at,
            age_at_arrival: self.age_at_arrival,
            attempt_count: self.attempt_count,
            tried_hosts,
            unanswered_zone: self.unanswered_zone,
            bytes: self.bytes,
        }
    }
}

impl From<HeldFlow> for NewFlow {
    fn from(held_flow: HeldFlow) -> Self {
        Self {
            flow: held_flow.flow,
            arrived_at: held_flow.arrived_at,
            age_at_arrival: held_flow.age_at_arrival,
            attempt_count: 0,
            tried_hosts: TriedHosts::new(),
            unanswered_zone: None,
            bytes: held_flow.bytes,
        }
    }
}

/// Returns the service that a flow is for.
fn service_of<'a>(routes: &'a RouteTable, flow: &FlowKey) -> Option<&'a str> {
    routes.route(flow.target)?.service_of(flow)
}
