//! Offers new flows to hosts.

use std::net::Ipv4Addr;
use std::time::Duration;

use arrayvec::ArrayVec;
use hyssopstair_wire::carried::CarryHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::time::MonotonicTime;

use crate::balancer::FlowBalancer;
use crate::event::DropReason;
use crate::event::FlowEvent;
use crate::event::RefusalReason;
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
const OPENING_MEMORY: Duration = Duration::from_millis(1_500);

/// Hosts that are asked in turn without an answer.
const MAX_ATTEMPTS: u8 = 3;

/// Hosts that one flow was offered to at most.
const MAX_TRIED: usize = 32;

/// Time after the start during which flows that nothing is known for are left
/// to the caller's next copy in place of being refused.
const WARM_UP: Duration = Duration::from_secs(2);

/// A new flow that no host has taken yet.
#[derive(Debug, Clone)]
pub(super) struct PendingOpening {
    flow: FlowKey,
    host: Ipv4Addr,
    sent: MonotonicTime,
    attempt: u8,
    tried: ArrayVec<Ipv4Addr, MAX_TRIED>,
    bytes: Vec<u8>,
}

impl FlowBalancer {
    pub(super) fn receive_opening(
        &mut self,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
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
        let (attempt, tried) = match pending {
            Some(opening) => (opening.attempt, opening.tried.clone()),
            None => Default::default(),
        };
        self.openings.retain(|opening| opening.flow != flow);
        self.offer(flow, packet.bytes, attempt, tried, now, outbox);
    }

    /// Offers a flow to the best hosts that were not asked before.
    fn offer(
        &mut self,
        flow: FlowKey,
        bytes: &[u8],
        attempt: u8,
        mut tried: ArrayVec<Ipv4Addr, MAX_TRIED>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        if self.routes.version() == 0 {
            outbox.note(FlowEvent::Dropped {
                reason: DropReason::NotReady,
            });
            return;
        }
        let service = self
            .routes
            .route(flow.target)
            .and_then(|route| route.service_of(&flow));
        let Some(service) = service else {
            self.refuse(flow, RefusalReason::NoRoute, outbox);
            return;
        };
        let limits = self.members.limits();
        let mut order = order_candidates(
            self.members.hosts(),
            service,
            &self.identity.zone,
            hash_flow(&flow),
            &tried,
            &limits,
            now,
        );
        if order.is_empty() {
            let reason = if tried.is_empty() {
                RefusalReason::NoHost
            } else {
                RefusalReason::NoCapacity
            };
            if reason == RefusalReason::NoHost && now.since(self.created) < WARM_UP {
                outbox.note(FlowEvent::Dropped {
                    reason: DropReason::NotReady,
                });
            } else {
                self.refuse(flow, reason, outbox);
            }
            return;
        }
        let first = order.remove(0);
        self.note_placed(flow, first, attempt, now, outbox);
        let header = CarryHeader {
            next: order,
            ..self.header(ForwardPurpose::Open)
        };
        outbox.send_message(first, &CarryMessage::Forward(header), bytes);
        if tried.try_push(first).is_err() {
            tried.clear();
        }
        self.openings.push(PendingOpening {
            flow,
            host: first,
            sent: now,
            attempt: attempt + 1,
            tried,
            bytes: bytes.to_vec(),
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
            let PendingOpening {
                flow,
                attempt,
                tried,
                bytes,
                ..
            } = opening;
            self.offer(flow, &bytes, attempt, tried, now, outbox);
        }
    }

    /// Notes that a host has taken a flow, and returns whether one was waiting.
    pub(super) fn end_opening(&mut self, flow: &FlowKey) {
        self.openings.retain(|opening| opening.flow != *flow);
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
        let mut tried = opening.tried;
        // The candidates of that round are those that would be chosen now.
        let asked = self.candidates_of(&flow, &tried, now);
        for host in asked {
            if tried.try_push(host).is_err() {
                break;
            }
        }
        self.offer(flow, packet.bytes, opening.attempt, tried, now, outbox);
    }

    fn candidates_of(
        &self,
        flow: &FlowKey,
        tried: &[Ipv4Addr],
        now: MonotonicTime,
    ) -> Vec<Ipv4Addr> {
        let service = self
            .routes
            .route(flow.target)
            .and_then(|route| route.service_of(flow));
        let Some(service) = service else {
            return Vec::new();
        };
        let limits = self.members.limits();
        let hash = hash_flow(flow);
        let hosts = self.members.hosts();
        order_candidates(
            hosts,
            service,
            &self.identity.zone,
            hash,
            tried,
            &limits,
            now,
        )
        .to_vec()
    }

    fn refuse(&self, flow: FlowKey, reason: RefusalReason, outbox: &mut FlowOutbox) {
        outbox.send_reset(flow, 0);
        outbox.note(FlowEvent::Refused {
            flow,
            reason,
            routes: self.routes.version(),
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
        let routes = self.routes.version();
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
