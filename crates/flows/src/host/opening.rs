//! Takes new flows, or passes them on.
//!
//! The load it answers: bursts at which most servers have all slots taken while
//! a few have one free. A balancer's view is older than a request takes, so the
//! host that is asked looks at its own requests and hands the flow to the next
//! candidate when its server would let it wait. After the last one, the least
//! busy of those asked takes it.

use std::net::Ipv4Addr;

use hyssopstair_wire::carried::CarryHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::ServerState;
use hyssopstair_wire::time::MonotonicTime;

use crate::event::DropReason;
use crate::event::FlowEvent;
use crate::host::FlowHost;
use crate::host::records::FlowPhase;
use crate::host::records::FlowRecord;
use crate::outbox::FlowOutbox;
use crate::packet::RawPacket;

/// Requests for each slot beyond which a server gets no more: the last one then
/// waits for two answers, which is the larger part of its target. More wait better
/// at the balancers, which know the age of each.
const MAX_REQUESTS_PER_SLOT: u16 = 3;

/// Slots of a server that has not told how many it has.
const ASSUMED_SLOTS: u16 = 2;

/// What the gate can do with a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OpeningVerdict {
    /// A slot is free.
    Take,
    /// It would wait behind this many requests.
    Wait(u16),
    /// The server takes no new flows.
    Refuse,
}

impl FlowHost {
    pub(super) fn receive_opening(
        &mut self,
        header: &CarryHeader,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        if self.is_same_opening(&flow) {
            self.deliver(&flow, packet, now, outbox);
            return;
        }
        let known = self.flows.get(&flow);
        if known.is_some_and(|record| record.is_reopened_by(&packet.header)) {
            outbox.record_event(FlowEvent::Dropped {
                reason: DropReason::Repeated,
            });
            return;
        }
        let verdict = self.judge(header, &flow, now);
        let mut onward = header.clone();
        match verdict {
            OpeningVerdict::Take => self.take(header, packet, now, outbox),
            OpeningVerdict::Wait(_) if header.purpose == ForwardPurpose::OpenHere => {
                self.take(header, packet, now, outbox);
            }
            OpeningVerdict::Wait(requests) => {
                if onward.best.is_none_or(|(_, least)| requests < least) {
                    onward.best = Some((self.identity.address, requests));
                }
                self.pass_on(onward, packet, now, outbox);
            }
            OpeningVerdict::Refuse => self.pass_on(onward, packet, now, outbox),
        }
    }

    /// Passes a flow on that the server itself turned away.
    pub(super) fn pass_bounced_opening(
        &mut self,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        if record.phase != FlowPhase::Offered || record.answer_sequence.is_some() {
            return;
        }
        let origin = record.origin.take();
        let offered = record.offered;
        self.flows.remove(&flow);
        self.load.end_offer(offered);
        if let Some(origin) = origin {
            self.pass_on(*origin, packet, now, outbox);
        }
    }

    /// Returns how many requests the server works on at the same time.
    pub(super) fn slots(&self) -> u16 {
        self.server.slots().unwrap_or(ASSUMED_SLOTS)
    }

    fn is_same_opening(&self, flow: &FlowKey) -> bool {
        self.flows
            .get(flow)
            .is_some_and(|record| record.phase == FlowPhase::Offered)
    }

    fn judge(&self, header: &CarryHeader, flow: &FlowKey, now: MonotonicTime) -> OpeningVerdict {
        if self.server.state() != ServerState::Ready || self.is_stopping {
            return OpeningVerdict::Refuse;
        }
        // The newer of the two tables decides; a balancer with newer routes may
        // know one that has not arrived here.
        if self.routes.table().version() >= header.routes && self.routes.table().version() > 0 {
            let allowed = self
                .routes
                .table()
                .route(flow.target)
                .is_some_and(|route| route.allows(&self.identity.service));
            if !allowed {
                return OpeningVerdict::Refuse;
            }
        }
        let requests = self.load.in_progress(now);
        if requests < self.slots() {
            OpeningVerdict::Take
        } else if requests < self.slots() * MAX_REQUESTS_PER_SLOT {
            OpeningVerdict::Wait(requests)
        } else {
            OpeningVerdict::Refuse
        }
    }

    fn take(
        &mut self,
        header: &CarryHeader,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        // An earlier flow with the same two ends is over for its caller.
        self.set_phase(&flow, FlowPhase::Closed);
        self.flows.insert(
            flow,
            FlowRecord::offered(header.clone(), &packet.header, now),
        );
        self.load.begin_offer(now);
        outbox.record_event(FlowEvent::Offered {
            flow,
            balancer: header.balancer,
            in_progress: self.load.in_progress(now),
        });
        self.deliver(&flow, packet, now, outbox);
    }

    fn pass_on(
        &mut self,
        mut header: CarryHeader,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        if header.next.is_empty() {
            self.end_round(header, packet, now, outbox);
            return;
        }
        let host = header.next.remove(0);
        self.send_on(host, header, packet, now, outbox);
    }

    /// No candidate has a free slot: the least busy one takes the flow.
    fn end_round(
        &mut self,
        mut header: CarryHeader,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        match header.best {
            Some((host, _)) if host == self.identity.address => {
                self.take(&header, packet, now, outbox);
            }
            Some((host, _)) => {
                header.purpose = ForwardPurpose::OpenHere;
                // If it has changed its mind, the balancer chooses again.
                header.best = None;
                self.send_on(host, header, packet, now, outbox);
            }
            None => {
                let message = CarryMessage::Returned {
                    purpose: header.purpose,
                };
                outbox.enqueue_message(header.balancer, &message, packet.bytes);
            }
        }
    }

    fn send_on(
        &self,
        host: Ipv4Addr,
        header: CarryHeader,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        outbox.record_event(FlowEvent::PassedOn {
            flow: packet.header.caller_flow(),
            host,
            server: self.server.state(),
            in_progress: self.load.in_progress(now),
        });
        outbox.enqueue_message(host, &CarryMessage::Forward(header), packet.bytes);
    }
}
