//! The list of a host's open flows, which outlives its process.
//!
//! After a loss of power, no process remembers a flow. Callers learn that theirs has
//! ended only when they send the next request, which is then lost if it must not be
//! repeated. Each host therefore saves its open flows on the platform, and its next
//! process resets them as soon as it knows that their server has ended; callers then open
//! new flows before they send a request.
//!
//! A list may be late, missing or not this host's own, so nothing waits for it, and a
//! flow is reset only if the list's server is known to have been replaced. Callers accept
//! a reset only near the position that they acknowledged last, so a flow that was opened
//! anew at another server is not affected by an old list.

use std::hash::Hasher;
use std::time::Duration;

use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::time::MonotonicTime;
use serde::Deserialize;
use serde::Serialize;
use siphasher::sip::SipHasher13;

/// Version of the encoding, which is its first byte. A checksum and the list follow.
const ENCODING_VERSION: u8 = 1;

/// Length of the checksum.
const CHECKSUM_BYTES: usize = 8;

/// Maximum number of flows in a list. A server of the users holds 2,000 flows.
pub const MAX_SAVED_FLOWS: usize = 4_096;

/// Maximum length of an encoded list. A flow takes 22 bytes at most.
pub const MAX_LIST_BYTES: usize = 128 * 1024;

/// Minimum time between two lists, to limit the calls to the platform's store.
const MIN_SAVE_INTERVAL: Duration = Duration::from_secs(4);

/// A list is saved again if one flow in this many is not covered by the last one.
const UNCOVERED_DIVISOR: usize = 8;

/// Distance, in bytes of the server's stream, from which a saved position no longer covers
/// a flow: half of the distance at which callers ignore a reset, since the flow moves on
/// until the next list.
const MAX_POSITION_DRIFT: u32 = 76_800 / 2;

/// A flow that the server held when the list was saved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedFlow {
    /// The flow.
    pub flow: FlowKey,
    /// Position in the server's stream that the caller had acknowledged.
    pub acknowledged: u32,
}

/// The open flows of a host, and the server that held them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedFlowList {
    /// Time at which the list was saved, in milliseconds since the Unix epoch.
    pub saved_unix_millis: u64,
    /// Name of the service of the server.
    pub service: String,
    /// Identifier of the server, from its heartbeats.
    pub server_id: String,
    /// Start time of the server by its own clock, in milliseconds since the Unix epoch.
    pub server_started_unix_millis: u64,
    /// The flows, sorted by [`SavedFlow::flow`], at most [`MAX_SAVED_FLOWS`].
    pub flows: Vec<SavedFlow>,
}

/// Why an encoded list was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SavedFlowsError {
    /// It is longer than [`MAX_LIST_BYTES`].
    TooLong,
    /// Its encoding has another version.
    UnknownVersion,
    /// Its checksum is wrong.
    Damaged,
    /// It is cut off, has bytes after its end, has too many flows, or they are not sorted.
    Malformed,
}

impl SavedFlowList {
    /// Returns the encoded list.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding into a vector cannot fail; if it did, the body would be empty, which no
        // process decodes.
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = vec![ENCODING_VERSION];
        bytes.extend_from_slice(&compute_checksum(&body));
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Decodes a list.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid list.
    pub fn decode(bytes: &[u8]) -> Result<Self, SavedFlowsError> {
        if bytes.len() > MAX_LIST_BYTES {
            return Err(SavedFlowsError::TooLong);
        }
        let (version, rest) = bytes.split_first().ok_or(SavedFlowsError::Malformed)?;
        if *version != ENCODING_VERSION {
            return Err(SavedFlowsError::UnknownVersion);
        }
        let (checksum, body) = rest
            .split_first_chunk::<CHECKSUM_BYTES>()
            .ok_or(SavedFlowsError::Malformed)?;
        if *checksum != compute_checksum(body) {
            return Err(SavedFlowsError::Damaged);
        }
        let (list, rest): (Self, &[u8]) =
            postcard::take_from_bytes(body).map_err(|_| SavedFlowsError::Malformed)?;
        let is_sorted = list.flows.is_sorted_by(|one, next| one.flow < next.flow);
        if !rest.is_empty() || list.flows.len() > MAX_SAVED_FLOWS || !is_sorted {
            return Err(SavedFlowsError::Malformed);
        }
        Ok(list)
    }
}

/// Decides when a host saves its flows again.
#[derive(Debug, Default)]
pub struct SaveSchedule {
    /// The flows of the last list, sorted by flow.
    saved_flows: Vec<SavedFlow>,
    saved_at: Option<MonotonicTime>,
}

impl SaveSchedule {
    /// Returns whether `flows` are to be saved at `now`: the last list is old enough, and
    /// too many of them are missing from it or have moved on.
    pub fn is_due(&self, flows: &[SavedFlow], now: MonotonicTime) -> bool {
        let is_recent = self
            .saved_at
            .is_some_and(|saved_at| now.since(saved_at) < MIN_SAVE_INTERVAL);
        if is_recent {
            return false;
        }
        let uncovered_count = flows.iter().filter(|flow| !self.covers(flow)).count();
        uncovered_count * UNCOVERED_DIVISOR > flows.len()
    }

    /// Records that `flows`, sorted by flow, are saved at `now`.
    pub fn record(&mut self, flows: &[SavedFlow], now: MonotonicTime) {
        self.saved_flows = flows.to_vec();
        self.saved_at = Some(now);
    }

    /// Returns whether a reset at the saved position would reach the caller of the flow.
    fn covers(&self, current: &SavedFlow) -> bool {
        let found = self
            .saved_flows
            .binary_search_by_key(&current.flow, |saved| saved.flow);
        found.is_ok_and(|index| {
            let saved = self.saved_flows[index];
            current.acknowledged.wrapping_sub(saved.acknowledged) < MAX_POSITION_DRIFT
        })
    }
}

/// Returns a checksum that detects damage, and no attack.
fn compute_checksum(body: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut hasher = SipHasher13::new();
    hasher.write(body);
    hasher.finish().to_le_bytes()
}
