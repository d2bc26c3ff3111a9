//! Servers of the simulation: starts, heartbeats, packets and requests.

use std::net::Ipv4Addr;

use hyssopstair_flows::heartbeat::HeartbeatVerdict;
use hyssopstair_flows::heartbeat::ServerHeartbeat;
use hyssopstair_flows::packet::RawPacket;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::ServerState;
use rand::RngExt;

use crate::fixture;
use crate::model::oracle::RECOVERY_MILLIS;
use crate::model::packet::ModelPacket;
use crate::model::server::ServerReaction;
use crate::model::world::Event;
use crate::model::world::HEARTBEAT_INTERVAL_MICROS;
use crate::model::world::HEARTBEAT_RETRY_MICROS;
use crate::model::world::ProcessRole;
use crate::model::world::START_UNIX_MILLIS;
use crate::model::world::World;

/// Time after which a failing server answers, in microseconds.
const FAILURE_TIME_MICROS: u64 = 500;

/// Time after its start for which a server is cold, in milliseconds.
const COLD_MILLIS: u64 = 2_000;

/// Number of heartbeats of a server from one heartbeat of another writer to the next.
const OTHER_WRITER_INTERVAL: u64 = 3;

/// Time after which a server repeats its answer to an opening packet, in microseconds.
const FIRST_REPEAT_MICROS: u64 = 200_000;

/// Number of times that this time doubles.
const MAX_REPEAT_DOUBLINGS: u32 = 3;

/// Number of repetitions after which a server gives up.
const MAX_ANSWER_REPETITIONS: u32 = 8;

/// Factor by which the requests of a slow server take longer.
const SLOW_FACTOR: u64 = 4;

impl World {
    /// Starts the server beside a host.
    pub(super) fn start_server(&mut self, host: u8) {
        let started_unix_millis = self.unix_millis();
        let server = &mut self.servers[usize::from(host) - 1];
        if !server.is_alive {
            server.started_unix_millis = started_unix_millis;
        }
        server.is_alive = true;
        let incarnation = server.incarnation;
        self.send_heartbeat(host, incarnation);
    }

    /// Sends a heartbeat of an incarnation and schedules the next one.
    pub(super) fn send_heartbeat(&mut self, host: u8, incarnation: u64) {
        let service = self.service_of(host).to_owned();
        let server = &mut self.servers[usize::from(host) - 1];
        if !server.is_alive || server.incarnation != incarnation {
            return;
        }
        let heartbeat = ServerHeartbeat {
            id: format!("i-{host}"),
            address: fixture::server_address(fixture::host_address(host)),
            started_unix_millis: server.start_time(),
            sequence: server.next_sequence,
            service,
            is_draining: server.is_draining,
            slots: self.plan.slots,
            cold_remaining_millis: 0,
        };
        server.next_sequence += 1;
        let address = fixture::host_address(host);
        let now = self.time();
        let is_host_running = self.processes[&address].role.is_some();
        let interval = if is_host_running {
            HEARTBEAT_INTERVAL_MICROS
        } else {
            HEARTBEAT_RETRY_MICROS
        };
        self.schedule(now.0 + interval, Event::SendHeartbeat { host, incarnation });
        if self.processes[&address].frozen_until > now.0 {
            // The heartbeat call times out.
            return;
        }
        let mut is_confirmed = false;
        self.update_process(address, |role, outbox| {
            if let ProcessRole::Host(host) = role {
                let verdict = host.receive_heartbeat(&heartbeat, now, outbox);
                let is_draining = host.server_state() == ServerState::Draining;
                is_confirmed = verdict == HeartbeatVerdict::Accepted && is_draining;
            }
        });
        if heartbeat.sequence % OTHER_WRITER_INTERVAL == 1 {
            self.send_other_heartbeat(host, &heartbeat);
        }
        let millis = self.millis();
        let server = &mut self.servers[usize::from(host) - 1];
        if is_confirmed {
            server.drain_confirmed_at.get_or_insert(millis);
        }
    }

    /// Sends a host two heartbeats of another writer, which claim that another server has just
    /// replaced the one that sent `heartbeat`: one names a service that is not configured, the
    /// other the address of another server.
    fn send_other_heartbeat(&mut self, host: u8, heartbeat: &ServerHeartbeat) {
        let of_other_service = ServerHeartbeat {
            id: "i-other".to_owned(),
            started_unix_millis: self.unix_millis(),
            service: "billing".to_owned(),
            ..heartbeat.clone()
        };
        let of_other_address = ServerHeartbeat {
            address: fixture::server_address(fixture::balancer_address(1)),
            service: heartbeat.service.clone(),
            ..of_other_service.clone()
        };
        let now = self.time();
        for other in [of_other_service, of_other_address] {
            let mut verdict = None;
            self.update_process(fixture::host_address(host), |role, outbox| {
                if let ProcessRole::Host(host) = role {
                    verdict = Some(host.receive_heartbeat(&other, now, outbox));
                }
            });
            assert_ne!(verdict, Some(HeartbeatVerdict::Accepted));
        }
    }

    /// Delivers a packet to the server beside the host with this address.
    pub(super) fn receive_at_server(&mut self, address: Ipv4Addr, packet: &ModelPacket) {
        let host = address.octets()[3];
        let flow = packet.caller_flow();
        if self.traced_caller.as_deref() == Some(flow.caller.to_string().as_str()) {
            let is_holder = self.servers[usize::from(host) - 1]
                .flows
                .contains_key(&flow);
            println!(
                "{} us server {host} receives a packet, holds the flow: {is_holder}",
                self.now
            );
        }
        self.check_delivery(host, &flow, packet);
        let server = &mut self.servers[usize::from(host) - 1];
        match server.receive_packet(host, packet) {
            ServerReaction::Reply(reply) => {
                let incarnation = server.incarnation;
                if reply.is_open && self.plan.lost_answers_per_mille > 0 {
                    self.schedule_answer(host, incarnation, flow, 1);
                }
                self.receive_from_server(address, &reply);
            }
            ServerReaction::Run => {
                let incarnation = server.incarnation;
                let queued = u64::from(server.running_requests.saturating_sub(self.plan.slots));
                let age_millis = START_UNIX_MILLIS + self.now / 1_000 - server.started_unix_millis;
                let percent = if age_millis < COLD_MILLIS {
                    self.plan.cold_percent
                } else {
                    100
                };
                let (min_work, max_work) = self.plan.work_micros;
                let (min_work, max_work) = (min_work * percent / 100, max_work * percent / 100);
                let slowdown = if host <= self.plan.slow_hosts {
                    SLOW_FACTOR
                } else {
                    1
                };
                let work = self.random.random_range(min_work..=max_work) * slowdown;
                if self.has_failing_server(host) {
                    self.schedule(
                        self.now + FAILURE_TIME_MICROS,
                        Event::RequestDone {
                            host,
                            incarnation,
                            flow,
                        },
                    );
                    return;
                }
                let queue_time =
                    queued * slowdown * (min_work + max_work) / 2 / u64::from(self.plan.slots);
                self.schedule(
                    self.now + queue_time + work,
                    Event::RequestDone {
                        host,
                        incarnation,
                        flow,
                    },
                );
            }
            ServerReaction::Ignore => {}
        }
    }

    /// Schedules a repetition of the answer to an opening packet. The first comes after 200 ms,
    /// and the interval doubles each time, up to 1.6 s.
    fn schedule_answer(&mut self, host: u8, incarnation: u64, flow: FlowKey, repetition: u32) {
        let interval = FIRST_REPEAT_MICROS << (repetition - 1).min(MAX_REPEAT_DOUBLINGS);
        self.schedule(
            self.now + interval,
            Event::RepeatAnswer {
                host,
                incarnation,
                flow,
                repetition,
            },
        );
    }

    /// Repeats the answer to an opening packet, unless the flow has opened at the server.
    pub(super) fn repeat_answer(
        &mut self,
        host: u8,
        incarnation: u64,
        flow: FlowKey,
        repetition: u32,
    ) {
        let server = &self.servers[usize::from(host) - 1];
        let is_running = server.is_alive && server.incarnation == incarnation;
        if !is_running || !server.is_unopened(&flow) || repetition > MAX_ANSWER_REPETITIONS {
            return;
        }
        let answer = server.build_opening_answer(host, &flow);
        self.schedule_answer(host, incarnation, flow, repetition + 1);
        self.receive_from_server(fixture::host_address(host), &answer);
    }

    /// Reports to the oracle which server got a packet.
    pub(super) fn check_delivery(&mut self, host: u8, flow: &FlowKey, packet: &ModelPacket) {
        let millis = self.millis();
        let server = &self.servers[usize::from(host) - 1];
        if packet.is_open {
            if let Some(confirmed_at) = server.drain_confirmed_at {
                self.oracle.record_late_opening(*flow, confirmed_at, millis);
            }
            self.oracle.record_owner_packet(*flow, millis);
            let service = self.service_of(host);
            if !self.was_service_ever_allowed(service) {
                self.oracle.record_wrong_service(*flow, service, millis);
            } else if !self.is_service_allowed(service)
                && self.is_undisturbed(fixture::host_address(host))
            {
                self.oracle.record_outdated_service(*flow, service, millis);
            }
            return;
        }
        if server.flows.contains_key(flow) {
            self.oracle.record_owner_packet(*flow, millis);
            return;
        }
        let Some(owner) = self.find_owner(flow, packet.acknowledged) else {
            return;
        };
        let is_counted = self.is_undisturbed(fixture::host_address(host))
            && self.is_undisturbed(fixture::host_address(owner));
        self.oracle
            .record_misrouted_packet(*flow, is_counted, millis);
    }

    /// Returns the host of the running server that holds the flow and whose stream the
    /// caller acknowledges.
    pub(super) fn find_owner(&self, flow: &FlowKey, acknowledged: u32) -> Option<u8> {
        (1..=self.plan.hosts).find(|host| {
            let server = &self.servers[usize::from(*host) - 1];
            let start = crate::model::server::stream_start(*host, server.incarnation);
            server.is_alive && server.flows.contains_key(flow) && acknowledged == start + 1
        })
    }

    /// Returns whether a process has had no fault recently.
    pub(super) fn is_undisturbed(&self, address: Ipv4Addr) -> bool {
        let process = &self.processes[&address];
        !process.is_partitioned && self.millis() >= process.last_fault_ended_at + RECOVERY_MILLIS
    }

    /// Delivers a packet of a server to its host.
    pub(super) fn receive_from_server(&mut self, address: Ipv4Addr, packet: &ModelPacket) {
        let now = self.time();
        let until = self.processes[&address].frozen_until;
        if until > now.0 {
            let packet = *packet;
            self.schedule(until, Event::ReceiveFromServer { address, packet });
            return;
        }
        let mut restored_packet = *packet;
        restored_packet.is_bounced = false;
        let bytes = restored_packet.encode();
        let raw = RawPacket {
            header: packet.header(),
            bytes: &bytes,
        };
        self.update_process(address, |role, outbox| {
            if let ProcessRole::Host(host) = role {
                host.receive_server_packet(&raw, now, outbox);
            }
        });
    }

    /// Returns whether the server of a host fails its requests.
    pub(super) fn has_failing_server(&self, host: u8) -> bool {
        host > self.plan.hosts - self.plan.failing_hosts
    }

    /// Sends the answer to a request whose work is done.
    pub(super) fn finish_request(&mut self, host: u8, incarnation: u64, flow: &FlowKey) {
        let server = &mut self.servers[usize::from(host) - 1];
        if server.incarnation != incarnation || !server.is_alive {
            return;
        }
        server.running_requests = server.running_requests.saturating_sub(1);
        if let Some(packet) = server.build_answer(host, flow) {
            self.receive_from_server(fixture::host_address(host), &packet);
        }
    }
}
