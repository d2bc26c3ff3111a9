//! Routing of callers' packets by a balancer.
//!
//! The route depends only on the packet and the current view. There is no flow
//! table, so a balancer that has just started makes the same decisions as all
//! others.

use std::net::SocketAddrV4;

use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::entry::EntryPath;
use hyssopstair_wire::packet::ForwardHeader;
use hyssopstair_wire::packet::SecondHost;
use hyssopstair_wire::time::MonotonicTime;
use hyssopstair_wire::token::RouteToken;

use crate::loads::LoadTable;
use crate::placement::PlacementChoice;
use crate::placement::place_flow;
use crate::quic::QuicForm;
use crate::quic::QuicHeader;
use crate::quic::parse_header;
use crate::view::RoutingView;

/// The action that a balancer must take for a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteAction<'a> {
    /// Forward the packet to a host.
    Forward {
        /// The host.
        host: ProcessId,
        /// The header to prepend to the packet.
        header: ForwardHeader,
    },
    /// Send a stateless reset to the caller, because the flow no longer exists.
    Reset {
        /// The connection ID of the packet.
        connection_id: &'a [u8],
    },
    /// Drop the packet.
    Drop(DropReason),
}

/// The reason why a balancer or host drops a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// The packet is not a valid QUIC packet.
    Malformed,
    /// No service has the destination address of the packet.
    UnknownService,
    /// The connection ID was not issued by this fleet.
    ForeignToken,
    /// The flow belongs to a service other than the addressed one.
    WrongService,
    /// The service has no host that accepts new flows.
    NoHost,
    /// The host of the flow is gone, and the packet's form does not permit a
    /// stateless reset.
    HostGone,
    /// The packet is for another incarnation of the host.
    WrongIncarnation,
    /// The host accepts no new flows and cannot hand the flow over.
    Full,
    /// The packet was passed on more often than allowed.
    TooManyHops,
}

impl DropReason {
    /// All reasons, in the order of declaration.
    pub const ALL: [Self; 9] = [
        Self::Malformed,
        Self::UnknownService,
        Self::ForeignToken,
        Self::WrongService,
        Self::NoHost,
        Self::HostGone,
        Self::WrongIncarnation,
        Self::Full,
        Self::TooManyHops,
    ];
}

/// The state of a balancer that determines the route of a packet.
#[derive(Debug, Clone, Copy)]
pub struct BalancerContext<'a> {
    /// The inner address of the balancer.
    pub address: SocketAddrV4,
    /// The current rules, keys and members.
    pub view: &'a RoutingView,
    /// The load reports of hosts.
    pub loads: &'a LoadTable,
}

/// Returns the action for a caller's packet.
///
/// A packet with a valid route token is forwarded to the host in the token. A packet
/// without one is placed on a host if it may open a flow, and dropped otherwise.
pub fn route_packet<'a>(
    context: &BalancerContext<'_>,
    path: &EntryPath,
    datagram: &'a [u8],
    now: MonotonicTime,
) -> RouteAction<'a> {
    let view = context.view;
    let Some(packet) = parse_header(datagram) else {
        return RouteAction::Drop(DropReason::Malformed);
    };
    let Some(service) = view.service_at(path.destination) else {
        return RouteAction::Drop(DropReason::UnknownService);
    };
    let header = ForwardHeader {
        service,
        incarnation: None,
        caller: path.source,
        target: path.destination,
        balancer: context.address,
        second: None,
        hops: 0,
        version: view.version,
        trace: None,
    };
    match RouteToken::open(&view.ring, packet.destination_id) {
        Ok(token) => route_token(view, header, &packet, &token),
        Err(_) if packet.form == QuicForm::Opening => route_opening(context, header, &packet, now),
        Err(_) => RouteAction::Drop(DropReason::ForeignToken),
    }
}

/// Returns the action for a packet whose connection ID is a valid route token.
fn route_token<'a>(
    view: &RoutingView,
    header: ForwardHeader,
    packet: &QuicHeader<'a>,
    token: &RouteToken,
) -> RouteAction<'a> {
    if token.service != header.service {
        return RouteAction::Drop(DropReason::WrongService);
    }
    if view.is_gone(token.host) {
        return match packet.form {
            QuicForm::Short => RouteAction::Reset {
                connection_id: packet.destination_id,
            },
            QuicForm::Opening | QuicForm::Handshake => RouteAction::Drop(DropReason::HostGone),
        };
    }
    RouteAction::Forward {
        host: token.host,
        header: ForwardHeader {
            incarnation: Some(token.host.incarnation),
            ..header
        },
    }
}

/// Returns the action for a packet that may open a flow.
fn route_opening<'a>(
    context: &BalancerContext<'_>,
    header: ForwardHeader,
    packet: &QuicHeader<'a>,
    now: MonotonicTime,
) -> RouteAction<'a> {
    let view = context.view;
    let candidates = view.candidates(header.service);
    let choice = place_flow(candidates, packet.destination_id, view.placement_secret());
    let Some(choice) = choice else {
        return RouteAction::Drop(DropReason::NoHost);
    };
    RouteAction::Forward {
        host: choice.first.host,
        header: ForwardHeader {
            second: second_host(&choice, context.loads, now),
            ..header
        },
    }
}

/// Returns the second host of a placement with its recent load report, if any.
fn second_host(
    choice: &PlacementChoice,
    loads: &LoadTable,
    now: MonotonicTime,
) -> Option<SecondHost> {
    let second = choice.second?;
    Some(SecondHost {
        process: second.host,
        weight: second.weight,
        first_weight: choice.first.weight,
        load: loads.recent_report(second.host, now),
    })
}
