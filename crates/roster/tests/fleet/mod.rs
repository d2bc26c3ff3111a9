//! A few processes, the messages between them, and what must hold.

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
const SPREAD_LIMIT: Duration = Duration::from_secs(16);
const LEAVE_LIMIT: Duration = Duration::from_secs(3);
/// A host that was silent for this long may have been given up.
const SILENCE_LIMIT: Duration = Duration::from_secs(11);
/// Each process tries each absent one in turn.
const DOUBT_LIMIT: Duration = Duration::from_secs(40);
/// Long, so that changes spread between processes.
const POLL_INTERVAL: Duration = Duration::from_secs(60);
const EVERYBODY: u32 = u32::MAX;
const QUIET_TIME: Duration = Duration::from_secs(90);

#[derive(Debug, Clone)]
pub struct FleetModel;

#[derive(Debug, Clone)]
pub enum FleetStep {
    Wait(u64),
    Open {
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
    /// Another service's host comes up at the address.
    Reuse(usize),
    /// Processes with a set bit are parted from the others.
    Part(u32),
    Heal,
    /// Percent of messages that are lost.
    Lose(u8),
    /// Whether the platform answers.
    Platform(bool),
    Configure {
        first: usize,
        readable: bool,
    },
}

#[derive(Debug)]
struct FleetProcess {
    roster: RosterState,
    config: ConfigState,
    gate: Option<HostRouter>,
    running: bool,
    paused_until: MonotonicTime,
    paused_since: MonotonicTime,
    side: bool,
    /// Since when it runs and reaches those on its side.
    undisturbed: MonotonicTime,
    /// Those that it was parted from in the present partition, one bit each.
    strangers: u32,
    /// Until when it and those in `doubted` may hold each other for gone.
    doubted_until: MonotonicTime,
    doubted: u32,
    drained: Option<MonotonicTime>,
    next_poll: MonotonicTime,
}

#[derive(Debug)]
struct FleetFlow {
    service: ServiceId,
    host: ProcessId,
    token: Vec<u8>,
}

#[derive(Debug)]
struct FleetMessage {
    due: MonotonicTime,
    from: usize,
    to: SocketAddrV4,
    message: ControlMessage,
}

#[derive(Debug)]
struct AcceptedChange {
    version: u64,
    at: MonotonicTime,
    first: usize,
}

#[derive(Debug)]
pub struct FleetUnderTest {
    processes: Vec<FleetProcess>,
    flows: Vec<FleetFlow>,
    messages: Vec<FleetMessage>,
    changes: Vec<AcceptedChange>,
    stored: (u64, String),
    platform: bool,
    loss: f64,
    parted_since: Option<MonotonicTime>,
    incarnation: u32,
    now: MonotonicTime,
    random: StdRng,
}

fn address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 1, 0, number as u8].into(), 7_000)
}

fn number_of(address: SocketAddrV4) -> usize {
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

fn first_service(number: usize) -> Option<ServiceId> {
    let host = number.checked_sub(BALANCERS)?;
    Some(ServiceId(1 + (host % usize::from(SERVICES)) as u16))
}

impl FleetUnderTest {
    pub fn start() -> Self {
        let mut fleet = Self {
            processes: Vec::new(),
            flows: Vec::new(),
            messages: Vec::new(),
            changes: Vec::new(),
            stored: (1, rules(1)),
            platform: true,
            loss: 0.0,
            parted_since: None,
            incarnation: 100,
            now: MonotonicTime::from_millis(1),
            random: StdRng::seed_from_u64(1),
        };
        for number in 0..PROCESSES {
            let process = fleet.new_process(number, first_service(number));
            fleet.processes.push(process);
        }
        fleet.run(Duration::from_secs(12));
        let read = |process: &FleetProcess| process.config.version() == 1;
        assert!(fleet.processes.iter().all(read), "the first rules");
        fleet
    }

    pub fn apply(&mut self, step: &FleetStep) {
        match *step {
            FleetStep::Wait(millis) => self.run(Duration::from_millis(millis)),
            FleetStep::Open { service, caller } => self.open(ServiceId(1 + service), caller),
            FleetStep::Kill(number) => self.processes[number].running = false,
            FleetStep::Restart(number) => self.restart(number, first_service(number)),
            FleetStep::Reuse(number) => {
                let other = first_service(number).map(|it| ServiceId(SERVICES + 1 - it.0));
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
            FleetStep::Part(mask) => self.part(mask),
            FleetStep::Heal => self.part(0),
            FleetStep::Lose(percent) => self.loss = f64::from(percent % 10) / 100.0,
            FleetStep::Platform(up) => self.platform = up,
            FleetStep::Configure { first, readable } => self.configure(first, readable),
        }
        self.check();
    }

    /// Mends everything, waits, and checks that all agree.
    pub fn end_quietly(&mut self) {
        self.part(0);
        self.loss = 0.0;
        self.platform = true;
        self.run(QUIET_TIME);
        self.check();
        let up: Vec<usize> = (0..PROCESSES).filter(|it| self.is_up(*it)).collect();
        let present = |number: usize| -> Vec<MemberEntry> {
            let members = self.processes[number].roster.members().iter();
            members
                .filter(|it| it.state.is_present())
                .copied()
                .collect()
        };
        for number in &up {
            assert!(self.processes[*number].roster.is_confirmed(self.now));
            assert_eq!(present(*number), present(up[0]), "rosters after quiet");
            assert_eq!(present(*number).len(), up.len(), "members after quiet");
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
        let mut roster = RosterState::new(entry, self.random.random());
        // With the platform away, one known peer is enough.
        let peer = (0..self.processes.len()).find(|it| *it != number && self.is_up(*it));
        if let Some(peer) = peer {
            roster.add_contact(address(peer));
        }
        FleetProcess {
            roster,
            config: ConfigState::default(),
            gate: service.map(HostRouter::new),
            running: true,
            paused_until: MonotonicTime::default(),
            paused_since: MonotonicTime::default(),
            side: false,
            undisturbed: self.now,
            strangers: EVERYBODY,
            doubted_until: MonotonicTime::default(),
            doubted: 0,
            drained: None,
            next_poll: self.now,
        }
    }

    fn restart(&mut self, number: usize, service: Option<ServiceId>) {
        let side = self.processes[number].side;
        self.processes[number] = self.new_process(number, service);
        self.processes[number].side = side;
    }

    fn drain(&mut self, number: usize) {
        if !self.is_up(number) || self.processes[number].drained.is_some() {
            return;
        }
        let now = self.now;
        let process = &mut self.processes[number];
        process.roster.declare(MemberState::Draining, now);
        process.drained = Some(now);
        let actions = process.roster.farewell(process.config.version(), now);
        self.send(number, actions);
    }

    fn part(&mut self, mask: u32) {
        let now = self.now;
        let long = self
            .parted_since
            .is_some_and(|since| now.since(since) >= SILENCE_LIMIT);
        let parted = mask.trailing_zeros() < PROCESSES as u32;
        for (number, process) in self.processes.iter_mut().enumerate() {
            process.side = mask >> number & 1 == 1;
            process.undisturbed = now;
            if long {
                process.doubted_until = now + DOUBT_LIMIT;
                process.doubted |= process.strangers;
            }
            if !parted {
                process.strangers = 0;
            }
        }
        self.note_strangers();
        let since = self.parted_since.unwrap_or(now);
        self.parted_since = parted.then_some(since);
    }

    fn note_strangers(&mut self) {
        let sides: Vec<bool> = self.processes.iter().map(|it| it.side).collect();
        for process in &mut self.processes {
            for (number, side) in sides.iter().enumerate() {
                process.strangers |= u32::from(*side != process.side) << number;
            }
        }
    }

    fn configure(&mut self, first: usize, readable: bool) {
        if !self.platform || !self.is_up(first) {
            return;
        }
        let version = self.stored.0 + 1;
        let text = match readable {
            true => rules(version),
            false => "service without a number\n".to_owned(),
        };
        self.processes[first].config.offer(version, &text);
        self.stored = (version, text);
        if readable {
            self.changes.push(AcceptedChange {
                version,
                at: self.now,
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
                self.wake(number);
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

    fn wake(&mut self, number: usize) {
        let now = self.now;
        let process = &mut self.processes[number];
        if process.paused_since == MonotonicTime::default() || now < process.paused_until {
            return;
        }
        process.undisturbed = now;
        if now.since(process.paused_since) >= SILENCE_LIMIT {
            process.doubted_until = now + DOUBT_LIMIT;
            process.doubted = EVERYBODY;
        }
        process.paused_since = MonotonicTime::default();
    }

    fn tick(&mut self, number: usize) {
        let now = self.now;
        let process = &mut self.processes[number];
        let version = process.config.version();
        if self.platform && now >= process.next_poll {
            process.next_poll = now + POLL_INTERVAL;
            process.config.offer(self.stored.0, &self.stored.1);
            for contact in 0..PROCESSES {
                process.roster.add_contact(address(contact));
            }
        }
        let actions = process.roster.tick(version, now);
        self.send(number, actions);
    }

    fn send(&mut self, from: usize, actions: Vec<RosterAction>) {
        for RosterAction::Send { to, message } in actions {
            // Some are doubled, some late, and most overtake each other.
            let copies = if self.random.random_bool(0.05) { 2 } else { 1 };
            for _ in 0..copies {
                if self.random.random_bool(self.loss) {
                    continue;
                }
                let late = self.random.random_bool(0.02);
                let longest = if late { 3_000 } else { 30 };
                let delay = Duration::from_millis(self.random.random_range(1..longest));
                self.messages.push(FleetMessage {
                    due: self.now + delay,
                    from,
                    to,
                    message: message.clone(),
                });
            }
        }
    }

    fn deliver(&mut self) {
        let messages = std::mem::take(&mut self.messages);
        let (due, later) = messages.into_iter().partition(|it| it.due <= self.now);
        self.messages = later;
        for FleetMessage {
            from, to, message, ..
        } in due
        {
            let number = number_of(to);
            let same_side = self.processes[number].side == self.processes[from].side;
            if !self.processes[number].running || !same_side {
                continue;
            }
            if !self.is_up(number) {
                // It waits in the socket of the paused process.
                let due = self.processes[number].paused_until;
                self.messages.push(FleetMessage {
                    due,
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
        if self.processes[number].config.wants(message.version) && self.is_up(from) {
            let theirs = self.processes[from].config.clone();
            let mine = &mut self.processes[number].config;
            mine.offer(theirs.version(), theirs.text());
        }
        let now = self.now;
        let process = &mut self.processes[number];
        assert!(process.config.version() >= before, "a version went back");
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
            draining: self.processes[number].drained.is_some(),
        }
    }

    /// Sends a packet that opens a flow through some balancer.
    fn open(&mut self, service: ServiceId, caller: u32) {
        let balancer = caller as usize % BALANCERS;
        let packet = packet(true, &caller.to_be_bytes().repeat(2));
        let Some((host, header)) = self.route(balancer, service, &packet) else {
            return;
        };
        let number = number_of(host.address);
        let late = self.is_late(number, balancer);
        assert!(!late, "a new flow was sent to a host that leaves");
        if self.hand_over(number, balancer, &header, &packet) != Some(true) {
            return;
        }
        let process = &self.processes[number];
        let role = process.roster.me().role;
        let served = matches!(role, MemberRole::Host { service: it, .. } if it == service);
        assert!(served, "a flow was opened at the wrong service");
        let token = RouteToken {
            key: KeyNumber(1),
            service,
            host: process.roster.me().process,
            nonce: caller,
        };
        self.flows.push(FleetFlow {
            service,
            host: token.host,
            token: token.seal(&secret().route_key(KeyNumber(1))).to_vec(),
        });
    }

    /// Returns whether a balancer has had the time to hear that a host leaves.
    fn is_late(&self, number: usize, balancer: usize) -> bool {
        let host = &self.processes[number];
        let balancer = &self.processes[balancer];
        let Some(drained) = host.drained.filter(|_| host.side == balancer.side) else {
            return false;
        };
        let disturbed = host.undisturbed.max(balancer.undisturbed);
        // One that could not hear it at once is told by a digest.
        let (since, limit) = match disturbed >= drained {
            true => (disturbed, SPREAD_LIMIT),
            false => (drained, LEAVE_LIMIT),
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

    /// Returns whether the process at the address takes the packet, or nothing
    /// when it does not get it.
    fn hand_over(
        &self,
        number: usize,
        balancer: usize,
        header: &ForwardHeader,
        packet: &[u8],
    ) -> Option<bool> {
        let process = &self.processes[number];
        if !self.is_up(number) || process.side != self.processes[balancer].side {
            return None;
        }
        let gate = process.gate.as_ref()?;
        let me = process.roster.me().process.incarnation;
        let action = gate.receive(me, header, packet, &self.load(number), self.now);
        Some(action == HostAction::Accept)
    }

    fn check(&mut self) {
        self.check_flows();
        self.check_changes();
    }

    /// Every packet of an open flow reaches its host, or nobody.
    fn check_flows(&mut self) {
        let processes = &self.processes;
        self.flows.retain(|flow| {
            let process = &processes[number_of(flow.host.address)];
            process.running && process.roster.me().process == flow.host || process.gate.is_some()
        });
        for flow in &self.flows {
            let packet = packet(false, &flow.token);
            for balancer in 0..BALANCERS {
                self.check_packet(flow, balancer, &packet);
            }
        }
    }

    fn check_packet(&self, flow: &FleetFlow, balancer: usize, packet: &[u8]) {
        let number = number_of(flow.host.address);
        let process = &self.processes[number];
        let lives = process.running && process.roster.me().process == flow.host;
        let routed = self.route(balancer, flow.service, packet);
        let taken =
            routed.and_then(|(_, header)| self.hand_over(number, balancer, &header, packet));
        if !lives {
            assert_ne!(taken, Some(true), "another process took a packet of a flow");
            return;
        }
        let doubts = |one: usize, other: usize| {
            let one = &self.processes[one];
            self.now <= one.doubted_until && one.doubted >> other & 1 == 1
        };
        let reachable = self.is_up(number)
            && self.is_up(balancer)
            && self.processes[balancer].config.version() > 0
            && process.side == self.processes[balancer].side
            && !doubts(number, balancer)
            && !doubts(balancer, number);
        if reachable {
            let me = process.roster.me().process;
            assert_eq!(
                taken,
                Some(true),
                "a packet of an open flow was not taken: {me}, balancer {balancer}, {routed:?}"
            );
        }
    }

    /// An accepted change is in force everywhere in time.
    fn check_changes(&self) {
        for change in &self.changes {
            let due = change.at + SPREAD_LIMIT;
            if self.now < due || self.processes[change.first].undisturbed >= change.at {
                continue;
            }
            for number in (0..PROCESSES).filter(|it| self.is_up(*it)) {
                let process = &self.processes[number];
                let undisturbed = process.undisturbed < change.at;
                let first = &self.processes[change.first];
                let reachable = self.is_up(change.first) && process.side == first.side;
                if undisturbed && reachable {
                    let version = process.config.version();
                    assert!(version >= change.version, "a change is not in force");
                }
            }
        }
    }
}

/// A packet of QUIC version 1 with this connection ID.
fn packet(opens: bool, connection: &[u8]) -> Vec<u8> {
    if opens {
        let length = connection.len() as u8;
        return [&[0xc0, 0, 0, 0, 1, length], connection, &[0; 40]].concat();
    }
    [&[0x40], connection, &[0; 20]].concat()
}
