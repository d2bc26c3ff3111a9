//! Where a balancer sends a packet of a caller.
//!
//! The decision uses the packet and the present view alone: there is no table
//! of flows, so a balancer that has just started decides as all others do.

use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::entry::EntryPath;
use hyssopstair_wire::packet::ForwardHeader;
use hyssopstair_wire::token::RouteToken;

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
        connection: &'a [u8],
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

/// Decides about one packet.
pub fn route_packet<'a>(
    view: &RoutingView,
    balancer: std::net::SocketAddrV4,
    path: &EntryPath,
    datagram: &'a [u8],
) -> RouteAction<'a> {
    let Some(packet) = parse_header(datagram) else {
        return RouteAction::Drop(DropReason::Malformed);
    };
    let Some(service) = view.rules.service_at(path.destination) else {
        return RouteAction::Drop(DropReason::UnknownService);
    };
    let header = ForwardHeader {
        service: service.id,
        incarnation: None,
        caller: path.source,
        target: path.destination,
        balancer,
        second: None,
        hops: 0,
        version: view.version,
        trace: None,
    };
    match RouteToken::open(&view.ring, packet.destination) {
        Ok(token) => route_token(view, header, &packet, &token),
        Err(_) if packet.form == QuicForm::Opening => route_opening(view, header, &packet),
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
                connection: packet.destination,
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
    view: &RoutingView,
    header: ForwardHeader,
    packet: &QuicHeader<'a>,
) -> RouteAction<'a> {
    let candidates = view.candidates(header.service);
    let choice = place_flow(candidates, packet.destination, view.placement_secret());
    let Some(choice) = choice else {
        return RouteAction::Drop(DropReason::NoHost);
    };
    RouteAction::Forward {
        host: choice.first,
        header: ForwardHeader {
            second: choice.second,
            ..header
        },
    }
}
