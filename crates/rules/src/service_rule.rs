//! The combined rules of a service.

use std::net::SocketAddrV4;

use hyssopstair_wire::address::ServiceId;

/// Weight of a host if there is no weight rule.
pub const DEFAULT_WEIGHT: u16 = 100;

/// Deadline of a request if there is no deadline rule, in milliseconds.
pub const DEFAULT_DEADLINE_MILLIS: u32 = 10_000;

/// Matches requests that may run more than once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotentPattern {
    /// The HTTP method.
    pub method: String,
    /// The prefix of the path.
    pub prefix: String,
}

/// The weight of the hosts of a service in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneWeight {
    /// The number of the zone.
    pub zone: u8,
    /// The weight relative to other hosts.
    pub weight: u16,
}

/// The combined rules of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRule {
    /// The number of the service on the wire.
    pub id: ServiceId,
    /// The name of the service.
    pub name: String,
    /// The address to which callers send packets.
    pub address: SocketAddrV4,
    /// Maximum number of concurrent requests on a host.
    pub slots: u16,
    /// Maximum number of open flows on a host.
    pub connections: u32,
    /// Maximum number of requests that wait for a slot on a host.
    pub queue: u16,
    /// Deadline of a request, in milliseconds.
    pub deadline_millis: u32,
    /// Patterns of the requests that may run more than once.
    pub idempotent_patterns: Vec<IdempotentPattern>,
    /// Prefixes of the paths whose responses last for hours.
    pub stream_prefixes: Vec<String>,
    /// Weights of the hosts, sorted by zone; zones without a rule are missing.
    pub zone_weights: Vec<ZoneWeight>,
    /// Whether a withdraw rule stops new flows to the service.
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

    /// Returns whether a request may run more than once.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.idempotent_patterns
            .iter()
            .any(|pattern| pattern.method == method && path.starts_with(&pattern.prefix))
    }

    /// Returns whether the response to a request for `path` lasts for hours.
    pub fn is_stream(&self, path: &str) -> bool {
        self.stream_prefixes
            .iter()
            .any(|prefix| path.starts_with(prefix))
    }

    /// Returns the weight of the hosts in a zone.
    pub fn weight_in_zone(&self, zone: u8) -> u16 {
        match self
            .zone_weights
            .binary_search_by_key(&zone, |zone_weight| zone_weight.zone)
        {
            Ok(index) => self.zone_weights[index].weight,
            Err(_) => DEFAULT_WEIGHT,
        }
    }
}
