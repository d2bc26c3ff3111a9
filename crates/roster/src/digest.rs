//! Hashes for the comparison of two rosters.
//!
//! Addresses are hashed into [`BUCKETS`] buckets of [`BUCKETS`] leaves each. Two
//! members first compare the hashes of buckets, then those of the leaves in
//! buckets that differ, and then exchange the entries of leaves that differ. The
//! hashes leave out entries of suspect and gone members, because each process
//! expires those at a time of its own.

use std::hash::Hasher;
use std::net::SocketAddrV4;

use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberRole;
use siphasher::sip::SipHasher13;

/// Number of buckets in a digest, and of leaves in a bucket.
pub const BUCKETS: usize = 64;

/// Bits of an address hash that select a bucket or a leaf.
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

/// Returns one hash per bucket over the entries of its live members.
pub fn bucket_hashes(entries: &[MemberEntry], salt: u32) -> Vec<u16> {
    let mut hashes = vec![0; BUCKETS];
    for entry in entries.iter().filter(|entry| is_hashed(entry)) {
        hashes[bucket_of(entry.process.address)] ^= entry_hash(entry, salt);
    }
    hashes
}

/// Returns one hash per leaf of a bucket over the entries of its live members.
pub fn leaf_hashes(entries: &[MemberEntry], salt: u32, bucket: usize) -> Vec<u16> {
    let mut hashes = vec![0; BUCKETS];
    for entry in entries.iter().filter(|entry| is_hashed(entry)) {
        if bucket_of(entry.process.address) == bucket {
            hashes[leaf_of(entry.process.address)] ^= entry_hash(entry, salt);
        }
    }
    hashes
}

/// Returns the indexes at which two lists of hashes differ.
pub fn differing_indexes(left: &[u16], right: &[u16]) -> Vec<usize> {
    let pairs = left.iter().zip(right);
    let indexed = pairs.enumerate();
    indexed
        .filter(|(_, (left, right))| left != right)
        .map(|(index, _)| index)
        .collect()
}

/// Returns the entries in the selected leaves of a bucket. `leaves` is a bit mask
/// with one bit per leaf.
pub fn leaf_entries(entries: &[MemberEntry], bucket: usize, leaves: u64) -> Vec<MemberEntry> {
    entries
        .iter()
        .filter(|entry| bucket_of(entry.process.address) == bucket)
        .filter(|entry| leaves >> leaf_of(entry.process.address) & 1 == 1)
        .copied()
        .collect()
}

fn is_hashed(entry: &MemberEntry) -> bool {
    entry.state.is_present()
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
