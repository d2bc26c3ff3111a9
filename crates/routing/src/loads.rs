//! What a balancer remembers of the load of hosts.
//!
//! Hosts report their load with each packet to a caller, so reports cost no
//! control traffic. Which host a flow goes to first never depends on them,
//! because balancers hear different reports at different times.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::packet::LoadReport;
use hyssopstair_wire::time::MonotonicTime;

use crate::shard::ShardSet;

/// Age at which a report is no longer passed on.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// Locks that the reports are spread over.
const LOAD_SHARDS: usize = 64;

#[derive(Debug, Clone, Copy)]
struct HeardLoad {
    host: ProcessId,
    report: LoadReport,
    heard: MonotonicTime,
}

#[derive(Debug, Default)]
struct LoadShard {
    loads: Vec<HeardLoad>,
    pruned: MonotonicTime,
}

/// The last report of each host that was heard of late.
#[derive(Debug)]
pub struct LoadTable {
    shards: ShardSet<LoadShard>,
}

impl Default for LoadTable {
    fn default() -> Self {
        Self {
            shards: ShardSet::new(LOAD_SHARDS),
        }
    }
}

impl LoadTable {
    /// Takes in a report.
    pub fn record(&self, host: ProcessId, report: LoadReport, now: MonotonicTime) {
        let load = HeardLoad {
            host,
            report,
            heard: now,
        };
        let mut shard = self.shards.lock(&host.address.ip().octets());
        match shard.find(host.address) {
            // A late packet of an earlier process at the address says nothing.
            Ok(index) if shard.loads[index].host.incarnation > host.incarnation => {}
            Ok(index) => shard.loads[index] = load,
            Err(index) => shard.loads.insert(index, load),
        }
        shard.prune(now);
    }

    /// Returns the last report of a host, unless it is too old.
    pub fn recent_report(&self, host: ProcessId, now: MonotonicTime) -> Option<LoadReport> {
        let shard = self.shards.lock(&host.address.ip().octets());
        let load = shard.loads[shard.find(host.address).ok()?];
        let is_recent = load.host == host && now.since(load.heard) < REPORT_LIFETIME;
        is_recent.then_some(load.report)
    }
}

impl LoadShard {
    fn find(&self, address: SocketAddrV4) -> Result<usize, usize> {
        self.loads
            .binary_search_by_key(&address, |load| load.host.address)
    }

    fn prune(&mut self, now: MonotonicTime) {
        if now.since(self.pruned) < REPORT_LIFETIME {
            return;
        }
        self.pruned = now;
        self.loads
            .retain(|load| now.since(load.heard) < REPORT_LIFETIME);
    }
}
