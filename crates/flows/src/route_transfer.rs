//! The routes in force, and how they get from one process to another in
//! datagrams. The highest version wins, and a process never goes back.

use std::net::Ipv4Addr;
use std::time::Duration;

use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::ROUTE_PART_BYTES;
use hyssopstair_wire::time::MonotonicTime;

use crate::event::FlowEvent;
use crate::outbox::FlowOutbox;
use crate::routes::RouteTable;

/// Time between two questions for routes; an answer takes a few milliseconds.
const ASK_INTERVAL: Duration = Duration::from_millis(150);

/// The routes of a process.
#[derive(Debug, Default)]
pub struct RouteReplica {
    table: RouteTable,
    assembly: RouteAssembly,
    asked: MonotonicTime,
}

impl RouteReplica {
    /// Returns the routes in force.
    pub fn table(&self) -> &RouteTable {
        &self.table
    }

    /// Puts routes in force, and returns whether they are newer than those before.
    pub fn install(&mut self, table: RouteTable, outbox: &mut FlowOutbox) -> bool {
        if table.version() <= self.table.version() {
            return false;
        }
        self.table = table;
        outbox.note(FlowEvent::Routes {
            version: self.table.version(),
            routes: self.table.len(),
        });
        true
    }

    /// Takes a part of a peer's routes, and returns whether they are in force now.
    pub fn receive_part(
        &mut self,
        version: u64,
        part: u16,
        parts: u16,
        bytes: &[u8],
        outbox: &mut FlowOutbox,
    ) -> bool {
        match self.assembly.take(version, part, parts, bytes) {
            Some(table) => self.install(table, outbox),
            None => false,
        }
    }

    /// Asks a peer that has routes of `version`, if they are newer.
    pub fn request_newer(
        &mut self,
        peer: Ipv4Addr,
        version: u64,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let known = self.table.version();
        if version > known && now.since(self.asked) >= ASK_INTERVAL {
            self.asked = now;
            outbox.send_message(peer, &CarryMessage::RoutesWanted { known }, &[]);
        }
    }

    /// Sends the routes to a peer that has those of `known`, if they are newer.
    pub fn send_newer(&self, peer: Ipv4Addr, known: u64, outbox: &mut FlowOutbox) {
        if self.table.version() > known {
            send_routes(peer, &self.table, outbox);
        }
    }
}

/// Parts of one version that have arrived.
#[derive(Debug, Default)]
struct RouteAssembly {
    version: u64,
    parts: Vec<Option<Vec<u8>>>,
}

impl RouteAssembly {
    /// Takes a part, and returns the table when it is complete.
    fn take(&mut self, version: u64, part: u16, parts: u16, bytes: &[u8]) -> Option<RouteTable> {
        if parts == 0 || part >= parts || bytes.len() > ROUTE_PART_BYTES {
            return None;
        }
        if version != self.version || self.parts.len() != usize::from(parts) {
            self.version = version;
            self.parts = vec![None; usize::from(parts)];
        }
        self.parts[usize::from(part)] = Some(bytes.to_vec());
        let whole: Option<Vec<&[u8]>> = self.parts.iter().map(|part| part.as_deref()).collect();
        let table: RouteTable = postcard::from_bytes(&whole?.concat()).ok()?;
        *self = Self::default();
        (table.version() == version).then_some(table)
    }
}

/// Sends all parts of a table to a peer.
fn send_routes(peer: Ipv4Addr, table: &RouteTable, outbox: &mut FlowOutbox) {
    let Ok(bytes) = postcard::to_stdvec(table) else {
        return;
    };
    let parts = bytes.len().div_ceil(ROUTE_PART_BYTES) as u16;
    for (part, chunk) in bytes.chunks(ROUTE_PART_BYTES).enumerate() {
        let message = CarryMessage::RoutesPart {
            version: table.version(),
            part: part as u16,
            parts,
        };
        outbox.send_message(peer, &message, chunk);
    }
}
