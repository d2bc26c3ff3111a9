//! Links of balancers with a limited rate.

use std::net::Ipv4Addr;

use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::ForwardPurpose;

use crate::model::packet::ModelPacket;
use crate::model::world::World;
use crate::model::world::carries_packet;

/// Longest time for which a datagram waits on a link before further ones are dropped, in
/// microseconds.
const MAX_LINK_QUEUE_MICROS: u64 = 500_000;

/// Length of the IP and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;

impl World {
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
