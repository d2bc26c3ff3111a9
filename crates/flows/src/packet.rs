//! The packet fields on which forwarding decisions depend.
//!
//! The wire format is decoded elsewhere; packets are forwarded as the bytes that
//! their senders wrote.

use std::net::SocketAddrV4;

use hyssopstair_wire::carried::FlowKey;

/// The decoded header of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketHeader {
    /// The endpoint that sent the packet.
    pub source: SocketAddrV4,
    /// The endpoint that the packet is addressed to.
    pub destination: SocketAddrV4,
    /// Whether the packet opens a flow or, if `has_ack` is set, accepts one.
    pub is_open: bool,
    /// Whether `acknowledged` acknowledges data of the other endpoint.
    pub has_ack: bool,
    /// Whether the sender has no more data to send.
    pub is_finish: bool,
    /// Whether the packet aborts the flow.
    pub is_reset: bool,
    /// Whether the backend server returned the packet to its host because it does not
    /// accept it.
    pub is_bounced: bool,
    /// Position of the data in the sender's stream.
    pub sequence: u32,
    /// Position in the other endpoint's stream up to which the sender has received all
    /// data. In an opening packet, the number of earlier transmissions of it.
    pub acknowledged: u32,
    /// Length of the data, in bytes.
    pub data_length: u16,
}

impl PacketHeader {
    /// Returns the flow of a packet that was sent by a caller.
    pub fn caller_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.source,
            target: self.destination,
        }
    }

    /// Returns the flow of a packet that was sent by a backend server.
    pub fn server_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.destination,
            target: self.source,
        }
    }

    /// Returns the acknowledged position, or `None` if the packet acknowledges nothing.
    pub fn acknowledged_position(&self) -> Option<u32> {
        self.has_ack.then_some(self.acknowledged)
    }

    /// Returns the position in the sender's stream at which the packet's data ends, if that is
    /// beyond `known_end` or no end is known.
    pub fn end_beyond(&self, known_end: Option<u32>) -> Option<u32> {
        let end = self.sequence.wrapping_add(u32::from(self.data_length));
        // The signed difference orders positions across the wraparound.
        let is_beyond = known_end.is_none_or(|known| end.wrapping_sub(known) as i32 > 0);
        is_beyond.then_some(end)
    }

    /// Returns whether the packet is a caller's request to open a flow.
    pub fn opens_flow(&self) -> bool {
        self.is_open && !self.has_ack
    }
}

/// A packet together with the bytes that its sender wrote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RawPacket<'a> {
    /// The decoded header, as received.
    pub header: PacketHeader,
    /// The whole datagram, header included. The bounced flag is cleared in a packet that the
    /// backend server returned.
    pub bytes: &'a [u8],
}
