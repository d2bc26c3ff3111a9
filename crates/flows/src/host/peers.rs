//! Messages that a host exchanges with balancers and other hosts.
//!
//! Hellos report the state and load of the backend server to all known balancers. They
//! are sent at regular intervals, and at the next tick after a change.

use std::net::Ipv4Addr;

use hyssopstair_wire::carried::CarryLoad;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::HelloMessage;
use hyssopstair_wire::carried::HelloRole;
use hyssopstair_wire::carried::HostHello;
use hyssopstair_wire::time::MonotonicTime;

use crate::event::FlowEvent;
use crate::host::FlowHost;
use crate::host::HOST_TICK_INTERVAL;
use crate::host::records::FlowRecord;
use crate::members::HelloOutcome;
use crate::outbox::FlowOutbox;
use crate::packet::RawPacket;
use crate::routes::RouteTable;

impl FlowHost {
    /// Processes a message of a peer.
    ///
    /// `payload` holds the bytes that follow the message, and `packet` the packet that
    /// they contain, if any.
    pub fn receive_peer_message(
        &mut self,
        from: Ipv4Addr,
        message: &CarryMessage,
        packet: Option<&RawPacket<'_>>,
        payload: &[u8],
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        match message {
            CarryMessage::Forward(header) => {
                if let Some(packet) = packet {
                    self.receive_forwarded_packet(header, packet, now, outbox);
                }
            }
            CarryMessage::Locate { questions } => {
                self.receive_locate(from, questions, now, outbox);
            }
            CarryMessage::Hello(hello) => self.receive_hello(from, hello, now, outbox),
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
            CarryMessage::Flows { .. }
            | CarryMessage::Owned { .. }
            | CarryMessage::NotHeld { .. }
            | CarryMessage::Returned { .. } => {}
        }
    }

    /// Puts routes in force if their version is newer than the current one.
    pub fn set_routes(&mut self, routes: RouteTable, outbox: &mut FlowOutbox) {
        self.routes.install(routes, outbox);
    }

    /// Adds addresses that hellos are sent to because balancers may run there.
    pub fn add_contacts(&mut self, contacts: &[Ipv4Addr]) {
        for contact in contacts {
            if let Err(index) = self.contacts.binary_search(contact) {
                self.contacts.insert(index, *contact);
                self.schedule_hello();
            }
        }
    }

    /// Returns when the next tick is due.
    pub fn next_tick_at(&self) -> MonotonicTime {
        self.next_hello.min(self.last_tick + HOST_TICK_INTERVAL)
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

    /// Makes the next tick send hellos, so that balancers learn of a change at once.
    pub(super) fn schedule_hello(&mut self) {
        self.next_hello = MonotonicTime::default();
    }

    /// Sends a hello to all contacts, and schedules the next round.
    pub(super) fn send_hellos(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        self.next_hello = now + self.members.timeouts().hello_interval;
        self.hello_number += 1;
        for contact in &self.contacts {
            let hello = self.build_hello(!self.members.has_balancer(*contact), now);
            outbox.enqueue_message(*contact, &CarryMessage::Hello(hello), &[]);
        }
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
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let outcome = self.members.record_hello(from, hello, now);
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
                outbox.enqueue_message(from, &answer, &[]);
            }
        }
        self.routes.request_newer(from, hello.routes, now, outbox);
    }
}
