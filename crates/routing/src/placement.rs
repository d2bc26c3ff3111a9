//! Placement of new flows by weighted rendezvous hashing.
//!
//! Every balancer that knows the same candidates puts a flow in the same place,
//! without talking to the others. The method is the logarithmic one of Schindelhauer
//! and Schomaker: the score of a host is `-weight / ln(hash)`, with the hash
//! read as a number between 0 and 1.

use std::hash::Hasher;

use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::token::SECRET_LENGTH;
use siphasher::sip::SipHasher13;

/// A host that may take new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementCandidate {
    /// The host.
    pub host: ProcessId,
    /// Its share of new flows, relative to the others.
    pub weight: u16,
    seed: u64,
}

impl PlacementCandidate {
    /// Creates a candidate. `secret` keeps callers from choosing their host. A
    /// host that starts again at its address takes the same flows.
    pub fn new(host: ProcessId, weight: u16, secret: &[u8; SECRET_LENGTH]) -> Self {
        let mut hasher = SipHasher13::new_with_key(secret);
        hasher.write(&host.address.ip().octets());
        hasher.write_u16(host.address.port());
        Self {
            host,
            weight,
            seed: hasher.finish(),
        }
    }
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
/// no candidate has a weight.
pub fn place_flow(
    candidates: &[PlacementCandidate],
    key: &[u8],
    secret: &[u8; SECRET_LENGTH],
) -> Option<PlacementChoice> {
    let mut hasher = SipHasher13::new_with_key(secret);
    hasher.write(key);
    let key = hasher.finish();
    let mut first: Option<ScoredCandidate> = None;
    let mut second: Option<ScoredCandidate> = None;
    for candidate in candidates.iter().filter(|item| item.weight > 0) {
        let hash = mix(key ^ candidate.seed);
        if second.is_some_and(|other| other.surpasses(candidate, hash)) {
            continue;
        }
        let scored = ScoredCandidate {
            score: -f64::from(candidate.weight) / unit_interval(hash).ln(),
            hash,
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
    hash: u64,
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

    /// Returns whether a candidate has a lower score for sure. It spares most
    /// logarithms, because most hosts of a service have the same weight.
    fn surpasses(&self, candidate: &PlacementCandidate, hash: u64) -> bool {
        hash < self.hash && candidate.weight <= self.candidate.weight
    }
}

/// The finalizer of SplitMix64, which spreads each bit over the whole number.
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Maps a hash to a number above 0 and below 1.
fn unit_interval(hash: u64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let mantissa = (hash >> (u64::BITS - MANTISSA_BITS)) as f64;
    (mantissa + 0.5) / (1_u64 << MANTISSA_BITS) as f64
}
