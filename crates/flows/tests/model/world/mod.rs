//! The fleet: processes, network, routers, callers, and faults by seed.

mod callers;
mod faults;
mod servers;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use hyssopstair_flows::balancer::BalancerIdentity;
use hyssopstair_flows::balancer::FlowBalancer;
use hyssopstair_flows::host::CheckResult;
use hyssopstair_flows::host::FlowHost;
use hyssopstair_flows::host::HostIdentity;
use hyssopstair_flows::host::ServerCheck;
use hyssopstair_flows::members::HostRecord;
use hyssopstair_flows::outbox::Destination;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::packet::RawPacket;
use hyssopstair_flows::placing::order_candidates;
use hyssopstair_flows::ranking::hash_flow;
use hyssopstair_flows::ranking::rank_hosts;
use hyssopstair_flows::routes::RouteTable;
use hyssopstair_wire::carried::CarryHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::time::MonotonicTime;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixture;
use crate::model::caller::CallerTally;
use crate::model::caller::ModelCaller;
use crate::model::oracle::RuleOracle;
use crate::model::packet::ModelPacket;
use crate::model::server::ModelServer;

/// Microseconds on the way between two processes, and to a caller.
const INNER_DELAY: u64 = 500;
const CALLER_DELAY: u64 = 3_000;

/// Microseconds between two probes of a router; two misses take a balancer out.
const PROBE_INTERVAL: u64 = 500_000;

/// Microseconds between two heartbeats.
const BEAT_INTERVAL: u64 = 1_200_000;

/// Microseconds that a process takes to start again.
const RESTART: u64 = 400_000;

/// The other service.
const ARCHIVE: &str = "archive";

/// Milliseconds in which new routes are in force, and opening packets that were
/// sent by the ones before have arrived.
const ROUTE_BOUND: u64 = 3_000 + 2_000;

/// Microseconds between two ticks of a process at least.
const TICK_GAP: u64 = 200;

/// Answers later than this are late, in milliseconds.
const TARGET: u64 = 120;

/// What happens to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    KillBalancer(u8),
    StopBalancer(u8),
    KillHost(u8),
    StopHost(u8),
    CrashServer(u8),
    DrainServer(u8),
    /// The next server was born earlier, by its clock.
    SetServerBack(u8),
    /// The host goes with its server, and another service gets its address.
    ReuseAddress(u8),
    CutHost(u8),
    FreezeBalancer(u8),
    FreezeHost(u8),
    MoveRoute,
    KillAllProcesses,
    LosePower,
}

/// How balancers place new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacingPolicy {
    /// As the product does.
    Product,
    /// At the host with the lowest expected cost by the reports alone: flows sent
    /// since are not counted, and the host does not pass the flow on.
    BestHost,
    /// By the hash of the flow alone.
    PlainHash,
    /// At the host that has told the fewest open flows.
    LeastFlows,
}

/// Callers that come for a while.
#[derive(Debug, Clone, Copy)]
pub struct CallerBurst {
    pub callers: u8,
    /// Milliseconds at which they begin and end.
    pub from: u64,
    pub until: u64,
}

/// How a fleet is set up.
#[derive(Debug, Clone)]
pub struct WorldPlan {
    pub balancers: u8,
    pub hosts: u8,
    pub callers: u8,
    pub slots: u16,
    /// Microseconds of work for a request, at least and at most.
    pub work: (u64, u64),
    /// Hosts, the first ones, whose servers take four times as long.
    pub slow_hosts: u8,
    /// Hosts, the last ones, whose servers fail every request within a millisecond.
    pub failing_hosts: u8,
    pub policy: PlacingPolicy,
    pub burst: Option<CallerBurst>,
    /// Milliseconds between two requests of a caller, at most.
    pub pause: u64,
    /// Datagrams of a thousand that are lost.
    pub loss: u32,
    /// Faults with their time in milliseconds.
    pub faults: Vec<(u64, Fault)>,
    pub millis: u64,
    /// Whether the second half of the hosts serve another service, which the route
    /// goes to at times.
    pub has_archive: bool,
    /// Whether routers move nearly all flows when a balancer joins or leaves.
    pub moves_all: bool,
}

#[derive(Debug)]
enum Event {
    Inner {
        to: Ipv4Addr,
        from: Ipv4Addr,
        bytes: Vec<u8>,
    },
    ToBalancer {
        packet: ModelPacket,
        sent: u64,
    },
    ToCaller {
        packet: ModelPacket,
        sent_by: Option<Ipv4Addr>,
    },
    Answer {
        host: u8,
        life: u64,
        flow: FlowKey,
    },
    AtBalancer {
        balancer: Ipv4Addr,
        packet: ModelPacket,
    },
    FromServer {
        address: Ipv4Addr,
        packet: ModelPacket,
    },
    /// New routes reach a process.
    Routes(Ipv4Addr),
    Tick(Ipv4Addr),
    Beat {
        host: u8,
        life: u64,
    },
    Probe,
    Resend {
        caller: usize,
        turn: u64,
        after: u64,
    },
    GiveUp {
        caller: usize,
        turn: u64,
    },
    Begin {
        caller: usize,
        turn: u64,
    },
    Restart(Ipv4Addr),
    StopDone(Ipv4Addr),
    Heal(Ipv4Addr),
    ServerUp(u8),
    Fault(Fault),
}

#[derive(Debug)]
enum Part {
    Balancer(FlowBalancer),
    Host(FlowHost),
}

#[derive(Debug)]
struct Process {
    part: Option<Part>,
    is_cut: bool,
    disturbed: u64,
    /// Until when it stands still, in microseconds.
    frozen_until: u64,
    misses: u8,
    /// When the next tick is due.
    tick_at: u64,
}

/// The fleet.
pub struct World {
    plan: WorldPlan,
    random: SmallRng,
    now: u64,
    order: u64,
    events: BTreeMap<(u64, u64), Event>,
    processes: BTreeMap<Ipv4Addr, Process>,
    servers: Vec<ModelServer>,
    callers: Vec<ModelCaller>,
    outbox: FlowOutbox,
    pub oracle: RuleOracle,
    pub tally: CallerTally,
    /// Requests in time and all that ended, by the second in which they were asked.
    pub seconds: Vec<(u32, u32)>,
    /// The caller whose flows are printed, as address and port.
    pub traced: Option<String>,
    starts: u64,
    /// Service of each host's server.
    host_services: Vec<&'static str>,
    /// Service of the route by each version so far, with the time in milliseconds.
    versions: Vec<(u64, &'static str)>,
}

impl World {
    pub fn new(plan: WorldPlan, seed: u64) -> Self {
        let mut world = Self {
            random: SmallRng::seed_from_u64(seed),
            now: 0,
            order: 0,
            events: BTreeMap::new(),
            processes: BTreeMap::new(),
            servers: (0..plan.hosts).map(|_| ModelServer::default()).collect(),
            callers: (1..=plan.callers + plan.burst.map_or(0, |burst| burst.callers))
                .map(ModelCaller::new)
                .collect(),
            outbox: FlowOutbox::default(),
            oracle: RuleOracle::default(),
            tally: CallerTally::default(),
            seconds: vec![(0, 0); (plan.millis / 1_000) as usize + 1],
            traced: None,
            starts: 0,
            host_services: (1..=plan.hosts)
                .map(|host| {
                    if plan.has_archive && host > plan.hosts / 2 {
                        ARCHIVE
                    } else {
                        fixture::SERVICE
                    }
                })
                .collect(),
            versions: vec![(0, fixture::SERVICE)],
            plan,
        };
        world.set_up();
        world
    }

    /// Plays the whole plan.
    pub fn run(&mut self) {
        let end = self.plan.millis * 1_000;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn set_up(&mut self) {
        let balancers: Vec<Ipv4Addr> = (1..=self.plan.balancers)
            .map(fixture::balancer_address)
            .collect();
        let hosts: Vec<Ipv4Addr> = (1..=self.plan.hosts).map(fixture::host).collect();
        for address in balancers.iter().chain(&hosts) {
            let process = Process {
                part: None,
                is_cut: false,
                disturbed: 0,
                frozen_until: 0,
                misses: 0,
                tick_at: u64::MAX,
            };
            self.processes.insert(*address, process);
            let at = self.random.random_range(0..300_000);
            self.push(at, Event::Restart(*address));
        }
        for host in 1..=self.plan.hosts {
            self.push(100_000, Event::ServerUp(host));
        }
        self.push(PROBE_INTERVAL, Event::Probe);
        for caller in 0..self.callers.len() {
            let first = match self.plan.burst {
                Some(burst) if caller >= usize::from(self.plan.callers) => burst.from * 1_000,
                _ => 1_500_000,
            };
            let at = first + self.random.random_range(0..1_000_000);
            self.push(at, Event::Begin { caller, turn: 0 });
        }
        for (millis, fault) in self.plan.faults.clone() {
            self.push(millis * 1_000, Event::Fault(fault));
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    fn later(&mut self, delay: u64, event: Event) {
        let jitter = self.random.random_range(0..200);
        self.push(self.now + delay + jitter, event);
    }

    fn loses(&mut self) -> bool {
        self.random.random_range(0..1_000) < self.plan.loss
    }

    fn time(&self) -> MonotonicTime {
        MonotonicTime(self.now)
    }

    fn millis(&self) -> u64 {
        self.now / 1_000
    }

    fn handle(&mut self, event: Event) {
        self.print(&event);
        match event {
            Event::Inner { to, from, bytes } => self.receive_inner(to, from, &bytes),
            Event::ToBalancer { packet, sent } => self.route(&packet, sent),
            Event::ToCaller { packet, sent_by } => self.receive_caller_packet(&packet, sent_by),
            Event::Answer { host, life, flow } => self.answer(host, life, &flow),
            Event::AtBalancer { balancer, packet } => self.receive_at_balancer(balancer, &packet),
            Event::FromServer { address, packet } => self.receive_from_server(address, &packet),
            Event::Routes(address) => self.receive_routes(address),
            Event::Tick(address) => self.tick(address),
            Event::Beat { host, life } => self.beat(host, life),
            Event::Probe => self.probe(),
            Event::Resend {
                caller,
                turn,
                after,
            } => self.resend(caller, turn, after),
            Event::GiveUp { caller, turn } => self.give_up(caller, turn),
            Event::Begin { caller, turn } => self.begin(caller, turn),
            Event::Restart(address) => self.restart(address),
            Event::StopDone(address) => self.end_process(address, true),
            Event::Heal(address) => self.process(address).is_cut = false,
            Event::ServerUp(host) => self.start_server(host),
            Event::Fault(fault) => self.strike(fault),
        }
    }

    /// Prints an event of the traced caller.
    fn print(&self, event: &Event) {
        let Some(traced) = &self.traced else {
            return;
        };
        let text = match event {
            Event::Inner { to, from, bytes } => match CarryMessage::decode(bytes) {
                Some((CarryMessage::Hello(_), _)) | None => return,
                Some((message, behind)) => format!(
                    "{from} > {to}: {message:?} {:?}",
                    ModelPacket::decode(behind)
                ),
            },
            Event::Fault(_)
            | Event::Restart(_)
            | Event::ToBalancer { .. }
            | Event::ToCaller { .. } => format!("{event:?}"),
            _ => return,
        };
        let is_fault = matches!(event, Event::Fault(_) | Event::Restart(_));
        if is_fault || text.contains(traced) {
            println!("{} us {text}", self.now);
        }
    }

    fn process(&mut self, address: Ipv4Addr) -> &mut Process {
        self.processes
            .get_mut(&address)
            .expect("all addresses are set up")
    }

    // Processes.

    fn restart(&mut self, address: Ipv4Addr) {
        let now = self.time();
        self.starts += 1;
        // The time of day may have been set back since an earlier start.
        let started = self.starts * 7_919 % 10_007;
        let contacts: Vec<Ipv4Addr> = (1..=self.plan.balancers)
            .map(fixture::balancer_address)
            .collect();
        let max_flow_age = Duration::from_secs(60);
        let zone = "utr-a".to_owned();
        let table = self.route_table();
        let part = if address.octets()[2] == 2 {
            let identity = BalancerIdentity {
                address,
                zone,
                started,
                max_flow_age,
            };
            let mut balancer = FlowBalancer::new(identity, contacts, now);
            balancer.set_routes(table, &mut self.outbox);
            Part::Balancer(balancer)
        } else {
            let service = self.service_of(address.octets()[3]).to_owned();
            let identity = HostIdentity {
                address,
                zone,
                service,
                started,
                max_flow_age,
            };
            let mut gate = FlowHost::new(identity, contacts, now);
            gate.set_routes(table, &mut self.outbox);
            Part::Host(gate)
        };
        self.outbox.clear();
        let process = self.process(address);
        process.part = Some(part);
        process.tick_at = now.0;
        self.push(now.0, Event::Tick(address));
        if address.octets()[2] == 1 {
            let host = address.octets()[3];
            let life = self.servers[usize::from(host) - 1].life;
            self.push(self.now + 50_000, Event::Beat { host, life });
        }
    }

    fn end_process(&mut self, address: Ipv4Addr, is_planned: bool) {
        let now = self.time();
        let millis = self.millis();
        let process = self.process(address);
        if process.part.is_none() {
            return;
        }
        if is_planned {
            self.with_part(address, |part, outbox| match part {
                Part::Balancer(balancer) => balancer.stop(now, outbox),
                Part::Host(gate) => gate.stop(now, outbox),
            });
        }
        let process = self.process(address);
        process.part = None;
        process.frozen_until = 0;
        if !is_planned {
            process.disturbed = millis;
        }
        self.later(RESTART, Event::Restart(address));
    }

    fn tick(&mut self, address: Ipv4Addr) {
        let now = self.time();
        let process = self.process(address);
        if process.tick_at != now.0 {
            // An earlier one took its place.
            return;
        }
        if process.frozen_until > now.0 {
            let until = process.frozen_until;
            process.tick_at = until;
            self.push(until, Event::Tick(address));
            return;
        }
        process.tick_at = u64::MAX;
        let mut check = None;
        self.with_part(address, |part, outbox| match part {
            Part::Balancer(balancer) => balancer.tick(now, outbox),
            Part::Host(gate) => {
                gate.tick(now, outbox);
                check = gate.take_due_check(now);
            }
        });
        if let Some(check) = check {
            self.check_server(address, check);
        }
    }

    fn check_server(&mut self, address: Ipv4Addr, check: ServerCheck) {
        let server = &self.servers[usize::from(address.octets()[3]) - 1];
        let result = match check {
            _ if !server.is_alive => CheckResult::Refused,
            ServerCheck::Connect => CheckResult::Connected,
            ServerCheck::Health if server.is_draining => CheckResult::Unhealthy,
            ServerCheck::Health => CheckResult::Healthy,
        };
        let now = self.time();
        self.with_part(address, |part, outbox| {
            if let Part::Host(gate) = part {
                gate.receive_check_result(result, now, outbox);
            }
        });
    }

    fn with_part(&mut self, address: Ipv4Addr, act: impl FnOnce(&mut Part, &mut FlowOutbox)) {
        let mut outbox = std::mem::take(&mut self.outbox);
        let now = self.now;
        let process = self.process(address);
        if let Some(part) = &mut process.part {
            act(part, &mut outbox);
            let next = match part {
                Part::Balancer(balancer) => balancer.next_tick(),
                Part::Host(gate) => gate.next_tick(),
            };
            let due = next.0.max(now + TICK_GAP);
            if due < process.tick_at {
                process.tick_at = due;
                self.push(due, Event::Tick(address));
            }
        }
        self.send(address, &outbox);
        outbox.clear();
        self.outbox = outbox;
    }

    fn send(&mut self, from: Ipv4Addr, outbox: &FlowOutbox) {
        for (destination, bytes) in outbox.datagrams() {
            match destination {
                Destination::Server => {
                    if let Some(packet) = ModelPacket::decode(bytes) {
                        self.receive_at_server(from, &packet);
                    }
                }
                Destination::Caller(_) => {
                    if let Some(packet) = ModelPacket::decode(bytes) {
                        self.later(
                            CALLER_DELAY,
                            Event::ToCaller {
                                packet,
                                sent_by: None,
                            },
                        );
                    }
                }
                Destination::Peer(to) => {
                    if !self.loses() {
                        let bytes = bytes.to_vec();
                        self.later(INNER_DELAY, Event::Inner { to, from, bytes });
                    }
                }
            }
        }
        for reset in outbox.resets() {
            let packet = ModelPacket {
                is_reset: true,
                sequence: reset.sequence,
                ..ModelPacket::plain(reset.flow.target, reset.flow.caller)
            };
            self.later(
                CALLER_DELAY,
                Event::ToCaller {
                    packet,
                    sent_by: Some(from),
                },
            );
        }
    }

    fn receive_inner(&mut self, to: Ipv4Addr, from: Ipv4Addr, bytes: &[u8]) {
        let known = self.processes.contains_key(&to);
        if !known || self.processes[&to].is_cut || self.processes[&from].is_cut {
            return;
        }
        let until = self.processes[&to].frozen_until;
        if until > self.now {
            let bytes = bytes.to_vec();
            self.push(until, Event::Inner { to, from, bytes });
            return;
        }
        let Some((message, behind)) = CarryMessage::decode(bytes) else {
            return;
        };
        let now = self.time();
        let packet = ModelPacket::decode(behind).map(|packet| RawPacket {
            header: packet.header(),
            bytes: behind,
        });
        let packet = packet.filter(|_| carries_packet(&message));
        self.with_part(to, |part, outbox| match part {
            Part::Balancer(balancer) => {
                balancer.receive_peer(from, &message, packet.as_ref(), behind, now, outbox);
            }
            Part::Host(gate) => {
                gate.receive_peer(from, &message, packet.as_ref(), behind, now, outbox)
            }
        });
    }

    // Routes.

    /// Returns the service of a host's server.
    fn service_of(&self, host: u8) -> &'static str {
        self.host_services[usize::from(host) - 1]
    }

    fn route_table(&self) -> RouteTable {
        let version = self.versions.len() as u64;
        let service = self.versions.last().map_or("", |(_, service)| service);
        fixture::routes(version, vec![fixture::route(fixture::target(), service)])
    }

    /// Returns whether the route may send a new flow to a service: by the newest
    /// version, or by one that was the newest a short while ago.
    fn is_allowed(&self, service: &str) -> bool {
        let millis = self.millis();
        let first = self
            .versions
            .iter()
            .rposition(|(written, _)| millis >= written + ROUTE_BOUND)
            .unwrap_or(0);
        self.versions[first..]
            .iter()
            .any(|(_, allowed)| *allowed == service)
    }

    fn receive_routes(&mut self, address: Ipv4Addr) {
        let until = self.processes[&address].frozen_until;
        if until > self.now {
            self.push(until, Event::Routes(address));
            return;
        }
        let table = self.route_table();
        self.with_part(address, |part, outbox| match part {
            Part::Balancer(balancer) => balancer.set_routes(table, outbox),
            Part::Host(gate) => gate.set_routes(table, outbox),
        });
    }

    /// Sends a new flow to the one host that a plain policy names.
    fn place_plainly(&mut self, balancer: Ipv4Addr, packet: &ModelPacket) {
        let Some(Part::Balancer(part)) = &self.processes[&balancer].part else {
            return;
        };
        let (now, timeouts) = (self.time(), part.members().timeouts());
        let flow = packet.caller_flow();
        let takes = |record: &&HostRecord| record.accepts_new_flows(&timeouts, now);
        let usable = part.members().hosts().iter().filter(takes);
        let mut hosts: Vec<Ipv4Addr> = usable.clone().map(|record| record.peer.address).collect();
        rank_hosts(hash_flow(&flow), &mut hosts);
        let host = match self.plan.policy {
            PlacingPolicy::LeastFlows => usable
                .min_by_key(|record| record.load.flows)
                .map(|record| record.peer.address),
            PlacingPolicy::BestHost => {
                let service = fixture::SERVICE;
                let hash = hash_flow(&flow);
                let all = part.members().hosts();
                let order = order_candidates(all, service, "utr-a", hash, &[], &timeouts, now);
                order.first().copied()
            }
            PlacingPolicy::Product | PlacingPolicy::PlainHash => hosts.first().copied(),
        };
        let Some(to) = host else {
            return;
        };
        let header = CarryHeader {
            balancer,
            ..fixture::header(ForwardPurpose::OpenHere)
        };
        let mut bytes = Vec::new();
        CarryMessage::Forward(header).encode(&mut bytes);
        bytes.extend_from_slice(&packet.encode());
        let from = balancer;
        self.later(INNER_DELAY, Event::Inner { to, from, bytes });
    }

    // Routers.

    fn probe(&mut self) {
        let now = self.time();
        for process in self.processes.values_mut() {
            if let Some(Part::Host(_)) = process.part {
                continue;
            }
            let is_ready = match &process.part {
                _ if process.frozen_until > now.0 => false,
                Some(Part::Balancer(balancer)) => balancer.is_ready(now),
                _ => false,
            };
            process.misses = if is_ready {
                0
            } else {
                process.misses.saturating_add(1)
            };
        }
        self.push(self.now + PROBE_INTERVAL, Event::Probe);
        let millis = self.millis();
        let servers = &self.servers;
        self.oracle.check_all(millis, |flow| {
            servers
                .iter()
                .any(|server| server.is_alive && server.flows.contains_key(flow))
        });
    }

    fn route(&mut self, packet: &ModelPacket, _sent: u64) {
        let all: Vec<Ipv4Addr> = (1..=self.plan.balancers)
            .map(fixture::balancer_address)
            .collect();
        let mut ready: Vec<Ipv4Addr> = all
            .iter()
            .copied()
            .filter(|address| self.processes[address].misses < 2)
            .collect();
        if ready.len() * 2 < all.len() {
            ready = all;
        }
        let hash = hash_flow(&packet.caller_flow());
        let balancer = if self.plan.moves_all {
            ready[hash as usize % ready.len()]
        } else {
            *ready
                .iter()
                .max_by_key(|address| mix(hash ^ u64::from(u32::from(**address))))
                .expect("there is a balancer")
        };
        self.receive_at_balancer(balancer, packet);
    }

    fn receive_at_balancer(&mut self, balancer: Ipv4Addr, packet: &ModelPacket) {
        let until = self.processes[&balancer].frozen_until;
        if until > self.now {
            let packet = *packet;
            self.push(until, Event::AtBalancer { balancer, packet });
            return;
        }
        if packet.is_open && self.plan.policy != PlacingPolicy::Product {
            self.place_plainly(balancer, packet);
            return;
        }
        let now = self.time();
        let bytes = packet.encode();
        let raw = RawPacket {
            header: packet.header(),
            bytes: &bytes,
        };
        self.with_part(balancer, |part, outbox| {
            if let Part::Balancer(balancer) = part {
                balancer.receive_caller_packet(&raw, now, outbox);
            }
        });
    }
}

fn carries_packet(message: &CarryMessage) -> bool {
    matches!(
        message,
        CarryMessage::Forward(_) | CarryMessage::Returned { .. }
    )
}

fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    number ^ (number >> 29)
}
