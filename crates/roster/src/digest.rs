//! Hashes that two rosters are compared by.
//!
//! Addresses are spread over [`BUCKETS`] buckets of [`BUCKETS`] leaves each. Two
//! rosters first compare buckets, then the leaves of a bucket that differs, and
//! then exchange the entries of leaves that differ. Entries of members that are
//! gone are left out of the hashes, because each process forgets them at its
//! own time.

use std::hash::Hasher;
use std::net::SocketAddrV4;

use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;
use siphasher::sip::SipHasher13;

/// Buckets of a digest, and leaves of a bucket.
pub const BUCKETS: usize = 64;

/// Bits of an address hash that name a bucket, or a leaf.
const BUCKET_BITS: u32 = BUCKETS.trailing_zeros();

/// Returns a hash of an address that is the same in every process.
pub fn address_hash(address: SocketAddrV4) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u32(address.ip().to_bits());
    hasher.write_u16(address.port());
    hasher.finish()
}

/// Returns the bucket that an address belongs to.
pub fn bucket_of(address: SocketAddrV4) -> usize {
    address_hash(address) as usize % BUCKETS
}

/// Returns the leaf of its bucket that an address belongs to.
pub fn leaf_of(address: SocketAddrV4) -> usize {
    (address_hash(address) >> BUCKET_BITS) as usize % BUCKETS
}

/// Returns one hash per bucket.
pub fn bucket_hashes(entries: &[MemberEntry], salt: u32) -> Vec<u16> {
    let mut hashes = vec![0; BUCKETS];
    for entry in entries.iter().filter(|entry| is_hashed(entry)) {
        hashes[bucket_of(entry.process.address)] ^= entry_hash(entry, salt);
    }
    hashes
}

/// Returns one hash per leaf of a bucket.
pub fn leaf_hashes(entries: &[MemberEntry], salt: u32, bucket: usize) -> Vec<u16> {
    let mut hashes = vec![0; BUCKETS];
    for entry in entries.iter().filter(|entry| is_hashed(entry)) {
        if bucket_of(entry.process.address) == bucket {
            hashes[leaf_of(entry.process.address)] ^= entry_hash(entry, salt);
        }
    }
    hashes
}

/// Returns the numbers of the hashes that differ.
pub fn differing(left: &[u16], right: &[u16]) -> Vec<usize> {
    let pairs = left.iter().zip(right);
    let numbered = pairs.enumerate();
    numbered
        .filter(|(_, (left, right))| left != right)
        .map(|(number, _)| number)
        .collect()
}

/// Returns the entries of some leaves of a bucket, one bit per leaf.
pub fn leaf_entries(entries: &[MemberEntry], bucket: usize, leaves: u64) -> Vec<MemberEntry> {
    entries
        .iter()
        .filter(|entry| bucket_of(entry.process.address) == bucket)
        .filter(|entry| leaves >> leaf_of(entry.process.address) & 1 == 1)
        .copied()
        .collect()
}

fn is_hashed(entry: &MemberEntry) -> bool {
    entry.state != MemberState::Gone
}

fn entry_hash(entry: &MemberEntry, salt: u32) -> u16 {
    let mut hasher = SipHasher13::new_with_keys(u64::from(salt), 0);
    hasher.write_u32(entry.process.address.ip().to_bits());
    hasher.write_u16(entry.process.address.port());
    hasher.write_u32(entry.process.incarnation.0);
    hasher.write_u32(entry.counter);
    hasher.write_u8(entry.state as u8);
    if let MemberRole::Host {
        service,
        zone,
        weight,
    } = entry.role
    {
        hasher.write_u16(service.0);
        hasher.write_u8(zone);
        hasher.write_u16(weight);
    }
    hasher.finish() as u16
}
