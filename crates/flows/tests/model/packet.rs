//! Packets of the simulation: the header fields that the decisions read, and no data.

use std::net::SocketAddrV4;

use hyssopstair_flows::packet::PacketHeader;
use hyssopstair_wire::carried::FlowKey;
use serde::Deserialize;
use serde::Serialize;

/// A packet on the simulated network.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelPacket {
    pub source: SocketAddrV4,
    pub destination: SocketAddrV4,
    pub is_open: bool,
    pub has_ack: bool,
    pub is_reset: bool,
    pub is_bounced: bool,
    pub sequence: u32,
    pub acknowledged: u32,
    pub data_length: u16,
}

impl ModelPacket {
    /// Creates a packet without flags and data.
    pub fn new(source: SocketAddrV4, destination: SocketAddrV4) -> Self {
        Self {
            source,
            destination,
            is_open: false,
            has_ack: false,
            is_reset: false,
            is_bounced: false,
            sequence: 0,
            acknowledged: 0,
            data_length: 0,
        }
    }

    /// Returns the packet in its simulated wire format.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a packet is always serializable")
    }

    /// Decodes a packet; returns `None` if `bytes` are not a packet.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// Returns the header as the decisions read it.
    pub fn header(&self) -> PacketHeader {
        PacketHeader {
            source: self.source,
            destination: self.destination,
            is_open: self.is_open,
            has_ack: self.has_ack,
            is_finish: false,
            is_reset: self.is_reset,
            is_bounced: self.is_bounced,
            sequence: self.sequence,
            acknowledged: self.acknowledged,
            data_length: self.data_length,
        }
    }

    /// Returns the flow of a packet that was sent by a caller.
    pub fn caller_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.source,
            target: self.destination,
        }
    }
}
