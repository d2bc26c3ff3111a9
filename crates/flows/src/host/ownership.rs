//! Answers whether the server holds a flow, and forwards packets of flows that it holds.

use std::net::Ipv4Addr;
use std::time::Duration;

use hyssopstair_wire::carried::CarryHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::FlowQuestion;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::ServerState;
use hyssopstair_wire::time::MonotonicTime;

use crate::event::DropReason;
use crate::event::FlowEvent;
use crate::host::FlowHost;
use crate::host::opening::FlowOffer;
use crate::host::records::FlowPhase;
use crate::host::records::FlowRecord;
use crate::outbox::FlowOutbox;
use crate::packet::RawPacket;

/// Time after the start of a host within which a running server makes itself known: two
/// heartbeats, which are sent every 1.2 s, and a margin.
const SERVER_DISCOVERY_TIMEOUT: Duration = Duration::from_millis(2_500);

impl FlowHost {
    /// Handles a packet of a flow that is assumed to be open already.
    pub(super) fn receive_established_packet(
        &mut self,
        header: &CarryHeader,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        if packet.header.opens_flow() {
            self.return_opening(&flow, header, packet, now, outbox);
            return;
        }
        let is_search = header.purpose != ForwardPurpose::Owner;
        let acknowledged = packet.header.acknowledged_position();
        let Some(record) = self.flows.get_mut(&flow) else {
            self.receive_unknown_flow(header, packet, now, outbox);
            return;
        };
        match record.phase {
            FlowPhase::Absent => {
                self.decline_packet(header, packet, now, outbox);
                return;
            }
            FlowPhase::Broken if !record.continues_stream(acknowledged) => {
                // The flow may continue at another server, also if the balancer takes this
                // host for its owner.
                self.decline_packet(header, packet, now, outbox);
                return;
            }
            FlowPhase::Broken => {
                outbox.enqueue_reset(flow, packet.header.acknowledged);
                return;
            }
            FlowPhase::Offered if !record.continues_stream(acknowledged) => {
                // The caller accepted the answer of another server.
                self.decline_packet(header, packet, now, outbox);
                return;
            }
            FlowPhase::Probed => {
                // The balancer that asked last gets the result of the probe.
                record.offer = Some(Box::new(FlowOffer::unnamed(header)));
            }
            FlowPhase::Offered | FlowPhase::Open | FlowPhase::Closed => {}
        }
        let is_known = record.phase != FlowPhase::Probed;
        record.balancer = header.balancer;
        if is_search && is_known {
            self.send_claim(flow, header.balancer, now, outbox);
        }
        self.deliver_packet(&flow, packet, now, outbox);
    }

    /// Returns an opening packet that a balancer has forwarded by its flow table, so that the
    /// balancer offers the flow anew. Only an offer names the service, and the entry may be that
    /// of a former instance at the address.
    fn return_opening(
        &self,
        flow: &FlowKey,
        header: &CarryHeader,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let known_record = self.flows.get(flow);
        if known_record.is_some_and(|record| record.is_duplicate_opening(&packet.header)) {
            outbox.record_event(FlowEvent::Dropped {
                reason: DropReason::Repeated,
            });
            return;
        }
        self.decline_packet(header, packet, now, outbox);
    }

    /// Handles a packet of a flow that is not in the table. If the server may hold the
    /// flow, the packet is delivered to it as a probe.
    pub(super) fn receive_unknown_flow(
        &mut self,
        header: &CarryHeader,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        if !self.may_hold_unknown_flow(now) {
            self.decline_packet(header, packet, now, outbox);
            return;
        }
        let flow = packet.header.caller_flow();
        self.flows.insert(flow, FlowRecord::probed(header, now));
        self.deliver_packet(&flow, packet, now, outbox);
    }

    /// Returns whether the server may hold flows that are not in the table.
    pub(super) fn may_hold_unknown_flow(&self, now: MonotonicTime) -> bool {
        let may_be_running = match self.server.state() {
            ServerState::Ready | ServerState::Draining => true,
            ServerState::Unknown => now.since(self.created_at) < SERVER_DISCOVERY_TIMEOUT,
            ServerState::Down => false,
        };
        self.is_relearning && may_be_running
    }

    /// Tells the balancer that the server does not hold the flow of a packet. A probe is
    /// answered with a denial; any other packet is returned.
    pub(super) fn decline_packet(
        &self,
        header: &CarryHeader,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        let (message, payload) = match header.purpose {
            ForwardPurpose::Probe => {
                let flows = vec![flow];
                let is_certain = true;
                (CarryMessage::NotHeld { flows, is_certain }, &[][..])
            }
            purpose => (CarryMessage::Returned { purpose }, packet.bytes),
        };
        self.send_to_balancer(header.balancer, &flow, &message, payload, now, outbox);
    }

    /// Sends a message about a flow to a balancer, on the way by which the balancer is reached.
    pub(super) fn send_to_balancer(
        &self,
        balancer: Ipv4Addr,
        flow: &FlowKey,
        message: &CarryMessage,
        payload: &[u8],
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let way = self.detours.way_to(balancer, flow, &self.members, now);
        self.detours.send(way, balancer, message, payload, outbox);
    }

    /// Answers a balancer's questions about which flows the server holds.
    pub(super) fn answer_questions(
        &mut self,
        from: Ipv4Addr,
        questions: &[FlowQuestion],
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let mut not_held = Vec::new();
        let mut uncertain = Vec::new();
        for question in questions {
            let flow = question.flow;
            let Some(record) = self.flows.get_mut(&flow) else {
                if self.may_hold_unknown_flow(now) {
                    uncertain.push(flow);
                } else {
                    not_held.push(flow);
                }
                continue;
            };
            if record.phase == FlowPhase::Probed {
                uncertain.push(flow);
                continue;
            }
            if !record.matches_question(question) {
                not_held.push(flow);
                continue;
            }
            record.balancer = from;
            self.send_claim(flow, from, now, outbox);
        }
        for (flows, is_certain) in [(not_held, true), (uncertain, false)] {
            if let Some(first_flow) = flows.first().copied() {
                let message = CarryMessage::NotHeld { flows, is_certain };
                self.send_to_balancer(from, &first_flow, &message, &[], now, outbox);
            }
        }
    }

    /// Tells a balancer that the server holds a flow.
    pub(super) fn send_claim(
        &self,
        flow: FlowKey,
        balancer: Ipv4Addr,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        if balancer.is_unspecified() {
            return;
        }
        let load = self.load_report(now);
        let message = CarryMessage::Owned { flow, load };
        self.send_to_balancer(balancer, &flow, &message, &[], now, outbox);
    }
}
