//! Hands a route table from one process to another in datagrams.

use std::net::Ipv4Addr;

use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::ROUTE_PART_BYTES;

use crate::outbox::FlowOutbox;
use crate::routes::RouteTable;

/// Parts of one version that have arrived.
#[derive(Debug, Default)]
pub struct RouteAssembly {
    version: u64,
    parts: Vec<Option<Vec<u8>>>,
}

impl RouteAssembly {
    /// Takes a part, and returns the table when it is complete.
    pub fn take(
        &mut self,
        version: u64,
        part: u16,
        parts: u16,
        bytes: &[u8],
    ) -> Option<RouteTable> {
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
pub fn send_routes(peer: Ipv4Addr, table: &RouteTable, outbox: &mut FlowOutbox) {
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
