//! All that is ruled about one service.

use std::net::SocketAddrV4;

use hyssopstair_wire::address::ServiceId;

/// Weight of a host where no rule gives one.
pub const DEFAULT_WEIGHT: u16 = 100;

/// Longest time of a request where no rule gives one, in milliseconds.
pub const DEFAULT_DEADLINE_MILLIS: u32 = 10_000;

/// A request that may be run more than once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotentPattern {
    /// The method of the request.
    pub method: String,
    /// The start of its path.
    pub prefix: String,
}

/// The weight of the hosts of a service in one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneWeight {
    /// The number of the zone.
    pub zone: u8,
    /// The share relative to other hosts.
    pub weight: u16,
}

/// All that is ruled about one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRule {
    /// The number on the wire.
    pub id: ServiceId,
    /// The name.
    pub name: String,
    /// Where callers send to.
    pub address: SocketAddrV4,
    /// Requests that run at once on a host.
    pub slots: u16,
    /// Open flows of a host.
    pub connections: u32,
    /// Requests that wait for a slot of a host.
    pub queue: u16,
    /// Longest time of a request, in milliseconds.
    pub deadline_millis: u32,
    /// Requests that may be run more than once.
    pub idempotent_patterns: Vec<IdempotentPattern>,
    /// Starts of the paths whose answers last for hours.
    pub stream_prefixes: Vec<String>,
    /// Weights by zone, sorted by zone.
    pub zone_weights: Vec<ZoneWeight>,
    /// Whether no host takes new flows of the service.
    pub is_withdrawn: bool,
}

impl ServiceRule {
    pub(crate) fn new(id: ServiceId, name: String, address: SocketAddrV4) -> Self {
        Self {
            id,
            name,
            address,
            slots: 1,
            connections: 2_000,
            queue: 2,
            deadline_millis: DEFAULT_DEADLINE_MILLIS,
            idempotent_patterns: Vec::new(),
            stream_prefixes: Vec::new(),
            zone_weights: Vec::new(),
            is_withdrawn: false,
        }
    }

    /// Returns whether a request may be run more than once.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.idempotent_patterns
            .iter()
            .any(|pattern| pattern.method == method && path.starts_with(&pattern.prefix))
    }

    /// Returns whether the answer to a request lasts for hours.
    pub fn is_stream(&self, path: &str) -> bool {
        self.stream_prefixes
            .iter()
            .any(|prefix| path.starts_with(prefix))
    }

    /// Returns the weight of a host in a zone.
    pub fn weight_in_zone(&self, zone: u8) -> u16 {
        match self
            .zone_weights
            .binary_search_by_key(&zone, |item| item.zone)
        {
            Ok(index) => self.zone_weights[index].weight,
            Err(_) => DEFAULT_WEIGHT,
        }
    }
}
