//! Headers that balancers and hosts prepend to the datagrams of a flow.
//!
//! A packet is a version byte, a kind byte, an encoded message and an optional
//! payload. The kind byte lets flows and control messages share one UDP port.
//! The datagram of a flow is the payload and is not modified.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

use crate::address::HostIncarnation;
use crate::address::ProcessId;
use crate::address::ServiceId;

/// Version of the packet format, sent as the first byte of each packet.
pub const WIRE_VERSION: u8 = 1;

/// Maximum length of a packet in bytes, including all headers.
pub const MAX_PACKET_LENGTH: usize = 2_048;

/// Maximum number of times that hosts pass on a packet among themselves.
pub const MAX_HOPS: u8 = 2;

/// The content of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketKind {
    /// A datagram from a caller to a host, after a [`ForwardHeader`].
    Forward,
    /// A datagram from a host to a caller, after a [`ReturnHeader`].
    Return,
    /// A [`crate::control::ControlMessage`].
    Control,
}

impl PacketKind {
    fn to_byte(self) -> u8 {
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

/// Trace and span IDs, as in the W3C `traceparent` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceContext {
    /// The trace ID.
    pub trace: [u8; 16],
    /// The ID of the parent span.
    pub span: [u8; 8],
}

/// The load that a host reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of open flows, including those whose handshake is in progress.
    pub flows: u32,
    /// Whether the host accepts new flows.
    pub takes_new: bool,
}

/// The second choice for a new flow: the host to which the first choice may hand
/// the flow over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecondHost {
    /// The host.
    pub process: ProcessId,
    /// Its placement weight, relative to the other hosts of the service.
    pub weight: u16,
    /// The placement weight of the first choice.
    pub first_weight: u16,
    /// Its last load report, if the balancer has a recent one.
    pub load: Option<LoadReport>,
}

/// Header of a caller's datagram that is forwarded to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHeader {
    /// The service that the caller addressed.
    pub service: ServiceId,
    /// The incarnation in the route token of the packet; `None` if the packet
    /// opens a flow.
    pub incarnation: Option<HostIncarnation>,
    /// The caller.
    pub caller: SocketAddrV4,
    /// The address that the caller sent to.
    pub target: SocketAddrV4,
    /// The balancer that received the datagram from the caller.
    pub balancer: SocketAddrV4,
    /// The host to which the receiver may hand over a packet that opens a flow.
    pub second: Option<SecondHost>,
    /// Number of hosts that have passed on the datagram.
    pub hops: u8,
    /// The highest configuration version known to the sender.
    pub version: u64,
    /// The trace context, if the flow is sampled.
    pub trace: Option<TraceContext>,
}

/// Header of a host's datagram that is returned to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnHeader {
    /// The service of the flow.
    pub service: ServiceId,
    /// The host that sends the datagram.
    pub host: ProcessId,
    /// The current load of the host.
    pub load: LoadReport,
    /// The caller.
    pub caller: SocketAddrV4,
    /// The address that the caller sent to.
    pub target: SocketAddrV4,
    /// The highest configuration version known to the sender.
    pub version: u64,
    /// The trace context, if the request is sampled.
    pub trace: Option<TraceContext>,
}

/// An error in decoding or encoding a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// The first byte is not [`WIRE_VERSION`].
    #[error("unsupported packet version")]
    Version,
    /// The second byte is not a known [`PacketKind`].
    #[error("unknown packet kind")]
    Kind,
    /// The packet is truncated or its message cannot be decoded.
    #[error("malformed packet")]
    Malformed,
    /// The packet does not fit in the buffer.
    #[error("packet does not fit in the buffer")]
    TooLong,
}

/// Length in bytes of the version and kind that precede the message.
const PREFIX_LENGTH: usize = 2;

/// Decodes the kind of a packet and returns it with the remaining bytes.
///
/// # Errors
///
/// Returns [`PacketError::Malformed`] if the packet is too short, and
/// [`PacketError::Version`] or [`PacketError::Kind`] if the version or kind is
/// not supported.
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

/// Decodes a message of type `T` and returns it with the remaining bytes.
///
/// # Errors
///
/// Returns [`PacketError::Malformed`] if the bytes do not start with such a
/// message.
pub fn split_message<'a, T: Deserialize<'a>>(
    bytes: &'a [u8],
) -> Result<(T, &'a [u8]), PacketError> {
    postcard::take_from_bytes(bytes).map_err(|_| PacketError::Malformed)
}

/// Encodes a packet into `buffer` and returns its length in bytes.
///
/// # Errors
///
/// Returns [`PacketError::TooLong`] if the packet does not fit in `buffer`.
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
    buffer[1] = kind.to_byte();
    let written = postcard::to_slice(message, &mut buffer[PREFIX_LENGTH..])
        .map_err(|_| PacketError::TooLong)?
        .len();
    let start = PREFIX_LENGTH + written;
    let end = start + payload.len();
    let space = buffer.get_mut(start..end).ok_or(PacketError::TooLong)?;
    space.copy_from_slice(payload);
    Ok(end)
}

/// Encodes a packet into a new vector.
///
/// # Errors
///
/// Returns [`PacketError::TooLong`] if the packet is longer than
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
