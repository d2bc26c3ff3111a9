//! Decides whether an opening packet may reach a server, by the service that it is for.
//!
//! A balancer chooses a host by what the host has reported before. Since then the instance may
//! have ended, and its address may belong to an instance of another service. The host beside the
//! server is the last one to decide, and decides by what it knows itself: the service of its
//! server, and its routes. The sender's routes count only if they are newer, and only together
//! with the service that the sender read from them.

use std::net::SocketAddrV4;

use crate::routes::RouteTable;

/// What the sender of an opening packet says about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpeningClaim<'a> {
    /// The service that the sender's routes select; `None` if the sender's build does not say.
    pub service: Option<&'a str>,
    /// Version of the sender's routes.
    pub routes: u64,
}

/// Why an opening packet may be delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpeningPermit {
    /// The routes of the host lead to the service of its server.
    HostRoutes,
    /// The newer routes of the balancer lead to the service of the server.
    BalancerRoutes,
}

/// Why an opening packet must not be delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpeningDenial {
    /// Nothing shows at the moment which service the server runs.
    UnprovenService,
    /// The balancer has sent the packet to a server of another service.
    OtherService,
    /// The routes of the host do not lead to the service of its server.
    NotAllowed,
    /// The host has no routes, and the balancer does not say which service the packet is for.
    NoRoutes,
}

/// Decides whether an opening packet for `target` may be delivered to a server of `service`,
/// beside a host with the routes `table`. `service` is `None` if nothing shows what the server
/// runs.
///
/// # Errors
///
/// Returns why the packet must not be delivered.
pub fn check_opening(
    table: &RouteTable,
    service: Option<&str>,
    target: SocketAddrV4,
    claim: OpeningClaim<'_>,
) -> Result<OpeningPermit, OpeningDenial> {
    let Some(service) = service else {
        return Err(OpeningDenial::UnprovenService);
    };
    if claim.service.is_some_and(|claimed| claimed != service) {
        return Err(OpeningDenial::OtherService);
    }
    if claim.service.is_some() && claim.routes > table.version() {
        return Ok(OpeningPermit::BalancerRoutes);
    }
    if table.version() == 0 {
        return Err(OpeningDenial::NoRoutes);
    }
    let is_allowed = table
        .route(target)
        .is_some_and(|route| route.allows(service));
    if is_allowed {
        Ok(OpeningPermit::HostRoutes)
    } else {
        Err(OpeningDenial::NotAllowed)
    }
}
