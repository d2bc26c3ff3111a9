//! The part of a QUIC packet header that never changes between versions
//! (RFC 8999), and the long packet types of version 1 (RFC 9000, section 17.2).

use hyssopstair_wire::token::ROUTE_TOKEN_LENGTH;

const LONG_HEADER_BIT: u8 = 0x80;
const LONG_TYPE_MASK: u8 = 0x30;
const LONG_TYPE_HANDSHAKE: u8 = 0x20;
const LONG_TYPE_RETRY: u8 = 0x30;
const VERSION_1: u32 = 1;
const DESTINATION_OFFSET: usize = 6;

/// What a packet says about itself before decryption.
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
    /// A long header that may open a flow: Initial, 0-RTT, or another version.
    Opening,
    /// A long header of a handshake under way.
    Handshake,
    /// A short header.
    Short,
}

/// Reads the header of the first packet of a datagram, or nothing when the
/// datagram is too short to have one.
pub fn parse_header(datagram: &[u8]) -> Option<QuicHeader<'_>> {
    let first = *datagram.first()?;
    if first & LONG_HEADER_BIT == 0 {
        return Some(QuicHeader {
            form: QuicForm::Short,
            destination_id: datagram.get(1..1 + ROUTE_TOKEN_LENGTH)?,
        });
    }
    let version = u32::from_be_bytes(datagram.get(1..5)?.try_into().ok()?);
    let length = usize::from(*datagram.get(5)?);
    let destination_id = datagram.get(DESTINATION_OFFSET..DESTINATION_OFFSET + length)?;
    let form = long_form(first, version)?;
    Some(QuicHeader {
        form,
        destination_id,
    })
}

fn long_form(first: u8, version: u32) -> Option<QuicForm> {
    if version != VERSION_1 {
        return Some(QuicForm::Opening);
    }
    match first & LONG_TYPE_MASK {
        LONG_TYPE_HANDSHAKE => Some(QuicForm::Handshake),
        LONG_TYPE_RETRY => None,
        _ => Some(QuicForm::Opening),
    }
}
