//! Packets of flows, as PROTOCOL.md lays them out: a head of 36 bytes and the data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const HEAD: usize = 36;
pub const SYN: u8 = 64;
pub const ACK: u8 = 32;
pub const FIN: u8 = 128;
pub const RST: u8 = 4;
pub const BOUNCED: u8 = 16;

/// The key of the stand-ins' checksum, which the system doesn't know.
const SUM_KEY: u32 = 0x5bd1_e995;

#[derive(Clone, Debug)]
pub struct Packet {
    pub flags: u8,
    pub sum: u32,
    pub source: SocketAddrV4,
    pub target: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(flags: u8, source: SocketAddrV4, target: SocketAddrV4, seq: u32, ack: u32) -> Self {
        Self {
            flags,
            sum: 0,
            source,
            target,
            seq,
            ack,
            data: Vec::new(),
        }
    }

    pub fn with_data(mut self, data: &str) -> Self {
        self.data = data.as_bytes().to_vec();
        self
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// The keyed sum over all fields except echo, pad and BOUNCED.
    fn compute_sum(&self) -> u32 {
        let mut bytes = vec![self.flags & !BOUNCED];
        bytes.extend(self.source.ip().octets());
        bytes.extend(self.target.ip().octets());
        bytes.extend(self.source.port().to_be_bytes());
        bytes.extend(self.target.port().to_be_bytes());
        bytes.extend(self.seq.to_be_bytes());
        bytes.extend(self.ack.to_be_bytes());
        bytes.extend(&self.data);
        let sum = bytes.iter().fold(SUM_KEY, |sum, byte| {
            (sum ^ u32::from(*byte)).wrapping_mul(16_777_619)
        });
        sum.max(1)
    }

    /// Whether the sum is that of its writer.
    pub fn is_genuine(&self) -> bool {
        self.sum == self.compute_sum()
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        bytes[0..2].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes[2] = self.flags;
        bytes[8..12].copy_from_slice(&self.compute_sum().to_be_bytes());
        bytes[12..14].copy_from_slice(&self.target.port().to_be_bytes());
        bytes[14..16].copy_from_slice(&self.source.port().to_be_bytes());
        bytes[16..20].copy_from_slice(&self.source.ip().octets());
        bytes[20..24].copy_from_slice(&self.target.ip().octets());
        bytes[24..28].copy_from_slice(&self.seq.to_be_bytes());
        bytes[28..32].copy_from_slice(&self.ack.to_be_bytes());
        bytes.extend(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEAD {
            return None;
        }
        let word = |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
        let half = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        if usize::from(half(0)) != bytes.len() - HEAD {
            return None;
        }
        Some(Self {
            flags: bytes[2],
            sum: word(8),
            source: SocketAddrV4::new(Ipv4Addr::from(word(16)), half(14)),
            target: SocketAddrV4::new(Ipv4Addr::from(word(20)), half(12)),
            seq: word(24),
            ack: word(28),
            data: bytes[HEAD..].to_vec(),
        })
    }
}
