//! Accepts new flows or passes them on to the next candidate.
//!
//! In a burst, most servers have no free slot while a few still have one. The load
//! reports that a balancer has are older than the duration of a request, so each host
//! decides by its own count of requests, and passes the flow on if its server has no
//! free slot. After the last candidate, the least busy one accepts the flow.

use std::net::Ipv4Addr;

use hyssopstair_wire::carried::CarryHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::ServerState;
use hyssopstair_wire::time::MonotonicTime;

use crate::event::DropReason;
use crate::event::FlowEvent;
use crate::host::FlowHost;
use crate::host::records::FlowPhase;
use crate::host::records::FlowRecord;
use crate::opening_gate::OpeningClaim;
use crate::opening_gate::OpeningDenial;
use crate::opening_gate::OpeningPermit;
use crate::opening_gate::check_opening;
use crate::outbox::FlowOutbox;
use crate::packet::RawPacket;

/// Assumed number of slots of a server before its first heartbeat.
const DEFAULT_SLOTS: u16 = 2;

/// An opening packet's header, and what its sender says about the service.
#[derive(Debug, Clone)]
pub(super) struct FlowOffer {
    pub(super) header: CarryHeader,
    /// The service that the packet is for; `None` if the sender does not say.
    service: Option<String>,
}

impl FlowOffer {
    /// Creates an offer of a sender that names no service.
    pub(super) fn unnamed(header: &CarryHeader) -> Self {
        Self {
            header: header.clone(),
            service: None,
        }
    }

    /// Creates an offer for a service.
    pub(super) fn for_service(header: &CarryHeader, service: &str) -> Self {
        Self {
            header: header.clone(),
            service: Some(service.to_owned()),
        }
    }

    fn claim(&self) -> OpeningClaim<'_> {
        OpeningClaim {
            service: self.service.as_deref(),
            routes: self.header.routes,
        }
    }

    fn into_message(self) -> CarryMessage {
        match self.service {
            Some(service) => CarryMessage::Offer {
                header: self.header,
                service,
            },
            None => CarryMessage::Forward(self.header),
        }
    }
}

/// The decision of a host about a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OpeningVerdict {
    /// The server has a free slot.
    Accept,
    /// All slots are taken; the value is the number of requests in progress.
    Queue(u16),
    /// The server must not get the flow.
    Reject,
    /// Operators have emptied the zone of the server.
    KeepAway,
    /// The server is cold, and has got as many new flows as it bears.
    Cold,
}

impl FlowHost {
    /// Accepts the opening packet of a flow or passes it on.
    pub(super) fn receive_opening_packet(
        &mut self,
        mut offer: FlowOffer,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        let balancer = offer.header.balancer;
        let (table, service) = (self.routes.table(), self.proven_service(now));
        let permit = match check_opening(table, service, flow.target, offer.claim()) {
            Ok(permit) => permit,
            Err(denial) => {
                outbox.record_event(self.describe_denial(&offer, flow, denial));
                // The host does not wait for the next hello of the balancer.
                let routes = offer.header.routes;
                self.routes.request_newer(balancer, routes, now, outbox);
                self.forward_to_next_host(offer, packet, now, outbox);
                return;
            }
        };
        if let Some(record) = self.find_pending_opening(&flow) {
            record.record_repeated_offer(balancer);
            self.deliver_packet(&flow, packet, now, outbox);
            return;
        }
        let known_record = self.flows.get(&flow);
        if known_record.is_some_and(|record| record.is_duplicate_opening(&packet.header)) {
            outbox.record_event(FlowEvent::Dropped {
                reason: DropReason::Repeated,
            });
            return;
        }
        match self.evaluate_opening(&flow, now) {
            OpeningVerdict::Accept => {
                self.accept_flow(offer, permit, packet, now, outbox);
                return;
            }
            OpeningVerdict::Queue(request_count) => {
                let least = offer.header.best.map(|(_, least_count)| least_count);
                let is_least = least.is_none_or(|least_count| request_count < least_count);
                let is_last = offer.header.next.is_empty();
                if offer.header.purpose == ForwardPurpose::OpenHere || (is_least && is_last) {
                    self.accept_flow(offer, permit, packet, now, outbox);
                    return;
                }
                if is_least {
                    offer.header.best = Some((self.identity.address, request_count));
                }
            }
            OpeningVerdict::Reject => {}
            OpeningVerdict::Cold => outbox.record_event(FlowEvent::ColdLimited { flow }),
            OpeningVerdict::KeepAway => {
                outbox.record_event(FlowEvent::KeptAway { flow, balancer });
            }
        }
        self.forward_to_next_host(offer, packet, now, outbox);
    }

    fn describe_denial(
        &self,
        offer: &FlowOffer,
        flow: FlowKey,
        denial: OpeningDenial,
    ) -> FlowEvent {
        FlowEvent::Denied {
            flow,
            balancer: offer.header.balancer,
            denial,
            service: self.identity.service.clone(),
            offered_service: offer.service.clone(),
            routes: self.routes.table().version(),
            balancer_routes: offer.header.routes,
        }
    }

    /// Passes on a flow whose opening packet the server has returned, unless the server
    /// has already accepted the flow. The server does not get the packet again unless the
    /// balancer offers the flow anew.
    pub(super) fn forward_bounced_opening(
        &mut self,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        if record.phase != FlowPhase::Offered || record.server_start.is_some() {
            return;
        }
        let offer = record.offer.take();
        let offered_at = record.offered_at;
        self.flows.remove(&flow);
        self.load.remove_offer(offered_at);
        if let Some(offer) = offer {
            self.forward_to_next_host(*offer, packet, now, outbox);
        }
    }

    /// Returns the number of requests that the server processes concurrently.
    pub(super) fn slots(&self) -> u16 {
        self.server.slots().unwrap_or(DEFAULT_SLOTS)
    }

    fn heartbeat_age_millis(&self, now: MonotonicTime) -> Option<u32> {
        self.server.newest_heartbeat()?;
        let age = now.since(self.server.last_heartbeat_at());
        Some(age.as_millis() as u32)
    }

    /// Returns the record of a flow whose opening packet was delivered to the server, if no
    /// later packet of the caller was.
    fn find_pending_opening(&mut self, flow: &FlowKey) -> Option<&mut FlowRecord> {
        self.flows
            .get_mut(flow)
            .filter(|record| record.phase == FlowPhase::Offered)
    }

    /// Decides about a new flow by the state of the server and the load.
    fn evaluate_opening(&mut self, flow: &FlowKey, now: MonotonicTime) -> OpeningVerdict {
        if self.server.state() != ServerState::Ready || self.is_stopping {
            return OpeningVerdict::Reject;
        }
        if self.evacuation.contains(&self.identity.zone) {
            return OpeningVerdict::KeepAway;
        }
        let cold_terms = self.routes.table().cold_terms(&self.identity.service);
        if !self.cold.admits(cold_terms, now) {
            return OpeningVerdict::Cold;
        }
        if !self.load.admits(now) {
            return OpeningVerdict::Reject;
        }
        let request_count = self.load.in_progress(now);
        let target_latency = self.routes.table().target_latency(flow.target);
        let limit = self.load.limit_within(self.slots(), target_latency);
        if request_count < self.slots().min(limit) {
            OpeningVerdict::Accept
        } else if request_count < limit {
            OpeningVerdict::Queue(request_count)
        } else {
            OpeningVerdict::Reject
        }
    }

    /// Records a new flow and delivers its opening packet to the server.
    fn accept_flow(
        &mut self,
        offer: FlowOffer,
        permit: OpeningPermit,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        let (balancer, balancer_routes) = (offer.header.balancer, offer.header.routes);
        // An earlier flow with the same endpoints has been given up by the caller.
        self.set_phase(&flow, FlowPhase::Closed);
        let record = FlowRecord::offered(offer, &packet.header, now);
        self.flows.insert(flow, record);
        self.load.add_offer(now);
        let cold_terms = self.routes.table().cold_terms(&self.identity.service);
        self.cold.record_delivery(cold_terms, now);
        outbox.record_event(FlowEvent::Offered {
            flow,
            balancer,
            permit,
            service: self.identity.service.clone(),
            heartbeat_age_millis: self.heartbeat_age_millis(now),
            routes: self.routes.table().version(),
            balancer_routes,
            in_progress: self.load.in_progress(now),
        });
        self.deliver_packet(&flow, packet, now, outbox);
    }

    /// Passes the flow on to the next candidate, or to the least busy one if all were tried.
    fn forward_to_next_host(
        &self,
        mut offer: FlowOffer,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        if offer.header.next.is_empty() {
            self.assign_to_least_busy(offer, packet, now, outbox);
            return;
        }
        let host = offer.header.next.remove(0);
        self.forward_to_host(host, offer, packet, now, outbox);
    }

    /// Assigns the flow to the least busy of the other candidates, because none has a free slot.
    /// If all have rejected it, the packet is returned to the balancer.
    fn assign_to_least_busy(
        &self,
        mut offer: FlowOffer,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        // If that host no longer has capacity, the packet is returned to the balancer, which
        // chooses other candidates.
        match offer.header.best.take() {
            Some((host, _)) if host != self.identity.address => {
                offer.header.purpose = ForwardPurpose::OpenHere;
                self.forward_to_host(host, offer, packet, now, outbox);
            }
            _ => {
                let message = CarryMessage::Returned {
                    purpose: offer.header.purpose,
                };
                outbox.enqueue_message(offer.header.balancer, &message, packet.bytes);
            }
        }
    }

    /// Sends the packet to another host.
    fn forward_to_host(
        &self,
        host: Ipv4Addr,
        offer: FlowOffer,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        outbox.record_event(FlowEvent::PassedOn {
            flow: packet.header.caller_flow(),
            host,
            server: self.server.state(),
            in_progress: self.load.in_progress(now),
        });
        outbox.enqueue_message(host, &offer.into_message(), packet.bytes);
    }
}
