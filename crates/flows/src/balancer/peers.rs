//! Messages between a balancer and its peers.

use std::net::Ipv4Addr;

use arrayvec::ArrayVec;
use hyssopstair_wire::carried::BalancerHello;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::HelloMessage;
use hyssopstair_wire::carried::HelloRole;
use hyssopstair_wire::carried::MAX_BATCH;
use hyssopstair_wire::carried::MAX_PEERS_TOLD;
use hyssopstair_wire::carried::ServerState;
use hyssopstair_wire::time::MonotonicTime;

use crate::balancer::FlowBalancer;
use crate::event::DropReason;
use crate::event::FlowEvent;
use crate::members::HelloOutcome;
use crate::outbox::FlowOutbox;
use crate::packet::RawPacket;

/// Balancers met last that every hello names.
pub(super) const MET_TOLD: usize = 4;

impl FlowBalancer {
    /// Decides about a message of a peer. `packet` is the packet behind it,
    /// `behind` its bytes or those of another part.
    pub fn receive_peer(
        &mut self,
        from: Ipv4Addr,
        message: &CarryMessage,
        packet: Option<&RawPacket<'_>>,
        behind: &[u8],
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        match message {
            CarryMessage::Hello(hello) => self.receive_hello(from, hello, now, outbox),
            CarryMessage::Owned { flow, load } => {
                self.members.record_load(from, *load, now);
                self.note_claim(*flow, from, now);
                self.end_opening(flow, now, outbox);
                self.end_search(flow, from, outbox);
            }
            CarryMessage::NotHeld { flows, is_certain } => {
                for flow in flows {
                    self.note_not_held(flow, from, *is_certain, now, outbox);
                }
            }
            CarryMessage::Returned { purpose } => {
                if let Some(packet) = packet {
                    self.receive_returned(from, *purpose, packet, now, outbox);
                }
            }
            CarryMessage::Flows { owner, flows } => {
                let found = self
                    .told_hosts
                    .binary_search_by_key(owner, |(told, _)| *told);
                if let Err(index) = found {
                    self.told_hosts.insert(index, (*owner, now));
                }
                for flow in flows {
                    if self.hints.get(flow).is_none() {
                        self.learn_owner(*flow, *owner, false, now);
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
                if routes.receive_part(*version, *part, *parts, behind, outbox) {
                    self.say_hello_soon();
                }
            }
            CarryMessage::Forward(_) | CarryMessage::Locate { .. } => {
                outbox.note(FlowEvent::Dropped {
                    reason: DropReason::Malformed,
                })
            }
        }
    }

    fn receive_returned(
        &mut self,
        from: Ipv4Addr,
        purpose: ForwardPurpose,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        match purpose {
            ForwardPurpose::Open | ForwardPurpose::OpenHere => {
                self.offer_again(packet, now, outbox);
            }
            ForwardPurpose::Owner if packet.header.opens_flow() => {
                self.hints.remove(&packet.header.caller_flow());
                self.receive_opening(packet, now, outbox);
            }
            ForwardPurpose::Owner | ForwardPurpose::Probe => {
                self.search_again(packet, from, now, outbox);
            }
        }
    }

    fn receive_hello(
        &mut self,
        from: Ipv4Addr,
        hello: &HelloMessage,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let outcome = self.members.record_hello(from, hello, now);
        if outcome == HelloOutcome::Stale {
            return;
        }
        let is_new = outcome == HelloOutcome::Joined;
        if is_new {
            outbox.note(FlowEvent::PeerMet { peer: from });
        }
        if is_new || hello.wants_answer {
            let answer = self.hello(false, now);
            outbox.send_message(from, &CarryMessage::Hello(answer), &[]);
        }
        match &hello.role {
            HelloRole::Host(host) => {
                self.first_host.get_or_insert(now);
                if is_new {
                    self.last_met_host = Some(now);
                    self.ask_new_host(from, now, outbox);
                }
                if is_new && host.is_relearning {
                    self.tell_flows_of(from, from, outbox);
                }
                if host.is_stopping && host.server == ServerState::Down {
                    self.drop_hints_of(from);
                    self.members.remove_host(from);
                    self.told_hosts.retain(|(told, _)| *told != from);
                }
            }
            HelloRole::Balancer(balancer) => {
                if is_new {
                    self.note_met_balancer(from);
                }
                self.add_contacts(&balancer.balancers);
                if balancer.wants_flows {
                    self.hand_over(from, outbox);
                }
            }
        }
        if let Some((version, peer)) = self.members.newest_routes() {
            self.routes.request_newer(peer, version, now, outbox);
        }
    }

    /// Greets all peers, and the addresses at which there may be some.
    pub(super) fn greet_all(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        self.next_hello = now + self.members.timeouts().hello_interval;
        self.hello_number += 1;
        let plain = CarryMessage::Hello(self.hello(false, now));
        let question = CarryMessage::Hello(self.hello(true, now));
        for host in self.members.hosts() {
            outbox.send_message(host.peer.address, &plain, &[]);
        }
        for contact in &self.contacts {
            let message = if self.members.has_balancer(*contact) {
                &plain
            } else {
                &question
            };
            outbox.send_message(*contact, message, &[]);
        }
    }

    fn hello(&self, wants_answer: bool, now: MonotonicTime) -> HelloMessage {
        HelloMessage {
            started: self.identity.started,
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
                balancers: self.balancers_to_tell(),
            }),
        }
    }

    /// Returns the balancers that this hello names: those met last, and the others
    /// in turn.
    fn balancers_to_tell(&self) -> ArrayVec<Ipv4Addr, MAX_PEERS_TOLD> {
        let mut told: ArrayVec<Ipv4Addr, MAX_PEERS_TOLD> =
            self.met_balancers.iter().copied().collect();
        let all = self.members.balancers();
        let turn = MAX_PEERS_TOLD - MET_TOLD;
        let start = self.hello_number as usize * turn;
        for offset in 0..all.len() {
            if told.is_full() {
                break;
            }
            let address = all[(start + offset) % all.len()].peer.address;
            if !told.contains(&address) {
                told.push(address);
            }
        }
        told
    }

    /// Notes that a balancer was met.
    fn note_met_balancer(&mut self, address: Ipv4Addr) {
        self.met_balancers.retain(|met| *met != address);
        if self.met_balancers.is_full() {
            self.met_balancers.remove(0);
        }
        self.met_balancers.push(address);
    }

    /// Tells a peer all flows of the table.
    pub(super) fn hand_over(&self, peer: Ipv4Addr, outbox: &mut FlowOutbox) {
        for host in self.members.hosts() {
            self.tell_flows_of(host.peer.address, peer, outbox);
        }
    }

    /// Tells a peer the flows of one host.
    fn tell_flows_of(&self, host: Ipv4Addr, peer: Ipv4Addr, outbox: &mut FlowOutbox) {
        for batch in self.flows_of(host).chunks(MAX_BATCH) {
            let message = CarryMessage::Flows {
                owner: host,
                flows: batch.to_vec(),
            };
            outbox.send_message(peer, &message, &[]);
        }
    }

    fn flows_of(&self, host: Ipv4Addr) -> Vec<FlowKey> {
        self.hints
            .iter()
            .filter(|(_, hint)| hint.owner == host)
            .map(|(flow, _)| *flow)
            .collect()
    }

    fn drop_hints_of(&mut self, host: Ipv4Addr) {
        for flow in self.flows_of(host) {
            self.hints.remove(&flow);
        }
    }
}
