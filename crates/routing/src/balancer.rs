//! Where a balancer sends a packet of a caller.
//!
//! The decision uses the packet and the present view alone: there is no table
//! of flows, so a balancer that has just started decides as all others do.

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

/// What a balancer does with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteAction<'a> {
    /// Sends it to a host.
    Forward {
        /// The host.
        host: ProcessId,
        /// The header to put before the packet.
        header: ForwardHeader,
    },
    /// Tells the caller that the flow is gone.
    Reset {
        /// The connection ID of the packet.
        connection_id: &'a [u8],
    },
    /// Does nothing.
    Drop(DropReason),
}

/// Why a packet is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// It is no QUIC packet.
    Malformed,
    /// No service has the address that it was sent to.
    UnknownService,
    /// Its connection ID was not issued by this fleet.
    ForeignToken,
    /// Its flow belongs to another service than the one at the address.
    WrongService,
    /// The service has no host that takes new flows.
    NoHost,
    /// The host that it names is gone, and no reset can be sent for it.
    HostGone,
    /// It was meant for an earlier process at the address.
    WrongIncarnation,
    /// The host takes no new flows.
    Full,
    /// It was passed on too often.
    TooManyHops,
}

impl DropReason {
    /// All reasons, in their order.
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

/// What a balancer decides by.
#[derive(Debug, Clone, Copy)]
pub struct BalancerContext<'a> {
    /// The inner address of the balancer.
    pub address: SocketAddrV4,
    /// Rules, keys and members.
    pub view: &'a RoutingView,
    /// What hosts have said of their load.
    pub loads: &'a LoadTable,
}

/// Decides about one packet.
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
