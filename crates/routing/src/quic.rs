//! Parser for the version-independent part of a QUIC packet header (RFC 8999) and
//! the long header packet types of QUIC version 1 (RFC 9000, section 17.2).

use hyssopstair_wire::token::ROUTE_TOKEN_LENGTH;

const LONG_HEADER_BIT: u8 = 0x80;
const LONG_TYPE_MASK: u8 = 0x30;
const LONG_TYPE_HANDSHAKE: u8 = 0x20;
const LONG_TYPE_RETRY: u8 = 0x30;
const VERSION_1: u32 = 1;

/// Offset of the destination connection ID in a long header, in bytes.
const DESTINATION_OFFSET: usize = 6;

/// The unencrypted header fields of a packet that are needed for routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuicHeader<'a> {
    /// The form of the packet.
    pub form: QuicForm,
    /// The destination connection ID.
    pub destination_id: &'a [u8],
}

/// The form of a QUIC packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuicForm {
    /// A long header packet that may open a flow: Initial, 0-RTT, or any packet of
    /// a version other than 1.
    Opening,
    /// A Handshake packet.
    Handshake,
    /// A short header packet.
    Short,
}

/// Parses the header of the first packet in a datagram. Returns `None` if the
/// datagram is too short, or if the packet is a Retry packet, which callers never
/// send.
pub fn parse_header(datagram: &[u8]) -> Option<QuicHeader<'_>> {
    let first_byte = *datagram.first()?;
    if first_byte & LONG_HEADER_BIT == 0 {
        return Some(QuicHeader {
            form: QuicForm::Short,
            destination_id: datagram.get(1..1 + ROUTE_TOKEN_LENGTH)?,
        });
    }
    let version = u32::from_be_bytes(datagram.get(1..5)?.try_into().ok()?);
    let length = usize::from(*datagram.get(5)?);
    let destination_id = datagram.get(DESTINATION_OFFSET..DESTINATION_OFFSET + length)?;
    let form = long_header_form(first_byte, version)?;
    Some(QuicHeader {
        form,
        destination_id,
    })
}

fn long_header_form(first_byte: u8, version: u32) -> Option<QuicForm> {
    if version != VERSION_1 {
        return Some(QuicForm::Opening);
    }
    match first_byte & LONG_TYPE_MASK {
        LONG_TYPE_HANDSHAKE => Some(QuicForm::Handshake),
        LONG_TYPE_RETRY => None,
        _ => Some(QuicForm::Opening),
    }
}
