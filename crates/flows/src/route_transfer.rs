//! Replicates the route table between processes.
//!
//! A table is encoded and sent in datagrams, one part in each. The highest version wins,
//! and a process never reverts to an older version.

use std::net::Ipv4Addr;
use std::time::Duration;

use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::ROUTE_PART_BYTES;
use hyssopstair_wire::time::MonotonicTime;

use crate::event::FlowEvent;
use crate::event::RouteSource;
use crate::outbox::FlowOutbox;
use crate::routes::RouteTable;

/// Minimum interval between requests for routes; an answer takes a few milliseconds.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// A process's replica of the route table.
#[derive(Debug, Default)]
pub struct RouteReplica {
    table: RouteTable,
    assembly: RouteAssembly,
    /// When routes were last requested; `None` before the first time.
    requested_at: Option<MonotonicTime>,
}

impl RouteReplica {
    /// Returns the route table in force.
    pub fn table(&self) -> &RouteTable {
        &self.table
    }

    /// Installs a route table if it is newer than the one in force, and returns whether
    /// it was installed.
    pub fn install(
        &mut self,
        table: RouteTable,
        source: RouteSource,
        outbox: &mut FlowOutbox,
    ) -> bool {
        if table.version() <= self.table.version() {
            return false;
        }
        self.table = table;
        outbox.record_event(FlowEvent::Routes {
            version: self.table.version(),
            routes: self.table.len(),
            source,
        });
        true
    }

    /// Adds a received part of a peer's route table, installs the table once it is
    /// complete and if it is newer, and returns whether it was installed.
    pub fn receive_part(
        &mut self,
        version: u64,
        part_index: u16,
        part_count: u16,
        bytes: &[u8],
        outbox: &mut FlowOutbox,
    ) -> bool {
        match self
            .assembly
            .add_part(version, part_index, part_count, bytes)
        {
            Some(table) => self.install(table, RouteSource::Peer, outbox),
            None => false,
        }
    }

    /// Requests the routes of a peer if their `version` is newer than the one in force,
    /// unless routes were requested less than `REQUEST_INTERVAL` ago.
    pub fn request_newer(
        &mut self,
        peer: Ipv4Addr,
        version: u64,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let known = self.table.version();
        let is_recent = self
            .requested_at
            .is_some_and(|requested_at| now.since(requested_at) < REQUEST_INTERVAL);
        if version > known && !is_recent {
            self.requested_at = Some(now);
            outbox.enqueue_message(peer, &CarryMessage::RoutesWanted { known }, &[]);
        }
    }

    /// Sends the route table to a peer if it is newer than the version `known` that the
    /// peer has.
    pub fn send_newer(&self, peer: Ipv4Addr, known: u64, outbox: &mut FlowOutbox) {
        if self.table.version() > known {
            send_routes(peer, &self.table, outbox);
        }
    }
}

/// Received parts of one version of the route table.
#[derive(Debug, Default)]
struct RouteAssembly {
    version: u64,
    parts: Vec<Option<Vec<u8>>>,
}

impl RouteAssembly {
    /// Adds a part, and returns the table once all parts have arrived. Invalid parts are
    /// ignored, and a part of another version discards the parts received so far.
    fn add_part(
        &mut self,
        version: u64,
        part_index: u16,
        part_count: u16,
        bytes: &[u8],
    ) -> Option<RouteTable> {
        if part_count == 0 || part_index >= part_count || bytes.len() > ROUTE_PART_BYTES {
            return None;
        }
        if version != self.version || self.parts.len() != usize::from(part_count) {
            self.version = version;
            self.parts = vec![None; usize::from(part_count)];
        }
        self.parts[usize::from(part_index)] = Some(bytes.to_vec());
        let complete: Option<Vec<&[u8]>> = self.parts.iter().map(|part| part.as_deref()).collect();
        let table = RouteTable::decode(&complete?.concat())?;
        *self = Self::default();
        (table.version() == version).then_some(table)
    }
}

/// Sends all parts of a route table to a peer.
fn send_routes(peer: Ipv4Addr, table: &RouteTable, outbox: &mut FlowOutbox) {
    let Some(bytes) = table.encode() else {
        return;
    };
    let part_count = bytes.len().div_ceil(ROUTE_PART_BYTES) as u16;
    for (part_index, chunk) in bytes.chunks(ROUTE_PART_BYTES).enumerate() {
        let message = CarryMessage::RoutesPart {
            version: table.version(),
            part: part_index as u16,
            parts: part_count,
        };
        outbox.enqueue_message(peer, &message, chunk);
    }
}
