//! Packets of callers and servers, as PROTOCOL.md describes them.

use std::net::Ipv4Addr;

pub const HEAD: usize = 36;
pub const SYN: u8 = 64;
pub const ACK: u8 = 32;
pub const FIN: u8 = 128;
pub const RST: u8 = 4;
pub const BOUNCED: u8 = 16;

const KEY: u64 = 0x9d5f_21c7_40b3_8e61;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub flags: u8,
    pub src: Ipv4Addr,
    pub sport: u16,
    pub dst: Ipv4Addr,
    pub dport: u16,
    pub seq: u32,
    pub ack: u32,
    pub sum: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Whether this is the opening packet of a flow.
    pub fn opens(&self) -> bool {
        self.has(SYN) && !self.has(ACK)
    }

    /// Whether one of the two ends of the flow wrote the packet.
    pub fn is_genuine(&self) -> bool {
        self.sum == self.keyed_sum()
    }

    /// Whether this is a reset of the system's own.
    pub fn is_system_reset(&self) -> bool {
        self.has(RST) && self.sum == 0 && self.data.is_empty()
    }

    fn keyed_sum(&self) -> u32 {
        let mut hash = KEY;
        let mut add = |byte: u8| hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        add(self.flags & !BOUNCED);
        self.src.octets().into_iter().for_each(&mut add);
        self.dst.octets().into_iter().for_each(&mut add);
        self.sport.to_be_bytes().into_iter().for_each(&mut add);
        self.dport.to_be_bytes().into_iter().for_each(&mut add);
        self.seq.to_be_bytes().into_iter().for_each(&mut add);
        self.ack.to_be_bytes().into_iter().for_each(&mut add);
        self.data.iter().copied().for_each(&mut add);
        ((hash >> 32) as u32 ^ hash as u32) | 1
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        bytes[0..2].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes[2] = self.flags;
        bytes[8..12].copy_from_slice(&self.keyed_sum().to_be_bytes());
        bytes[12..14].copy_from_slice(&self.dport.to_be_bytes());
        bytes[14..16].copy_from_slice(&self.sport.to_be_bytes());
        bytes[16..20].copy_from_slice(&self.src.octets());
        bytes[20..24].copy_from_slice(&self.dst.octets());
        bytes[24..28].copy_from_slice(&self.seq.to_be_bytes());
        bytes[28..32].copy_from_slice(&self.ack.to_be_bytes());
        bytes.extend_from_slice(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEAD {
            return None;
        }
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        if usize::from(u16_at(0)) != bytes.len() - HEAD {
            return None;
        }
        Some(Self {
            flags: bytes[2],
            sum: u32_at(8),
            dport: u16_at(12),
            sport: u16_at(14),
            src: Ipv4Addr::from(u32_at(16)),
            dst: Ipv4Addr::from(u32_at(20)),
            seq: u32_at(24),
            ack: u32_at(28),
            data: bytes[HEAD..].to_vec(),
        })
    }
}
