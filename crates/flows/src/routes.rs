//! The routes in force: which service new flows to an address go to.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::carried::FlowKey;
use serde::Deserialize;
use serde::Serialize;

use crate::ranking::hash_flow;

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    NonIdempotent,
}

/// A service that a route sends a share of its flows to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: String,
    /// Its share, relative to the others of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// The address that callers send to.
    pub target: SocketAddrV4,
    /// What kind of requests its flows carry.
    pub kind: RequestKind,
    /// Time after which an answer is of no use, in milliseconds.
    pub timeout_millis: u32,
    /// Rank of its requests; 0 goes first.
    pub priority: u8,
    /// The services that serve it.
    pub shares: Vec<ServiceShare>,
}

/// What is known of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceInfo {
    /// Its name.
    pub name: String,
    /// Path of its health check.
    pub health_path: String,
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
    /// Orders routes for look-up. Of several routes with one address, the first stays.
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

    /// Returns the version; 0 for a table that holds nothing yet.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns how many routes there are.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns the time after which a flow without packets may be forgotten.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.idle_timeout_millis))
    }

    /// Returns the route of an address.
    pub fn route(&self, target: SocketAddrV4) -> Option<&RouteRule> {
        let index = self
            .routes
            .binary_search_by_key(&target, |route| route.target)
            .ok()?;
        Some(&self.routes[index])
    }

    /// Returns the path of a service's health check.
    pub fn health_path(&self, service: &str) -> Option<&str> {
        let index = self
            .services
            .binary_search_by(|info| info.name.as_str().cmp(service))
            .ok()?;
        Some(&self.services[index].health_path)
    }
}

impl RouteRule {
    /// Returns the service of a flow, the same at every process.
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
        let mut left = hash_flow(flow) % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        None
    }

    /// Returns whether the route may send flows to a service.
    pub fn allows(&self, service: &str) -> bool {
        self.shares
            .iter()
            .any(|share| share.service == service && share.weight > 0)
    }
}
