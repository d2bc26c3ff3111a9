//! The flows that a host knows.

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
use crate::host::SWEPT_SHARDS;
use crate::outbox::FlowOutbox;
use crate::packet::PacketHeader;

/// Time for which a flow that has ended is known, for packets that are still on
/// their way; the longest pause between two repetitions is 1.6 s.
const CLOSED_MEMORY: Duration = Duration::from_secs(4);

/// Time that a server has to answer an opening packet; callers give up after 1.4 s.
const OFFER_MEMORY: Duration = Duration::from_secs(2);

/// Time for which broken flows and flows of other hosts are known.
const REFUSED_MEMORY: Duration = Duration::from_secs(15);

/// Time after which a request without an answer is not counted any more. The
/// longest takes 180 ms, and a full queue before a slow server ten times as long.
const REQUEST_MEMORY: Duration = Duration::from_secs(2);

/// Positions in a server's stream between two acknowledgements that belong to the
/// same flow. An answer has 480 kB at most.
const ANSWER_WINDOW: u32 = 1 << 19;

/// How far a flow has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FlowPhase {
    /// The server has its opening packet.
    Offered,
    /// The server was handed a packet to see whether it holds the flow.
    Asked,
    /// The server holds it.
    Open,
    /// Both ends are done with it, or one has reset it.
    Closed,
    /// The server does not hold it.
    Absent,
    /// The server held it and has ended or forgotten it.
    Broken,
}

/// What a host knows of a flow.
#[derive(Debug, Clone)]
pub(super) struct FlowRecord {
    pub(super) phase: FlowPhase,
    /// The balancer that it came through last; unspecified if unknown.
    pub(super) balancer: Ipv4Addr,
    pub(super) used: MonotonicTime,
    /// When the server got its opening packet.
    pub(super) offered: MonotonicTime,
    /// Position in the server's stream that the caller acknowledged last.
    pub(super) acknowledged: u32,
    /// Position at which the caller's stream starts.
    pub(super) opened_at: Option<u32>,
    /// Position at which the server's stream starts.
    pub(super) answer_sequence: Option<u32>,
    /// Position in the caller's stream up to which the server was handed data.
    pub(super) handed_to: Option<u32>,
    /// When the caller sent the request that waits for its answer.
    pub(super) asked_at: Option<MonotonicTime>,
    /// The message with which the first packet came, while it may go elsewhere.
    pub(super) origin: Option<Box<CarryHeader>>,
    caller_done: bool,
    server_done: bool,
}

impl FlowRecord {
    /// A flow whose opening packet the server gets.
    pub(super) fn offered(origin: CarryHeader, opening: &PacketHeader, now: MonotonicTime) -> Self {
        Self {
            phase: FlowPhase::Offered,
            opened_at: Some(opening.sequence),
            balancer: origin.balancer,
            origin: Some(Box::new(origin)),
            ..Self::learnt(now)
        }
    }

    /// A flow that the server may or may not hold.
    pub(super) fn asked(origin: CarryHeader, now: MonotonicTime) -> Self {
        Self {
            phase: FlowPhase::Asked,
            balancer: origin.balancer,
            origin: Some(Box::new(origin)),
            ..Self::learnt(now)
        }
    }

    /// A flow that the server holds, as its packets show.
    pub(super) fn learnt(now: MonotonicTime) -> Self {
        Self {
            phase: FlowPhase::Open,
            balancer: Ipv4Addr::UNSPECIFIED,
            used: now,
            offered: now,
            acknowledged: 0,
            opened_at: None,
            answer_sequence: None,
            handed_to: None,
            asked_at: None,
            origin: None,
            caller_done: false,
            server_done: false,
        }
    }

    /// A flow that a balancer takes for one of the server's, which may be wrong.
    pub(super) fn told(now: MonotonicTime) -> Self {
        Self {
            phase: FlowPhase::Asked,
            ..Self::learnt(now)
        }
    }

    /// Returns whether a caller that acknowledged this position goes on from this
    /// server's stream. Its first packet on the flow acknowledges the start alone.
    pub(super) fn continues(&self, position: Option<u32>) -> bool {
        let (Some(position), known) = (position, self.acknowledged) else {
            return false;
        };
        match self.answer_sequence {
            None if known == 0 => false,
            Some(start) if known == 0 => position == start.wrapping_add(1),
            _ => position.wrapping_sub(known) < ANSWER_WINDOW,
        }
    }

    /// Returns whether an opening packet is a late copy of the one that opened this
    /// flow. A new flow from the same port starts at another position.
    pub(super) fn is_reopened_by(&self, header: &PacketHeader) -> bool {
        let is_past = matches!(
            self.phase,
            FlowPhase::Open | FlowPhase::Closed | FlowPhase::Broken
        );
        is_past && self.opened_at == Some(header.sequence)
    }

    /// Returns whether the flow that a balancer looks for is this one, and not one
    /// that has gone on at another server.
    pub(super) fn may_be(&self, question: &FlowQuestion) -> bool {
        match self.phase {
            FlowPhase::Absent => false,
            FlowPhase::Broken | FlowPhase::Offered => self.continues(question.acknowledged),
            FlowPhase::Asked | FlowPhase::Open | FlowPhase::Closed => true,
        }
    }

    /// Returns the position at which the caller takes a reset; nothing while the
    /// flow cannot have opened here.
    fn reset_position(&self) -> Option<u32> {
        if self.acknowledged != 0 {
            return Some(self.acknowledged);
        }
        self.answer_sequence.map(|start| start.wrapping_add(1))
    }

    /// Returns whether a server's packet ends its stream behind data that the caller
    /// does not have yet. The end may overtake the data.
    pub(super) fn ends_with_answer(&self, header: &PacketHeader) -> bool {
        header.is_finish && header.sequence.wrapping_sub(self.acknowledged) as i32 > 0
    }

    /// Returns whether the packet has data that the server was not handed before,
    /// and notes it as handed over.
    pub(super) fn hand_new_data(&mut self, header: &PacketHeader) -> bool {
        let end = header.sequence.wrapping_add(u32::from(header.data_length));
        // The difference as a signed number orders positions across the wrap.
        let is_new = self
            .handed_to
            .is_none_or(|handed| end.wrapping_sub(handed) as i32 > 0);
        if is_new {
            self.handed_to = Some(end);
        }
        is_new && header.data_length > 0
    }

    /// Notes that the caller sends nothing more.
    pub(super) fn close_caller(&mut self, is_reset: bool) {
        self.caller_done = true;
        self.close_if_done(is_reset);
    }

    /// Notes that the server sends nothing more.
    pub(super) fn close_server(&mut self, is_reset: bool) {
        self.server_done = true;
        self.close_if_done(is_reset);
    }

    fn close_if_done(&mut self, is_reset: bool) {
        let both_done = self.caller_done && self.server_done;
        if self.phase == FlowPhase::Open && (both_done || is_reset) {
            self.phase = FlowPhase::Closed;
        }
    }

    fn memory(&self, idle: Duration) -> Duration {
        match self.phase {
            FlowPhase::Offered => OFFER_MEMORY,
            FlowPhase::Closed => CLOSED_MEMORY,
            FlowPhase::Absent | FlowPhase::Broken => REFUSED_MEMORY,
            FlowPhase::Open | FlowPhase::Asked => idle,
        }
    }
}

impl FlowHost {
    pub(super) fn set_phase(&mut self, flow: &FlowKey, phase: FlowPhase) {
        let Some(record) = self.flows.get_mut(flow) else {
            return;
        };
        if record.phase == FlowPhase::Offered {
            self.load.end_offer(record.offered);
        }
        if record.asked_at.take().is_some() {
            self.load.drop_request();
        }
        record.phase = phase;
    }

    /// Tells balancers that the server holds none of the flows that it was asked
    /// about, as it has started since.
    pub(super) fn deny_asked(&mut self, outbox: &mut FlowOutbox) {
        for (flow, record) in self.flows.iter_mut() {
            if record.phase != FlowPhase::Asked {
                continue;
            }
            record.phase = FlowPhase::Absent;
            if record.asked_at.take().is_some() {
                self.load.drop_request();
            }
            if record.balancer.is_unspecified() {
                continue;
            }
            let message = CarryMessage::NotHeld {
                flows: vec![*flow],
                is_certain: true,
            };
            outbox.enqueue_message(record.balancer, &message, &[]);
        }
    }

    /// Tells the callers of all open flows that their server has ended.
    pub(super) fn break_all(&mut self, outbox: &mut FlowOutbox) {
        self.deny_asked(outbox);
        for (flow, record) in self.flows.iter_mut() {
            let was_open = matches!(record.phase, FlowPhase::Open | FlowPhase::Offered);
            let position = record.reset_position();
            record.asked_at = None;
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
        self.load.clear();
    }

    /// Forgets flows that have ended or that nobody uses.
    pub(super) fn sweep(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        let idle = self.identity.max_flow_age;
        let load = &mut self.load;
        self.flows.sweep(SWEPT_SHARDS, |flow, record| {
            let waited = record.asked_at.map(|asked| now.since(asked));
            if let Some(waited) = waited.filter(|waited| *waited >= REQUEST_MEMORY) {
                record.asked_at = None;
                load.drop_request();
                outbox.record_event(FlowEvent::Unanswered {
                    flow: *flow,
                    waited_millis: waited.as_millis() as u32,
                    is_closed: false,
                });
            }
            let keep = now.since(record.used) < record.memory(idle);
            if !keep && record.asked_at.is_some() {
                load.drop_request();
            }
            keep
        });
    }
}
