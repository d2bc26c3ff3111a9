//! Ranks the hosts for a flow by rendezvous hashing.
//!
//! All balancers that know the same hosts rank them in the same order, and adding or
//! removing a host does not reorder the others. New flows are offered to the hosts that
//! rank first, so a search for the owner of a flow starts with these.

use std::hash::Hasher;
use std::net::Ipv4Addr;

use hyssopstair_wire::carried::FlowKey;
use siphasher::sip::SipHasher13;

/// Returns a hash of the caller and target addresses of a flow, the same in every
/// process.
pub fn hash_flow(flow: &FlowKey) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u32(u32::from(*flow.caller.ip()));
    hasher.write_u16(flow.caller.port());
    hasher.write_u32(u32::from(*flow.target.ip()));
    hasher.write_u16(flow.target.port());
    hasher.finish()
}

/// Sorts hosts by their rank for the flow with the hash `flow_hash`, the best first.
pub fn rank_hosts(flow_hash: u64, hosts: &mut [Ipv4Addr]) {
    // The keys are cached because hashing in each comparison costs several times as much.
    hosts.sort_by_cached_key(|host| (rendezvous_score(flow_hash, *host), *host));
}

/// Returns the host that ranks first for the flow with the hash `flow_hash`.
pub fn first_ranked(flow_hash: u64, hosts: impl Iterator<Item = Ipv4Addr>) -> Option<Ipv4Addr> {
    hosts.min_by_key(|host| (rendezvous_score(flow_hash, *host), *host))
}

fn rendezvous_score(flow_hash: u64, host: Ipv4Addr) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(flow_hash, 0);
    hasher.write_u32(u32::from(host));
    hasher.finish()
}
