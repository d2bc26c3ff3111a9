//! Routes: select the service for new flows to an address.
//!
//! Weighted shares are resolved by the hash of the flow, so that every process with the
//! same routes selects the same service for a flow.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::carried::FlowKey;
use serde::Deserialize;
use serde::Serialize;

use crate::ranking::hash_flow;

/// Whether a request may be run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run once at most.
    NonIdempotent,
}

/// A service and its share of the flows of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: String,
    /// Weight of the service relative to the other services of the route.
    pub weight: u32,
}

/// Route for the flows to one address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Address that callers send to.
    pub target: SocketAddrV4,
    /// Kind of the requests that its flows carry.
    pub kind: RequestKind,
    /// Time after which an answer is of no use to the caller, in milliseconds.
    pub timeout_millis: u32,
    /// Priority of its requests; 0 is the highest.
    pub priority: u8,
    /// Services that its flows are distributed to.
    pub shares: Vec<ServiceShare>,
    /// Time within which callers expect an answer, in milliseconds; 0 if not known.
    #[serde(skip)]
    pub target_latency_millis: u32,
}

/// Settings of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceInfo {
    /// Name of the service.
    pub name: String,
    /// Path of its health check.
    pub health_path: String,
    /// What its servers bear after their start.
    #[serde(skip)]
    pub cold: ColdTerms,
}

/// What the servers of a service bear after their start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ColdTerms {
    /// Time for which a server is cold after its start, in milliseconds.
    pub period_millis: u32,
    /// Number of new flows that a cold server bears per second; 0 if there is no limit.
    pub flows_per_second: u32,
}

/// Fields of a table that earlier builds do not know. They follow the encoded table, in the
/// order of its routes and services.
#[derive(Debug, Serialize, Deserialize)]
struct TableTerms {
    target_latency_millis: Vec<u32>,
    cold: Vec<ColdTerms>,
}

/// All routes of one version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RouteTable {
    version: u64,
    idle_timeout_millis: u32,
    routes: Vec<RouteRule>,
    services: Vec<ServiceInfo>,
}

impl RouteTable {
    /// Creates a route table. Of several routes with the same target, the first is kept.
    pub fn new(
        version: u64,
        idle_timeout_millis: u32,
        mut routes: Vec<RouteRule>,
        mut services: Vec<ServiceInfo>,
    ) -> Self {
        routes.sort_by_key(|route| route.target);
        routes.dedup_by_key(|route| route.target);
        services.sort_by(|left, right| left.name.cmp(&right.name));
        Self {
            version,
            idle_timeout_millis,
            routes,
            services,
        }
    }

    /// Returns the encoded table, or `None` if it cannot be encoded.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let terms = TableTerms {
            target_latency_millis: self
                .routes
                .iter()
                .map(|route| route.target_latency_millis)
                .collect(),
            cold: self.services.iter().map(|service| service.cold).collect(),
        };
        postcard::to_stdvec(&(self, &terms)).ok()
    }

    /// Decodes a table, or returns `None` if it is malformed. Fields that an earlier build
    /// has not encoded have their defaults.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (mut table, rest): (Self, &[u8]) = postcard::take_from_bytes(bytes).ok()?;
        if let Ok(terms) = postcard::from_bytes::<TableTerms>(rest) {
            for (route, millis) in table.routes.iter_mut().zip(terms.target_latency_millis) {
                route.target_latency_millis = millis;
            }
            for (service, cold) in table.services.iter_mut().zip(terms.cold) {
                service.cold = cold;
            }
        }
        Some(table)
    }

    /// Returns the version; 0 for the initial, empty table.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns the time after which a flow without packets may be forgotten.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.idle_timeout_millis))
    }

    /// Returns the time within which callers of `target` expect an answer; zero if not known.
    pub fn target_latency(&self, target: SocketAddrV4) -> Duration {
        let route = self.route(target);
        route.map_or(Duration::ZERO, RouteRule::target_latency)
    }

    /// Returns the route for flows to `target`, if there is one.
    pub fn route(&self, target: SocketAddrV4) -> Option<&RouteRule> {
        let index = self
            .routes
            .binary_search_by_key(&target, |route| route.target)
            .ok()?;
        Some(&self.routes[index])
    }

    /// Returns the path of a service's health check, if the service is known.
    pub fn health_path(&self, service: &str) -> Option<&str> {
        self.service_info(service)
            .map(|service_info| service_info.health_path.as_str())
    }

    /// Returns what the servers of a service bear after their start; no limit if the service
    /// is not known.
    pub fn cold_terms(&self, service: &str) -> ColdTerms {
        self.service_info(service)
            .map(|service_info| service_info.cold)
            .unwrap_or_default()
    }

    /// Returns whether the configuration names a service.
    pub fn has_service(&self, service: &str) -> bool {
        self.service_info(service).is_some()
            || self
                .routes
                .iter()
                .any(|route| route.shares.iter().any(|share| share.service == service))
    }

    fn service_info(&self, service: &str) -> Option<&ServiceInfo> {
        let index = self
            .services
            .binary_search_by(|service_info| service_info.name.as_str().cmp(service))
            .ok()?;
        Some(&self.services[index])
    }
}

impl RouteRule {
    /// Returns the time within which callers expect an answer; zero if not known.
    pub fn target_latency(&self) -> Duration {
        Duration::from_millis(u64::from(self.target_latency_millis))
    }

    /// Returns the service for a flow, the same in every process. Returns `None` if the
    /// route has no services, or several whose weights are all 0.
    pub fn service_of(&self, flow: &FlowKey) -> Option<&str> {
        if let [share] = self.shares.as_slice() {
            return Some(&share.service);
        }
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        if total == 0 {
            return None;
        }
        let mut remaining = hash_flow(flow) % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return Some(&share.service);
            }
            remaining -= weight;
        }
        None
    }

    /// Returns whether the route sends a share of its flows to `service`.
    pub fn allows(&self, service: &str) -> bool {
        self.shares
            .iter()
            .any(|share| share.service == service && share.weight > 0)
    }
}
