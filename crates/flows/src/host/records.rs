//! The records that a host keeps about flows, and how long it keeps them.
//!
//! Positions in a stream are 32-bit numbers that wrap around, as the packets carry
//! them.

use std::net::Ipv4Addr;
use std::time::Duration;

use hyssopstair_wire::carried::CarryHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::FlowQuestion;
use hyssopstair_wire::time::MonotonicTime;

use crate::event::BreakReason;
use crate::event::FlowEvent;
use crate::host::FlowHost;
use crate::host::SHARDS_PER_TICK;
use crate::host::load::LoadMeter;
use crate::host::opening::FlowOffer;
use crate::host::tracking::ServerEvidence;
use crate::outbox::FlowOutbox;
use crate::packet::PacketHeader;

/// Time for which a closed flow is kept, for packets that are still in flight; the
/// longest interval between two retransmissions is 1.6 s.
const CLOSED_RETENTION: Duration = Duration::from_secs(4);

/// Time for which an offered flow is kept, within which the server has to answer the
/// opening packet; callers give up after 1.4 s.
const OFFER_RETENTION: Duration = Duration::from_secs(2);

/// Time for which broken flows and flows that the server does not hold are kept.
const NOT_HELD_RETENTION: Duration = Duration::from_secs(15);

/// Time after which a request without an answer no longer counts as in progress. The
/// longest request takes 180 ms, and ten times as long with a full queue at a slow
/// server.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest distance, in bytes, between two acknowledged positions of the same server's
/// stream. An answer has at most 480 kB.
const STREAM_WINDOW_BYTES: u32 = 1 << 19;

/// The state of a flow at a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FlowPhase {
    /// The opening packet was delivered to the server, which may have answered it; no later
    /// packet of the caller was. The flow may open at another server.
    Offered,
    /// It is unknown whether the server holds the flow. The caller's packets are delivered
    /// to the server, which returns them if it does not.
    Probed,
    /// The server holds the flow.
    Open,
    /// Both endpoints have finished, or one has reset the flow.
    Closed,
    /// The server does not hold the flow.
    Absent,
    /// The server held the flow, and has ended or no longer accepts its packets.
    Broken,
}

/// What a host knows about a flow.
#[derive(Debug, Clone)]
pub(super) struct FlowRecord {
    pub(super) phase: FlowPhase,
    /// The last balancer that forwarded or asked for the flow; unspecified if unknown.
    pub(super) balancer: Ipv4Addr,
    /// When the last packet of the flow passed.
    pub(super) last_used_at: MonotonicTime,
    /// When the opening packet was delivered to the server.
    pub(super) offered_at: MonotonicTime,
    /// Position in the server's stream that the caller acknowledged last; 0 if unknown.
    pub(super) acknowledged: u32,
    /// Position at which the caller's stream starts, if known.
    pub(super) caller_start: Option<u32>,
    /// Position at which the server's stream starts, if known.
    pub(super) server_start: Option<u32>,
    /// Position in the caller's stream up to which data was delivered to the server.
    pub(super) delivered_end: Option<u32>,
    /// When the request that is in progress was delivered to the server.
    pub(super) request_started_at: Option<MonotonicTime>,
    /// The offer with which the opening packet, or the last packet that probes the server, was
    /// forwarded. It is needed if the server does not accept the packet.
    pub(super) offer: Option<Box<FlowOffer>>,
    /// Whether the balancer that has offered the flow does not know yet that the server has
    /// answered the opening packet.
    is_claim_due: bool,
    is_caller_closed: bool,
    is_server_closed: bool,
}

impl FlowRecord {
    /// Creates the record of a flow whose opening packet is delivered to the server.
    pub(super) fn offered(offer: FlowOffer, opening: &PacketHeader, now: MonotonicTime) -> Self {
        Self {
            phase: FlowPhase::Offered,
            caller_start: Some(opening.sequence),
            balancer: offer.header.balancer,
            offer: Some(Box::new(offer)),
            is_claim_due: true,
            ..Self::observed(now)
        }
    }

    /// Creates the record of a flow that the server may hold and that it is probed for.
    pub(super) fn probed(header: &CarryHeader, now: MonotonicTime) -> Self {
        Self {
            phase: FlowPhase::Probed,
            balancer: header.balancer,
            offer: Some(Box::new(FlowOffer::unnamed(header))),
            ..Self::observed(now)
        }
    }

    /// Creates the record of a flow that the server holds, as its packets show.
    pub(super) fn observed(now: MonotonicTime) -> Self {
        Self {
            phase: FlowPhase::Open,
            balancer: Ipv4Addr::UNSPECIFIED,
            last_used_at: now,
            offered_at: now,
            acknowledged: 0,
            caller_start: None,
            server_start: None,
            delivered_end: None,
            request_started_at: None,
            offer: None,
            is_claim_due: false,
            is_caller_closed: false,
            is_server_closed: false,
        }
    }

    /// Creates the record of a flow that the server has accepted before this process started.
    /// The caller may continue it at another server.
    pub(super) fn accepted(server_start: u32, now: MonotonicTime) -> Self {
        Self {
            phase: FlowPhase::Offered,
            server_start: Some(server_start),
            ..Self::observed(now)
        }
    }

    /// Creates the record of a flow that the server holds according to a balancer or to the
    /// list of a former process. They may be wrong, so the server is probed.
    pub(super) fn reported(now: MonotonicTime) -> Self {
        Self {
            phase: FlowPhase::Probed,
            ..Self::observed(now)
        }
    }

    /// Records that `balancer` offers the flow, whose opening packet the server already has, and
    /// expects a claim when the server answers.
    pub(super) fn record_repeated_offer(&mut self, balancer: Ipv4Addr) {
        self.balancer = balancer;
        self.is_claim_due = true;
    }

    /// Updates the phase by a packet of the server, and returns whether the balancer is to be
    /// told that the server holds the flow.
    pub(super) fn apply_evidence(
        &mut self,
        evidence: ServerEvidence,
        load: &mut LoadMeter,
        now: MonotonicTime,
    ) -> bool {
        match (evidence, self.phase) {
            (ServerEvidence::Answered(server_start), FlowPhase::Offered) => {
                self.server_start = Some(server_start);
                std::mem::take(&mut self.is_claim_due)
            }
            (ServerEvidence::Answered(server_start), FlowPhase::Probed)
                if self.acknowledged == server_start.wrapping_add(1) =>
            {
                // The server sent this before it got the packet that opened the flow.
                self.server_start = Some(server_start);
                self.phase = FlowPhase::Open;
                true
            }
            (ServerEvidence::Answered(server_start), FlowPhase::Probed | FlowPhase::Absent) => {
                if let Some(started_at) = self.request_started_at.take() {
                    load.discard_request(started_at);
                }
                // The position that the caller has acknowledged is that of another server.
                *self = Self {
                    balancer: self.balancer,
                    offer: self.offer.take(),
                    ..Self::accepted(server_start, now)
                };
                false
            }
            (ServerEvidence::Held, FlowPhase::Probed | FlowPhase::Absent) => {
                self.phase = FlowPhase::Open;
                true
            }
            (ServerEvidence::Answered(_) | ServerEvidence::Held | ServerEvidence::Reset, _) => {
                false
            }
        }
    }

    /// Returns whether a caller that acknowledged `position` is reading this server's
    /// stream, and not that of another server. If the caller has acknowledged nothing
    /// before, `position` must acknowledge the start of the stream and no data.
    pub(super) fn continues_stream(&self, position: Option<u32>) -> bool {
        let (Some(position), last_position) = (position, self.acknowledged) else {
            return false;
        };
        match self.server_start {
            None if last_position == 0 => false,
            Some(start) if last_position == 0 => position == start.wrapping_add(1),
            _ => position.wrapping_sub(last_position) < STREAM_WINDOW_BYTES,
        }
    }

    /// Returns whether an opening packet is a late retransmission of the one that opened
    /// this flow. A new flow from the same port starts at another position.
    pub(super) fn is_duplicate_opening(&self, header: &PacketHeader) -> bool {
        let has_opened = matches!(
            self.phase,
            FlowPhase::Open | FlowPhase::Closed | FlowPhase::Broken
        );
        has_opened && self.caller_start == Some(header.sequence)
    }

    /// Returns whether a balancer's question is about this flow, and not about one with
    /// the same endpoints that continues at another server.
    pub(super) fn matches_question(&self, question: &FlowQuestion) -> bool {
        match self.phase {
            FlowPhase::Absent => false,
            FlowPhase::Broken | FlowPhase::Offered => self.continues_stream(question.acknowledged),
            FlowPhase::Probed | FlowPhase::Open | FlowPhase::Closed => true,
        }
    }

    /// Returns the position at which the caller accepts a reset, or `None` if the flow
    /// cannot have opened at this server.
    fn reset_position(&self) -> Option<u32> {
        if self.acknowledged != 0 {
            return Some(self.acknowledged);
        }
        self.server_start.map(|start| start.wrapping_add(1))
    }

    /// Returns whether a packet of the server ends its stream after data that the caller
    /// has not acknowledged. In that case the server has answered the request, even if
    /// this packet arrives before the data.
    pub(super) fn ends_after_unacknowledged_data(&self, header: &PacketHeader) -> bool {
        header.is_finish && header.sequence.wrapping_sub(self.acknowledged) as i32 > 0
    }

    /// Records the data of a caller's packet as delivered to the server, and returns
    /// whether any of it was not delivered before.
    pub(super) fn record_delivered_data(&mut self, header: &PacketHeader) -> bool {
        let Some(end) = header.end_beyond(self.delivered_end) else {
            return false;
        };
        self.delivered_end = Some(end);
        header.data_length > 0
    }

    /// Records that the caller has finished or reset the flow.
    pub(super) fn close_caller_side(&mut self, is_reset: bool) {
        self.is_caller_closed = true;
        self.close_if_done(is_reset);
    }

    /// Records that the server has finished or reset the flow.
    pub(super) fn close_server_side(&mut self, is_reset: bool) {
        self.is_server_closed = true;
        self.close_if_done(is_reset);
    }

    fn close_if_done(&mut self, is_reset: bool) {
        let are_both_closed = self.is_caller_closed && self.is_server_closed;
        if self.phase == FlowPhase::Open && (are_both_closed || is_reset) {
            self.phase = FlowPhase::Closed;
        }
    }

    /// Returns the time without packets after which the record is removed. Flows that the
    /// server may hold are kept for `max_idle_time`.
    fn retention(&self, max_idle_time: Duration) -> Duration {
        match self.phase {
            FlowPhase::Offered => OFFER_RETENTION,
            FlowPhase::Closed => CLOSED_RETENTION,
            FlowPhase::Absent | FlowPhase::Broken => NOT_HELD_RETENTION,
            FlowPhase::Open | FlowPhase::Probed => max_idle_time,
        }
    }
}

impl FlowHost {
    /// Sets the phase of a flow, and stops counting its offer and its request as in
    /// progress.
    pub(super) fn set_phase(&mut self, flow: &FlowKey, phase: FlowPhase) {
        let Some(record) = self.flows.get_mut(flow) else {
            return;
        };
        if record.phase == FlowPhase::Offered {
            self.load.remove_offer(record.offered_at);
        }
        if let Some(started_at) = record.request_started_at.take() {
            self.load.discard_request(started_at);
        }
        record.phase = phase;
    }

    /// Tells balancers that the server does not hold the flows that it is probed for.
    /// Called when the server has just started, has ended or was replaced, and therefore
    /// cannot hold them.
    pub(super) fn deny_probed_flows(&mut self, outbox: &mut FlowOutbox) {
        for (flow, record) in self.flows.iter_mut() {
            if record.phase == FlowPhase::Probed {
                deny_probed_flow(*flow, record, &mut self.load, outbox);
            }
        }
    }

    /// Handles a reset that the server sends on a flow, and returns whether it must not
    /// reach the caller. A server answers a packet of a flow that it does not hold with a
    /// reset if it has not started yet; the flow may be open at another server.
    pub(super) fn withhold_reset(&mut self, flow: &FlowKey, outbox: &mut FlowOutbox) -> bool {
        let Some(record) = self.flows.get_mut(flow) else {
            return false;
        };
        match record.phase {
            FlowPhase::Probed => {
                deny_probed_flow(*flow, record, &mut self.load, outbox);
                true
            }
            FlowPhase::Absent => true,
            FlowPhase::Offered | FlowPhase::Open | FlowPhase::Closed | FlowPhase::Broken => false,
        }
    }

    /// Resets all open flows because their server has ended or was replaced.
    pub(super) fn reset_all_flows(&mut self, outbox: &mut FlowOutbox) {
        self.reset_flows_before(None, outbox);
    }

    /// Resets the open flows of a server that has ended. If the present one started at
    /// `replaced_at`, flows that were opened since are its own, and are kept: its first
    /// heartbeat arrives later than the first flows if the host was suspended.
    pub(super) fn reset_flows_before(
        &mut self,
        replaced_at: Option<MonotonicTime>,
        outbox: &mut FlowOutbox,
    ) {
        self.deny_probed_flows(outbox);
        self.load.clear();
        for (flow, record) in self.flows.iter_mut() {
            let was_open = matches!(record.phase, FlowPhase::Open | FlowPhase::Offered);
            if was_open && replaced_at.is_some_and(|replaced_at| record.offered_at >= replaced_at) {
                if record.phase == FlowPhase::Offered {
                    self.load.add_offer(record.offered_at);
                } else if let Some(started_at) = record.request_started_at {
                    self.load.begin_request(started_at);
                }
                continue;
            }
            let position = record.reset_position();
            record.request_started_at = None;
            if record.phase != FlowPhase::Absent {
                record.phase = FlowPhase::Broken;
            }
            if let Some(position) = position.filter(|_| was_open) {
                outbox.enqueue_reset(*flow, position);
                outbox.record_event(FlowEvent::Broken {
                    flow: *flow,
                    reason: BreakReason::ServerEnded,
                });
            }
        }
    }

    /// Removes expired records in the next shards of the table, and stops counting
    /// requests that the server has not answered in time.
    pub(super) fn sweep_flows(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        let max_idle_time = self.identity.max_flow_age;
        let slots = self.slots();
        let load = &mut self.load;
        self.flows.sweep(SHARDS_PER_TICK, |flow, record| {
            let overdue = record
                .request_started_at
                .filter(|started_at| now.since(*started_at) >= REQUEST_TIMEOUT);
            if let Some(started_at) = overdue {
                let waited = now.since(started_at);
                record.request_started_at = None;
                load.give_up_request(started_at, slots, now);
                outbox.record_event(FlowEvent::Unanswered {
                    flow: *flow,
                    waited_millis: waited.as_millis() as u32,
                    is_closed: false,
                });
            }
            let keep = now.since(record.last_used_at) < record.retention(max_idle_time);
            if let Some(started_at) = record.request_started_at.filter(|_| !keep) {
                load.discard_request(started_at);
            }
            keep
        });
    }
}

/// Records that the server does not hold a flow that it was probed for, and tells the
/// balancer that asked for the flow, if there is one.
fn deny_probed_flow(
    flow: FlowKey,
    record: &mut FlowRecord,
    load: &mut LoadMeter,
    outbox: &mut FlowOutbox,
) {
    record.phase = FlowPhase::Absent;
    if let Some(started_at) = record.request_started_at.take() {
        load.discard_request(started_at);
    }
    if record.balancer.is_unspecified() {
        return;
    }
    let message = CarryMessage::NotHeld {
        flows: vec![flow],
        is_certain: true,
    };
    outbox.enqueue_message(record.balancer, &message, &[]);
}
