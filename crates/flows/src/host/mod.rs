//! Decisions of a host about packets to and from the backend server beside it.
//!
//! Every packet to and from the server passes through the host, which therefore knows
//! the flows that the server holds, the requests in progress and the answer times.
//! The server gets only packets of its own flows, whatever balancers assume, and no
//! new flows after it has announced that it is draining.
//!
//! A host that is restarted beside a running server has lost the flow table and
//! relearns it: from packets of the server, from balancers, and by delivering packets
//! of unknown flows to the server, which returns those that it does not accept.

mod cold;
mod load;
mod opening;
mod pace;
mod peers;
mod records;
mod saved_flows;
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

use crate::detour::DetourTable;
use crate::evacuation::EvacuationReplica;
use crate::event::BreakReason;
use crate::event::FlowEvent;
use crate::host::cold::ColdLimiter;
use crate::host::load::LoadMeter;
use crate::host::records::FlowPhase;
use crate::host::records::FlowRecord;
use crate::host::saved_flows::SavedFlowState;
pub use crate::host::server::CheckResult;
pub use crate::host::server::ServerCheck;
use crate::host::server::ServerMonitor;
use crate::members::MemberTable;
use crate::outbox::Destination;
use crate::outbox::FlowOutbox;
use crate::packet::RawPacket;
use crate::ranking::hash_flow;
use crate::route_transfer::RouteReplica;
use crate::routes::RouteTable;
use crate::table::FlowTable;

/// Interval between ticks.
pub const HOST_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the start of a host within which a running server makes itself known: two
/// heartbeats, which are sent every 1.2 s, and a margin.
const SERVER_DISCOVERY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Number of shards of the flow table that are swept in each tick. A pass over the whole
/// table takes more than a second.
const SHARDS_PER_TICK: usize = 12;

/// Identity and settings of a host process.
#[derive(Debug, Clone)]
pub struct HostIdentity {
    /// Address of the host.
    pub address: Ipv4Addr,
    /// Availability zone of the host.
    pub zone: String,
    /// Name of the service that its server runs.
    pub service: String,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub started_unix_millis: u64,
    /// Time without packets after which a flow is removed.
    pub max_flow_age: Duration,
    /// Whether the number of requests that the server bears is found from its answers.
    pub follows_pace: bool,
}

/// State and decisions of one host.
#[derive(Debug)]
pub struct FlowHost {
    identity: HostIdentity,
    created_at: MonotonicTime,
    routes: RouteReplica,
    evacuation: EvacuationReplica,
    members: MemberTable,
    detours: DetourTable,
    /// Addresses of balancers that hellos are sent to, ascending.
    contacts: Vec<Ipv4Addr>,
    flows: FlowTable<FlowRecord>,
    load: LoadMeter,
    cold: ColdLimiter,
    server: ServerMonitor,
    saved: SavedFlowState,
    /// Whether the server may hold flows that are missing from the table.
    is_relearning: bool,
    is_stopping: bool,
    hello_number: u32,
    next_hello_at: MonotonicTime,
    last_tick_at: MonotonicTime,
}

impl FlowHost {
    /// Creates a host that sends its first hellos to `contacts`, the addresses of
    /// balancers.
    pub fn new(identity: HostIdentity, contacts: Vec<Ipv4Addr>, now: MonotonicTime) -> Self {
        let follows_pace = identity.follows_pace;
        let detours = DetourTable::new(identity.address, &identity.zone, now);
        let mut host = Self {
            identity,
            detours,
            created_at: now,
            routes: RouteReplica::default(),
            evacuation: EvacuationReplica::default(),
            members: MemberTable::default(),
            contacts: Vec::new(),
            flows: FlowTable::default(),
            load: LoadMeter::new(follows_pace, now),
            cold: ColdLimiter::new(now),
            server: ServerMonitor::new(now),
            saved: SavedFlowState::new(now),
            // The server may have been started before this process and hold flows.
            is_relearning: true,
            is_stopping: false,
            hello_number: 0,
            next_hello_at: now,
            last_tick_at: now,
        };
        host.add_contacts(&contacts);
        host
    }

    /// Returns the route table in force.
    pub fn routes(&self) -> &RouteTable {
        self.routes.table()
    }

    /// Returns the known peers.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Returns the number of flows in the flow table, which may include flows that have
    /// ended or that the server does not hold.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Returns the state of the server.
    pub fn server_state(&self) -> ServerState {
        self.server.state()
    }

    /// Returns the number of requests that the server processes or is expected to get
    /// within a round trip.
    pub fn in_progress(&self, now: MonotonicTime) -> u16 {
        self.load.in_progress(now)
    }

    /// Returns the number of requests in progress up to which the server gets new flows.
    pub fn request_limit(&self) -> u16 {
        self.load.limit(self.slots())
    }

    /// Returns the smoothed answer time of the server, in microseconds; 0 before the
    /// first answer.
    pub fn answer_micros(&self) -> u32 {
        self.load.answer_micros()
    }

    /// Returns the path of the server's health check, or `None` if the route table in
    /// force does not contain its service.
    pub fn health_path(&self) -> Option<&str> {
        self.routes.table().health_path(&self.identity.service)
    }

    /// Sets the service that the server runs. If it differs from the current one, all
    /// open flows are reset.
    pub fn set_service(&mut self, service: &str, now: MonotonicTime, outbox: &mut FlowOutbox) {
        if self.identity.service == service {
            return;
        }
        self.identity.service = service.to_owned();
        self.reset_all_flows(outbox);
        self.schedule_hellos();
        self.tick(now, outbox);
    }

    /// Handles a caller's packet that was forwarded by a balancer or another host.
    pub fn receive_forwarded_packet(
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
                self.receive_opening_packet(header, packet, now, outbox);
            }
            ForwardPurpose::Owner | ForwardPurpose::Probe => {
                self.receive_established_packet(header, packet, now, outbox);
            }
        }
    }

    /// Handles a packet from the server. The packet is either addressed to a caller, or is
    /// a caller's packet that the server returns because it does not accept it.
    pub fn receive_server_packet(
        &mut self,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        self.server.record_response(now);
        if packet.header.is_bounced {
            self.receive_bounced_packet(packet, now, outbox);
            return;
        }
        let header = &packet.header;
        let flow = header.server_flow();
        if header.is_reset && self.withhold_reset(&flow, outbox) {
            return;
        }
        outbox.enqueue_packet(Destination::Caller(*flow.caller.ip()), packet.bytes);
        self.track_server_packet(&flow, packet, now, outbox);
    }

    /// Runs the timers that are due: sweeps the flow table, sends hellos, and evicts
    /// silent peers.
    pub fn tick(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        self.last_tick_at = now;
        self.load.tick(self.slots(), now);
        if let Some(change) = self.load.take_pace_change() {
            outbox.record_event(FlowEvent::PaceChanged {
                limit: change.limit,
                cause: change.cause,
            });
        }
        self.sweep_flows(now, outbox);
        self.save_due_flows(now, outbox);
        if now >= self.next_hello_at {
            self.send_hellos(now, outbox);
            for (peer, silence) in self.members.evict_silent(now) {
                // While no balancer is known, the old addresses are the only way to rejoin.
                if !self.members.balancers().is_empty() {
                    self.contacts.retain(|contact| *contact != peer);
                }
                outbox.record_event(FlowEvent::PeerLost {
                    peer,
                    silent_millis: silence.as_millis() as u32,
                });
            }
        } else {
            self.greet_unknown_balancers(now, outbox);
        }
        if now.since(self.created_at) >= self.identity.max_flow_age {
            self.is_relearning = false;
        }
    }

    /// Prepares the process to stop: tells balancers to send it no more new flows.
    pub fn stop(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        self.is_stopping = true;
        self.send_hellos(now, outbox);
    }

    /// Handles a packet of a flow that is assumed to be open already.
    fn receive_established_packet(
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
                record.forward_header = Some(Box::new(header.clone()));
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

    /// Handles a packet of a flow that is not in the table. If the server may hold the
    /// flow, the packet is delivered to it as a probe.
    fn receive_unknown_flow(
        &mut self,
        header: &CarryHeader,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        if !self.may_hold_unknown_flow(now) || packet.header.opens_flow() {
            self.decline_packet(header, packet, now, outbox);
            return;
        }
        let flow = packet.header.caller_flow();
        self.flows
            .insert(flow, FlowRecord::probed(header.clone(), now));
        self.deliver_packet(&flow, packet, now, outbox);
    }

    /// Returns whether the server may hold flows that are not in the table.
    fn may_hold_unknown_flow(&self, now: MonotonicTime) -> bool {
        let may_be_running = match self.server.state() {
            ServerState::Ready | ServerState::Draining => true,
            ServerState::Unknown => now.since(self.created_at) < SERVER_DISCOVERY_TIMEOUT,
            ServerState::Down => false,
        };
        self.is_relearning && may_be_running
    }

    /// Tells the balancer that the server does not hold the flow of a packet. A probe is
    /// answered with a denial; any other packet is returned.
    fn decline_packet(
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
    fn send_to_balancer(
        &self,
        balancer: Ipv4Addr,
        flow: &FlowKey,
        message: &CarryMessage,
        payload: &[u8],
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let way = self
            .detours
            .way_to(balancer, hash_flow(flow), &self.members, now);
        self.detours.send(way, balancer, message, payload, outbox);
    }

    /// Answers a balancer's questions about which flows the server holds.
    fn answer_questions(
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

    /// Delivers a packet to the server and tracks the caller's side of its flow.
    fn deliver_packet(
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
    fn track_server_packet(
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
    fn finish_request(
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
    fn receive_bounced_packet(
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
                let header = record.forward_header.take();
                self.set_phase(&flow, FlowPhase::Absent);
                if let Some(header) = header {
                    self.decline_packet(&header, packet, now, outbox);
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

    /// Tells a balancer that the server holds a flow.
    fn send_claim(
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
