//! Placement of new flows by weighted rendezvous hashing.
//!
//! Every balancer that knows the same candidates puts a flow in the same place,
//! without talking to the others. The method is the logarithmic one of Schindelhauer
//! and Schomaker: the score of a host is `-weight / ln(hash)`, with the hash
//! read as a number between 0 and 1.

use std::hash::Hasher;

use hyssopstair_wire::address::ProcessId;
use siphasher::sip::SipHasher13;

/// A host that may take new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementCandidate {
    /// The host.
    pub host: ProcessId,
    /// Its share of new flows, relative to the others.
    pub weight: u16,
}

/// The first two hosts for a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementChoice {
    /// The host that decides about the flow.
    pub first: PlacementCandidate,
    /// The host that it may hand the flow over to.
    pub second: Option<PlacementCandidate>,
}

/// Chooses the first two hosts for the flow that `key` names, or nothing when
/// no candidate has a weight. `secret` keeps callers from choosing their host.
pub fn place_flow(
    candidates: &[PlacementCandidate],
    key: &[u8],
    secret: &[u8; 16],
) -> Option<PlacementChoice> {
    let mut first: Option<ScoredCandidate> = None;
    let mut second: Option<ScoredCandidate> = None;
    for candidate in candidates.iter().filter(|item| item.weight > 0) {
        let scored = ScoredCandidate {
            score: score(candidate, key, secret),
            candidate: *candidate,
        };
        if scored.beats(first.as_ref()) {
            second = first;
            first = Some(scored);
        } else if scored.beats(second.as_ref()) {
            second = Some(scored);
        }
    }
    Some(PlacementChoice {
        first: first?.candidate,
        second: second.map(|scored| scored.candidate),
    })
}

#[derive(Debug, Clone, Copy)]
struct ScoredCandidate {
    score: f64,
    candidate: PlacementCandidate,
}

impl ScoredCandidate {
    /// Returns whether this one goes before `other`; of equal scores, the
    /// higher process goes first.
    fn beats(&self, other: Option<&Self>) -> bool {
        other.is_none_or(|other| {
            (self.score, self.candidate.host) > (other.score, other.candidate.host)
        })
    }
}

fn score(candidate: &PlacementCandidate, key: &[u8], secret: &[u8; 16]) -> f64 {
    let mut hasher = SipHasher13::new_with_key(secret);
    hasher.write(&candidate.host.address.ip().octets());
    hasher.write_u16(candidate.host.address.port());
    hasher.write(key);
    let unit = unit_interval(hasher.finish());
    -f64::from(candidate.weight) / unit.ln()
}

/// Maps a hash to a number above 0 and below 1.
fn unit_interval(hash: u64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let mantissa = (hash >> (u64::BITS - MANTISSA_BITS)) as f64;
    (mantissa + 0.5) / (1_u64 << MANTISSA_BITS) as f64
}
