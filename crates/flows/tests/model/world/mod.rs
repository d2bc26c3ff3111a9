//! The simulated fleet: an event loop over processes, network, routers and callers.
//!
//! Times of events are in microseconds since the start of the simulation. All random
//! choices come from one generator, so that a plan and a seed determine a run.

mod callers;
mod faults;
mod links;
mod servers;
mod store;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use hyssopstair_flows::balancer::BalancerIdentity;
use hyssopstair_flows::balancer::FlowBalancer;
use hyssopstair_flows::balancer::SaveRequest;
use hyssopstair_flows::detour::PeerWay;
use hyssopstair_flows::detour::ReceivedMessage;
use hyssopstair_flows::detour::read_datagram;
use hyssopstair_flows::host::CheckResult;
use hyssopstair_flows::host::FlowHost;
use hyssopstair_flows::host::HostIdentity;
use hyssopstair_flows::members::HostRecord;
use hyssopstair_flows::outbox::Destination;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::packet::RawPacket;
use hyssopstair_flows::placing::Placement;
use hyssopstair_flows::placing::PlacementRequest;
use hyssopstair_flows::placing::place_flow;
use hyssopstair_flows::ranking::hash_flow;
use hyssopstair_flows::ranking::rank_hosts;
use hyssopstair_flows::routes::RouteTable;
use hyssopstair_flows::saved_flows::SavedFlowList;
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
use crate::model::world::links::is_probe;

/// Names of the availability zones.
const ZONES: [&str; 3] = ["utr-a", "ame-b", "zei-c"];

/// Delay of a datagram between two processes, in microseconds.
const PEER_DELAY_MICROS: u64 = 500;

/// Delay of a packet between a caller and the fleet, in microseconds.
const CALLER_DELAY_MICROS: u64 = 3_000;

/// Time between two probes of the balancers by the routers, in microseconds. Routers stop
/// using a balancer after two failed probes.
const PROBE_INTERVAL_MICROS: u64 = 500_000;

/// Time between two heartbeats of a server, in microseconds.
const HEARTBEAT_INTERVAL_MICROS: u64 = 1_200_000;

/// Time that a process takes to restart, in microseconds.
const RESTART_DELAY_MICROS: u64 = 400_000;

/// Time of day at the start of the simulation, in milliseconds since the Unix epoch.
const START_UNIX_MILLIS: u64 = 1_000_000;

/// Time of the first start of all servers, in microseconds. The processes start within the first
/// 300 ms, and each checks before whether its server runs.
const SERVER_START_MICROS: u64 = 400_000;

/// Every seventh start of a process happens after its clock was set back, if the plan sets
/// clocks back.
const SET_BACK_START_INTERVAL: u64 = 7;

/// The second service, which the route is moved to and from.
const ARCHIVE_SERVICE: &str = "archive";

/// Number of balancers that the settings of a host name.
const SEED_COUNT: u8 = 3;

/// Maximum time from a change of the routes until the new ones are in force everywhere
/// and all opening packets that were forwarded by the old ones have arrived, in
/// milliseconds.
const MAX_ROUTE_DELAY_MILLIS: u64 = 3_000 + 2_000;

/// Time after which a server repeats a heartbeat that no process received, in
/// microseconds.
const HEARTBEAT_RETRY_MICROS: u64 = 30_000;

/// Minimum time between two ticks of a process, in microseconds.
const MIN_TICK_INTERVAL_MICROS: u64 = 200;

/// Time after which an answer is late, in milliseconds.
const ANSWER_TARGET_MILLIS: u64 = 120;

/// A fault, a planned stop or a change of configuration. Processes and servers are
/// identified by their number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The balancer process ends without notice, and restarts.
    KillBalancer(u8),
    /// The balancer process stops gracefully, and restarts.
    StopBalancer(u8),
    /// The host process ends without notice, and restarts.
    KillHost(u8),
    /// The host process stops gracefully, and restarts.
    StopHost(u8),
    /// The server loses its flows and restarts.
    CrashServer(u8),
    /// The server reports that it is draining.
    DrainServer(u8),
    /// The server crashes, and its next incarnation has an earlier start time because its
    /// clock was set back.
    SetServerBack(u8),
    /// The server crashes, and its next incarnation starts while the clock of the instance is
    /// ahead by this many milliseconds.
    SetServerAhead(u8, u64),
    /// The instance with host and server ends, and one of the other service gets its
    /// address.
    ReuseAddress(u8),
    /// The host is partitioned from all other processes.
    CutHost(u8),
    /// The balancer process is suspended for a while.
    FreezeBalancer(u8),
    /// The host process is suspended for a while.
    FreezeHost(u8),
    /// The route is moved to the other service.
    MoveRoute,
    /// All balancer and host processes end without notice, and restart.
    KillAllProcesses,
    /// All processes and servers end without notice, and restart.
    LosePower,
    /// As [`Fault::LosePower`], but each server starts shortly before its host.
    LosePowerTogether,
    /// The store comes back from a copy that is this many milliseconds old, and balancers
    /// learn of its new era.
    RestoreStore(u64),
    /// Processes of two zones do not reach each other for 6 s.
    CutZones(u8, u8),
    /// Nothing passes from the first zone to the second for 6 s.
    CutOneWay(u8, u8),
}

/// A policy by which balancers choose hosts for new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacingPolicy {
    /// The policy of the crate.
    Product,
    /// The host with the lowest expected cost by its load report. Flows sent since the
    /// report are not counted, and the host does not pass the flow on.
    BestHost,
    /// The first host by the hash of the flow.
    PlainHash,
    /// The host that reports the fewest open flows.
    LeastFlows,
}

/// Additional callers for a limited time.
#[derive(Debug, Clone, Copy)]
pub struct CallerBurst {
    /// Number of additional callers.
    pub callers: u8,
    /// Time at which they start, in milliseconds.
    pub from_millis: u64,
    /// Time from which they start no more flows, in milliseconds.
    pub until_millis: u64,
}

/// Size, load and faults of a simulation.
#[derive(Debug, Clone)]
pub struct WorldPlan {
    /// Number of balancers.
    pub balancers: u8,
    /// Number of hosts, each with a server.
    pub hosts: u8,
    /// Number of callers that are active all the time.
    pub callers: u8,
    /// Requests that a server can process at the same time.
    pub slots: u16,
    /// Minimum and maximum work of a request, in microseconds.
    pub work_micros: (u64, u64),
    /// Time that a request takes at a server in its first two seconds, in percent of the usual.
    pub cold_percent: u64,
    /// Number of hosts, from the first, whose servers take four times as long.
    pub slow_hosts: u8,
    /// Number of hosts, up to the last, whose servers fail every request within a
    /// millisecond.
    pub failing_hosts: u8,
    /// Policy by which new flows are placed.
    pub policy: PlacingPolicy,
    /// Additional callers.
    pub burst: Option<CallerBurst>,
    /// Maximum time between two requests of a caller, in milliseconds.
    pub max_pause_millis: u64,
    /// Bytes that a balancer can send to other processes per second; unlimited if `None`.
    pub link_bytes_per_second: Option<u64>,
    /// Whether hosts can save their open flows on the platform.
    pub saves_flows: bool,
    /// Whether hosts start without routes and know few balancers, so that they learn both from
    /// peers.
    pub learns_from_peers: bool,
    /// Whether the clocks of some instances are set back between the starts of processes.
    pub sets_clocks_back: bool,
    /// Number of availability zones. Processes and callers are spread over them by their
    /// numbers, and routers use the balancers of the caller's zone.
    pub zones: u8,
    /// Number of datagrams lost per thousand.
    pub loss_per_mille: u32,
    /// Number of datagrams between processes that arrive twice, the second time up to 300 ms
    /// later, per thousand.
    pub doubled_per_mille: u32,
    /// Number of answers to opening packets that are lost on the way to callers, per thousand.
    /// If it is not zero, servers repeat such an answer until the caller acknowledges it.
    pub lost_answers_per_mille: u32,
    /// Faults with their times in milliseconds.
    pub faults: Vec<(u64, Fault)>,
    /// Duration of the simulation in milliseconds.
    pub duration_millis: u64,
    /// Whether the second half of the hosts run another service, to which the route can
    /// be moved.
    pub has_archive_service: bool,
    /// Whether routers reassign nearly all flows when a balancer joins or leaves, rather
    /// than only those of that balancer.
    pub moves_most_flows: bool,
}

impl Default for WorldPlan {
    /// Returns the plan of a small fleet without faults.
    fn default() -> Self {
        Self {
            balancers: 3,
            hosts: 8,
            callers: 60,
            slots: 2,
            work_micros: (10_000, 30_000),
            cold_percent: 100,
            slow_hosts: 0,
            failing_hosts: 0,
            policy: PlacingPolicy::Product,
            burst: None,
            max_pause_millis: 300,
            link_bytes_per_second: None,
            saves_flows: true,
            learns_from_peers: false,
            sets_clocks_back: false,
            zones: 1,
            loss_per_mille: 0,
            doubled_per_mille: 0,
            lost_answers_per_mille: 0,
            faults: Vec::new(),
            duration_millis: 20_000,
            has_archive_service: false,
            moves_most_flows: false,
        }
    }
}

/// An event of the simulation.
#[derive(Debug)]
enum Event {
    /// A datagram from one process arrives at another.
    PeerDatagram {
        to: Ipv4Addr,
        from: Ipv4Addr,
        bytes: Vec<u8>,
    },
    /// A caller's packet arrives at the routers.
    ToBalancer { packet: ModelPacket, sent: u64 },
    /// A packet arrives at a caller; `sent_by` is the process that sent a reset.
    ToCaller {
        packet: ModelPacket,
        sent_by: Option<Ipv4Addr>,
    },
    /// A server has finished the work for a request.
    RequestDone {
        host: u8,
        incarnation: u64,
        flow: FlowKey,
    },
    /// A server repeats its answer to the opening packet of a flow that has not opened.
    RepeatAnswer {
        host: u8,
        incarnation: u64,
        flow: FlowKey,
        repetition: u32,
    },
    /// A balancer that was suspended receives a caller's packet.
    ReceiveAtBalancer {
        balancer: Ipv4Addr,
        packet: ModelPacket,
    },
    /// A host that was suspended receives its server's packet.
    ReceiveFromServer {
        address: Ipv4Addr,
        packet: ModelPacket,
    },
    /// The newest routes arrive at a process.
    UpdateRoutes(Ipv4Addr),
    /// The tick of a process is due.
    Tick(Ipv4Addr),
    /// A server sends a heartbeat to its host.
    SendHeartbeat { host: u8, incarnation: u64 },
    /// The routers probe all balancers.
    ProbeBalancers,
    /// A caller retransmits its last packet, or sends its next request.
    Retransmit {
        caller: usize,
        generation: u64,
        interval: u64,
    },
    /// The timeout of a caller's request expires.
    TimeOutRequest { caller: usize, generation: u64 },
    /// A caller starts a flow.
    StartFlow { caller: usize, generation: u64 },
    /// A process starts.
    Restart(Ipv4Addr),
    /// The flows that the former process of a host has saved arrive at the host.
    ReadSavedFlows {
        address: Ipv4Addr,
        list: SavedFlowList,
    },
    /// The store has saved lists of open flows for a balancer.
    CompleteSaves {
        balancer: Ipv4Addr,
        saves: Vec<SaveRequest>,
    },
    /// A balancer learns the era of the store.
    LearnEra(Ipv4Addr),
    /// A process that was stopping ends.
    CompleteStop(Ipv4Addr),
    /// A process can reach the others again.
    EndPartition(Ipv4Addr),
    /// Nothing passes from the first zone to the second until the event
    /// [`Event::EndZoneCut`].
    EndZoneCut(u8, u8),
    /// The server beside a host starts.
    StartServer(u8),
    /// A fault of the plan occurs.
    Fault(Fault),
}

/// The decision code that a process runs.
#[derive(Debug)]
enum ProcessRole {
    Balancer(Box<FlowBalancer>),
    Host(Box<FlowHost>),
}

/// A balancer or host process.
#[derive(Debug)]
struct Process {
    /// The decision code; `None` while the process is not running.
    role: Option<ProcessRole>,
    /// Whether datagrams to and from other processes are dropped.
    is_partitioned: bool,
    /// End of the last fault, in milliseconds.
    last_fault_ended_at: u64,
    /// Time until which the process is suspended, in microseconds.
    frozen_until: u64,
    /// Failed probes in a row.
    failed_probe_count: u8,
    /// Time of the next tick, in microseconds.
    next_tick_at: u64,
    /// Time at which its link has sent all queued datagrams, in microseconds.
    link_free_at: u64,
}

/// The state of a simulation.
pub struct World {
    plan: WorldPlan,
    random: SmallRng,
    /// Current time in microseconds.
    now: u64,
    /// Number of events scheduled so far.
    event_count: u64,
    /// Scheduled events by time and by the order in which they were scheduled.
    events: BTreeMap<(u64, u64), Event>,
    processes: BTreeMap<Ipv4Addr, Process>,
    servers: Vec<ModelServer>,
    callers: Vec<ModelCaller>,
    outbox: FlowOutbox,
    /// The checker of the invariants.
    pub oracle: RuleOracle,
    /// Number of requests by outcome.
    pub tally: CallerTally,
    /// For each second, the number of requests first attempted in it that were answered in
    /// time, and the number of those that were answered or failed.
    pub results_by_second: Vec<(u32, u32)>,
    /// The encoded parts of the lists of open flows in the store, by host and part.
    saved_flows: BTreeMap<(Ipv4Addr, u8), Vec<u8>>,
    /// All parts that the store has saved, with the time, oldest first.
    save_history: Vec<(u64, SaveRequest)>,
    /// The era of the store.
    store_era: u64,
    /// Number of datagrams that carried a packet to a host to find out whether its server
    /// holds the flow.
    pub probe_count: u64,
    /// Address and port of the caller whose flow is traced.
    pub traced_caller: Option<String>,
    /// Number of process starts so far.
    start_count: u64,
    /// Service of each host's server.
    host_services: Vec<&'static str>,
    /// Pairs of zones of which the first does not reach the second.
    zone_cuts: Vec<(u8, u8)>,
    /// Service of the route in each version of the routes, with the time of the change in
    /// milliseconds.
    route_versions: Vec<(u64, &'static str)>,
}

impl World {
    /// Creates a fleet whose processes start within the first 300 ms.
    pub fn new(plan: WorldPlan, seed: u64) -> Self {
        let mut world = Self {
            random: SmallRng::seed_from_u64(seed),
            now: 0,
            event_count: 0,
            events: BTreeMap::new(),
            processes: BTreeMap::new(),
            servers: (0..plan.hosts).map(|_| ModelServer::default()).collect(),
            callers: (1..=plan.callers + plan.burst.map_or(0, |burst| burst.callers))
                .map(ModelCaller::new)
                .collect(),
            outbox: FlowOutbox::default(),
            oracle: RuleOracle::default(),
            tally: CallerTally::default(),
            results_by_second: vec![(0, 0); (plan.duration_millis / 1_000) as usize + 1],
            saved_flows: BTreeMap::new(),
            save_history: Vec::new(),
            store_era: 1,
            probe_count: 0,
            traced_caller: None,
            start_count: 0,
            host_services: (1..=plan.hosts)
                .map(|host| {
                    if plan.has_archive_service && host > plan.hosts / 2 {
                        ARCHIVE_SERVICE
                    } else {
                        fixture::SERVICE
                    }
                })
                .collect(),
            zone_cuts: Vec::new(),
            route_versions: vec![(0, fixture::SERVICE)],
            plan,
        };
        world.schedule_initial_events();
        world
    }

    /// Runs the simulation to the end of the plan.
    pub fn run(&mut self) {
        let end = self.plan.duration_millis * 1_000;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle_event(event);
        }
    }

    /// Adds the processes and schedules the starts, the first flows and the faults.
    fn schedule_initial_events(&mut self) {
        let balancers: Vec<Ipv4Addr> = (1..=self.plan.balancers)
            .map(fixture::balancer_address)
            .collect();
        let hosts: Vec<Ipv4Addr> = (1..=self.plan.hosts).map(fixture::host_address).collect();
        for address in balancers.iter().chain(&hosts) {
            let process = Process {
                role: None,
                is_partitioned: false,
                last_fault_ended_at: 0,
                frozen_until: 0,
                failed_probe_count: 0,
                next_tick_at: u64::MAX,
                link_free_at: 0,
            };
            self.processes.insert(*address, process);
            let at = self.random.random_range(0..300_000);
            self.schedule(at, Event::Restart(*address));
        }
        for host in 1..=self.plan.hosts {
            self.schedule(SERVER_START_MICROS, Event::StartServer(host));
        }
        self.schedule(PROBE_INTERVAL_MICROS, Event::ProbeBalancers);
        for caller in 0..self.callers.len() {
            let first = match self.plan.burst {
                Some(burst) if caller >= usize::from(self.plan.callers) => {
                    burst.from_millis * 1_000
                }
                _ => 1_500_000,
            };
            let at = first + self.random.random_range(0..1_000_000);
            self.schedule(
                at,
                Event::StartFlow {
                    caller,
                    generation: 0,
                },
            );
        }
        for (millis, fault) in self.plan.faults.clone() {
            self.schedule(millis * 1_000, Event::Fault(fault));
        }
    }

    /// Schedules an event at a time in microseconds.
    fn schedule(&mut self, at: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    /// Schedules an event after a delay in microseconds, plus jitter.
    fn schedule_after(&mut self, delay: u64, event: Event) {
        let jitter = self.random.random_range(0..200);
        self.schedule(self.now + delay + jitter, event);
    }

    /// Draws at random whether a datagram is lost.
    fn draw_loss(&mut self) -> bool {
        self.random.random_range(0..1_000) < self.plan.loss_per_mille
    }

    /// Returns the current time as the decisions take it.
    fn time(&self) -> MonotonicTime {
        MonotonicTime(self.now)
    }

    /// Returns the current time in milliseconds.
    fn millis(&self) -> u64 {
        self.now / 1_000
    }

    fn handle_event(&mut self, event: Event) {
        self.print_if_traced(&event);
        match event {
            Event::PeerDatagram { to, from, bytes } => self.receive_datagram(to, from, &bytes),
            Event::ToBalancer { packet, sent } => self.route_packet(&packet, sent),
            Event::ToCaller { packet, sent_by } => self.receive_caller_packet(&packet, sent_by),
            Event::RequestDone {
                host,
                incarnation,
                flow,
            } => self.finish_request(host, incarnation, &flow),
            Event::RepeatAnswer {
                host,
                incarnation,
                flow,
                repetition,
            } => self.repeat_answer(host, incarnation, flow, repetition),
            Event::ReceiveAtBalancer { balancer, packet } => {
                self.receive_at_balancer(balancer, &packet)
            }
            Event::ReceiveFromServer { address, packet } => {
                self.receive_from_server(address, &packet)
            }
            Event::UpdateRoutes(address) => self.receive_routes(address),
            Event::Tick(address) => self.tick_process(address),
            Event::SendHeartbeat { host, incarnation } => self.send_heartbeat(host, incarnation),
            Event::ProbeBalancers => self.probe_balancers(),
            Event::Retransmit {
                caller,
                generation,
                interval,
            } => self.retransmit(caller, generation, interval),
            Event::TimeOutRequest { caller, generation } => {
                self.time_out_request(caller, generation)
            }
            Event::StartFlow { caller, generation } => self.start_flow(caller, generation),
            Event::Restart(address) => self.start_process(address),
            Event::ReadSavedFlows { address, list } => self.receive_saved_flows(address, list),
            Event::LearnEra(balancer) => self.tell_era(balancer),
            Event::CompleteSaves { balancer, saves } => self.complete_saves(balancer, saves),
            Event::CompleteStop(address) => self.end_process(address, true),
            Event::EndPartition(address) => self.process_mut(address).is_partitioned = false,
            Event::EndZoneCut(from, to) => self.zone_cuts.retain(|cut| *cut != (from, to)),
            Event::StartServer(host) => self.start_server(host),
            Event::Fault(fault) => self.apply_fault(fault),
        }
    }

    /// Prints an event that concerns the traced caller, or a fault or process start.
    fn print_if_traced(&self, event: &Event) {
        let Some(traced_caller) = &self.traced_caller else {
            return;
        };
        let text = match event {
            Event::PeerDatagram { to, from, bytes } => match CarryMessage::decode(bytes) {
                Some((CarryMessage::Hello(_), _)) | None => return,
                Some((message, payload)) => format!(
                    "{from} > {to}: {message:?} {:?}",
                    ModelPacket::decode(payload)
                ),
            },
            Event::Fault(_)
            | Event::Restart(_)
            | Event::ToBalancer { .. }
            | Event::ToCaller { .. } => format!("{event:?}"),
            _ => return,
        };
        let is_fault = matches!(event, Event::Fault(_) | Event::Restart(_));
        if is_fault || text.contains(traced_caller) {
            println!("{} us {text}", self.now);
        }
    }

    /// Returns the time of day in milliseconds since the Unix epoch.
    fn unix_millis(&self) -> u64 {
        START_UNIX_MILLIS + self.millis()
    }

    /// Returns the process with this address.
    fn process_mut(&mut self, address: Ipv4Addr) -> &mut Process {
        self.processes
            .get_mut(&address)
            .expect("every address belongs to a process")
    }

    // Processes

    /// Starts a process with an empty state, and with the newest routes unless the plan says
    /// otherwise.
    fn start_process(&mut self, address: Ipv4Addr) {
        let now = self.time();
        self.start_count += 1;
        let mut started_unix_millis = self.unix_millis();
        if self.plan.sets_clocks_back && self.start_count.is_multiple_of(SET_BACK_START_INTERVAL) {
            // The clock of the instance was set back before this start.
            started_unix_millis -= 300_000;
        }
        let is_host = address.octets()[2] == 1;
        let learns_from_peers = is_host && self.plan.learns_from_peers;
        let contact_count = if learns_from_peers {
            self.plan.balancers.min(SEED_COUNT)
        } else {
            self.plan.balancers
        };
        let contacts: Vec<Ipv4Addr> = (1..=contact_count).map(fixture::balancer_address).collect();
        let max_flow_age = Duration::from_secs(60);
        let zone = ZONES[usize::from(self.zone_of(address))].to_owned();
        let table = self.route_table();
        let role = if !is_host {
            let identity = BalancerIdentity {
                address,
                zone,
                started_unix_millis,
                max_flow_age,
            };
            let mut balancer = FlowBalancer::new(identity, contacts, now);
            balancer.set_routes(table, &mut self.outbox);
            ProcessRole::Balancer(Box::new(balancer))
        } else {
            let service = self.service_of(address.octets()[3]).to_owned();
            let identity = HostIdentity {
                address,
                zone,
                service,
                server_address: fixture::server_address(address),
                started_unix_millis,
                max_flow_age,
                address_reuse_time: Duration::from_secs(2),
                follows_pace: false,
            };
            let mut host = FlowHost::new(identity, contacts, now);
            if !learns_from_peers {
                host.set_routes(table, &mut self.outbox);
            }
            ProcessRole::Host(Box::new(host))
        };
        self.outbox.clear();
        let process = self.process_mut(address);
        process.role = Some(role);
        process.next_tick_at = now.0;
        self.schedule(now.0, Event::Tick(address));
        self.schedule_saved_flows(address);
        if self.plan.saves_flows {
            self.tell_era(address);
        }
    }

    /// Ends a process and schedules its restart. Only an abrupt end counts as a fault.
    fn end_process(&mut self, address: Ipv4Addr, is_graceful: bool) {
        let now = self.time();
        let millis = self.millis();
        let process = self.process_mut(address);
        if process.role.is_none() {
            return;
        }
        if is_graceful {
            self.update_process(address, |role, outbox| match role {
                ProcessRole::Balancer(balancer) => balancer.stop(now, outbox),
                ProcessRole::Host(host) => host.stop(now, outbox),
            });
        }
        let process = self.process_mut(address);
        process.role = None;
        process.frozen_until = 0;
        if !is_graceful {
            process.last_fault_ended_at = millis;
        }
        self.schedule_after(RESTART_DELAY_MICROS, Event::Restart(address));
    }

    /// Runs the tick of a process, or defers it while the process is suspended.
    fn tick_process(&mut self, address: Ipv4Addr) {
        let now = self.time();
        let process = self.process_mut(address);
        if process.next_tick_at != now.0 {
            // This event is stale; the tick was moved to an earlier time.
            return;
        }
        if process.frozen_until > now.0 {
            let until = process.frozen_until;
            process.next_tick_at = until;
            self.schedule(until, Event::Tick(address));
            return;
        }
        process.next_tick_at = u64::MAX;
        let (mut is_check_due, mut saves) = (false, Vec::new());
        self.update_process(address, |role, outbox| match role {
            ProcessRole::Balancer(balancer) => {
                balancer.tick(now, outbox);
                saves = balancer.take_due_saves(now);
            }
            ProcessRole::Host(host) => {
                host.tick(now, outbox);
                is_check_due = host.take_due_check(now);
            }
        });
        if !saves.is_empty() && self.plan.saves_flows {
            let delay = self.draw_store_delay();
            let balancer = address;
            self.schedule(self.now + delay, Event::CompleteSaves { balancer, saves });
        }
        if is_check_due {
            self.check_server(address);
        }
    }

    /// Answers a check that a host makes of its server.
    fn check_server(&mut self, address: Ipv4Addr) {
        let server = &self.servers[usize::from(address.octets()[3]) - 1];
        let result = if server.is_alive {
            CheckResult::Connected
        } else {
            CheckResult::Refused
        };
        let now = self.time();
        self.update_process(address, |role, outbox| {
            if let ProcessRole::Host(host) = role {
                host.receive_check_result(result, now, outbox);
            }
        });
    }

    /// Runs `update` on a process, schedules its next tick and sends the output. Does
    /// nothing if the process is not running.
    fn update_process(
        &mut self,
        address: Ipv4Addr,
        update: impl FnOnce(&mut ProcessRole, &mut FlowOutbox),
    ) {
        let mut outbox = std::mem::take(&mut self.outbox);
        let now = self.now;
        let process = self.process_mut(address);
        if let Some(role) = &mut process.role {
            update(role, &mut outbox);
            let next = match role {
                ProcessRole::Balancer(balancer) => balancer.next_tick_at(),
                ProcessRole::Host(host) => host.next_tick_at(),
            };
            let due = next.0.max(now + MIN_TICK_INTERVAL_MICROS);
            if due < process.next_tick_at {
                process.next_tick_at = due;
                self.schedule(due, Event::Tick(address));
            }
        }
        self.send_output(address, &outbox);
        outbox.clear();
        self.outbox = outbox;
    }

    /// Sends the datagrams and resets of a process. Packets for its server arrive at once.
    fn send_output(&mut self, from: Ipv4Addr, outbox: &FlowOutbox) {
        for (destination, bytes) in outbox.datagrams() {
            match destination {
                Destination::Server => {
                    if let Some(packet) = ModelPacket::decode(bytes) {
                        self.receive_at_server(from, &packet);
                    }
                }
                Destination::Caller(_) => {
                    let packet = ModelPacket::decode(bytes);
                    if let Some(packet) = packet.filter(|packet| !self.is_lost_answer(packet)) {
                        self.schedule_after(
                            CALLER_DELAY_MICROS,
                            Event::ToCaller {
                                packet,
                                sent_by: None,
                            },
                        );
                    }
                }
                Destination::Peer(to) => {
                    self.probe_count += u64::from(is_probe(bytes));
                    let Some(queue_time) = self.queue_on_link(from, bytes) else {
                        continue;
                    };
                    if !self.draw_loss() {
                        let bytes = bytes.to_vec();
                        self.double_datagram(to, from, &bytes);
                        self.schedule_after(
                            queue_time + PEER_DELAY_MICROS,
                            Event::PeerDatagram { to, from, bytes },
                        );
                    }
                }
            }
        }
        for reset in outbox.resets() {
            let packet = ModelPacket {
                is_reset: true,
                sequence: reset.sequence,
                ..ModelPacket::new(reset.flow.target, reset.flow.caller)
            };
            self.schedule_after(
                CALLER_DELAY_MICROS,
                Event::ToCaller {
                    packet,
                    sent_by: Some(from),
                },
            );
        }
    }

    /// Delivers a datagram to a process, unless one of the two processes is partitioned.
    fn receive_datagram(&mut self, to: Ipv4Addr, from: Ipv4Addr, bytes: &[u8]) {
        let is_known = self.processes.contains_key(&to);
        if !is_known || self.processes[&to].is_partitioned || self.processes[&from].is_partitioned {
            return;
        }
        let zones = (self.zone_of(from), self.zone_of(to));
        if self.zone_cuts.contains(&zones) {
            return;
        }
        let until = self.processes[&to].frozen_until;
        if until > self.now {
            let bytes = bytes.to_vec();
            self.schedule(until, Event::PeerDatagram { to, from, bytes });
            return;
        }
        let Ok(received) = read_datagram(bytes, from, to) else {
            return;
        };
        let ReceivedMessage {
            from,
            way,
            message,
            payload,
        } = received;
        let now = self.time();
        let packet = ModelPacket::decode(payload).map(|packet| RawPacket {
            header: packet.header(),
            bytes: payload,
        });
        let packet = packet.filter(|_| carries_packet(&message));
        let packet = packet.as_ref();
        self.update_process(to, |role, outbox| match (role, way) {
            (ProcessRole::Balancer(balancer), PeerWay::Direct) => {
                balancer.receive_peer_message(from, &message, packet, payload, now, outbox);
            }
            (ProcessRole::Balancer(balancer), PeerWay::Via(relay)) => {
                balancer.receive_detoured_message(from, relay, &message, packet, now, outbox);
            }
            (ProcessRole::Host(host), PeerWay::Direct) => {
                host.receive_peer_message(from, &message, packet, payload, now, outbox);
            }
            (ProcessRole::Host(host), PeerWay::Via(relay)) => {
                host.receive_detoured_message(from, relay, &message, packet, now, outbox);
            }
        });
    }

    // Routes

    /// Returns the service of a host's server.
    fn service_of(&self, host: u8) -> &'static str {
        self.host_services[usize::from(host) - 1]
    }

    /// Returns the newest routes.
    fn route_table(&self) -> RouteTable {
        let version = self.route_versions.len() as u64;
        let service = self
            .route_versions
            .last()
            .map_or("", |(_, service)| service);
        fixture::route_table(
            version,
            vec![fixture::route_rule(fixture::target_address(), service)],
        )
    }

    /// Returns whether a new flow may arrive at a service: the route leads to it by the
    /// newest version, or by one that was the newest until recently.
    fn is_service_allowed(&self, service: &str) -> bool {
        let millis = self.millis();
        let first = self
            .route_versions
            .iter()
            .rposition(|(changed_at, _)| millis >= changed_at + MAX_ROUTE_DELAY_MILLIS)
            .unwrap_or(0);
        self.route_versions[first..]
            .iter()
            .any(|(_, allowed)| *allowed == service)
    }

    /// Returns whether the route has ever led to a service.
    fn was_service_ever_allowed(&self, service: &str) -> bool {
        self.route_versions
            .iter()
            .any(|(_, allowed)| *allowed == service)
    }

    /// Installs the newest routes in a process.
    fn receive_routes(&mut self, address: Ipv4Addr) {
        let until = self.processes[&address].frozen_until;
        if until > self.now {
            self.schedule(until, Event::UpdateRoutes(address));
            return;
        }
        let table = self.route_table();
        self.update_process(address, |role, outbox| match role {
            ProcessRole::Balancer(balancer) => balancer.set_routes(table, outbox),
            ProcessRole::Host(host) => host.set_routes(table, outbox),
        });
    }

    /// Sends a new flow to the only host that a policy other than the crate's chooses.
    fn place_by_policy(&mut self, balancer: Ipv4Addr, packet: &ModelPacket) {
        let Some(ProcessRole::Balancer(flow_balancer)) = &self.processes[&balancer].role else {
            return;
        };
        let (now, timeouts) = (self.time(), flow_balancer.members().timeouts());
        let flow = packet.caller_flow();
        let accepts = |record: &&HostRecord| record.accepts_new_flows(&timeouts, now);
        let usable = flow_balancer.members().hosts().iter().filter(accepts);
        let mut hosts: Vec<Ipv4Addr> = usable.clone().map(|record| record.peer.address).collect();
        rank_hosts(hash_flow(&flow), &mut hosts);
        let host = match self.plan.policy {
            PlacingPolicy::LeastFlows => usable
                .min_by_key(|record| record.load.flows)
                .map(|record| record.peer.address),
            PlacingPolicy::BestHost => {
                let service = fixture::SERVICE;
                let hash = hash_flow(&flow);
                let all = flow_balancer.members().hosts();
                let request = PlacementRequest {
                    service,
                    zone: "utr-a",
                    target_latency: Duration::ZERO,
                    flow_hash: hash,
                    excluded: &[],
                    unanswered_zone: None,
                    evacuated_zones: &[],
                };
                match place_flow(all, &request, &timeouts, now) {
                    Placement::Offer(order) => order.first().copied(),
                    Placement::Full | Placement::NoHost => hosts.first().copied(),
                }
            }
            PlacingPolicy::Product | PlacingPolicy::PlainHash => hosts.first().copied(),
        };
        let Some(to) = host else {
            return;
        };
        let header = CarryHeader {
            balancer,
            ..fixture::carry_header(ForwardPurpose::OpenHere)
        };
        let mut bytes = Vec::new();
        CarryMessage::Forward(header).encode(&mut bytes);
        bytes.extend_from_slice(&packet.encode());
        let from = balancer;
        self.schedule_after(PEER_DELAY_MICROS, Event::PeerDatagram { to, from, bytes });
    }

    // Routers and balancers

    /// Probes all balancers, and checks the invariants of open flows.
    fn probe_balancers(&mut self) {
        let now = self.time();
        for process in self.processes.values_mut() {
            if let Some(ProcessRole::Host(_)) = process.role {
                continue;
            }
            let is_ready = match &process.role {
                _ if process.frozen_until > now.0 => false,
                Some(ProcessRole::Balancer(balancer)) => balancer.is_ready(now),
                _ => false,
            };
            process.failed_probe_count = if is_ready {
                0
            } else {
                process.failed_probe_count.saturating_add(1)
            };
        }
        self.schedule(self.now + PROBE_INTERVAL_MICROS, Event::ProbeBalancers);
        let millis = self.millis();
        let servers = &self.servers;
        self.oracle.check_flows(millis, |flow| {
            servers
                .iter()
                .any(|server| server.is_alive && server.flows.contains_key(flow))
        });
    }

    /// Delivers a caller's packet to a balancer. As routers do, it uses all balancers if
    /// fewer than half pass their probes.
    fn route_packet(&mut self, packet: &ModelPacket, _sent: u64) {
        let zone = self.zone_of(*packet.source.ip());
        let all: Vec<Ipv4Addr> = (1..=self.plan.balancers)
            .map(fixture::balancer_address)
            .filter(|address| self.zone_of(*address) == zone)
            .collect();
        let mut ready: Vec<Ipv4Addr> = all
            .iter()
            .copied()
            .filter(|address| self.processes[address].failed_probe_count < 2)
            .collect();
        if ready.len() * 2 < all.len() {
            ready = all;
        }
        let hash = hash_flow(&packet.caller_flow());
        let balancer = if self.plan.moves_most_flows {
            ready[hash as usize % ready.len()]
        } else {
            *ready
                .iter()
                .max_by_key(|address| mix_bits(hash ^ u64::from(u32::from(**address))))
                .expect("the plan has a balancer")
        };
        self.receive_at_balancer(balancer, packet);
    }

    /// Delivers a caller's packet to a balancer, or defers it while the balancer is
    /// suspended.
    fn receive_at_balancer(&mut self, balancer: Ipv4Addr, packet: &ModelPacket) {
        let until = self.processes[&balancer].frozen_until;
        if until > self.now {
            let packet = *packet;
            self.schedule(until, Event::ReceiveAtBalancer { balancer, packet });
            return;
        }
        if packet.is_open && self.plan.policy != PlacingPolicy::Product {
            self.place_by_policy(balancer, packet);
            return;
        }
        let now = self.time();
        let bytes = packet.encode();
        let raw = RawPacket {
            header: packet.header(),
            bytes: &bytes,
        };
        self.update_process(balancer, |role, outbox| {
            if let ProcessRole::Balancer(balancer) = role {
                balancer.receive_caller_packet(&raw, now, outbox);
            }
        });
    }
}

/// Returns whether a packet follows the message.
fn carries_packet(message: &CarryMessage) -> bool {
    matches!(
        message,
        CarryMessage::Forward(_) | CarryMessage::Offer { .. } | CarryMessage::Returned { .. }
    )
}

/// Returns a hash of `number`.
fn mix_bits(number: u64) -> u64 {
    let number = (number ^ (number >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    number ^ (number >> 29)
}
