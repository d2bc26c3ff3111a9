//! The header that balancers and hosts put before a datagram of a flow.
//!
//! The datagram follows the header unchanged. A process reads the kind byte
//! first, so that flows and control messages can share one UDP port.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

use crate::address::HostIncarnation;
use crate::address::ProcessId;
use crate::address::ServiceId;

/// Version of the format of this package.
pub const WIRE_VERSION: u8 = 1;

/// Longest datagram that is carried, in bytes, header included.
pub const MAX_PACKET_LENGTH: usize = 2_048;

/// Most times that a packet is passed on between hosts.
pub const MAX_HOPS: u8 = 2;

/// What a datagram between two processes holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketKind {
    /// From a caller towards a host; a [`ForwardHeader`] follows.
    Forward,
    /// From a host towards a caller; a [`ReturnHeader`] follows.
    Return,
    /// A [`crate::control::ControlMessage`] follows.
    Control,
}

impl PacketKind {
    fn byte(self) -> u8 {
        match self {
            Self::Forward => 1,
            Self::Return => 2,
            Self::Control => 3,
        }
    }

    fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            1 => Some(Self::Forward),
            2 => Some(Self::Return),
            3 => Some(Self::Control),
            _ => None,
        }
    }
}

/// Where in a trace a packet belongs, as in the W3C `traceparent` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceContext {
    /// The trace.
    pub trace: [u8; 16],
    /// The span that caused the packet.
    pub span: [u8; 8],
}

/// How busy a host is, by its own count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Open flows.
    pub flows: u32,
    /// Whether the host takes new flows.
    pub takes_new: bool,
}

/// The host that the first host for a flow may hand it over to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecondHost {
    /// The host.
    pub process: ProcessId,
    /// Its share of new flows, relative to other hosts of the service.
    pub weight: u16,
    /// The share of the first host.
    pub first_weight: u16,
    /// Its load, when the balancer has heard of it lately.
    pub load: Option<LoadReport>,
}

/// Header of a datagram on its way to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHeader {
    /// The service that the datagram was sent to.
    pub service: ServiceId,
    /// The incarnation that the route names; none for a packet that opens a
    /// flow.
    pub incarnation: Option<HostIncarnation>,
    /// The caller.
    pub caller: SocketAddrV4,
    /// The address that the caller sent to.
    pub target: SocketAddrV4,
    /// The balancer that received the datagram.
    pub balancer: SocketAddrV4,
    /// Where a packet that opens a flow may be handed over to.
    pub second: Option<SecondHost>,
    /// Hosts that the datagram has passed through.
    pub hops: u8,
    /// The highest configuration version that the sender knows.
    pub version: u64,
    /// The trace of a sampled flow.
    pub trace: Option<TraceContext>,
}

/// Header of a datagram on its way to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnHeader {
    /// The service that answers.
    pub service: ServiceId,
    /// The host that answers.
    pub host: ProcessId,
    /// The load of the host.
    pub load: LoadReport,
    /// The caller.
    pub caller: SocketAddrV4,
    /// The address that the caller sent to.
    pub target: SocketAddrV4,
    /// The highest configuration version that the sender knows.
    pub version: u64,
    /// The trace of a sampled request.
    pub trace: Option<TraceContext>,
}

/// Why a packet cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// The first byte names another version.
    #[error("packet has an unknown version")]
    Version,
    /// The second byte names no kind.
    #[error("packet has an unknown kind")]
    Kind,
    /// What follows is not the expected message.
    #[error("packet is malformed")]
    Malformed,
    /// The message does not fit the buffer.
    #[error("packet is too long")]
    TooLong,
}

/// Bytes before the message: version and kind.
const PREFIX_LENGTH: usize = 2;

/// Reads the kind of a packet and returns it with the rest.
///
/// # Errors
///
/// Returns a [`PacketError`] when the packet is not of this protocol.
pub fn split_kind(packet: &[u8]) -> Result<(PacketKind, &[u8]), PacketError> {
    let (prefix, rest) = packet
        .split_first_chunk::<PREFIX_LENGTH>()
        .ok_or(PacketError::Malformed)?;
    if prefix[0] != WIRE_VERSION {
        return Err(PacketError::Version);
    }
    let kind = PacketKind::from_byte(prefix[1]).ok_or(PacketError::Kind)?;
    Ok((kind, rest))
}

/// Reads a message and returns it with the bytes that follow it.
///
/// # Errors
///
/// Returns [`PacketError::Malformed`] when the bytes are not such a message.
pub fn split_message<'a, T: Deserialize<'a>>(
    bytes: &'a [u8],
) -> Result<(T, &'a [u8]), PacketError> {
    postcard::take_from_bytes(bytes).map_err(|_| PacketError::Malformed)
}

/// Writes kind, message and payload to `buffer` and returns the length.
///
/// # Errors
///
/// Returns [`PacketError::TooLong`] when `buffer` is too short.
pub fn write_packet<T: Serialize>(
    buffer: &mut [u8],
    kind: PacketKind,
    message: &T,
    payload: &[u8],
) -> Result<usize, PacketError> {
    if buffer.len() < PREFIX_LENGTH {
        return Err(PacketError::TooLong);
    }
    buffer[0] = WIRE_VERSION;
    buffer[1] = kind.byte();
    let written = postcard::to_slice(message, &mut buffer[PREFIX_LENGTH..])
        .map_err(|_| PacketError::TooLong)?
        .len();
    let start = PREFIX_LENGTH + written;
    let end = start + payload.len();
    let space = buffer.get_mut(start..end).ok_or(PacketError::TooLong)?;
    space.copy_from_slice(payload);
    Ok(end)
}

/// Writes a packet to a new vector.
///
/// # Errors
///
/// Returns [`PacketError::TooLong`] when the packet is longer than
/// [`MAX_PACKET_LENGTH`].
pub fn encode_packet<T: Serialize>(
    kind: PacketKind,
    message: &T,
    payload: &[u8],
) -> Result<Vec<u8>, PacketError> {
    let mut buffer = vec![0; MAX_PACKET_LENGTH];
    let length = write_packet(&mut buffer, kind, message, payload)?;
    buffer.truncate(length);
    Ok(buffer)
}
