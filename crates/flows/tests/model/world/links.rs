//! Links of balancers with a limited rate.

use std::net::Ipv4Addr;

use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::ForwardPurpose;
use rand::RngExt;

use crate::model::packet::ModelPacket;
use crate::model::world::Event;
use crate::model::world::World;
use crate::model::world::carries_packet;

/// Longest time for which a datagram waits on a link before further ones are dropped, in
/// microseconds.
const MAX_LINK_QUEUE_MICROS: u64 = 500_000;

/// Longest delay of the second copy of a datagram that arrives twice, in microseconds.
const MAX_DOUBLE_DELAY_MICROS: u64 = 300_000;

/// Time for which links between zones are cut, in microseconds.
const ZONE_CUT_MICROS: u64 = 6_000_000;

/// Length of the IP and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;

impl World {
    /// Returns the index of the availability zone of a process or caller.
    pub(super) fn zone_of(&self, address: Ipv4Addr) -> u8 {
        address.octets()[3] % self.plan.zones
    }

    /// Lets a datagram arrive for a second time, if it is drawn for that.
    pub(super) fn double_datagram(&mut self, to: Ipv4Addr, from: Ipv4Addr, bytes: &[u8]) {
        if self.plan.doubled_per_mille == 0
            || self.random.random_range(0..1_000) >= self.plan.doubled_per_mille
        {
            return;
        }
        let delay = self.random.random_range(0..MAX_DOUBLE_DELAY_MICROS);
        let bytes = bytes.to_vec();
        self.schedule_after(delay, Event::PeerDatagram { to, from, bytes });
    }

    /// Returns whether a packet to a caller is the answer to an opening packet, and drawn to be
    /// lost.
    pub(super) fn is_lost_answer(&mut self, packet: &ModelPacket) -> bool {
        let lost_per_mille = self.plan.lost_answers_per_mille;
        lost_per_mille > 0 && packet.is_open && self.random.random_range(0..1_000) < lost_per_mille
    }

    /// Cuts the links from one zone to another for [`ZONE_CUT_MICROS`]. The processes of both
    /// zones count as disturbed.
    pub(super) fn cut_zones(&mut self, from: u8, to: u8) {
        self.zone_cuts.push((from, to));
        self.schedule(self.now + ZONE_CUT_MICROS, Event::EndZoneCut(from, to));
        let ends_at = self.millis() + ZONE_CUT_MICROS / 1_000;
        let all: Vec<Ipv4Addr> = self.processes.keys().copied().collect();
        for address in all {
            if [from, to].contains(&self.zone_of(address)) {
                self.process_mut(address).last_fault_ended_at = ends_at;
            }
        }
    }

    /// Queues a datagram on the link of a balancer. Returns the time until it is sent, in
    /// microseconds, or `None` if the queue is full.
    pub(super) fn queue_on_link(&mut self, from: Ipv4Addr, datagram: &[u8]) -> Option<u64> {
        let is_balancer = from.octets()[2] == 2;
        let Some(rate) = self.plan.link_bytes_per_second.filter(|_| is_balancer) else {
            return Some(0);
        };
        let now = self.now;
        let process = self.process_mut(from);
        let queued_until = process.link_free_at.max(now);
        if queued_until - now > MAX_LINK_QUEUE_MICROS {
            return None;
        }
        let size = (datagram.len() + DATAGRAM_HEADER_BYTES + carried_data_bytes(datagram)) as u64;
        process.link_free_at = queued_until + size * 1_000_000 / rate;
        Some(process.link_free_at - now)
    }
}

/// Returns whether a datagram carries a packet that probes a server.
pub(super) fn is_probe(datagram: &[u8]) -> bool {
    matches!(
        CarryMessage::decode(datagram),
        Some((CarryMessage::Forward(header), _)) if header.purpose == ForwardPurpose::Probe
    )
}

/// Returns the length of the data of the packet in a datagram. The packets of the
/// simulation are sent without their data.
fn carried_data_bytes(datagram: &[u8]) -> usize {
    let packet = CarryMessage::decode(datagram)
        .filter(|(message, _)| carries_packet(message))
        .and_then(|(_, payload)| ModelPacket::decode(payload));
    packet.map_or(0, |packet| usize::from(packet.data_length))
}
