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
use crate::outbox::FlowOutbox;
use crate::packet::RawPacket;

/// Assumed number of slots of a server before its first heartbeat.
const DEFAULT_SLOTS: u16 = 2;

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
        header: &CarryHeader,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        if self.has_pending_opening(&flow) {
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
        let verdict = self.evaluate_opening(header, &flow, now);
        let mut next_header = header.clone();
        match verdict {
            OpeningVerdict::Cold => {
                outbox.record_event(FlowEvent::ColdLimited { flow });
                self.forward_to_next_host(next_header, packet, now, outbox);
            }
            OpeningVerdict::KeepAway => {
                outbox.record_event(FlowEvent::KeptAway {
                    flow,
                    balancer: header.balancer,
                });
                self.forward_to_next_host(next_header, packet, now, outbox);
            }
            OpeningVerdict::Accept => self.accept_flow(header, packet, now, outbox),
            OpeningVerdict::Queue(_) if header.purpose == ForwardPurpose::OpenHere => {
                self.accept_flow(header, packet, now, outbox);
            }
            OpeningVerdict::Queue(request_count) => {
                if next_header
                    .best
                    .is_none_or(|(_, least_count)| request_count < least_count)
                {
                    next_header.best = Some((self.identity.address, request_count));
                }
                self.forward_to_next_host(next_header, packet, now, outbox);
            }
            OpeningVerdict::Reject => self.forward_to_next_host(next_header, packet, now, outbox),
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
        let forward_header = record.forward_header.take();
        let offered_at = record.offered_at;
        self.flows.remove(&flow);
        self.load.remove_offer(offered_at);
        if let Some(mut forward_header) = forward_header {
            forward_header
                .best
                .take_if(|(host, _)| *host == self.identity.address);
            self.forward_to_next_host(*forward_header, packet, now, outbox);
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

    /// Returns whether an opening packet of the flow was delivered to the server, and no
    /// later packet of the caller was.
    fn has_pending_opening(&self, flow: &FlowKey) -> bool {
        self.flows
            .get(flow)
            .is_some_and(|record| record.phase == FlowPhase::Offered)
    }

    /// Decides about a new flow by the state of the server, the routes and the load.
    fn evaluate_opening(
        &mut self,
        header: &CarryHeader,
        flow: &FlowKey,
        now: MonotonicTime,
    ) -> OpeningVerdict {
        if self.server.state() != ServerState::Ready || self.is_stopping {
            return OpeningVerdict::Reject;
        }
        if self.evacuation.contains(&self.identity.zone) {
            return OpeningVerdict::KeepAway;
        }
        // If the balancer has newer routes, its decision is not checked: this host may not
        // have received the route yet.
        if self.routes.table().version() >= header.routes && self.routes.table().version() > 0 {
            let is_allowed = self
                .routes
                .table()
                .route(flow.target)
                .is_some_and(|route| route.allows(&self.identity.service));
            if !is_allowed {
                return OpeningVerdict::Reject;
            }
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
        header: &CarryHeader,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        // An earlier flow with the same endpoints has been given up by the caller.
        self.set_phase(&flow, FlowPhase::Closed);
        self.flows.insert(
            flow,
            FlowRecord::offered(header.clone(), &packet.header, now),
        );
        self.load.add_offer(now);
        let cold_terms = self.routes.table().cold_terms(&self.identity.service);
        self.cold.record_delivery(cold_terms, now);
        outbox.record_event(FlowEvent::Offered {
            flow,
            balancer: header.balancer,
            service: self.identity.service.clone(),
            heartbeat_age_millis: self.heartbeat_age_millis(now),
            routes: self.routes.table().version(),
            balancer_routes: header.routes,
            in_progress: self.load.in_progress(now),
        });
        self.deliver_packet(&flow, packet, now, outbox);
    }

    /// Passes the flow on to the next candidate, or assigns it if there is none.
    fn forward_to_next_host(
        &mut self,
        mut header: CarryHeader,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        if header.next.is_empty() {
            self.assign_to_least_busy(header, packet, now, outbox);
            return;
        }
        let host = header.next.remove(0);
        self.forward_to_host(host, header, packet, now, outbox);
    }

    /// Assigns the flow to the least busy candidate, because none has a free slot. If all
    /// have rejected it, the packet is returned to the balancer.
    fn assign_to_least_busy(
        &mut self,
        mut header: CarryHeader,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        match header.best {
            Some((host, _)) if host == self.identity.address => {
                self.accept_flow(&header, packet, now, outbox);
            }
            Some((host, _)) => {
                header.purpose = ForwardPurpose::OpenHere;
                // If that host no longer has capacity, the packet is returned to the
                // balancer, which chooses other candidates.
                header.best = None;
                self.forward_to_host(host, header, packet, now, outbox);
            }
            None => {
                let message = CarryMessage::Returned {
                    purpose: header.purpose,
                };
                outbox.enqueue_message(header.balancer, &message, packet.bytes);
            }
        }
    }

    /// Sends the packet to another host.
    fn forward_to_host(
        &self,
        host: Ipv4Addr,
        header: CarryHeader,
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
        outbox.enqueue_message(host, &CarryMessage::Forward(header), packet.bytes);
    }
}
