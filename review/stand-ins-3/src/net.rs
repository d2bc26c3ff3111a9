//! The packet header of PROTOCOL.md, and a monotonic clock in microseconds.

use std::net::Ipv4Addr;
use std::time::Instant;

pub const HEAD: usize = 36;
pub const FIN: u8 = 128;
pub const SYN: u8 = 64;
pub const ACK: u8 = 32;
pub const BOUNCED: u8 = 16;
pub const RST: u8 = 4;

/// One end of a flow.
pub type End = (Ipv4Addr, u16);

#[derive(Debug, Clone, Copy)]
pub struct Head {
    pub src: End,
    pub dst: End,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub len: u16,
    pub sum: u32,
}

/// Stands for the keyed sum, which only the two ends of a flow can compute.
fn keyed_sum(bytes: &[u8]) -> u32 {
    let mut hash: u32 = 0x9e37_79b9;
    for (index, byte) in bytes.iter().enumerate() {
        let is_excluded = (3..12).contains(&index) || (32..36).contains(&index);
        let value = match index {
            2 => *byte & !BOUNCED,
            _ if is_excluded => 0,
            _ => *byte,
        };
        hash = (hash ^ u32::from(value)).wrapping_mul(0x0100_0193);
    }
    hash | 1
}

pub fn encode(src: End, dst: End, flags: u8, seq: u32, ack: u32, data: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0u8; HEAD];
    bytes[0..2].copy_from_slice(&(data.len() as u16).to_be_bytes());
    bytes[2] = flags;
    bytes[12..14].copy_from_slice(&dst.1.to_be_bytes());
    bytes[14..16].copy_from_slice(&src.1.to_be_bytes());
    bytes[16..20].copy_from_slice(&src.0.octets());
    bytes[20..24].copy_from_slice(&dst.0.octets());
    bytes[24..28].copy_from_slice(&seq.to_be_bytes());
    bytes[28..32].copy_from_slice(&ack.to_be_bytes());
    bytes.extend_from_slice(data);
    let sum = keyed_sum(&bytes);
    bytes[8..12].copy_from_slice(&sum.to_be_bytes());
    bytes
}

pub fn decode(bytes: &[u8]) -> Option<Head> {
    if bytes.len() < HEAD {
        return None;
    }
    let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
    let u32_at =
        |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    (usize::from(u16_at(0)) == bytes.len() - HEAD).then(|| Head {
        src: (Ipv4Addr::from(u32_at(16)), u16_at(14)),
        dst: (Ipv4Addr::from(u32_at(20)), u16_at(12)),
        flags: bytes[2],
        seq: u32_at(24),
        ack: u32_at(28),
        len: u16_at(0),
        sum: u32_at(8),
    })
}

/// Whether a packet is as one of the two ends wrote it.
pub fn is_unchanged(bytes: &[u8]) -> bool {
    decode(bytes).is_some_and(|head| head.sum == keyed_sum(bytes))
}

#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Self {
        Self(Instant::now())
    }

    pub fn now(self) -> u64 {
        self.0.elapsed().as_micros() as u64
    }
}

/// A small random generator (xorshift), seeded.
#[derive(Debug)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 11
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }
}
