//! Offers new flows to hosts.

use std::net::Ipv4Addr;
use std::time::Duration;

use arrayvec::ArrayVec;
use hyssopstair_wire::carried::CandidateList;
use hyssopstair_wire::carried::CarryHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::time::MonotonicTime;

use crate::balancer::FlowBalancer;
use crate::event::DropReason;
use crate::event::FlowEvent;
use crate::event::RefusalReason;
use crate::holding::HeldFlow;
use crate::holding::copy_age;
use crate::holding::hold_limit;
use crate::outbox::FlowOutbox;
use crate::packet::RawPacket;
use crate::placing::order_candidates;
use crate::ranking::hash_flow;

/// Time that a host has to take a flow before another one is asked. A round trip
/// and the server's handshake take 2 ms; the rest is for a machine that runs
/// several times slower than usual.
const OFFER_PATIENCE: Duration = Duration::from_millis(60);

/// Time after which an opening packet is not a copy of an earlier one; callers
/// send their last copy after 600 ms and give up after 1.4 s.
pub(super) const OPENING_MEMORY: Duration = Duration::from_millis(1_500);

/// Hosts that are asked in turn without an answer.
const MAX_ATTEMPTS: u8 = 3;

/// Hosts that one flow was offered to at most.
const MAX_TRIED: usize = 32;

/// Hosts that a flow was offered to.
type TriedList = ArrayVec<Ipv4Addr, MAX_TRIED>;

/// A new flow that was offered to a host and not taken yet.
#[derive(Debug, Clone)]
pub(super) struct PendingOpening {
    flow: FlowKey,
    host: Ipv4Addr,
    /// The hosts that were asked in this round.
    round: CandidateList,
    arrived: MonotonicTime,
    /// Age of the flow when it arrived.
    age: Duration,
    sent: MonotonicTime,
    attempt: u8,
    tried: TriedList,
    bytes: Vec<u8>,
}

/// A flow that is to be offered.
#[derive(Debug, Clone)]
struct NewFlow {
    flow: FlowKey,
    arrived: MonotonicTime,
    /// Age of the flow when it arrived.
    age: Duration,
    attempt: u8,
    tried: TriedList,
    bytes: Vec<u8>,
}

/// What a flow's route says.
#[derive(Debug, Clone)]
struct RouteFacts {
    service: String,
    timeout: Duration,
    priority: u8,
}

impl FlowBalancer {
    pub(super) fn receive_opening(
        &mut self,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        if self.held.contains(&flow) {
            return;
        }
        let pending = self.openings.iter().find(|opening| opening.flow == flow);
        if pending.is_some_and(|opening| now.since(opening.sent) < OFFER_PATIENCE) {
            // The first copy is still on its way.
            return;
        }
        let is_copy = packet.header.acknowledged > 0;
        if is_copy && pending.is_none() && self.hints.get(&flow).is_some() {
            // A host took the flow, and its answer was lost.
            self.receive_middle(packet, now, outbox);
            return;
        }
        let new = NewFlow {
            flow,
            arrived: pending.map_or(now, |opening| opening.arrived),
            age: pending.map_or(copy_age(packet.header.acknowledged), |opening| opening.age),
            attempt: pending.map_or(0, |opening| opening.attempt),
            tried: pending.map_or_else(Default::default, |opening| opening.tried.clone()),
            bytes: packet.bytes.to_vec(),
        };
        self.openings.retain(|opening| opening.flow != flow);
        self.offer(new, now, outbox);
    }

    /// Offers a flow to the best hosts that were not asked before.
    fn offer(&mut self, new: NewFlow, now: MonotonicTime, outbox: &mut FlowOutbox) {
        if self.routes.table().version() == 0 {
            outbox.note(FlowEvent::Dropped {
                reason: DropReason::NotReady,
            });
            return;
        }
        let Some(facts) = self.facts(&new.flow) else {
            self.refuse(new.flow, RefusalReason::NoRoute, outbox);
            return;
        };
        let order = self.candidates(&new, &facts, now);
        let Some((first, next)) = order.split_first() else {
            self.hold_or_refuse(new, &facts, now, outbox);
            return;
        };
        let first = *first;
        self.note_placed(new.flow, first, new.attempt, now, outbox);
        let header = CarryHeader {
            next: next.iter().copied().collect(),
            ..self.header(ForwardPurpose::Open)
        };
        outbox.send_message(first, &CarryMessage::Forward(header), &new.bytes);
        self.openings.push(PendingOpening {
            flow: new.flow,
            host: first,
            round: order,
            arrived: new.arrived,
            age: new.age,
            sent: now,
            attempt: new.attempt + 1,
            tried: new.tried,
            bytes: new.bytes,
        });
    }

    /// Offers flows to other hosts when the first did not answer in time.
    pub(super) fn retry_openings(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        let mut index = 0;
        while index < self.openings.len() {
            let opening = &self.openings[index];
            let age = now.since(opening.sent);
            let gives_up = opening.attempt >= MAX_ATTEMPTS;
            if age < OFFER_PATIENCE || (gives_up && age < OPENING_MEMORY) {
                index += 1;
                continue;
            }
            let opening = self.openings.swap_remove(index);
            if gives_up {
                continue;
            }
            let was_heard = self
                .members
                .host(opening.host)
                .is_some_and(|record| record.peer.heard > opening.sent);
            if !was_heard {
                self.members.avoid_host(opening.host, now);
            }
            let host = opening.host;
            self.offer(opening.without(&[host]), now, outbox);
        }
    }

    /// Returns whether more than one host may have taken a new flow.
    pub(super) fn was_offered_twice(&self, flow: &FlowKey) -> bool {
        self.openings
            .iter()
            .any(|opening| opening.flow == *flow && opening.attempt > 1)
    }

    /// Notes that a host has taken a flow; there may be room for another one.
    pub(super) fn end_opening(
        &mut self,
        flow: &FlowKey,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        self.openings.retain(|opening| opening.flow != *flow);
        if !self.held.is_empty() {
            self.offer_held(flow, now, outbox);
        }
    }

    /// Offers a flow again that all candidates passed on.
    pub(super) fn offer_again(
        &mut self,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        let Some(index) = self
            .openings
            .iter()
            .position(|opening| opening.flow == flow)
        else {
            return;
        };
        let opening = self.openings.swap_remove(index);
        let round = opening.round.clone();
        self.offer(opening.without(&round), now, outbox);
    }

    /// Offers one waiting flow, and refuses those that waited for too long.
    pub(super) fn tick_held(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        for held in self.held.take_expired(now) {
            self.refuse(held.flow, RefusalReason::NoCapacity, outbox);
        }
        if let Some(held) = self.held.take_first(now, |_| true) {
            self.offer(NewFlow::from(held), now, outbox);
        }
    }

    /// Offers the next waiting flow to the address of `taken`.
    fn offer_held(&mut self, taken: &FlowKey, now: MonotonicTime, outbox: &mut FlowOutbox) {
        let Some(service) = self.facts(taken).map(|facts| facts.service) else {
            return;
        };
        let routes = self.routes.table();
        let next = self.held.take_first(now, |held| {
            let route = routes.route(held.flow.target);
            route.and_then(|route| route.service_of(&held.flow)) == Some(service.as_str())
        });
        if let Some(held) = next {
            self.offer(NewFlow::from(held), now, outbox);
        }
    }

    fn hold_or_refuse(
        &mut self,
        new: NewFlow,
        facts: &RouteFacts,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let has_settled = self.has_settled(now);
        let reason = if new.tried.is_empty() {
            RefusalReason::NoHost
        } else {
            RefusalReason::NoCapacity
        };
        let until = new.arrived + hold_limit(facts.timeout, has_settled);
        let is_hopeless = has_settled && reason == RefusalReason::NoHost;
        if is_hopeless || now >= until {
            self.refuse(new.flow, reason, outbox);
            return;
        }
        let refused = self.held.push(HeldFlow {
            flow: new.flow,
            priority: facts.priority,
            arrived: new.arrived,
            age: new.age,
            until,
            bytes: new.bytes,
        });
        if let Some(held) = refused {
            self.refuse(held.flow, reason, outbox);
        }
    }

    fn facts(&self, flow: &FlowKey) -> Option<RouteFacts> {
        let route = self.routes.table().route(flow.target)?;
        Some(RouteFacts {
            service: route.service_of(flow)?.to_owned(),
            timeout: Duration::from_millis(u64::from(route.timeout_millis)),
            priority: route.priority,
        })
    }

    fn candidates(&self, new: &NewFlow, facts: &RouteFacts, now: MonotonicTime) -> CandidateList {
        order_candidates(
            self.members.hosts(),
            &facts.service,
            &self.identity.zone,
            hash_flow(&new.flow),
            &new.tried,
            &self.members.timeouts(),
            now,
        )
    }

    fn refuse(&self, flow: FlowKey, reason: RefusalReason, outbox: &mut FlowOutbox) {
        outbox.send_reset(flow, 0);
        outbox.note(FlowEvent::Refused {
            flow,
            reason,
            routes: self.routes.table().version(),
        });
    }

    fn note_placed(
        &mut self,
        flow: FlowKey,
        host: Ipv4Addr,
        attempt: u8,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let routes = self.routes.table().version();
        let Some(record) = self.members.host_mut(host) else {
            return;
        };
        record.sent_since = record.sent_since.saturating_add(1);
        outbox.note(FlowEvent::Placed {
            flow,
            host,
            routes,
            in_progress: record.load.in_progress,
            report_age_millis: now.since(record.reported).as_millis() as u32,
            attempt,
        });
    }
}

impl PendingOpening {
    /// Returns the flow, to be offered to others than `hosts`.
    fn without(self, hosts: &[Ipv4Addr]) -> NewFlow {
        let mut tried = self.tried;
        for host in hosts {
            if !tried.contains(host) && tried.try_push(*host).is_err() {
                break;
            }
        }
        NewFlow {
            flow: self.flow,
            arrived: self.arrived,
            age: self.age,
            attempt: self.attempt,
            tried,
            bytes: self.bytes,
        }
    }
}

impl From<HeldFlow> for NewFlow {
    fn from(held: HeldFlow) -> Self {
        Self {
            flow: held.flow,
            arrived: held.arrived,
            age: held.age,
            attempt: 0,
            tried: TriedList::new(),
            bytes: held.bytes,
        }
    }
}
