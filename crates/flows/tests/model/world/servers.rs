//! Servers: their lives, heartbeats and packets.

use std::net::Ipv4Addr;

use hyssopstair_flows::heartbeat::HeartbeatVerdict;
use hyssopstair_flows::heartbeat::ServerHeartbeat;
use hyssopstair_flows::packet::RawPacket;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::ServerState;
use rand::RngExt;

use crate::fixture;
use crate::model::oracle::CONTACT;
use crate::model::packet::ModelPacket;
use crate::model::server::ServerStep;
use crate::model::world::BEAT_INTERVAL;
use crate::model::world::Event;
use crate::model::world::Part;
use crate::model::world::World;

/// Microseconds in which a failing server answers.
const FAILURE_TIME: u64 = 500;

/// How much longer a slow server takes.
const SLOW_FACTOR: u64 = 4;

impl World {
    pub(super) fn start_server(&mut self, host: u8) {
        let server = &mut self.servers[usize::from(host) - 1];
        server.is_alive = true;
        let life = server.life;
        self.beat(host, life);
    }

    pub(super) fn beat(&mut self, host: u8, life: u64) {
        let service = self.service_of(host).to_owned();
        let server = &mut self.servers[usize::from(host) - 1];
        if !server.is_alive || server.life != life {
            return;
        }
        let beat = ServerHeartbeat {
            id: format!("i-{host}"),
            started_unix_millis: server.born(),
            sequence: server.beats,
            service,
            is_draining: server.is_draining,
            slots: self.plan.slots,
            cold_remaining_millis: 0,
        };
        server.beats += 1;
        let address = fixture::host(host);
        let now = self.time();
        self.push(now.0 + BEAT_INTERVAL, Event::Beat { host, life });
        if self.processes[&address].frozen_until > now.0 {
            // The call ends without an answer.
            return;
        }
        let mut is_confirmed = false;
        self.with_part(address, |part, outbox| {
            if let Part::Host(gate) = part {
                let verdict = gate.receive_heartbeat(&beat, now, outbox);
                let is_draining = gate.server_state() == ServerState::Draining;
                is_confirmed = verdict == HeartbeatVerdict::Accepted && is_draining;
            }
        });
        let millis = self.millis();
        let server = &mut self.servers[usize::from(host) - 1];
        if is_confirmed {
            server.drain_confirmed.get_or_insert(millis);
        }
    }

    pub(super) fn receive_at_server(&mut self, address: Ipv4Addr, packet: &ModelPacket) {
        let host = address.octets()[3];
        let flow = packet.caller_flow();
        if self.traced.as_deref() == Some(flow.caller.to_string().as_str()) {
            let holds = self.servers[usize::from(host) - 1]
                .flows
                .contains_key(&flow);
            println!("{} us server {host} gets it, holds it: {holds}", self.now);
        }
        self.judge(host, &flow, packet);
        let server = &mut self.servers[usize::from(host) - 1];
        match server.take(host, packet) {
            ServerStep::Reply(reply) => self.receive_from_server(address, &reply),
            ServerStep::Run => {
                let life = server.life;
                let waiting = u64::from(server.running.saturating_sub(self.plan.slots));
                let (least, most) = self.plan.work;
                let tempo = if host <= self.plan.slow_hosts {
                    SLOW_FACTOR
                } else {
                    1
                };
                let work = self.random.random_range(least..=most) * tempo;
                if self.is_failing(host) {
                    self.push(self.now + FAILURE_TIME, Event::Answer { host, life, flow });
                    return;
                }
                let queue = waiting * tempo * (least + most) / 2 / u64::from(self.plan.slots);
                self.push(self.now + queue + work, Event::Answer { host, life, flow });
            }
            ServerStep::Ignore => {}
        }
    }

    /// Tells the oracle where a packet of an open flow went.
    pub(super) fn judge(&mut self, host: u8, flow: &FlowKey, packet: &ModelPacket) {
        let millis = self.millis();
        let server = &self.servers[usize::from(host) - 1];
        if packet.is_open {
            if let Some(confirmed) = server.drain_confirmed {
                self.oracle.note_late_opening(*flow, confirmed, millis);
            }
            self.oracle.note_own(*flow, millis);
            let service = self.service_of(host);
            if !self.is_allowed(service) && self.is_calm(fixture::host(host)) {
                self.oracle.note_wrong_service(*flow, service, millis);
            }
            return;
        }
        if server.flows.contains_key(flow) {
            self.oracle.note_own(*flow, millis);
            return;
        }
        let Some(owner) = self.owner(flow, packet.acknowledged) else {
            return;
        };
        let counts = self.is_calm(fixture::host(host)) && self.is_calm(fixture::host(owner));
        self.oracle.note_stray(*flow, counts, millis);
    }

    /// Returns the living server whose stream the caller goes on from.
    pub(super) fn owner(&self, flow: &FlowKey, acknowledged: u32) -> Option<u8> {
        (1..=self.plan.hosts).find(|host| {
            let server = &self.servers[usize::from(*host) - 1];
            let start = crate::model::server::stream_start(*host, server.life);
            server.is_alive && server.flows.contains_key(flow) && acknowledged == start + 1
        })
    }

    pub(super) fn is_calm(&self, address: Ipv4Addr) -> bool {
        let process = &self.processes[&address];
        !process.is_cut && self.millis() >= process.disturbed + CONTACT
    }

    pub(super) fn receive_from_server(&mut self, address: Ipv4Addr, packet: &ModelPacket) {
        let now = self.time();
        let until = self.processes[&address].frozen_until;
        if until > now.0 {
            let packet = *packet;
            self.push(until, Event::FromServer { address, packet });
            return;
        }
        let mut plain = *packet;
        plain.is_bounced = false;
        let bytes = plain.encode();
        let raw = RawPacket {
            header: packet.header(),
            bytes: &bytes,
        };
        self.with_part(address, |part, outbox| {
            if let Part::Host(gate) = part {
                gate.receive_server_packet(&raw, now, outbox);
            }
        });
    }

    /// Returns whether a host's server fails its requests.
    pub(super) fn is_failing(&self, host: u8) -> bool {
        host > self.plan.hosts - self.plan.failing_hosts
    }

    pub(super) fn answer(&mut self, host: u8, life: u64, flow: &FlowKey) {
        let server = &mut self.servers[usize::from(host) - 1];
        if server.life != life || !server.is_alive {
            return;
        }
        server.running = server.running.saturating_sub(1);
        if let Some(packet) = server.answer(host, flow) {
            self.receive_from_server(fixture::host(host), &packet);
        }
    }
}
