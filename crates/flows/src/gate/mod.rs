//! What a host does with packets to and from the backend server beside it.
//!
//! Every packet to the server and from it passes here, so the gate knows which
//! flows the server holds, how many requests it works on and how long it takes.
//! Whatever a balancer believes, the gate hands the server only packets of its
//! own flows, and opens no flow after the server has said that it leaves.

mod load;
mod opening;
mod peers;
mod records;
mod server;

use std::net::Ipv4Addr;
use std::time::Duration;

use hyssopstair_wire::carried::CarryHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::FlowQuestion;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::ServerState;
use hyssopstair_wire::time::MonotonicTime;

use crate::event::BreakReason;
use crate::event::FlowEvent;
use crate::gate::load::LoadMeter;
use crate::gate::records::FlowPhase;
use crate::gate::records::FlowRecord;
pub use crate::gate::server::CheckResult;
pub use crate::gate::server::ServerCheck;
use crate::gate::server::ServerWatch;
use crate::members::MemberTable;
use crate::outbox::Destination;
use crate::outbox::FlowOutbox;
use crate::packet::RawPacket;
use crate::route_transfer::RouteReplica;
use crate::routes::RouteTable;
use crate::table::FlowTable;

/// Time between two ticks.
pub const GATE_TICK: Duration = Duration::from_millis(50);

/// Time after its start in which a host hears from a server that lives: two
/// heartbeats, which come every 1.2 s, and some more.
const SERVER_PATIENCE: Duration = Duration::from_millis(2_500);

/// Shards of the table that one tick sweeps; the whole table takes a second and more.
const SWEPT_SHARDS: usize = 12;

/// What a host is told at its start.
#[derive(Debug, Clone)]
pub struct GateIdentity {
    /// Its address.
    pub address: Ipv4Addr,
    /// Its availability zone.
    pub zone: String,
    /// Name of the service of its server.
    pub service: String,
    /// The start of its process, in milliseconds since the Unix epoch.
    pub started: u64,
    /// Age after which a flow may be forgotten.
    pub max_flow_age: Duration,
}

/// The decisions of one host.
#[derive(Debug)]
pub struct FlowGate {
    identity: GateIdentity,
    created: MonotonicTime,
    routes: RouteReplica,
    members: MemberTable,
    contacts: Vec<Ipv4Addr>,
    flows: FlowTable<FlowRecord>,
    load: LoadMeter,
    server: ServerWatch,
    is_relearning: bool,
    is_stopping: bool,
    hello_number: u32,
    next_hello: MonotonicTime,
    ticked: MonotonicTime,
}

impl FlowGate {
    /// Creates the gate of a host that knows the addresses of some balancers.
    pub fn new(identity: GateIdentity, contacts: Vec<Ipv4Addr>, now: MonotonicTime) -> Self {
        let mut gate = Self {
            identity,
            created: now,
            routes: RouteReplica::default(),
            members: MemberTable::default(),
            contacts: Vec::new(),
            flows: FlowTable::default(),
            load: LoadMeter::new(now),
            server: ServerWatch::new(now),
            // The server may be older than this process and hold flows.
            is_relearning: true,
            is_stopping: false,
            hello_number: 0,
            next_hello: now,
            ticked: now,
        };
        gate.add_contacts(&contacts);
        gate
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> &RouteTable {
        self.routes.table()
    }

    /// Returns the peers that are known.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Returns how many flows the server holds.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Returns what the server does.
    pub fn server_state(&self) -> ServerState {
        self.server.state()
    }

    /// Returns the requests that the server works on or will soon get.
    pub fn in_progress(&self, now: MonotonicTime) -> u16 {
        self.load.in_progress(now)
    }

    /// Returns the smoothed time that the server takes to answer, in microseconds; 0
    /// before the first answer.
    pub fn answer_micros(&self) -> u32 {
        self.load.answer_micros()
    }

    /// Returns the path of the server's health check, once routes are known.
    pub fn health_path(&self) -> Option<&str> {
        self.routes.table().health_path(&self.identity.service)
    }

    /// Puts another service beside the host; flows of the one before are gone.
    pub fn set_service(&mut self, service: &str, now: MonotonicTime, outbox: &mut FlowOutbox) {
        if self.identity.service == service {
            return;
        }
        self.identity.service = service.to_owned();
        self.break_all(outbox);
        self.say_hello_soon();
        self.tick(now, outbox);
    }

    /// Decides about a caller's packet that a balancer or a host sent.
    pub fn receive_forwarded(
        &mut self,
        header: &CarryHeader,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        if packet.header.is_open && packet.header.has_ack {
            return;
        }
        match header.purpose {
            ForwardPurpose::Open | ForwardPurpose::OpenHere => {
                self.receive_opening(header, packet, now, outbox);
            }
            ForwardPurpose::Owner | ForwardPurpose::Probe => {
                self.receive_middle(header, packet, now, outbox);
            }
        }
    }

    /// Decides about a packet that the server sent.
    pub fn receive_server(
        &mut self,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        self.server.note_heard(now);
        if packet.header.is_bounced {
            self.receive_bounced(packet, now, outbox);
            return;
        }
        let header = &packet.header;
        let flow = header.server_flow();
        outbox.send_packet(Destination::Caller(*flow.caller.ip()), packet.bytes);
        self.note_answer(&flow, packet, now, outbox);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        self.ticked = now;
        self.load.tick(now);
        self.sweep(now, outbox);
        if now >= self.next_hello {
            self.greet_all(now, outbox);
            for (peer, silence) in self.members.evict_silent(now) {
                // With no balancer left, the old addresses are the way back.
                if !self.members.balancers().is_empty() {
                    self.contacts.retain(|contact| *contact != peer);
                }
                outbox.note(FlowEvent::PeerLost {
                    peer,
                    silent_millis: silence.as_millis() as u32,
                });
            }
        }
        if now.since(self.created) >= self.identity.max_flow_age {
            self.is_relearning = false;
        }
    }

    /// Prepares the end of the process: new flows are to go elsewhere.
    pub fn stop(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        self.is_stopping = true;
        self.greet_all(now, outbox);
    }

    fn receive_middle(
        &mut self,
        header: &CarryHeader,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        let is_search = header.purpose != ForwardPurpose::Owner;
        let acknowledged = packet.header.acknowledged_position();
        let Some(record) = self.flows.get_mut(&flow) else {
            self.receive_unknown(header, packet, now, outbox);
            return;
        };
        match record.phase {
            FlowPhase::Absent => {
                self.disown(header, packet, outbox);
                return;
            }
            FlowPhase::Broken if is_search && !record.continues(acknowledged) => {
                // The flow may have gone on at another server.
                self.disown(header, packet, outbox);
                return;
            }
            FlowPhase::Broken => {
                outbox.send_reset(flow, packet.header.acknowledged);
                return;
            }
            FlowPhase::Offered if !record.continues(acknowledged) => {
                // The caller took the answer of another server.
                self.disown(header, packet, outbox);
                return;
            }
            FlowPhase::Asked => {
                // The balancer that asked last is told what the server shows.
                record.origin = Some(Box::new(header.clone()));
            }
            FlowPhase::Offered | FlowPhase::Open | FlowPhase::Closed => {}
        }
        let is_known = record.phase != FlowPhase::Asked;
        record.balancer = header.balancer;
        if is_search && is_known {
            self.tell_owned(flow, header.balancer, now, outbox);
        }
        self.deliver(&flow, packet, now, outbox);
    }

    /// Handles a packet of a flow that the host has never seen. A host that was
    /// started beside a running server asks the server by handing it the packet.
    fn receive_unknown(
        &mut self,
        header: &CarryHeader,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        if !self.may_hold_unknown(now) || packet.header.opens_flow() {
            self.disown(header, packet, outbox);
            return;
        }
        let flow = packet.header.caller_flow();
        self.flows
            .insert(flow, FlowRecord::asked(header.clone(), now));
        self.deliver(&flow, packet, now, outbox);
    }

    /// Returns whether the server may hold flows that the host has never seen.
    fn may_hold_unknown(&self, now: MonotonicTime) -> bool {
        let may_live = match self.server.state() {
            ServerState::Ready | ServerState::Draining => true,
            ServerState::Unknown => now.since(self.created) < SERVER_PATIENCE,
            ServerState::Down => false,
        };
        self.is_relearning && may_live
    }

    /// Tells a balancer that the server does not hold a flow.
    fn disown(&self, header: &CarryHeader, packet: &RawPacket<'_>, outbox: &mut FlowOutbox) {
        let message = match header.purpose {
            ForwardPurpose::Probe => CarryMessage::NotHeld {
                flows: vec![packet.header.caller_flow()],
                is_certain: true,
            },
            purpose => {
                let message = CarryMessage::Returned { purpose };
                outbox.send_message(header.balancer, &message, packet.bytes);
                return;
            }
        };
        outbox.send_message(header.balancer, &message, &[]);
    }

    /// Tells a balancer which of the flows that it looks for the server holds.
    fn receive_locate(
        &mut self,
        from: Ipv4Addr,
        questions: &[FlowQuestion],
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let mut denied = Vec::new();
        let mut doubtful = Vec::new();
        for question in questions {
            let flow = question.flow;
            let Some(record) = self.flows.get_mut(&flow) else {
                if self.may_hold_unknown(now) {
                    doubtful.push(flow);
                } else {
                    denied.push(flow);
                }
                continue;
            };
            if record.phase == FlowPhase::Asked {
                doubtful.push(flow);
                continue;
            }
            if !record.may_be(question) {
                denied.push(flow);
                continue;
            }
            record.balancer = from;
            self.tell_owned(flow, from, now, outbox);
        }
        for (flows, is_certain) in [(denied, true), (doubtful, false)] {
            if !flows.is_empty() {
                let message = CarryMessage::NotHeld { flows, is_certain };
                outbox.send_message(from, &message, &[]);
            }
        }
    }

    /// Hands a packet to the server.
    fn deliver(
        &mut self,
        flow: &FlowKey,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        outbox.send_packet(Destination::Server, packet.bytes);
        self.server.note_delivered(now);
        let Some(record) = self.flows.get_mut(flow) else {
            return;
        };
        record.used = now;
        if packet.header.has_ack {
            record.acknowledged = packet.header.acknowledged;
        }
        if packet.header.opens_flow() {
            return;
        }
        if record.phase == FlowPhase::Offered {
            record.phase = FlowPhase::Open;
            self.load.end_offer(record.offered);
        }
        if record.hand_new_data(&packet.header) && record.asked_at.is_none() {
            record.asked_at = Some(now);
            self.load.begin_request();
        }
        if packet.header.is_finish || packet.header.is_reset {
            // A caller that leaves does not wait for its answer.
            if record.asked_at.take().is_some() {
                self.load.drop_request();
            }
            record.close_caller(packet.header.is_reset);
        }
    }

    /// Learns from a packet of the server which flows it holds and how fast it is.
    fn note_answer(
        &mut self,
        flow: &FlowKey,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let header = &packet.header;
        let Some(record) = self.flows.get_mut(flow) else {
            // The flow is older than this process.
            if !header.is_reset {
                self.flows.insert(*flow, FlowRecord::learnt(now));
            }
            return;
        };
        record.used = now;
        let mut owned_by = None;
        if header.is_open && header.has_ack && record.phase == FlowPhase::Offered {
            record.answer_sequence = Some(header.sequence);
            owned_by = Some(record.balancer);
        }
        if matches!(record.phase, FlowPhase::Asked | FlowPhase::Absent) && !header.is_reset {
            record.phase = FlowPhase::Open;
            owned_by = Some(record.balancer);
        }
        let is_answer = header.data_length > 0 || record.ends_with_answer(header);
        let is_closed = header.is_finish || header.is_reset;
        let asked_at = if is_answer || is_closed {
            record.asked_at.take()
        } else {
            None
        };
        if is_closed {
            record.close_server(header.is_reset);
        }
        if let Some(asked_at) = asked_at {
            self.end_request(flow, now.since(asked_at), is_answer, outbox);
        }
        if let Some(balancer) = owned_by {
            self.tell_owned(*flow, balancer, now, outbox);
        }
    }

    /// Notes that the server has answered a request, or closed its flow instead.
    fn end_request(
        &mut self,
        flow: &FlowKey,
        took: Duration,
        is_answer: bool,
        outbox: &mut FlowOutbox,
    ) {
        if is_answer {
            self.load.end_request(took);
            outbox.note(FlowEvent::Answered {
                flow: *flow,
                micros: took.as_micros() as u32,
            });
        } else {
            self.load.fail_request();
            outbox.note(FlowEvent::Unanswered {
                flow: *flow,
                waited_millis: took.as_millis() as u32,
                is_closed: true,
            });
        }
    }

    fn receive_bounced(
        &mut self,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        if packet.header.opens_flow() {
            self.pass_bounced_opening(packet, now, outbox);
            return;
        }
        let flow = packet.header.caller_flow();
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        match record.phase {
            FlowPhase::Asked => {
                let header = record.origin.take();
                self.set_phase(&flow, FlowPhase::Absent);
                if let Some(header) = header {
                    self.disown(&header, packet, outbox);
                }
            }
            FlowPhase::Open => {
                self.set_phase(&flow, FlowPhase::Broken);
                outbox.send_reset(flow, packet.header.acknowledged);
                outbox.note(FlowEvent::Broken {
                    flow,
                    reason: BreakReason::ServerForgot,
                });
            }
            FlowPhase::Offered | FlowPhase::Closed | FlowPhase::Absent | FlowPhase::Broken => {}
        }
    }

    fn tell_owned(
        &self,
        flow: FlowKey,
        balancer: Ipv4Addr,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        if balancer.is_unspecified() {
            return;
        }
        let load = self.report(now);
        outbox.send_message(balancer, &CarryMessage::Owned { flow, load }, &[]);
    }
}
