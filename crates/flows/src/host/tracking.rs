//! Tracks the packets to and from the server: which flows are open, which requests are in
//! progress, and which packets the server does not accept.

use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::time::MonotonicTime;

use crate::event::BreakReason;
use crate::event::FlowEvent;
use crate::host::FlowHost;
use crate::host::records::FlowPhase;
use crate::host::records::FlowRecord;
use crate::outbox::Destination;
use crate::outbox::FlowOutbox;
use crate::packet::PacketHeader;
use crate::packet::RawPacket;

/// What a packet of the server shows about its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ServerEvidence {
    /// The server has answered the opening packet, with a stream that starts at this position.
    /// It repeats the answer until the caller acknowledges it, which never happens if the flow
    /// has opened at another server.
    Answered(u32),
    /// The server holds the flow: only the server at which a flow has opened sends such packets.
    Held,
    /// The server has reset the flow, or never held it.
    Reset,
}

impl ServerEvidence {
    fn from_header(header: &PacketHeader) -> Self {
        if header.is_reset {
            Self::Reset
        } else if header.is_open && header.has_ack {
            Self::Answered(header.sequence)
        } else {
            Self::Held
        }
    }
}

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
        let evidence = ServerEvidence::from_header(header);
        let Some(record) = self.flows.get_mut(flow) else {
            // The flow was opened before this process started.
            let record = match evidence {
                ServerEvidence::Answered(server_start) => FlowRecord::accepted(server_start, now),
                ServerEvidence::Held => FlowRecord::observed(now),
                ServerEvidence::Reset => return,
            };
            self.flows.insert(*flow, record);
            return;
        };
        record.last_used_at = now;
        let is_claimed = record.apply_evidence(evidence, &mut self.load, now);
        let balancer_to_notify = is_claimed.then_some(record.balancer);
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
            FlowPhase::Offered => {
                // The server was probed before it repeated its answer to the opening packet.
                let probe = record.offer.take_if(|offer| {
                    let purpose = offer.header.purpose;
                    matches!(purpose, ForwardPurpose::Owner | ForwardPurpose::Probe)
                });
                if let Some(probe) = probe {
                    self.decline_packet(&probe.header, packet, now, outbox);
                }
            }
            FlowPhase::Closed | FlowPhase::Absent | FlowPhase::Broken => {}
        }
    }
}
