//! Tickets: idempotency keys that name the process that issued them.
//!
//! A host issues a ticket to a caller, and the caller sends it back as the
//! idempotency key of its request. The issuer tracks the ticket and ensures that
//! the request runs at most once. A ticket ends with an authentication tag;
//! without it, a caller could forge a ticket that makes hosts connect to an
//! address of its choice.
//!
//! Layout, 34 bytes, integers in network byte order: IPv4 address (4), port (2),
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

/// Prefix of the text form of a ticket.
pub const TICKET_PREFIX: &str = "hyt1-";

/// Length of the authenticated fields.
const BODY_BYTES: usize = 26;

/// Length of a ticket with its tag.
const TICKET_BYTES: usize = 34;

/// The sequence number of a ticket within one incarnation of its issuer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketNumber(pub u64);

/// Permission to run one request once, tracked by the process that issued it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTicket {
    /// The process that issued the ticket.
    pub issuer: ProcessId,
    /// The sequence number within the issuer's incarnation.
    pub number: TicketNumber,
    /// The expiry time on the issuer's monotonic clock.
    pub expiry: MonotonicTime,
}

/// A keyed hash of the method, path and body of a request. All hosts of a fleet
/// compute the same value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestFingerprint(pub u128);

/// Why an idempotency key is not a valid ticket of this fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TicketError {
    /// The key does not have the format of a ticket.
    #[error("idempotency key is not a ticket")]
    Malformed,
    /// The authentication tag does not match.
    #[error("ticket authentication tag does not match")]
    WrongTag,
}

/// The key that authenticates tickets and fingerprints requests.
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
    /// Derives the key from the fleet secret.
    pub fn derive(secret: &FleetSecret) -> Self {
        Self {
            secret: secret.derive(b"ticket"),
        }
    }

    /// Returns the text form of a ticket with its authentication tag.
    pub fn encode_ticket(&self, ticket: &RequestTicket) -> String {
        let mut bytes = [0; TICKET_BYTES];
        bytes[0..4].copy_from_slice(&ticket.issuer.address.ip().octets());
        bytes[4..6].copy_from_slice(&ticket.issuer.address.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&ticket.issuer.incarnation.0.to_be_bytes());
        bytes[10..18].copy_from_slice(&ticket.number.0.to_be_bytes());
        bytes[18..26].copy_from_slice(&ticket.expiry.0.to_be_bytes());
        let tag = self.tag(&bytes[..BODY_BYTES]);
        bytes[BODY_BYTES..].copy_from_slice(&tag);
        encode_hex(&bytes)
    }

    /// Parses the text form of a ticket and verifies its tag.
    ///
    /// # Errors
    ///
    /// Returns a [`TicketError`] if the text is malformed or the tag does not
    /// match, which means that no process of this fleet issued the ticket.
    pub fn decode_ticket(&self, text: &str) -> Result<RequestTicket, TicketError> {
        let bytes = decode_hex(text).ok_or(TicketError::Malformed)?;
        if self.tag(&bytes[..BODY_BYTES]) != bytes[BODY_BYTES..] {
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

    /// Returns the fingerprint of a request. Each part is hashed with its length,
    /// so that the boundaries between the parts are unambiguous.
    pub fn fingerprint(&self, method: &str, path: &str, body: &[u8]) -> RequestFingerprint {
        let mut hasher = SipHasher128::new_with_key(&self.secret);
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.write_u64(part.len() as u64);
            hasher.write(part);
        }
        RequestFingerprint(hasher.finish128().as_u128())
    }

    fn tag(&self, body: &[u8]) -> [u8; TICKET_BYTES - BODY_BYTES] {
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
        // Writing to a `String` cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn decode_hex(text: &str) -> Option<[u8; TICKET_BYTES]> {
    let digits = text.strip_prefix(TICKET_PREFIX)?.as_bytes();
    if digits.len() != 2 * TICKET_BYTES {
        return None;
    }
    let mut bytes = [0; TICKET_BYTES];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = 16 * parse_hex_digit(pair[0])? + parse_hex_digit(pair[1])?;
    }
    Some(bytes)
}

/// Parses one lower-case hexadecimal digit. Upper-case digits are rejected so
/// that each ticket has exactly one text form.
fn parse_hex_digit(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}
