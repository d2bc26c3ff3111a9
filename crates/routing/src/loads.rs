//! The load reports of hosts, as stored by a balancer.
//!
//! Hosts attach a load report to each packet that they return to a caller, so
//! reports need no control traffic. Balancers receive different reports at
//! different times; to keep placement consistent among balancers, the first host
//! for a flow never depends on reports.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::packet::LoadReport;
use hyssopstair_wire::time::MonotonicTime;

use crate::shard::ShardSet;

/// Age at which a report is considered stale.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// Number of shards, each with its own lock.
const LOAD_SHARDS: usize = 64;

/// The last report of a host and the time of its receipt.
#[derive(Debug, Clone, Copy)]
struct LoadRecord {
    host: ProcessId,
    report: LoadReport,
    received_at: MonotonicTime,
}

/// Load records, sorted by the address of the host.
#[derive(Debug, Default)]
struct LoadShard {
    records: Vec<LoadRecord>,
    pruned_at: MonotonicTime,
}

/// The last load report of each host, except stale ones.
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
    /// Stores the report of a host, unless a later incarnation has already reported
    /// from the same address.
    pub fn record(&self, host: ProcessId, report: LoadReport, now: MonotonicTime) {
        let record = LoadRecord {
            host,
            report,
            received_at: now,
        };
        let mut shard = self.shards.lock(&host.address.ip().octets());
        match shard.find(host.address) {
            // A delayed packet of an earlier process at this address is stale.
            Ok(index) if shard.records[index].host.incarnation > host.incarnation => {}
            Ok(index) => shard.records[index] = record,
            Err(index) => shard.records.insert(index, record),
        }
        shard.prune(now);
    }

    /// Returns the last report of a host, or `None` if there is none younger than
    /// [`REPORT_LIFETIME`].
    pub fn recent_report(&self, host: ProcessId, now: MonotonicTime) -> Option<LoadReport> {
        let shard = self.shards.lock(&host.address.ip().octets());
        let record = shard.records[shard.find(host.address).ok()?];
        let is_recent = record.host == host && now.since(record.received_at) < REPORT_LIFETIME;
        is_recent.then_some(record.report)
    }
}

impl LoadShard {
    fn find(&self, address: SocketAddrV4) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&address, |record| record.host.address)
    }

    /// Removes stale records, at most once per [`REPORT_LIFETIME`].
    fn prune(&mut self, now: MonotonicTime) {
        if now.since(self.pruned_at) < REPORT_LIFETIME {
            return;
        }
        self.pruned_at = now;
        self.records
            .retain(|record| now.since(record.received_at) < REPORT_LIFETIME);
    }
}
