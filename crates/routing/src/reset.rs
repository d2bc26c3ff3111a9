//! Stateless resets (RFC 9000, section 10.3).
//!
//! The reset token of a connection ID is a keyed hash of it. All processes of a
//! fleet share the key, so any of them can end a flow whose host is gone.

use std::hash::Hasher;

use hyssopstair_wire::token::SECRET_LENGTH;
use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher24;

/// Length of a reset token in bytes.
pub const RESET_TOKEN_LENGTH: usize = 16;

/// Shortest reset packet in bytes.
pub const MIN_RESET_LENGTH: usize = 21;

const FIXED_BITS: u8 = 0x40;
const RANDOM_BITS: u8 = 0x3f;

/// Returns the reset token of a connection ID.
pub fn reset_token(key: &[u8; SECRET_LENGTH], connection_id: &[u8]) -> [u8; RESET_TOKEN_LENGTH] {
    let mut hasher = SipHasher24::new_with_key(key);
    hasher.write(connection_id);
    hasher.finish128().as_bytes()
}

/// Returns a reset packet that ends the flow of `connection_id`, or nothing when
/// `trigger_length`, the length of the packet that it answers, is too short for
/// an answer that is shorter still. `filler` is random.
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
