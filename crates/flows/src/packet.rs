//! What the decisions read of a packet.

use std::net::SocketAddrV4;

use hyssopstair_wire::carried::FlowKey;

/// The header of a packet, without its bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketHeader {
    /// The end that wrote the packet.
    pub source: SocketAddrV4,
    /// The end that it is for.
    pub destination: SocketAddrV4,
    /// Whether it opens a flow, or answers such a packet if `has_ack` is set.
    pub is_open: bool,
    /// Whether it acknowledges something.
    pub has_ack: bool,
    /// Whether its sender will send no more data.
    pub is_finish: bool,
    /// Whether it breaks the flow off.
    pub is_reset: bool,
    /// Whether a server handed it back to the host beside it.
    pub is_bounced: bool,
    /// Position of the data in its sender's stream.
    pub sequence: u32,
    /// Position in the other end's stream up to which everything has arrived.
    pub acknowledged: u32,
    /// Bytes of data.
    pub data_length: u16,
}

impl PacketHeader {
    /// Returns the flow of a packet that a caller wrote.
    pub fn caller_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.source,
            target: self.destination,
        }
    }

    /// Returns the flow of a packet that a server wrote.
    pub fn server_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.destination,
            target: self.source,
        }
    }

    /// Returns the position that the packet acknowledges, if it does.
    pub fn acknowledged_position(&self) -> Option<u32> {
        self.has_ack.then_some(self.acknowledged)
    }

    /// Returns whether a caller opens a flow with the packet.
    pub fn opens_flow(&self) -> bool {
        self.is_open && !self.has_ack
    }
}

/// A packet with the bytes in which its sender wrote it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RawPacket<'a> {
    /// The header.
    pub header: PacketHeader,
    /// The whole datagram.
    pub bytes: &'a [u8],
}
