//! One interface to the decisions of both roles, balancer and host.

use std::net::Ipv4Addr;

use hyssopstair_flows::balancer::BalancerIdentity;
use hyssopstair_flows::balancer::FlowBalancer;
use hyssopstair_flows::detour::PeerWay;
use hyssopstair_flows::detour::ReceivedMessage;
use hyssopstair_flows::evacuation::EvacuatedZones;
use hyssopstair_flows::host::FlowHost;
use hyssopstair_flows::host::HostIdentity;
use hyssopstair_flows::members::BalancerRecord;
use hyssopstair_flows::members::MemberTable;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::packet::RawPacket;
use hyssopstair_flows::routes::RouteTable;
use hyssopstair_rules::carry_settings::CarryRole;
use hyssopstair_rules::carry_settings::CarrySettings;
use hyssopstair_wire::carried::StoreEra;
use hyssopstair_wire::time::MonotonicTime;

use crate::clock::unix_millis;

/// The forwarding logic of a process: a balancer or a host.
#[derive(Debug)]
pub enum CarryPart {
    /// The process is a balancer.
    Balancer(Box<FlowBalancer>),
    /// The process is a host.
    Host(Box<FlowHost>),
}

impl CarryPart {
    /// Creates the balancer or the host that the settings describe.
    pub fn from_settings(settings: &CarrySettings, now: MonotonicTime) -> Self {
        let address = *settings.packets.ip();
        let contacts: Vec<Ipv4Addr> = settings
            .contacts
            .iter()
            .map(|contact| *contact.ip())
            .collect();
        let max_flow_age = settings.max_flow_age();
        match &settings.server {
            Some(server) if settings.role == CarryRole::Host => {
                let identity = HostIdentity {
                    address,
                    zone: settings.zone.clone(),
                    service: server.service.clone(),
                    server_address: server.address,
                    started_unix_millis: unix_millis(),
                    max_flow_age,
                    address_reuse_time: settings.address_reuse_time(),
                    follows_pace: settings.server_pace,
                };
                Self::Host(Box::new(FlowHost::new(identity, contacts, now)))
            }
            _ => {
                let identity = BalancerIdentity {
                    address,
                    zone: settings.zone.clone(),
                    started_unix_millis: unix_millis(),
                    max_flow_age,
                };
                Self::Balancer(Box::new(FlowBalancer::new(identity, contacts, now)))
            }
        }
    }

    /// Handles a packet of a flow: a balancer receives it from a caller, a host from
    /// its server.
    pub fn receive_packet(
        &mut self,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        match self {
            Self::Balancer(balancer) => balancer.receive_caller_packet(packet, now, outbox),
            Self::Host(host) => host.receive_server_packet(packet, now, outbox),
        }
    }

    /// Handles a message from a peer. `packet` is the packet parsed from the bytes that follow
    /// the message, if they are one.
    pub fn receive_peer_message(
        &mut self,
        received: &ReceivedMessage<'_>,
        packet: Option<&RawPacket<'_>>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let (from, message, payload) = (received.from, &received.message, received.payload);
        match (self, received.way) {
            (Self::Balancer(balancer), PeerWay::Direct) => {
                balancer.receive_peer_message(from, message, packet, payload, now, outbox);
            }
            (Self::Balancer(balancer), PeerWay::Via(relay)) => {
                balancer.receive_detoured_message(from, relay, message, packet, now, outbox);
            }
            (Self::Host(host), PeerWay::Direct) => {
                host.receive_peer_message(from, message, packet, payload, now, outbox);
            }
            (Self::Host(host), PeerWay::Via(relay)) => {
                host.receive_detoured_message(from, relay, message, packet, now, outbox);
            }
        }
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        match self {
            Self::Balancer(balancer) => balancer.tick(now, outbox),
            Self::Host(host) => host.tick(now, outbox),
        }
    }

    /// Returns the time at which the next tick is due.
    pub fn next_tick_at(&self) -> MonotonicTime {
        match self {
            Self::Balancer(balancer) => balancer.next_tick_at(),
            Self::Host(host) => host.next_tick_at(),
        }
    }

    /// Installs a route table if it is newer than the one in force.
    pub fn set_routes(&mut self, routes: RouteTable, outbox: &mut FlowOutbox) {
        match self {
            Self::Balancer(balancer) => balancer.set_routes(routes, outbox),
            Self::Host(host) => host.set_routes(routes, outbox),
        }
    }

    /// Installs the emptied zones if they are newer than those in force.
    pub fn set_evacuation(&mut self, evacuated: EvacuatedZones, outbox: &mut FlowOutbox) {
        match self {
            Self::Balancer(balancer) => balancer.set_evacuation(evacuated, outbox),
            Self::Host(host) => host.set_evacuation(evacuated, outbox),
        }
    }

    /// Returns the names of the emptied zones, ascending.
    pub fn evacuated_zones(&self) -> &[String] {
        match self {
            Self::Balancer(balancer) => balancer.evacuated_zones(),
            Self::Host(host) => host.evacuated_zones(),
        }
    }

    /// Records the newest era of the store that the process knows from the store itself.
    pub fn record_store_era(&mut self, era: Option<StoreEra>, outbox: &mut FlowOutbox) {
        match self {
            Self::Balancer(balancer) => balancer.record_store_era(era, outbox),
            Self::Host(host) => host.record_store_era(era, outbox),
        }
    }

    /// Adds addresses at which there may be balancers, so that hellos are sent to them.
    pub fn add_contacts(&mut self, contacts: &[Ipv4Addr]) {
        match self {
            Self::Balancer(balancer) => balancer.add_contacts(contacts),
            Self::Host(host) => host.add_contacts(contacts),
        }
    }

    /// Prepares the process to stop, and notifies the peers.
    pub fn stop(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        match self {
            Self::Balancer(balancer) => balancer.stop(now, outbox),
            Self::Host(host) => host.stop(now, outbox),
        }
    }

    /// Returns whether the process is ready for traffic.
    pub fn is_ready(&self, now: MonotonicTime) -> bool {
        match self {
            Self::Balancer(balancer) => balancer.is_ready(now),
            Self::Host(host) => host.routes().version() > 0,
        }
    }

    /// Returns the version of the routes in force; 0 if there are none.
    pub fn routes_version(&self) -> u64 {
        match self {
            Self::Balancer(balancer) => balancer.routes().version(),
            Self::Host(host) => host.routes().version(),
        }
    }

    /// Returns the known balancers, sorted by address.
    pub fn balancers(&self) -> &[BalancerRecord] {
        self.members().balancers()
    }

    /// Returns the number of balancers that have sent a message a short time ago.
    pub fn reachable_balancer_count(&self, now: MonotonicTime) -> usize {
        self.members().reachable_balancer_count(now)
    }

    /// Returns the number of flows in the flow table.
    pub fn flow_count(&self) -> usize {
        match self {
            Self::Balancer(balancer) => balancer.flow_count(),
            Self::Host(host) => host.flow_count(),
        }
    }

    /// Returns the number of known peers, hosts and balancers together.
    pub fn peer_count(&self) -> usize {
        let members = self.members();
        members.hosts().len() + members.balancers().len()
    }

    fn members(&self) -> &MemberTable {
        match self {
            Self::Balancer(balancer) => balancer.members(),
            Self::Host(host) => host.members(),
        }
    }
}
