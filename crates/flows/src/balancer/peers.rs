//! Messages that a balancer exchanges with hosts and other balancers.
//!
//! Hellos carry membership, load and versions. A balancer also sends its flow table
//! to balancers that start, and a restarted host the flows that the host owns.

use std::net::Ipv4Addr;

use arrayvec::ArrayVec;
use hyssopstair_wire::carried::BalancerHello;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::HelloExtension;
use hyssopstair_wire::carried::HelloMessage;
use hyssopstair_wire::carried::HelloRole;
use hyssopstair_wire::carried::MAX_BATCH_FLOWS;
use hyssopstair_wire::carried::MAX_HELLO_BALANCERS;
use hyssopstair_wire::carried::PeerVersion;
use hyssopstair_wire::carried::ServerState;
use hyssopstair_wire::time::MonotonicTime;

use crate::balancer::FlowBalancer;
use crate::balancer::FlowHint;
use crate::balancer::SaveRequest;
use crate::detour::PeerWay;
use crate::event::DropReason;
use crate::event::FlowEvent;
use crate::members::BalancerRecord;
use crate::members::HelloOutcome;
use crate::outbox::FlowOutbox;
use crate::packet::RawPacket;

/// Number of the most recently discovered balancers that every hello names.
pub(super) const MAX_RECENT_BALANCERS: usize = 4;

impl FlowBalancer {
    /// Handles a message that a peer has sent directly. `payload` holds the bytes that follow
    /// the message, and `packet` the packet parsed from them, if they are one.
    pub fn receive_peer_message(
        &mut self,
        from: Ipv4Addr,
        message: &CarryMessage,
        packet: Option<&RawPacket<'_>>,
        payload: &[u8],
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        self.detours.record_arrival(from, PeerWay::Direct, now);
        match message {
            CarryMessage::Detour { origin, target } => {
                self.detours
                    .relay(from, *origin, *target, payload, now, outbox);
            }
            CarryMessage::Owned { load, .. } => {
                self.members.record_load(from, *load, now);
                self.handle_message(from, message, packet, payload, now, outbox);
            }
            _ => self.handle_message(from, message, packet, payload, now, outbox),
        }
    }

    /// Handles a message that has come from a peer through the process at `relay`. It does not
    /// show that the peer can be reached directly, so new flows may still avoid the peer.
    pub fn receive_detoured_message(
        &mut self,
        from: Ipv4Addr,
        relay: Ipv4Addr,
        message: &CarryMessage,
        packet: Option<&RawPacket<'_>>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        self.detours.record_arrival(from, PeerWay::Via(relay), now);
        self.handle_message(from, message, packet, &[], now, outbox);
    }

    fn handle_message(
        &mut self,
        from: Ipv4Addr,
        message: &CarryMessage,
        packet: Option<&RawPacket<'_>>,
        payload: &[u8],
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        match message {
            CarryMessage::Hello(hello) => {
                // The emptied zones come first, so that they are known before the routes.
                let extension = HelloExtension::decode(payload);
                let notice = extension.evacuation.as_ref();
                if self.evacuation.receive_notice(notice, outbox) {
                    self.schedule_hellos();
                }
                self.receive_hello(from, hello, &extension, now, outbox);
            }
            CarryMessage::Owned { flow, .. } => {
                self.record_claim(*flow, from, now);
                self.complete_opening(flow, now, outbox);
                self.complete_search(flow, from, now, outbox);
            }
            CarryMessage::NotHeld { flows, is_certain } => {
                for flow in flows {
                    self.record_denial(flow, from, *is_certain, now, outbox);
                }
            }
            CarryMessage::Returned { purpose } => {
                if let Some(packet) = packet {
                    self.receive_returned_packet(from, *purpose, packet, now, outbox);
                }
            }
            CarryMessage::Flows { owner, flows } => {
                let found = self
                    .reported_owners
                    .binary_search_by_key(owner, |(known_owner, _)| *known_owner);
                if let Err(index) = found {
                    self.reported_owners.insert(index, (*owner, now));
                }
                for flow in flows {
                    if self.hints.get(flow).is_none() {
                        self.record_owner(*flow, *owner, false, now);
                    }
                }
            }
            CarryMessage::RoutesWanted { known } => {
                self.routes.send_newer(from, *known, outbox);
            }
            CarryMessage::RoutesPart {
                version,
                part,
                parts,
            } => {
                let routes = &mut self.routes;
                if routes.receive_part(*version, *part, *parts, payload, outbox) {
                    self.schedule_hellos();
                }
            }
            CarryMessage::SaveFlows { number, part } => {
                let request = SaveRequest {
                    host: from,
                    part: *part,
                    number: *number,
                    encoded_part: payload.to_vec(),
                };
                self.queue_save(request, now, outbox);
            }
            CarryMessage::Forward(_)
            | CarryMessage::Offer { .. }
            | CarryMessage::Locate { .. }
            | CarryMessage::Detour { .. }
            | CarryMessage::FlowsSaved { .. } => outbox.record_event(FlowEvent::Dropped {
                reason: DropReason::Malformed,
            }),
        }
    }

    fn receive_returned_packet(
        &mut self,
        from: Ipv4Addr,
        purpose: ForwardPurpose,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        match purpose {
            ForwardPurpose::Open | ForwardPurpose::OpenHere => {
                self.reoffer_returned_flow(packet, now, outbox);
            }
            ForwardPurpose::Owner if packet.header.opens_flow() => {
                self.hints.remove(&packet.header.caller_flow());
                self.receive_opening_packet(packet, now, outbox);
            }
            ForwardPurpose::Owner | ForwardPurpose::Probe => {
                self.redirect_returned_packet(packet, from, now, outbox);
            }
        }
    }

    fn receive_hello(
        &mut self,
        from: Ipv4Addr,
        hello: &HelloMessage,
        extension: &HelloExtension,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let was_relearning = self
            .members
            .host(from)
            .is_some_and(|record| record.is_relearning);
        let outcome = self.members.record_hello(from, hello, extension, now);
        if outcome == HelloOutcome::Stale {
            return;
        }
        let is_new = outcome == HelloOutcome::Joined;
        if is_new {
            outbox.record_event(FlowEvent::PeerMet { peer: from });
        }
        if is_new || hello.wants_answer {
            let answer = self.build_hello(false, now);
            let extension = self.build_hello_extension(from, now);
            outbox.enqueue_message(from, &CarryMessage::Hello(answer), &extension);
        }
        match &hello.role {
            HelloRole::Host(host) => {
                self.first_host_joined_at.get_or_insert(now);
                if is_new {
                    self.last_host_joined_at = Some(now);
                    self.query_new_host(from, now, outbox);
                }
                if is_new && host.is_relearning {
                    self.send_flows_of(from, outbox);
                }
                if was_relearning && !host.is_relearning {
                    self.query_decided_host(from, now);
                }
                if host.is_stopping && host.server == ServerState::Down {
                    self.remove_hints_of(from);
                    self.members.remove_host(from);
                    self.reported_owners.retain(|(owner, _)| *owner != from);
                }
            }
            HelloRole::Balancer(balancer) => {
                if is_new {
                    self.record_recent_balancer(from);
                }
                self.add_contacts(&[from]);
                self.add_contacts(&balancer.balancers);
                if balancer.wants_flows && self.may_share_callers_with(&hello.zone, from) {
                    self.send_flow_table(&[from], now, outbox);
                }
            }
        }
        if let Some((version, peer)) = self.members.newest_routes() {
            self.routes.request_newer(peer, version, now, outbox);
        }
    }

    /// Sends hellos to all hosts and contacts, and schedules the next round. A contact
    /// that is not a known balancer is asked for a hello in return.
    pub(super) fn send_hellos(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        self.next_hello_at = now + self.members.timeouts().hello_interval;
        self.hello_number += 1;
        let hello = CarryMessage::Hello(self.build_hello(false, now));
        let hello_request = CarryMessage::Hello(self.build_hello(true, now));
        for host in self.members.hosts() {
            let extension = self.build_hello_extension(host.peer.address, now);
            outbox.enqueue_message(host.peer.address, &hello, &extension);
        }
        for contact in &self.contacts {
            let message = if self.members.has_balancer(*contact) {
                &hello
            } else {
                &hello_request
            };
            let extension = self.build_hello_extension(*contact, now);
            outbox.enqueue_message(*contact, message, &extension);
        }
    }

    /// Returns the fields that follow a hello to `peer`.
    fn build_hello_extension(&self, peer: Ipv4Addr, now: MonotonicTime) -> Vec<u8> {
        let extension = HelloExtension {
            store_era: self.store_era.get(),
            evacuation: self.evacuation.notice(),
            version: PeerVersion::CURRENT,
            silence_millis: self.members.silence_millis(peer, now),
        };
        extension.encode()
    }

    fn build_hello(&self, wants_answer: bool, now: MonotonicTime) -> HelloMessage {
        HelloMessage {
            started: self.identity.started_unix_millis,
            number: self.hello_number,
            zone: self.identity.zone.clone(),
            routes: self.routes.table().version(),
            wants_answer,
            role: HelloRole::Balancer(BalancerHello {
                is_stopping: self.is_stopping,
                wants_flows: wants_answer && !self.is_ready(now),
                hosts: self
                    .members
                    .reachable_host_count(now)
                    .min(usize::from(u16::MAX)) as u16,
                balancers: self.select_balancers(),
            }),
        }
    }

    /// Returns the balancers that the current hello names: the most recently discovered
    /// ones, and the others in rotation.
    fn select_balancers(&self) -> ArrayVec<Ipv4Addr, MAX_HELLO_BALANCERS> {
        let mut selected: ArrayVec<Ipv4Addr, MAX_HELLO_BALANCERS> =
            self.recent_balancers.iter().copied().collect();
        let all = self.members.balancers();
        let others_per_hello = MAX_HELLO_BALANCERS - MAX_RECENT_BALANCERS;
        let start = self.hello_number as usize * others_per_hello;
        for offset in 0..all.len() {
            if selected.is_full() {
                break;
            }
            let address = all[(start + offset) % all.len()].peer.address;
            if !selected.contains(&address) {
                selected.push(address);
            }
        }
        selected
    }

    /// Adds a balancer to the most recently discovered ones.
    fn record_recent_balancer(&mut self, address: Ipv4Addr) {
        self.recent_balancers.retain(|recent| *recent != address);
        if self.recent_balancers.is_full() {
            self.recent_balancers.remove(0);
        }
        self.recent_balancers.push(address);
    }

    /// Returns the balancers to which routers send the callers of a zone if another of the
    /// zone's balancers is gone: those of the zone, or all if it has no other.
    pub(super) fn select_successors(&self, zone: &str) -> Vec<Ipv4Addr> {
        let (near, far): (Vec<&BalancerRecord>, Vec<&BalancerRecord>) = self
            .members
            .balancers()
            .iter()
            .filter(|record| !record.is_stopping)
            .partition(|record| record.peer.zone == zone);
        let successors = if near.is_empty() { far } else { near };
        successors
            .iter()
            .map(|record| record.peer.address)
            .collect()
    }

    /// Returns whether a balancer of `zone` at `peer` may get packets of callers that this one
    /// has served: it is in the same zone, or the only one of its own.
    fn may_share_callers_with(&self, zone: &str, peer: Ipv4Addr) -> bool {
        let is_other_of_zone = |record: &BalancerRecord| {
            record.peer.zone == zone && record.peer.address != peer && !record.is_stopping
        };
        self.identity.zone == zone || !self.members.balancers().iter().any(is_other_of_zone)
    }

    /// Sends the open flows that this balancer carries to peers.
    pub(super) fn send_flow_table(
        &self,
        peers: &[Ipv4Addr],
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let mut owned_flows: Vec<(Ipv4Addr, FlowKey)> = self
            .hints
            .iter()
            .filter(|(_, hint)| hint.is_worth_sharing(now))
            .map(|(flow, hint)| (hint.owner, *flow))
            .collect();
        owned_flows.sort_unstable();
        for flows_of_owner in owned_flows.chunk_by(|left, right| left.0 == right.0) {
            let owner = flows_of_owner[0].0;
            if self.members.host(owner).is_none() {
                continue;
            }
            let flows: Vec<FlowKey> = flows_of_owner.iter().map(|(_, flow)| *flow).collect();
            for peer in peers {
                send_flows(owner, &flows, *peer, outbox);
            }
        }
    }

    /// Sends a host the flows that it owns, without those that have finished.
    fn send_flows_of(&self, host: Ipv4Addr, outbox: &mut FlowOutbox) {
        let flows = self.flows_owned_by(host, |hint| !hint.is_finished);
        send_flows(host, &flows, host, outbox);
    }

    /// Returns the flows of `host` whose hints `keep` returns true for.
    fn flows_owned_by(&self, host: Ipv4Addr, keep: impl Fn(&FlowHint) -> bool) -> Vec<FlowKey> {
        self.hints
            .iter()
            .filter(|(_, hint)| hint.owner == host && keep(hint))
            .map(|(flow, _)| *flow)
            .collect()
    }

    fn remove_hints_of(&mut self, host: Ipv4Addr) {
        for flow in self.flows_owned_by(host, |_| true) {
            self.hints.remove(&flow);
        }
    }
}

/// Sends flows that `owner` holds to a peer, in batches.
fn send_flows(owner: Ipv4Addr, flows: &[FlowKey], peer: Ipv4Addr, outbox: &mut FlowOutbox) {
    for batch in flows.chunks(MAX_BATCH_FLOWS) {
        let message = CarryMessage::Flows {
            owner,
            flows: batch.to_vec(),
        };
        outbox.enqueue_message(peer, &message, &[]);
    }
}
