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
mod ownership;
mod pace;
mod peers;
mod records;
mod saved_flows;
mod server;
mod tracking;

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::carried::CarryHeader;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::ServerState;
use hyssopstair_wire::time::MonotonicTime;

use crate::detour::DetourTable;
use crate::evacuation::EvacuationReplica;
use crate::event::FlowEvent;
use crate::host::cold::ColdLimiter;
use crate::host::load::LoadMeter;
use crate::host::opening::FlowOffer;
use crate::host::records::FlowRecord;
use crate::host::saved_flows::SavedFlowState;
pub use crate::host::server::CheckResult;
use crate::host::server::ServerMonitor;
use crate::members::MemberTable;
use crate::outbox::Destination;
use crate::outbox::FlowOutbox;
use crate::packet::RawPacket;
use crate::route_transfer::RouteReplica;
use crate::routes::RouteTable;
use crate::table::FlowTable;

/// Interval between ticks.
pub const HOST_TICK_INTERVAL: Duration = Duration::from_millis(50);

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
    /// Address at which the server receives packets from the host.
    pub server_address: SocketAddrV4,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub started_unix_millis: u64,
    /// Time without packets after which a flow is removed.
    pub max_flow_age: Duration,
    /// Time for which the address of an instance that has ended stays unused.
    pub address_reuse_time: Duration,
    /// Whether the number of requests that the server bears is found from its answers.
    pub follows_pace: bool,
}

impl HostIdentity {
    /// Returns whether `address` is that of the server beside the host. The settings may name
    /// a loopback address for it, while the server reports the address of the instance.
    fn is_server_address(&self, address: SocketAddrV4) -> bool {
        let is_on_instance =
            address.ip() == self.server_address.ip() || *address.ip() == self.address;
        is_on_instance && address.port() == self.server_address.port()
    }
}

/// State and decisions of one host.
#[derive(Debug)]
pub struct FlowHost {
    identity: HostIdentity,
    /// Name of the service that the settings name for the server, which may not run it yet.
    assigned_service: String,
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
        let server = ServerMonitor::new(identity.address_reuse_time, now);
        let detours = DetourTable::new(identity.address, &identity.zone, now);
        let mut host = Self {
            assigned_service: identity.service.clone(),
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
            server,
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

    /// Sets the service that the settings name for the server. A server that has sent a
    /// heartbeat keeps its service and its flows until a heartbeat shows that it was replaced.
    pub fn assign_service(&mut self, service: &str) {
        self.assigned_service = service.to_owned();
        if self.server.newest_heartbeat().is_none() && self.identity.service != service {
            self.identity.service = service.to_owned();
            self.schedule_hellos();
        }
    }

    /// Sets the service that the server runs. If it differs from the current one, all
    /// open flows are reset.
    fn set_service(&mut self, service: &str, now: MonotonicTime, outbox: &mut FlowOutbox) {
        if self.identity.service == service {
            return;
        }
        let before = std::mem::replace(&mut self.identity.service, service.to_owned());
        outbox.record_event(FlowEvent::ServiceChanged {
            before,
            service: service.to_owned(),
        });
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
                let offer = FlowOffer::unnamed(header);
                self.receive_opening_packet(offer, packet, now, outbox);
            }
            ForwardPurpose::Owner | ForwardPurpose::Probe => {
                self.receive_established_packet(header, packet, now, outbox);
            }
        }
    }

    /// Handles the opening packet of a flow that a balancer or another host offers for `service`.
    pub fn receive_offered_packet(
        &mut self,
        header: &CarryHeader,
        service: &str,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        if packet.header.opens_flow() {
            let offer = FlowOffer::for_service(header, service);
            self.receive_opening_packet(offer, packet, now, outbox);
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
}
