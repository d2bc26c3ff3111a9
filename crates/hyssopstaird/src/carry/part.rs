//! The decisions of either role behind one set of calls.

use std::net::Ipv4Addr;

use hyssopstair_flows::balancer::FlowBalancer;
use hyssopstair_flows::host::FlowHost;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::packet::RawPacket;
use hyssopstair_flows::routes::RouteTable;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::time::MonotonicTime;

/// The decisions of a process.
#[derive(Debug)]
pub enum CarryPart {
    /// Those of a balancer.
    Balancer(Box<FlowBalancer>),
    /// Those of a host.
    Host(Box<FlowHost>),
}

impl CarryPart {
    /// Decides about a packet from outside: a caller's at a balancer, the server's
    /// at a host.
    pub fn receive_packet(
        &mut self,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        match self {
            Self::Balancer(balancer) => balancer.receive_caller_packet(packet, now, outbox),
            Self::Host(gate) => gate.receive_server_packet(packet, now, outbox),
        }
    }

    /// Decides about a message of a peer.
    pub fn receive_peer(
        &mut self,
        from: Ipv4Addr,
        message: &CarryMessage,
        packet: Option<&RawPacket<'_>>,
        behind: &[u8],
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        match self {
            Self::Balancer(balancer) => {
                balancer.receive_peer(from, message, packet, behind, now, outbox);
            }
            Self::Host(gate) => gate.receive_peer(from, message, packet, behind, now, outbox),
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        match self {
            Self::Balancer(balancer) => balancer.tick(now, outbox),
            Self::Host(gate) => gate.tick(now, outbox),
        }
    }

    /// Returns when the next tick is due.
    pub fn next_tick(&self) -> MonotonicTime {
        match self {
            Self::Balancer(balancer) => balancer.next_tick(),
            Self::Host(gate) => gate.next_tick(),
        }
    }

    /// Puts routes in force.
    pub fn set_routes(&mut self, routes: RouteTable, outbox: &mut FlowOutbox) {
        match self {
            Self::Balancer(balancer) => balancer.set_routes(routes, outbox),
            Self::Host(gate) => gate.set_routes(routes, outbox),
        }
    }

    /// Adds addresses at which there may be balancers.
    pub fn add_contacts(&mut self, contacts: &[Ipv4Addr]) {
        match self {
            Self::Balancer(balancer) => balancer.add_contacts(contacts),
            Self::Host(gate) => gate.add_contacts(contacts),
        }
    }

    /// Prepares the end of the process.
    pub fn stop(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        match self {
            Self::Balancer(balancer) => balancer.stop(now, outbox),
            Self::Host(gate) => gate.stop(now, outbox),
        }
    }

    /// Returns whether the process takes traffic.
    pub fn is_ready(&self, now: MonotonicTime) -> bool {
        match self {
            Self::Balancer(balancer) => balancer.is_ready(now),
            Self::Host(gate) => gate.routes().version() > 0,
        }
    }

    /// Returns the version of the routes in force.
    pub fn routes_version(&self) -> u64 {
        match self {
            Self::Balancer(balancer) => balancer.routes().version(),
            Self::Host(gate) => gate.routes().version(),
        }
    }

    /// Returns how many balancers are known.
    pub fn balancers(&self) -> usize {
        match self {
            Self::Balancer(balancer) => balancer.members().balancers().len(),
            Self::Host(gate) => gate.members().balancers().len(),
        }
    }

    /// Returns how many flows are known.
    pub fn flows(&self) -> usize {
        match self {
            Self::Balancer(balancer) => balancer.flows(),
            Self::Host(gate) => gate.flows(),
        }
    }

    /// Returns how many peers are known.
    pub fn peers(&self) -> usize {
        let members = match self {
            Self::Balancer(balancer) => balancer.members(),
            Self::Host(gate) => gate.members(),
        };
        members.hosts().len() + members.balancers().len()
    }
}
