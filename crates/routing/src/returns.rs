//! How a host reaches its callers.
//!
//! An answer goes through the balancer that the caller was last heard through.
//! When that balancer is quiet, answers alternate between the balancers that
//! the host has heard of late: QUIC repeats what was lost, and the repetition
//! takes another way. A host cannot tell a dead balancer from callers that are
//! silent, and an unconnected socket seldom reports a refused datagram.

use std::net::SocketAddrV4;
use std::sync::Mutex;
use std::time::Duration;

use hyssopstair_wire::packet::ForwardHeader;
use hyssopstair_wire::time::MonotonicTime;

use crate::shard::ShardSet;
use crate::shard::TableFootprint;
use crate::shard::lock;

/// A balancer that was not heard for this long is quiet.
pub const BALANCER_QUIET: Duration = Duration::from_millis(100);

/// A caller that was not heard for this long is forgotten.
pub const CALLER_FORGOTTEN: Duration = Duration::from_secs(120);

/// Balancers that a host remembers, the last heard ones.
pub const MAX_BALANCERS: usize = 16;

/// Locks that the callers are spread over.
const RETURN_SHARDS: usize = 256;

/// The balancer that a caller was last heard through.
#[derive(Debug, Clone, Copy)]
struct ReturnPath {
    caller: SocketAddrV4,
    target: SocketAddrV4,
    balancer: SocketAddrV4,
    heard: MonotonicTime,
    /// Answers sent since then by other ways.
    detours: u32,
}

/// A balancer that packets were received from.
#[derive(Debug, Clone, Copy)]
struct HeardBalancer {
    address: SocketAddrV4,
    heard: MonotonicTime,
}

#[derive(Debug, Default)]
struct ReturnShard {
    paths: Vec<ReturnPath>,
    pruned: MonotonicTime,
}

/// The ways back to all callers of a host.
#[derive(Debug)]
pub struct ReturnTable {
    shards: ShardSet<ReturnShard>,
    balancers: Mutex<Vec<HeardBalancer>>,
}

/// Where an answer to a caller is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReturnRoute {
    /// The balancer.
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
    /// Notes that a caller was heard through a balancer.
    pub fn record(&self, header: &ForwardHeader, now: MonotonicTime) {
        let path = ReturnPath {
            caller: header.caller,
            target: header.target,
            balancer: header.balancer,
            heard: now,
            detours: 0,
        };
        let mut shard = self.shards.lock(&caller_bytes(header.caller));
        match shard.find(header.caller) {
            Ok(index) => shard.paths[index] = path,
            Err(index) => shard.paths.insert(index, path),
        }
        shard.prune(now);
        drop(shard);
        hear_balancer(&mut lock(&self.balancers), header.balancer, now);
    }

    /// Notes that a balancer does not answer.
    pub fn remove_balancer(&self, address: SocketAddrV4) {
        lock(&self.balancers).retain(|balancer| balancer.address != address);
    }

    /// Returns where an answer to a caller is sent, or nothing when the caller
    /// was never heard.
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

    /// Returns what the records of callers take.
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

    fn prune(&mut self, now: MonotonicTime) {
        if now.since(self.pruned) < CALLER_FORGOTTEN / 8 {
            return;
        }
        self.pruned = now;
        self.paths
            .retain(|path| now.since(path.heard) < CALLER_FORGOTTEN);
    }
}

fn choose_balancer(
    balancers: &[HeardBalancer],
    path: &mut ReturnPath,
    now: MonotonicTime,
) -> SocketAddrV4 {
    let is_live = |item: &&HeardBalancer| now.since(item.heard) <= BALANCER_QUIET;
    let preferred = balancers.iter().find(|item| item.address == path.balancer);
    if preferred.filter(is_live).is_some() {
        return path.balancer;
    }
    let detour = path.detours as usize;
    path.detours = path.detours.wrapping_add(1);
    let live = balancers.iter().filter(is_live).count();
    let chosen = match live {
        0 => balancers.get(detour % balancers.len().max(1)),
        _ => balancers.iter().filter(is_live).nth(detour % live),
    };
    chosen.map_or(path.balancer, |item| item.address)
}

/// Keeps the balancers sorted by address; the longest quiet one makes room.
fn hear_balancer(balancers: &mut Vec<HeardBalancer>, address: SocketAddrV4, now: MonotonicTime) {
    let heard = HeardBalancer {
        address,
        heard: now,
    };
    match balancers.binary_search_by_key(&address, |item| item.address) {
        Ok(index) => balancers[index] = heard,
        Err(index) if balancers.len() < MAX_BALANCERS => balancers.insert(index, heard),
        Err(_) => {
            let oldest = balancers.iter_mut().min_by_key(|item| item.heard);
            if let Some(item) = oldest {
                *item = heard;
            }
            balancers.sort_unstable_by_key(|item| item.address);
        }
    }
}

fn caller_bytes(caller: SocketAddrV4) -> [u8; 6] {
    let [a, b, c, d] = caller.ip().octets();
    let [high, low] = caller.port().to_be_bytes();
    [a, b, c, d, high, low]
}
