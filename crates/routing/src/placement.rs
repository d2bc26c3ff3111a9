//! Placement of new flows by weighted rendezvous hashing.
//!
//! All balancers with the same candidates choose the same host for a flow without
//! any coordination. The algorithm is the logarithmic method of Schindelhauer and
//! Schomaker: the score of a host is `-weight / ln(hash)`, where the hash is
//! mapped to a number between 0 and 1.

use std::hash::Hasher;

use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::token::SECRET_LENGTH;
use siphasher::sip::SipHasher13;

/// A host that may receive new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementCandidate {
    /// The host.
    pub host: ProcessId,
    /// The placement weight, relative to the other candidates. A host with weight
    /// 0 gets no flows.
    pub weight: u16,
    seed: u64,
}

impl PlacementCandidate {
    /// Creates a candidate. `secret` keeps callers from choosing their host.
    ///
    /// The incarnation is not part of the hash, so a host that restarts at its
    /// address gets the same flows as before.
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

/// The two hosts with the highest scores for a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementChoice {
    /// The host that receives the flow and decides whether to accept it.
    pub first: PlacementCandidate,
    /// The host to which the first one may hand the flow over.
    pub second: Option<PlacementCandidate>,
}

/// Returns the two hosts with the highest scores for the flow identified by
/// `key`, or `None` if no candidate has a positive weight.
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
        let hash = mix_bits(key ^ candidate.seed);
        if second.is_some_and(|other| other.certainly_ranks_above(candidate, hash)) {
            continue;
        }
        let scored = ScoredCandidate {
            score: -f64::from(candidate.weight) / unit_interval(hash).ln(),
            hash,
            candidate: *candidate,
        };
        if scored.ranks_above(first.as_ref()) {
            second = first;
            first = Some(scored);
        } else if scored.ranks_above(second.as_ref()) {
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
    /// Returns whether this candidate ranks before `other`. Ties are broken by the
    /// higher process ID.
    fn ranks_above(&self, other: Option<&Self>) -> bool {
        other.is_none_or(|other| {
            (self.score, self.candidate.host) > (other.score, other.candidate.host)
        })
    }

    /// Returns whether `candidate` cannot have a higher score, because its hash is
    /// lower and its weight is not higher. This saves most of the logarithms,
    /// since most hosts of a service have the same weight.
    fn certainly_ranks_above(&self, candidate: &PlacementCandidate, hash: u64) -> bool {
        hash < self.hash && candidate.weight <= self.candidate.weight
    }
}

/// Applies the finalizer of SplitMix64, in which each input bit affects all output
/// bits.
fn mix_bits(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Maps a hash to a number above 0 and below 1, so that its logarithm is finite
/// and negative. The only exception is a hash whose upper 53 bits are all set,
/// which is rounded to 1.
fn unit_interval(hash: u64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let mantissa = (hash >> (u64::BITS - MANTISSA_BITS)) as f64;
    (mantissa + 0.5) / (1_u64 << MANTISSA_BITS) as f64
}
