//! The list of a host's open flows, which outlives its process.
//!
//! After a loss of power, no process remembers a flow. Callers learn that theirs has
//! ended only when they send the next request, which is then lost if it must not be
//! repeated. Each host therefore saves its open flows on the platform, and its next
//! process resets them as soon as it knows that their server has ended; callers then open
//! new flows before they send a request. A list travels in parts, each of which fits into a
//! datagram, to a balancer, which saves the parts of many hosts with one call.
//!
//! A list may be late, missing or not this host's own, so nothing waits for it, and a
//! flow is reset only if the list's server is known to have been replaced. Callers accept
//! a reset only near the position that they acknowledged last, so a flow that was opened
//! anew at another server is not affected by an old list.

use std::cmp::Reverse;
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

/// Maximum number of flows in a part of a list, so that it fits into a datagram: a flow
/// takes 22 bytes at most.
pub const MAX_PART_FLOWS: usize = 48;

/// Maximum number of parts of a list. A server of the users holds 2,000 flows.
pub const MAX_LIST_PARTS: usize = 48;

/// Maximum length of an encoded part.
pub const MAX_PART_BYTES: usize = 1_300;

/// Age of a part, compared with the newest one, from which it is left out: no flow of the
/// users is older.
const MAX_PART_AGE_MILLIS: u64 = 60_000;

/// Minimum time between two lists, to limit the calls to the platform's store.
const MIN_SAVE_INTERVAL: Duration = Duration::from_secs(2);

/// A list is saved again if one flow in this many is not covered by the last one.
const UNCOVERED_DIVISOR: usize = 32;

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
    /// The flows, sorted by [`SavedFlow::flow`], at most [`MAX_PART_FLOWS`] if
    /// the list is a part of a longer one.
    pub flows: Vec<SavedFlow>,
}

/// Why an encoded list was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SavedFlowsError {
    /// It is longer than [`MAX_PART_BYTES`].
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
        if bytes.len() > MAX_PART_BYTES {
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
        if !rest.is_empty() || list.flows.len() > MAX_PART_FLOWS || !is_sorted {
            return Err(SavedFlowsError::Malformed);
        }
        Ok(list)
    }
}

/// Combines the parts of a host's list, and returns `None` if there are none. Parts that
/// name another server than the newest one are left out.
pub fn combine_parts(mut parts: Vec<SavedFlowList>) -> Option<SavedFlowList> {
    let newest = parts
        .iter()
        .max_by_key(|part| (part.saved_unix_millis, part.server_started_unix_millis))?;
    let mut combined = SavedFlowList {
        flows: Vec::new(),
        ..newest.clone()
    };
    let oldest_millis = combined
        .saved_unix_millis
        .saturating_sub(MAX_PART_AGE_MILLIS);
    // For a flow that two parts name, the newer one has the later position.
    parts.sort_by_key(|part| Reverse(part.saved_unix_millis));
    for part in parts {
        let is_same_server = part.service == combined.service
            && part.server_id == combined.server_id
            && part.server_started_unix_millis == combined.server_started_unix_millis;
        if is_same_server && part.saved_unix_millis >= oldest_millis {
            combined.flows.extend(part.flows);
        }
    }
    combined.flows.sort_by_key(|saved| saved.flow);
    combined.flows.dedup_by_key(|saved| saved.flow);
    Some(combined)
}

/// Decides when a host saves its flows again.
#[derive(Debug, Default)]
pub struct SaveSchedule {
    /// The flows of which the store has confirmed that they are saved, sorted by flow.
    saved_flows: Vec<SavedFlow>,
    requested_at: Option<MonotonicTime>,
}

impl SaveSchedule {
    /// Returns whether `flows` are to be saved at `now`: the last request is old enough, and
    /// too many flows are not saved or have moved on.
    pub fn is_due(&self, flows: &[SavedFlow], now: MonotonicTime) -> bool {
        let is_recent = self
            .requested_at
            .is_some_and(|requested_at| now.since(requested_at) < MIN_SAVE_INTERVAL);
        if is_recent {
            return false;
        }
        let uncovered_count = flows.iter().filter(|flow| !self.covers(flow)).count();
        uncovered_count * UNCOVERED_DIVISOR > flows.len()
    }

    /// Records that `flows`, sorted by flow, are to be saved at `now`.
    pub fn record_request(&mut self, flows: &[SavedFlow], now: MonotonicTime) {
        self.requested_at = Some(now);
        self.saved_flows.retain(|saved| {
            flows
                .binary_search_by_key(&saved.flow, |flow| flow.flow)
                .is_ok()
        });
    }

    /// Records that the store has saved `flows`.
    pub fn record_saved(&mut self, flows: &[SavedFlow]) {
        for flow in flows {
            match self.find(&flow.flow) {
                Ok(index) => self.saved_flows[index] = *flow,
                Err(index) => self.saved_flows.insert(index, *flow),
            }
        }
    }

    /// Records that the store may have lost everything that it has saved.
    pub fn forget_saved(&mut self) {
        self.saved_flows.clear();
    }

    /// Returns whether a reset at the saved position would reach the caller of the flow.
    fn covers(&self, current: &SavedFlow) -> bool {
        self.find(&current.flow).is_ok_and(|index| {
            let saved = self.saved_flows[index];
            current.acknowledged.wrapping_sub(saved.acknowledged) < MAX_POSITION_DRIFT
        })
    }

    fn find(&self, flow: &FlowKey) -> Result<usize, usize> {
        self.saved_flows
            .binary_search_by_key(flow, |saved| saved.flow)
    }
}

/// Returns a checksum that detects damage, and no attack.
fn compute_checksum(body: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut hasher = SipHasher13::new();
    hasher.write(body);
    hasher.finish().to_le_bytes()
}
