//! QUIC stateless resets (RFC 9000, section 10.3).
//!
//! The reset token of a connection ID is a keyed hash of the ID. All processes of
//! a fleet share the key, so any of them can reset a flow whose host is gone.

use std::hash::Hasher;

use hyssopstair_wire::token::SECRET_LENGTH;
use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher24;

/// Length of a reset token in bytes.
pub const RESET_TOKEN_LENGTH: usize = 16;

/// Minimum length of a reset packet in bytes.
pub const MIN_RESET_LENGTH: usize = 21;

/// The two high bits of a short header: header form 0 and fixed bit 1.
const FIXED_BITS: u8 = 0x40;

/// The bits of the first byte that are random in a reset.
const RANDOM_BITS: u8 = 0x3f;

/// Returns the stateless reset token of a connection ID.
pub fn reset_token(key: &[u8; SECRET_LENGTH], connection_id: &[u8]) -> [u8; RESET_TOKEN_LENGTH] {
    let mut hasher = SipHasher24::new_with_key(key);
    hasher.write(connection_id);
    hasher.finish128().as_bytes()
}

/// Returns a packet that resets the flow of `connection_id`.
///
/// `trigger_length` is the length in bytes of the packet to which the reset is the
/// response. Returns `None` if that packet is not longer than
/// [`MIN_RESET_LENGTH`]: a reset must be shorter than its trigger, so that two
/// endpoints cannot exchange resets endlessly. `filler` must be random.
pub fn reset_packet(
    key: &[u8; SECRET_LENGTH],
    connection_id: &[u8],
    trigger_length: usize,
    filler: u64,
) -> Option<Vec<u8>> {
    if trigger_length <= MIN_RESET_LENGTH {
        return None;
    }
    let mut packet = filler.to_be_bytes()[..MIN_RESET_LENGTH - RESET_TOKEN_LENGTH].to_vec();
    packet[0] = FIXED_BITS | (packet[0] & RANDOM_BITS);
    packet.extend_from_slice(&reset_token(key, connection_id));
    Some(packet)
}
