//! Messages that a host exchanges with balancers and other hosts.
//!
//! Hellos report the state and load of the backend server to all known balancers. They
//! are sent at regular intervals, and at the next tick after a change.

use std::net::Ipv4Addr;
use std::time::Duration;

use hyssopstair_wire::carried::CarryLoad;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::HelloExtension;
use hyssopstair_wire::carried::HelloMessage;
use hyssopstair_wire::carried::HelloRole;
use hyssopstair_wire::carried::HostHello;
use hyssopstair_wire::carried::PeerVersion;
use hyssopstair_wire::time::MonotonicTime;

use crate::detour::PeerWay;
use crate::evacuation::EvacuatedZones;
use crate::event::FlowEvent;
use crate::event::RouteSource;
use crate::host::FlowHost;
use crate::host::HOST_TICK_INTERVAL;
use crate::host::records::FlowRecord;
use crate::members::HelloOutcome;
use crate::outbox::FlowOutbox;
use crate::packet::RawPacket;
use crate::routes::RouteTable;

/// Time after its start for which a host greets unknown balancers in each tick. Processes
/// that start after the same outage start within this time.
const GREETING_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of greetings in a tick, so that a host does not flood a large fleet.
const MAX_GREETINGS: usize = 32;

impl FlowHost {
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
            _ => self.handle_message(from, message, packet, payload, now, outbox),
        }
    }

    /// Handles a message that has come from a peer through the process at `relay`.
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
                let extension = HelloExtension::decode(payload);
                let notice = extension.evacuation.as_ref();
                self.evacuation.receive_notice(notice, outbox);
                self.receive_hello(from, hello, &extension, now, outbox);
                self.record_store_era(extension.store_era, outbox);
            }
            CarryMessage::Forward(header) => {
                if let Some(packet) = packet {
                    self.receive_forwarded_packet(header, packet, now, outbox);
                }
            }
            CarryMessage::Offer { header, service } => {
                if let Some(packet) = packet {
                    self.receive_offered_packet(header, service, packet, now, outbox);
                }
            }
            CarryMessage::Locate { questions } => {
                self.answer_questions(from, questions, now, outbox);
            }
            CarryMessage::Flows { owner, flows } if *owner == self.identity.address => {
                if !self.is_relearning {
                    return;
                }
                for flow in flows {
                    if self.flows.get(flow).is_none() {
                        self.flows.insert(*flow, FlowRecord::reported(now));
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
                self.routes
                    .receive_part(*version, *part, *parts, payload, outbox);
            }
            CarryMessage::FlowsSaved { number } => self.record_saved_part(*number),
            CarryMessage::Flows { .. }
            | CarryMessage::SaveFlows { .. }
            | CarryMessage::Owned { .. }
            | CarryMessage::NotHeld { .. }
            | CarryMessage::Returned { .. }
            | CarryMessage::Detour { .. } => {}
        }
    }

    /// Installs a route table that was read from the store if it is newer than the one in force.
    pub fn set_routes(&mut self, routes: RouteTable, outbox: &mut FlowOutbox) {
        self.routes.install(routes, RouteSource::Store, outbox);
    }

    /// Installs the emptied zones that were read from the store if they are newer than those
    /// in force.
    pub fn set_evacuation(&mut self, evacuated: EvacuatedZones, outbox: &mut FlowOutbox) {
        self.evacuation
            .install(evacuated, RouteSource::Store, outbox);
    }

    /// Returns the names of the emptied zones, ascending.
    pub fn evacuated_zones(&self) -> &[String] {
        self.evacuation.zones()
    }

    /// Adds addresses at which there may be balancers, so that hellos are sent to them.
    pub fn add_contacts(&mut self, contacts: &[Ipv4Addr]) {
        for contact in contacts {
            if let Err(index) = self.contacts.binary_search(contact) {
                self.contacts.insert(index, *contact);
                self.schedule_hellos();
            }
        }
    }

    /// Returns the time at which the next tick is due.
    pub fn next_tick_at(&self) -> MonotonicTime {
        self.next_hello_at
            .min(self.last_tick_at + HOST_TICK_INTERVAL)
    }

    /// Returns the load of the server, as it is reported to balancers.
    pub(super) fn load_report(&self, now: MonotonicTime) -> CarryLoad {
        CarryLoad {
            in_progress: self.load.in_progress(now),
            mean_sixteenths: self.load.mean_sixteenths(),
            slots: self.slots(),
            flows: self.flows.len().min(usize::from(u16::MAX)) as u16,
            answer_micros: self.load.answer_micros(),
        }
    }

    /// Makes the next tick send hellos, so that balancers learn of a change early.
    pub(super) fn schedule_hellos(&mut self) {
        self.next_hello_at = MonotonicTime::default();
    }

    /// Sends hellos to all contacts, and schedules the next round. A contact that is not a
    /// known balancer is asked for a hello in return.
    pub(super) fn send_hellos(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        self.next_hello_at = now + self.members.timeouts().hello_interval;
        self.hello_number += 1;
        for contact in &self.contacts {
            let extension = self.build_hello_extension(*contact, now);
            let hello = self.build_hello(!self.members.has_balancer(*contact), now);
            outbox.enqueue_message(*contact, &CarryMessage::Hello(hello), &extension);
        }
    }

    /// Sends hellos to contacts that have not been met, in turn, while the host is starting.
    /// After an outage a balancer may start later than the host, and would otherwise learn of
    /// it only from the next regular hello.
    pub(super) fn greet_unknown_balancers(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        if now.since(self.created_at) >= GREETING_PERIOD {
            return;
        }
        let unknown: Vec<Ipv4Addr> = self
            .contacts
            .iter()
            .copied()
            .filter(|contact| !self.members.has_balancer(*contact))
            .collect();
        if unknown.is_empty() {
            return;
        }
        self.hello_number += 1;
        let hello = CarryMessage::Hello(self.build_hello(true, now));
        let start = self.hello_number as usize * MAX_GREETINGS % unknown.len();
        let in_turn = unknown.iter().cycle().skip(start);
        for contact in in_turn.take(unknown.len().min(MAX_GREETINGS)) {
            let extension = self.build_hello_extension(*contact, now);
            outbox.enqueue_message(*contact, &hello, &extension);
        }
    }

    /// Returns the fields that follow a hello to `peer`. The era of the store is left to
    /// balancers, which call it.
    fn build_hello_extension(&self, peer: Ipv4Addr, now: MonotonicTime) -> Vec<u8> {
        let extension = HelloExtension {
            store_era: None,
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
            role: HelloRole::Host(HostHello {
                service: self.identity.service.clone(),
                server: self.server.state(),
                load: self.load_report(now),
                is_relearning: self.is_relearning,
                is_server_new: self.server.is_new(now),
                is_stopping: self.is_stopping,
            }),
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
        let outcome = self.members.record_hello(from, hello, extension, now);
        if outcome == HelloOutcome::Stale {
            return;
        }
        if outcome == HelloOutcome::Joined {
            outbox.record_event(FlowEvent::PeerMet { peer: from });
        }
        if let HelloRole::Balancer(balancer) = &hello.role {
            self.add_contacts(&balancer.balancers);
            self.add_contacts(&[from]);
            if outcome == HelloOutcome::Joined {
                let answer = CarryMessage::Hello(self.build_hello(false, now));
                let extension = self.build_hello_extension(from, now);
                outbox.enqueue_message(from, &answer, &extension);
            }
        }
        self.routes.request_newer(from, hello.routes, now, outbox);
    }
}
