//! A small fleet over a simulated network, and the invariants that it must keep.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_roster::state::RosterAction;
use hyssopstair_roster::state::RosterState;
use hyssopstair_roster::versions::ConfigState;
use hyssopstair_routing::balancer::BalancerContext;
use hyssopstair_routing::balancer::RouteAction;
use hyssopstair_routing::balancer::route_packet;
use hyssopstair_routing::host::HostAction;
use hyssopstair_routing::host::HostLoad;
use hyssopstair_routing::host::HostRouter;
use hyssopstair_routing::loads::LoadTable;
use hyssopstair_routing::view::RoutingView;
use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::control::ControlMessage;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::entry::EntryPath;
use hyssopstair_wire::packet::ForwardHeader;
use hyssopstair_wire::time::MonotonicTime;
use hyssopstair_wire::token::FleetSecret;
use hyssopstair_wire::token::KeyNumber;
use hyssopstair_wire::token::RouteToken;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub const PROCESSES: usize = 9;
pub const BALANCERS: usize = 3;
pub const SERVICES: u16 = 2;

const TICK_MILLIS: u64 = 50;
/// Time in which a configuration change must reach every reachable process, and in
/// which a balancer that missed the announcement of a drain must learn of it.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(16);
/// Time in which a balancer must learn that a reachable host drains.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Time of silence after which other processes may have declared a host gone.
const SILENCE_LIMIT: Duration = Duration::from_secs(11);
/// Time after a long partition or pause in which processes may still hold each
/// other for gone, because each pings the absent ones one after another.
const REDISCOVERY_LIMIT: Duration = Duration::from_secs(40);
/// Time between two reads of the platform. Long, so that configuration changes
/// must spread between processes.
const POLL_INTERVAL: Duration = Duration::from_secs(60);
const ALL_PROCESSES: u32 = u32::MAX;
/// Time without failures after which all rosters must hold the same live members.
const QUIET_TIME: Duration = Duration::from_secs(90);

#[derive(Debug, Clone)]
pub struct FleetModel;

#[derive(Debug, Clone)]
pub enum FleetStep {
    /// Milliseconds without a further step.
    Wait(u64),
    OpenFlow {
        service: u16,
        caller: u32,
    },
    Kill(usize),
    Restart(usize),
    Pause {
        number: usize,
        millis: u64,
    },
    Drain(usize),
    /// Restarts a process as a host of another service, or as a balancer if it was one.
    ReuseAddress(usize),
    /// Partitions the processes whose bit is set from the others.
    Partition(u32),
    Heal,
    /// Percentage of messages that are lost, taken modulo 10.
    SetLoss(u8),
    /// Sets whether the platform answers.
    SetPlatform(bool),
    Configure {
        first: usize,
        readable: bool,
    },
}

#[derive(Debug)]
struct FleetProcess {
    roster: RosterState,
    config: ConfigState,
    router: Option<HostRouter>,
    running: bool,
    paused_until: MonotonicTime,
    paused_since: MonotonicTime,
    partition: bool,
    /// Since when the process has been running with an unchanged partition.
    undisturbed_since: MonotonicTime,
    /// The processes that it was cut off from during the current partition, one
    /// bit each.
    partitioned_from: u32,
    /// Until when this process and those in `may_suspect` may hold each other for
    /// suspect or gone.
    may_suspect_until: MonotonicTime,
    /// The processes that `may_suspect_until` applies to, one bit each.
    may_suspect: u32,
    drained_at: Option<MonotonicTime>,
    next_poll_at: MonotonicTime,
}

#[derive(Debug)]
struct FleetFlow {
    service: ServiceId,
    host: ProcessId,
    token: Vec<u8>,
}

#[derive(Debug)]
struct FleetMessage {
    due_at: MonotonicTime,
    from: usize,
    to: SocketAddrV4,
    message: ControlMessage,
}

#[derive(Debug)]
struct AcceptedChange {
    version: u64,
    accepted_at: MonotonicTime,
    first: usize,
}

#[derive(Debug)]
pub struct FleetUnderTest {
    processes: Vec<FleetProcess>,
    flows: Vec<FleetFlow>,
    in_flight: Vec<FleetMessage>,
    accepted_changes: Vec<AcceptedChange>,
    stored_config: (u64, String),
    platform_up: bool,
    loss: f64,
    partitioned_since: Option<MonotonicTime>,
    incarnation: u32,
    now: MonotonicTime,
    rng: StdRng,
}

fn address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 1, 0, number as u8].into(), 7_000)
}

fn process_number(address: SocketAddrV4) -> usize {
    usize::from(address.ip().octets()[3])
}

fn secret() -> FleetSecret {
    FleetSecret::new([9; 16])
}

fn rules(version: u64) -> String {
    let weight = 1 + version % 5;
    format!(
        "zone a id 1  # fuzz\n\
         service leerplein id 1 address 10.0.0.1:443  # fuzz\n\
         service diplomakluis id 2 address 10.0.0.2:443  # fuzz\n\
         weight leerplein a {weight}  # fuzz\n\
         key 1  # fuzz\n"
    )
}

fn initial_service(number: usize) -> Option<ServiceId> {
    let host = number.checked_sub(BALANCERS)?;
    Some(ServiceId(1 + (host % usize::from(SERVICES)) as u16))
}

impl FleetUnderTest {
    pub fn start() -> Self {
        let mut fleet = Self {
            processes: Vec::new(),
            flows: Vec::new(),
            in_flight: Vec::new(),
            accepted_changes: Vec::new(),
            stored_config: (1, rules(1)),
            platform_up: true,
            loss: 0.0,
            partitioned_since: None,
            incarnation: 100,
            now: MonotonicTime::from_millis(1),
            rng: StdRng::seed_from_u64(1),
        };
        for number in 0..PROCESSES {
            let process = fleet.new_process(number, initial_service(number));
            fleet.processes.push(process);
        }
        fleet.run(Duration::from_secs(12));
        let has_rules = |process: &FleetProcess| process.config.version() == 1;
        assert!(
            fleet.processes.iter().all(has_rules),
            "the initial rules were not read"
        );
        fleet
    }

    pub fn apply(&mut self, step: &FleetStep) {
        match *step {
            FleetStep::Wait(millis) => self.run(Duration::from_millis(millis)),
            FleetStep::OpenFlow { service, caller } => {
                self.open_flow(ServiceId(1 + service), caller)
            }
            FleetStep::Kill(number) => self.processes[number].running = false,
            FleetStep::Restart(number) => self.restart(number, initial_service(number)),
            FleetStep::ReuseAddress(number) => {
                let other =
                    initial_service(number).map(|service| ServiceId(SERVICES + 1 - service.0));
                self.restart(number, other);
            }
            FleetStep::Pause { number, millis } => {
                let now = self.now;
                let process = &mut self.processes[number];
                if now >= process.paused_until {
                    process.paused_since = now;
                    process.paused_until = now + Duration::from_millis(millis);
                }
            }
            FleetStep::Drain(number) => self.drain(number),
            FleetStep::Partition(mask) => self.set_partition(mask),
            FleetStep::Heal => self.set_partition(0),
            FleetStep::SetLoss(percent) => self.loss = f64::from(percent % 10) / 100.0,
            FleetStep::SetPlatform(up) => self.platform_up = up,
            FleetStep::Configure { first, readable } => self.configure(first, readable),
        }
        self.check();
    }

    /// Ends all failures, waits, and checks that all rosters hold the same live members.
    pub fn check_recovery(&mut self) {
        self.set_partition(0);
        self.loss = 0.0;
        self.platform_up = true;
        self.run(QUIET_TIME);
        self.check();
        let up_numbers: Vec<usize> = (0..PROCESSES)
            .filter(|number| self.is_up(*number))
            .collect();
        let present_members = |number: usize| -> Vec<MemberEntry> {
            let members = self.processes[number].roster.members().iter();
            members
                .filter(|entry| entry.state.is_present())
                .copied()
                .collect()
        };
        for number in &up_numbers {
            assert!(self.processes[*number].roster.is_confirmed(self.now));
            assert_eq!(
                present_members(*number),
                present_members(up_numbers[0]),
                "rosters differ after recovery"
            );
            assert_eq!(
                present_members(*number).len(),
                up_numbers.len(),
                "members are missing after recovery"
            );
        }
    }

    fn new_process(&mut self, number: usize, service: Option<ServiceId>) -> FleetProcess {
        self.incarnation += 10;
        let process = ProcessId {
            address: address(number),
            incarnation: HostIncarnation(self.incarnation),
        };
        let role = service.map_or(MemberRole::Balancer, |service| MemberRole::Host {
            service,
            zone: 1,
            weight: 1,
        });
        let entry = MemberEntry {
            process,
            counter: 0,
            role,
            state: MemberState::Alive,
        };
        let mut roster = RosterState::new(entry, self.rng.random());
        // One known peer must be enough to join when the platform is down.
        let peer = (0..self.processes.len()).find(|other| *other != number && self.is_up(*other));
        if let Some(peer) = peer {
            roster.add_contact(address(peer));
        }
        FleetProcess {
            roster,
            config: ConfigState::default(),
            router: service.map(HostRouter::new),
            running: true,
            paused_until: MonotonicTime::default(),
            paused_since: MonotonicTime::default(),
            partition: false,
            undisturbed_since: self.now,
            partitioned_from: ALL_PROCESSES,
            may_suspect_until: MonotonicTime::default(),
            may_suspect: 0,
            drained_at: None,
            next_poll_at: self.now,
        }
    }

    fn restart(&mut self, number: usize, service: Option<ServiceId>) {
        let partition = self.processes[number].partition;
        self.processes[number] = self.new_process(number, service);
        self.processes[number].partition = partition;
    }

    fn drain(&mut self, number: usize) {
        if !self.is_up(number) || self.processes[number].drained_at.is_some() {
            return;
        }
        let now = self.now;
        let process = &mut self.processes[number];
        process.roster.set_state(MemberState::Draining, now);
        process.drained_at = Some(now);
        let actions = process
            .roster
            .announce_immediately(process.config.version(), now);
        self.send(number, actions);
    }

    fn set_partition(&mut self, mask: u32) {
        let now = self.now;
        let was_long = self
            .partitioned_since
            .is_some_and(|since| now.since(since) >= SILENCE_LIMIT);
        let is_partitioned = mask.trailing_zeros() < PROCESSES as u32;
        for (number, process) in self.processes.iter_mut().enumerate() {
            process.partition = mask >> number & 1 == 1;
            process.undisturbed_since = now;
            if was_long {
                process.may_suspect_until = now + REDISCOVERY_LIMIT;
                process.may_suspect |= process.partitioned_from;
            }
            if !is_partitioned {
                process.partitioned_from = 0;
            }
        }
        self.record_partitioned();
        let since = self.partitioned_since.unwrap_or(now);
        self.partitioned_since = is_partitioned.then_some(since);
    }

    fn record_partitioned(&mut self) {
        let partitions: Vec<bool> = self
            .processes
            .iter()
            .map(|process| process.partition)
            .collect();
        for process in &mut self.processes {
            for (number, partition) in partitions.iter().enumerate() {
                process.partitioned_from |= u32::from(*partition != process.partition) << number;
            }
        }
    }

    fn configure(&mut self, first: usize, readable: bool) {
        if !self.platform_up || !self.is_up(first) {
            return;
        }
        let version = self.stored_config.0 + 1;
        let text = match readable {
            true => rules(version),
            false => "service without a number\n".to_owned(),
        };
        self.processes[first].config.apply(version, &text);
        self.stored_config = (version, text);
        if readable {
            self.accepted_changes.push(AcceptedChange {
                version,
                accepted_at: self.now,
                first,
            });
        }
    }

    fn is_up(&self, number: usize) -> bool {
        let process = &self.processes[number];
        process.running && self.now >= process.paused_until
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + Duration::from_millis(10);
            self.deliver();
            for number in 0..PROCESSES {
                self.end_pause(number);
                let millis = self.now.0 / 1_000 + 10 * number as u64;
                if self.is_up(number) && millis % TICK_MILLIS < 10 {
                    self.tick(number);
                }
            }
            if self.now.0 / 1_000 % 1_000 < 10 {
                self.check();
            }
        }
    }

    fn end_pause(&mut self, number: usize) {
        let now = self.now;
        let process = &mut self.processes[number];
        if process.paused_since == MonotonicTime::default() || now < process.paused_until {
            return;
        }
        process.undisturbed_since = now;
        if now.since(process.paused_since) >= SILENCE_LIMIT {
            process.may_suspect_until = now + REDISCOVERY_LIMIT;
            process.may_suspect = ALL_PROCESSES;
        }
        process.paused_since = MonotonicTime::default();
    }

    fn tick(&mut self, number: usize) {
        let now = self.now;
        let process = &mut self.processes[number];
        let version = process.config.version();
        if self.platform_up && now >= process.next_poll_at {
            process.next_poll_at = now + POLL_INTERVAL;
            process
                .config
                .apply(self.stored_config.0, &self.stored_config.1);
            for contact in 0..PROCESSES {
                process.roster.add_contact(address(contact));
            }
        }
        let actions = process.roster.tick(version, now);
        self.send(number, actions);
    }

    fn send(&mut self, from: usize, actions: Vec<RosterAction>) {
        for RosterAction::Send { to, message } in actions {
            // Duplicates and delays some messages, and reorders most.
            let copies = if self.rng.random_bool(0.05) { 2 } else { 1 };
            for _ in 0..copies {
                if self.rng.random_bool(self.loss) {
                    continue;
                }
                let is_delayed = self.rng.random_bool(0.02);
                let max_delay_millis = if is_delayed { 3_000 } else { 30 };
                let delay = Duration::from_millis(self.rng.random_range(1..max_delay_millis));
                self.in_flight.push(FleetMessage {
                    due_at: self.now + delay,
                    from,
                    to,
                    message: message.clone(),
                });
            }
        }
    }

    fn deliver(&mut self) {
        let messages = std::mem::take(&mut self.in_flight);
        let (due, later) = messages
            .into_iter()
            .partition(|message| message.due_at <= self.now);
        self.in_flight = later;
        for FleetMessage {
            from, to, message, ..
        } in due
        {
            let number = process_number(to);
            let same_partition = self.processes[number].partition == self.processes[from].partition;
            if !self.processes[number].running || !same_partition {
                continue;
            }
            if !self.is_up(number) {
                // The message stays in the socket buffer of the paused process.
                let due_at = self.processes[number].paused_until;
                self.in_flight.push(FleetMessage {
                    due_at,
                    from,
                    to,
                    message,
                });
                continue;
            }
            self.receive(number, from, &message);
        }
    }

    fn receive(&mut self, number: usize, from: usize, message: &ControlMessage) {
        let before = self.processes[number].config.version();
        if self.processes[number].config.needs_version(message.version) && self.is_up(from) {
            let theirs = self.processes[from].config.clone();
            let mine = &mut self.processes[number].config;
            mine.apply(theirs.version(), theirs.text());
        }
        let now = self.now;
        let process = &mut self.processes[number];
        assert!(
            process.config.version() >= before,
            "the configuration version decreased"
        );
        let actions = process.roster.receive(message, now);
        self.send(number, actions);
    }

    fn view(&self, number: usize) -> RoutingView {
        let process = &self.processes[number];
        let config = &process.config;
        RoutingView::build(
            config.version(),
            config.rules().clone(),
            &secret(),
            process.roster.members(),
        )
    }

    fn load(&self, number: usize) -> HostLoad {
        HostLoad {
            flows: 0,
            pending: 0,
            limit: 1_000,
            draining: self.processes[number].drained_at.is_some(),
        }
    }

    /// Sends a packet that opens a flow through one of the balancers.
    fn open_flow(&mut self, service: ServiceId, caller: u32) {
        let balancer = caller as usize % BALANCERS;
        let packet = packet(true, &caller.to_be_bytes().repeat(2));
        let Some((host, header)) = self.route(balancer, service, &packet) else {
            return;
        };
        let number = process_number(host.address);
        let must_know_drain = self.must_know_drain(number, balancer);
        assert!(!must_know_drain, "a new flow was sent to a draining host");
        if self.deliver_packet(number, balancer, &header, &packet) != Some(true) {
            return;
        }
        let process = &self.processes[number];
        let role = process.roster.own_entry().role;
        let serves_flow =
            matches!(role, MemberRole::Host { service: own_service, .. } if own_service == service);
        assert!(
            serves_flow,
            "a flow was opened at a host of another service"
        );
        let token = RouteToken {
            key: KeyNumber(1),
            service,
            host: process.roster.own_entry().process,
            nonce: caller,
        };
        self.flows.push(FleetFlow {
            service,
            host: token.host,
            token: token.seal(&secret().route_key(KeyNumber(1))).to_vec(),
        });
    }

    /// Returns whether a balancer has had enough time to learn that a host drains.
    fn must_know_drain(&self, number: usize, balancer: usize) -> bool {
        let host = &self.processes[number];
        let balancer = &self.processes[balancer];
        let Some(drained_at) = host
            .drained_at
            .filter(|_| host.partition == balancer.partition)
        else {
            return false;
        };
        let disturbed_at = host.undisturbed_since.max(balancer.undisturbed_since);
        // A balancer that missed the announcement learns of it from a digest.
        let (since, limit) = match disturbed_at >= drained_at {
            true => (disturbed_at, PROPAGATION_LIMIT),
            false => (drained_at, DRAIN_LIMIT),
        };
        self.now.since(since) > limit
    }

    fn route(
        &self,
        balancer: usize,
        service: ServiceId,
        packet: &[u8],
    ) -> Option<(ProcessId, ForwardHeader)> {
        if !self.is_up(balancer) || self.processes[balancer].config.version() == 0 {
            return None;
        }
        let view = self.view(balancer);
        let loads = LoadTable::default();
        let context = BalancerContext {
            address: address(balancer),
            view: &view,
            loads: &loads,
        };
        let path = EntryPath {
            source: SocketAddrV4::new([192, 0, 2, 1].into(), 5_000),
            destination: SocketAddrV4::new([10, 0, 0, service.0 as u8].into(), 443),
        };
        match route_packet(&context, &path, packet, self.now) {
            RouteAction::Forward { host, header } => Some((host, header)),
            RouteAction::Reset { .. } | RouteAction::Drop(_) => None,
        }
    }

    /// Returns whether the process accepts the packet, or `None` if the packet
    /// does not reach it.
    fn deliver_packet(
        &self,
        number: usize,
        balancer: usize,
        header: &ForwardHeader,
        packet: &[u8],
    ) -> Option<bool> {
        let process = &self.processes[number];
        if !self.is_up(number) || process.partition != self.processes[balancer].partition {
            return None;
        }
        let router = process.router.as_ref()?;
        let incarnation = process.roster.own_entry().process.incarnation;
        let action = router.receive(incarnation, header, packet, &self.load(number), self.now);
        Some(action == HostAction::Accept)
    }

    fn check(&mut self) {
        self.check_flows();
        self.check_changes();
    }

    /// Checks that every packet of an open flow reaches its host or no process.
    fn check_flows(&mut self) {
        let processes = &self.processes;
        self.flows.retain(|flow| {
            let process = &processes[process_number(flow.host.address)];
            process.running && process.roster.own_entry().process == flow.host
                || process.router.is_some()
        });
        for flow in &self.flows {
            let packet = packet(false, &flow.token);
            for balancer in 0..BALANCERS {
                self.check_packet(flow, balancer, &packet);
            }
        }
    }

    fn check_packet(&self, flow: &FleetFlow, balancer: usize, packet: &[u8]) {
        let number = process_number(flow.host.address);
        let process = &self.processes[number];
        let is_alive = process.running && process.roster.own_entry().process == flow.host;
        let routed = self.route(balancer, flow.service, packet);
        let accepted =
            routed.and_then(|(_, header)| self.deliver_packet(number, balancer, &header, packet));
        if !is_alive {
            assert_ne!(
                accepted,
                Some(true),
                "another process accepted a packet of a flow"
            );
            return;
        }
        let is_suspected = |one: usize, other: usize| {
            let one = &self.processes[one];
            self.now <= one.may_suspect_until && one.may_suspect >> other & 1 == 1
        };
        let reachable = self.is_up(number)
            && self.is_up(balancer)
            && self.processes[balancer].config.version() > 0
            && process.partition == self.processes[balancer].partition
            && !is_suspected(number, balancer)
            && !is_suspected(balancer, number);
        if reachable {
            let host_id = process.roster.own_entry().process;
            assert_eq!(
                accepted,
                Some(true),
                "a packet of an open flow was not accepted: host {host_id}, balancer {balancer}, \
                 {routed:?}"
            );
        }
    }

    /// Checks that an accepted configuration change is in force in every reachable
    /// process within the limit.
    fn check_changes(&self) {
        for change in &self.accepted_changes {
            let due_at = change.accepted_at + PROPAGATION_LIMIT;
            if self.now < due_at
                || self.processes[change.first].undisturbed_since >= change.accepted_at
            {
                continue;
            }
            for number in (0..PROCESSES).filter(|number| self.is_up(*number)) {
                let process = &self.processes[number];
                let was_undisturbed = process.undisturbed_since < change.accepted_at;
                let first = &self.processes[change.first];
                let reachable = self.is_up(change.first) && process.partition == first.partition;
                if was_undisturbed && reachable {
                    let version = process.config.version();
                    assert!(
                        version >= change.version,
                        "a configuration change is not in force in time"
                    );
                }
            }
        }
    }
}

/// Returns a QUIC version 1 packet with this destination connection ID: an Initial
/// packet if `is_opening`, and a short header packet otherwise.
fn packet(is_opening: bool, connection_id: &[u8]) -> Vec<u8> {
    if is_opening {
        let length = connection_id.len() as u8;
        return [&[0xc0, 0, 0, 0, 1, length], connection_id, &[0; 40]].concat();
    }
    [&[0x40], connection_id, &[0; 20]].concat()
}
