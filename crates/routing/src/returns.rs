//! Selection of the balancer through which a host sends packets to a caller.
//!
//! Packets are returned through the balancer that forwarded the caller's last
//! packet. If the host has received nothing from that balancer recently, packets
//! alternate between the balancers that are active, or between all known ones if
//! none is. QUIC retransmits lost packets, and the retransmission then takes a
//! different path. A host cannot distinguish a failed balancer from one whose
//! callers are idle, and an unconnected socket rarely reports a refused datagram.

use std::net::SocketAddrV4;
use std::sync::Mutex;
use std::time::Duration;

use hyssopstair_wire::packet::ForwardHeader;
use hyssopstair_wire::time::MonotonicTime;

use crate::shard::ShardSet;
use crate::shard::TableFootprint;
use crate::shard::lock;

/// A balancer is inactive if nothing was received from it for longer than this.
pub const BALANCER_TIMEOUT: Duration = Duration::from_millis(100);

/// A caller expires if nothing was received from it for this long.
pub const CALLER_LIFETIME: Duration = Duration::from_secs(120);

/// Maximum number of known balancers; those last received from are kept.
pub const MAX_BALANCERS: usize = 16;

/// Number of shards of the callers, each with its own lock.
const RETURN_SHARDS: usize = 256;

/// The balancer that forwarded the last packet of a caller.
#[derive(Debug, Clone, Copy)]
struct ReturnPath {
    caller: SocketAddrV4,
    target: SocketAddrV4,
    balancer: SocketAddrV4,
    received_at: MonotonicTime,
    /// Number of packets returned since then while `balancer` was inactive.
    rerouted: u32,
}

/// A balancer and the time when a packet was last received from it.
#[derive(Debug, Clone, Copy)]
struct BalancerRecord {
    address: SocketAddrV4,
    received_at: MonotonicTime,
}

/// Return paths, sorted by caller.
#[derive(Debug, Default)]
struct ReturnShard {
    paths: Vec<ReturnPath>,
    pruned_at: MonotonicTime,
}

/// The return paths to the callers of a host, and the known balancers.
#[derive(Debug)]
pub struct ReturnTable {
    shards: ShardSet<ReturnShard>,
    balancers: Mutex<Vec<BalancerRecord>>,
}

/// The route of a packet from a host to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReturnRoute {
    /// The balancer through which the packet is sent.
    pub balancer: SocketAddrV4,
    /// The address that the caller sent to.
    pub target: SocketAddrV4,
}

impl Default for ReturnTable {
    fn default() -> Self {
        Self {
            shards: ShardSet::new(RETURN_SHARDS),
            balancers: Mutex::default(),
        }
    }
}

impl ReturnTable {
    /// Records the balancer that forwarded a caller's packet with `header`.
    pub fn record(&self, header: &ForwardHeader, now: MonotonicTime) {
        let path = ReturnPath {
            caller: header.caller,
            target: header.target,
            balancer: header.balancer,
            received_at: now,
            rerouted: 0,
        };
        let mut shard = self.shards.lock(&caller_bytes(header.caller));
        match shard.find(header.caller) {
            Ok(index) => shard.paths[index] = path,
            Err(index) => shard.paths.insert(index, path),
        }
        shard.prune(now);
        drop(shard);
        record_balancer(&mut lock(&self.balancers), header.balancer, now);
    }

    /// Removes a balancer that is known to be unreachable.
    pub fn remove_balancer(&self, address: SocketAddrV4) {
        lock(&self.balancers).retain(|balancer| balancer.address != address);
    }

    /// Returns the route of the next packet to a caller, or `None` if the caller is
    /// unknown. Successive calls alternate between balancers if the caller's own
    /// balancer is inactive.
    pub fn find_route(&self, caller: SocketAddrV4, now: MonotonicTime) -> Option<ReturnRoute> {
        let mut shard = self.shards.lock(&caller_bytes(caller));
        let index = shard.find(caller).ok()?;
        let path = &mut shard.paths[index];
        let balancer = choose_balancer(&lock(&self.balancers), path, now);
        Some(ReturnRoute {
            balancer,
            target: path.target,
        })
    }

    /// Returns the size of the table of callers.
    pub fn footprint(&self) -> TableFootprint {
        let mut footprint = TableFootprint::default();
        self.shards.for_each(|shard| {
            footprint.records += shard.paths.len();
            footprint.bytes += shard.paths.capacity() * size_of::<ReturnPath>();
        });
        footprint
    }
}

impl ReturnShard {
    fn find(&self, caller: SocketAddrV4) -> Result<usize, usize> {
        self.paths.binary_search_by_key(&caller, |path| path.caller)
    }

    /// Removes expired callers, at most once per `CALLER_LIFETIME / 8`.
    fn prune(&mut self, now: MonotonicTime) {
        if now.since(self.pruned_at) < CALLER_LIFETIME / 8 {
            return;
        }
        self.pruned_at = now;
        self.paths
            .retain(|path| now.since(path.received_at) < CALLER_LIFETIME);
    }
}

/// Returns the balancer of `path` if it is active; otherwise the next of the active
/// balancers, or of all known ones if none is active.
fn choose_balancer(
    balancers: &[BalancerRecord],
    path: &mut ReturnPath,
    now: MonotonicTime,
) -> SocketAddrV4 {
    let is_active = |record: &&BalancerRecord| now.since(record.received_at) <= BALANCER_TIMEOUT;
    let preferred = balancers
        .iter()
        .find(|record| record.address == path.balancer);
    if preferred.filter(is_active).is_some() {
        return path.balancer;
    }
    let rerouted = path.rerouted as usize;
    path.rerouted = path.rerouted.wrapping_add(1);
    let active_count = balancers.iter().filter(is_active).count();
    let chosen = match active_count {
        0 => balancers.get(rerouted % balancers.len().max(1)),
        _ => balancers
            .iter()
            .filter(is_active)
            .nth(rerouted % active_count),
    };
    chosen.map_or(path.balancer, |record| record.address)
}

/// Inserts or updates a balancer in the list, which is sorted by address. If the
/// list is full, the least recently active balancer is evicted.
fn record_balancer(balancers: &mut Vec<BalancerRecord>, address: SocketAddrV4, now: MonotonicTime) {
    let record = BalancerRecord {
        address,
        received_at: now,
    };
    match balancers.binary_search_by_key(&address, |item| item.address) {
        Ok(index) => balancers[index] = record,
        Err(index) if balancers.len() < MAX_BALANCERS => balancers.insert(index, record),
        Err(_) => {
            let oldest = balancers.iter_mut().min_by_key(|item| item.received_at);
            if let Some(item) = oldest {
                *item = record;
            }
            balancers.sort_unstable_by_key(|item| item.address);
        }
    }
}

/// Returns the shard key of a caller.
fn caller_bytes(caller: SocketAddrV4) -> [u8; 6] {
    let [a, b, c, d] = caller.ip().octets();
    let [high, low] = caller.port().to_be_bytes();
    [a, b, c, d, high, low]
}
