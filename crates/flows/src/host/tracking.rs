//! Tracks the packets to and from the server: which flows are open, which requests are in
//! progress, and which packets the server does not accept.

use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::time::MonotonicTime;

use crate::event::BreakReason;
use crate::event::FlowEvent;
use crate::host::FlowHost;
use crate::host::records::FlowPhase;
use crate::host::records::FlowRecord;
use crate::outbox::Destination;
use crate::outbox::FlowOutbox;
use crate::packet::RawPacket;

impl FlowHost {
    /// Delivers a packet to the server and tracks the caller's side of its flow.
    pub(super) fn deliver_packet(
        &mut self,
        flow: &FlowKey,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        outbox.enqueue_packet(Destination::Server, packet.bytes);
        self.server.record_delivery(now);
        let Some(record) = self.flows.get_mut(flow) else {
            return;
        };
        record.last_used_at = now;
        if packet.header.has_ack {
            record.acknowledged = packet.header.acknowledged;
        }
        if packet.header.opens_flow() {
            return;
        }
        if record.phase == FlowPhase::Offered {
            record.phase = FlowPhase::Open;
            self.load.remove_offer(record.offered_at);
        }
        if record.record_delivered_data(&packet.header) && record.request_started_at.is_none() {
            record.request_started_at = Some(now);
            self.load.begin_request(now);
        }
        if packet.header.is_finish || packet.header.is_reset {
            // The caller no longer waits for an answer.
            if let Some(started_at) = record.request_started_at.take() {
                self.load.discard_request(started_at);
            }
            record.close_caller_side(packet.header.is_reset);
        }
    }

    /// Tracks the server's side of a flow: whether the server holds it, and when it
    /// answers a request.
    pub(super) fn track_server_packet(
        &mut self,
        flow: &FlowKey,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let header = &packet.header;
        let Some(record) = self.flows.get_mut(flow) else {
            // The flow was opened before this process started.
            if header.is_open && header.has_ack {
                let record = FlowRecord::accepted(header.sequence, now);
                self.flows.insert(*flow, record);
            } else if !header.is_reset {
                self.flows.insert(*flow, FlowRecord::observed(now));
            }
            return;
        };
        record.last_used_at = now;
        let mut balancer_to_notify = None;
        if header.is_open && header.has_ack && record.phase == FlowPhase::Offered {
            record.server_start = Some(header.sequence);
            balancer_to_notify = Some(record.balancer);
        }
        if matches!(record.phase, FlowPhase::Probed | FlowPhase::Absent) && !header.is_reset {
            record.phase = FlowPhase::Open;
            balancer_to_notify = Some(record.balancer);
        }
        let is_answer = header.data_length > 0 || record.ends_after_unacknowledged_data(header);
        let is_closed = header.is_finish || header.is_reset;
        let request_started_at = if is_answer || is_closed {
            record.request_started_at.take()
        } else {
            None
        };
        if is_closed {
            record.close_server_side(header.is_reset);
        }
        if let Some(request_started_at) = request_started_at {
            self.finish_request(flow, request_started_at, is_answer, now, outbox);
        }
        if let Some(balancer) = balancer_to_notify {
            self.send_claim(*flow, balancer, now, outbox);
        }
    }

    /// Records that the server answered a request, or closed the flow instead.
    pub(super) fn finish_request(
        &mut self,
        flow: &FlowKey,
        started_at: MonotonicTime,
        is_answer: bool,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let slots = self.slots();
        let elapsed = now.since(started_at);
        if is_answer {
            self.load.complete_request(started_at, slots, now);
            outbox.record_event(FlowEvent::Answered {
                flow: *flow,
                micros: elapsed.as_micros() as u32,
            });
        } else {
            self.load.fail_request(started_at, slots, now);
            outbox.record_event(FlowEvent::Unanswered {
                flow: *flow,
                waited_millis: elapsed.as_millis() as u32,
                is_closed: true,
            });
        }
    }

    /// Handles a caller's packet that the server returned because it does not accept it.
    pub(super) fn receive_bounced_packet(
        &mut self,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        if packet.header.opens_flow() {
            self.forward_bounced_opening(packet, now, outbox);
            return;
        }
        let flow = packet.header.caller_flow();
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        match record.phase {
            FlowPhase::Probed => {
                let offer = record.offer.take();
                self.set_phase(&flow, FlowPhase::Absent);
                if let Some(offer) = offer {
                    self.decline_packet(&offer.header, packet, now, outbox);
                }
            }
            FlowPhase::Open => {
                self.set_phase(&flow, FlowPhase::Broken);
                outbox.enqueue_reset(flow, packet.header.acknowledged);
                outbox.record_event(FlowEvent::Broken {
                    flow,
                    reason: BreakReason::ServerForgot,
                });
            }
            FlowPhase::Offered | FlowPhase::Closed | FlowPhase::Absent | FlowPhase::Broken => {}
        }
    }
}
