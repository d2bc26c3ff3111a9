//! Packets of the model: the header as the decisions read it, in a few bytes.

use std::net::SocketAddrV4;

use hyssopstair_flows::packet::PacketHeader;
use hyssopstair_wire::carried::FlowKey;
use serde::Deserialize;
use serde::Serialize;

/// A packet on the modelled network.
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
    pub fn plain(source: SocketAddrV4, destination: SocketAddrV4) -> Self {
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

    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a packet is a plain value")
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

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

    /// The flow of a packet that a caller wrote.
    pub fn caller_flow(&self) -> FlowKey {
        FlowKey {
            caller: self.source,
            target: self.destination,
        }
    }
}
