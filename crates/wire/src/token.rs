//! Route tokens: QUIC connection IDs that encode the host of a flow.
//!
//! Hosts issue the tokens, and any balancer that has the key can route a packet
//! by its connection ID alone. The authentication tag prevents callers from
//! forging tokens that direct packets to an address of their choice.
//!
//! A token is 20 bytes long; integers are in network byte order:
//!
//! | field        | bytes |
//! |--------------|-------|
//! | key number   | 1     |
//! | service      | 2     |
//! | IPv4 address | 4     |
//! | port         | 2     |
//! | incarnation  | 4     |
//! | nonce        | 3     |
//! | tag          | 4     |
//!
//! The fields between the key number and the tag are masked with a keystream
//! derived from the tag, so callers neither see inner addresses nor can tell
//! which tokens belong to the same host.

use std::hash::Hasher;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use siphasher::sip::SipHasher24;
use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher24 as SipHasher128;

use crate::address::HostIncarnation;
use crate::address::ProcessId;
use crate::address::ServiceId;

/// Length of a route token in bytes, the longest that QUIC version 1 allows.
pub const ROUTE_TOKEN_LENGTH: usize = 20;

/// Length of a secret in bytes.
pub const SECRET_LENGTH: usize = 16;

/// Offset of the first masked byte, after the key number.
const BODY_OFFSET: usize = 1;

/// Offset of the tag, which is also the length of the authenticated bytes.
const TAG_OFFSET: usize = 16;

/// The 24 bits of a nonce.
const NONCE_MASK: u32 = 0x00ff_ffff;

/// The number of a key, as assigned in the rule file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyNumber(pub u8);

/// The secret that operators configure on every process. The route keys and the
/// secrets for tickets, placement and stateless resets are derived from it. Its
/// `Debug` output omits the bytes.
#[derive(Clone)]
pub struct FleetSecret([u8; SECRET_LENGTH]);

impl std::fmt::Debug for FleetSecret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("FleetSecret(..)")
    }
}

impl FleetSecret {
    /// Creates a secret from its bytes.
    pub const fn new(bytes: [u8; SECRET_LENGTH]) -> Self {
        Self(bytes)
    }

    /// Derives a secret for the purpose identified by `label`.
    pub fn derive(&self, label: &[u8]) -> [u8; SECRET_LENGTH] {
        let mut hasher = SipHasher128::new_with_key(&self.0);
        hasher.write(label);
        hasher.finish128().as_bytes()
    }

    /// Derives the route key with the given number.
    pub fn route_key(&self, number: KeyNumber) -> RouteKey {
        let label = [b'r', b'o', b'u', b't', b'e', number.0];
        let mask_label = [b'm', b'a', b's', b'k', number.0];
        RouteKey {
            number,
            secret: self.derive(&label),
            mask_secret: self.derive(&mask_label),
        }
    }
}

/// A key that authenticates and masks route tokens. Its `Debug` output contains
/// only the number.
#[derive(Clone)]
pub struct RouteKey {
    number: KeyNumber,
    secret: [u8; SECRET_LENGTH],
    mask_secret: [u8; SECRET_LENGTH],
}

impl std::fmt::Debug for RouteKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "RouteKey({})", self.number.0)
    }
}

impl RouteKey {
    /// Returns the authentication tag of `body`.
    fn tag(&self, body: &[u8]) -> [u8; ROUTE_TOKEN_LENGTH - TAG_OFFSET] {
        let mut hasher = SipHasher24::new_with_key(&self.secret);
        hasher.write(body);
        ((hasher.finish() >> 32) as u32).to_be_bytes()
    }

    /// Masks or unmasks the bytes between the key number and the tag.
    fn apply_mask(&self, bytes: &mut [u8; ROUTE_TOKEN_LENGTH]) {
        let (body, tag) = bytes.split_at_mut(TAG_OFFSET);
        let mut hasher = SipHasher128::new_with_key(&self.mask_secret);
        hasher.write(tag);
        let keystream = hasher.finish128().as_bytes();
        for (byte, mask) in body[BODY_OFFSET..].iter_mut().zip(keystream) {
            *byte ^= mask;
        }
    }
}

/// The route keys that a process accepts, sorted by number.
#[derive(Debug, Clone, Default)]
pub struct KeyRing {
    keys: Vec<RouteKey>,
}

impl KeyRing {
    /// Derives a key ring with the keys of the given numbers.
    pub fn derive(secret: &FleetSecret, numbers: &[KeyNumber]) -> Self {
        let mut numbers = numbers.to_vec();
        numbers.sort_unstable();
        numbers.dedup();
        let keys = numbers
            .iter()
            .map(|number| secret.route_key(*number))
            .collect();
        Self { keys }
    }

    /// Returns the key with the given number, if it is in the ring.
    pub fn find(&self, number: KeyNumber) -> Option<&RouteKey> {
        let index = self
            .keys
            .binary_search_by_key(&number, |key| key.number)
            .ok()?;
        Some(&self.keys[index])
    }

    /// Returns whether the ring contains no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

/// An error in opening a route token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// The connection ID does not have the length of a route token.
    #[error("connection ID is not {ROUTE_TOKEN_LENGTH} bytes long")]
    Length,
    /// The key ring does not contain the key of the token.
    #[error("unknown key number in route token")]
    UnknownKey,
    /// The authentication tag does not match.
    #[error("authentication tag of route token does not match")]
    WrongTag,
}

/// The route of a flow, as encoded in its connection IDs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteToken {
    /// The number of the key that seals the token.
    pub key: KeyNumber,
    /// The service that the flow belongs to.
    pub service: ServiceId,
    /// The host that holds the flow.
    pub host: ProcessId,
    /// Distinguishes the tokens of one host. Only the low 24 bits are encoded.
    pub nonce: u32,
}

impl RouteToken {
    /// Encodes the token, adds its authentication tag and masks it. `key` must be
    /// the key with the number [`Self::key`].
    pub fn seal(&self, key: &RouteKey) -> [u8; ROUTE_TOKEN_LENGTH] {
        let mut bytes = [0; ROUTE_TOKEN_LENGTH];
        bytes[0] = key.number.0;
        bytes[1..3].copy_from_slice(&self.service.0.to_be_bytes());
        bytes[3..7].copy_from_slice(&self.host.address.ip().octets());
        bytes[7..9].copy_from_slice(&self.host.address.port().to_be_bytes());
        bytes[9..13].copy_from_slice(&self.host.incarnation.0.to_be_bytes());
        bytes[13..16].copy_from_slice(&(self.nonce & NONCE_MASK).to_be_bytes()[1..]);
        let tag = key.tag(&bytes[..TAG_OFFSET]);
        bytes[TAG_OFFSET..].copy_from_slice(&tag);
        key.apply_mask(&mut bytes);
        bytes
    }

    /// Unmasks and decodes a connection ID and verifies its authentication tag.
    ///
    /// # Errors
    ///
    /// Returns a [`TokenError`] if the connection ID was not sealed with a key of
    /// `ring`.
    pub fn open(ring: &KeyRing, bytes: &[u8]) -> Result<Self, TokenError> {
        let mut bytes: [u8; ROUTE_TOKEN_LENGTH] =
            bytes.try_into().map_err(|_| TokenError::Length)?;
        let number = KeyNumber(bytes[0]);
        let key = ring.find(number).ok_or(TokenError::UnknownKey)?;
        key.apply_mask(&mut bytes);
        if key.tag(&bytes[..TAG_OFFSET]) != bytes[TAG_OFFSET..] {
            return Err(TokenError::WrongTag);
        }
        let ip = Ipv4Addr::new(bytes[3], bytes[4], bytes[5], bytes[6]);
        let port = u16::from_be_bytes([bytes[7], bytes[8]]);
        let incarnation = u32::from_be_bytes([bytes[9], bytes[10], bytes[11], bytes[12]]);
        Ok(Self {
            key: number,
            service: ServiceId(u16::from_be_bytes([bytes[1], bytes[2]])),
            host: ProcessId {
                address: SocketAddrV4::new(ip, port),
                incarnation: HostIncarnation(incarnation),
            },
            nonce: u32::from_be_bytes([0, bytes[13], bytes[14], bytes[15]]),
        })
    }
}
