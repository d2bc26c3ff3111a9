//! Tickets: idempotency keys that name the one process that may run a request.
//!
//! A host seals a ticket for a caller, and the caller sends it back as the
//! idempotency key of its request. The tag keeps a caller from making a ticket
//! that sends hosts to an address of its choice.
//!
//! Layout, 34 bytes, integers in network order: IPv4 address (4), port (2),
//! incarnation (4), number (8), expiry (8), tag (8). The text form is
//! [`TICKET_PREFIX`] followed by the bytes in hexadecimal digits.

use std::fmt::Write;
use std::hash::Hasher;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use siphasher::sip::SipHasher24;
use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher24 as SipHasher128;

use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::time::MonotonicTime;
use hyssopstair_wire::token::FleetSecret;
use hyssopstair_wire::token::SECRET_LENGTH;

/// Start of the text form of a ticket.
pub const TICKET_PREFIX: &str = "hyt1-";

const BODY_LENGTH: usize = 26;

const TICKET_LENGTH: usize = 34;

/// The number of a ticket among those of one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketNumber(pub u64);

/// The right to run one request once, at the process that issued it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTicket {
    /// The process that issued the ticket.
    pub issuer: ProcessId,
    /// Its number among those of the issuer's incarnation.
    pub number: TicketNumber,
    /// When it ends, on the issuer's own clock.
    pub expiry: MonotonicTime,
}

/// A hash of what a request asks for, equal at all hosts of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestFingerprint(pub u128);

/// Why a key is no ticket of this fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TicketError {
    /// The key does not have the form of a ticket.
    #[error("key is not a ticket")]
    Malformed,
    /// The tag does not match.
    #[error("ticket has a wrong tag")]
    WrongTag,
}

/// The key that seals and opens tickets.
#[derive(Clone)]
pub struct TicketKey {
    secret: [u8; SECRET_LENGTH],
}

impl std::fmt::Debug for TicketKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("TicketKey(..)")
    }
}

impl TicketKey {
    /// Derives the key from the secret of the fleet.
    pub fn derive(secret: &FleetSecret) -> Self {
        Self {
            secret: secret.derive(b"ticket"),
        }
    }

    /// Returns the text form of a ticket.
    pub fn encode_ticket(&self, ticket: &RequestTicket) -> String {
        let mut bytes = [0; TICKET_LENGTH];
        bytes[0..4].copy_from_slice(&ticket.issuer.address.ip().octets());
        bytes[4..6].copy_from_slice(&ticket.issuer.address.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&ticket.issuer.incarnation.0.to_be_bytes());
        bytes[10..18].copy_from_slice(&ticket.number.0.to_be_bytes());
        bytes[18..26].copy_from_slice(&ticket.expiry.0.to_be_bytes());
        let tag = self.tag(&bytes[..BODY_LENGTH]);
        bytes[BODY_LENGTH..].copy_from_slice(&tag);
        encode_hex(&bytes)
    }

    /// Reads the text form of a ticket and checks its tag.
    ///
    /// # Errors
    ///
    /// Returns a [`TicketError`] when no process of this fleet issued it.
    pub fn decode_ticket(&self, text: &str) -> Result<RequestTicket, TicketError> {
        let bytes = decode_hex(text).ok_or(TicketError::Malformed)?;
        if self.tag(&bytes[..BODY_LENGTH]) != bytes[BODY_LENGTH..] {
            return Err(TicketError::WrongTag);
        }
        let ip = Ipv4Addr::new(bytes[0], bytes[1], bytes[2], bytes[3]);
        let port = u16::from_be_bytes([bytes[4], bytes[5]]);
        let incarnation = u32::from_be_bytes([bytes[6], bytes[7], bytes[8], bytes[9]]);
        Ok(RequestTicket {
            issuer: ProcessId {
                address: SocketAddrV4::new(ip, port),
                incarnation: HostIncarnation(incarnation),
            },
            number: TicketNumber(read_u64(&bytes[10..18])),
            expiry: MonotonicTime(read_u64(&bytes[18..26])),
        })
    }

    /// Hashes what a request asks for.
    pub fn fingerprint(&self, method: &str, path: &str, body: &[u8]) -> RequestFingerprint {
        let mut hasher = SipHasher128::new_with_key(&self.secret);
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.write_u64(part.len() as u64);
            hasher.write(part);
        }
        RequestFingerprint(hasher.finish128().as_u128())
    }

    fn tag(&self, body: &[u8]) -> [u8; TICKET_LENGTH - BODY_LENGTH] {
        let mut hasher = SipHasher24::new_with_key(&self.secret);
        hasher.write(body);
        hasher.finish().to_be_bytes()
    }
}

fn read_u64(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0, |value, byte| (value << 8) | u64::from(*byte))
}

fn encode_hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(TICKET_PREFIX.len() + 2 * bytes.len());
    text.push_str(TICKET_PREFIX);
    for byte in bytes {
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn decode_hex(text: &str) -> Option<[u8; TICKET_LENGTH]> {
    let digits = text.strip_prefix(TICKET_PREFIX)?.as_bytes();
    if digits.len() != 2 * TICKET_LENGTH {
        return None;
    }
    let mut bytes = [0; TICKET_LENGTH];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = 16 * hex_digit(pair[0])? + hex_digit(pair[1])?;
    }
    Some(bytes)
}

/// Only lower-case digits are read, so that a ticket has one text form.
fn hex_digit(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}
