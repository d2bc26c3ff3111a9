//! Measures ways of placing new flows: imbalance and lost handshakes.
//!
//! Drives the decisions of balancers and hosts in simulated time, with fixed
//! seeds. Each packet goes to a random balancer. A handshake is lost when its
//! packets reach different hosts, or none. Prints one line of JSON per run.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use hyssopstair_routing::balancer::BalancerContext;
use hyssopstair_routing::balancer::RouteAction;
use hyssopstair_routing::balancer::route_packet;
use hyssopstair_routing::host::HandoverMargin;
use hyssopstair_routing::host::HostAction;
use hyssopstair_routing::host::HostLoad;
use hyssopstair_routing::host::HostRouter;
use hyssopstair_routing::loads::LoadTable;
use hyssopstair_routing::view::RoutingView;
use hyssopstair_rules::rule_set::RuleSet;
use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::entry::EntryPath;
use hyssopstair_wire::packet::ForwardHeader;
use hyssopstair_wire::packet::LoadReport;
use hyssopstair_wire::time::MonotonicTime;
use hyssopstair_wire::token::FleetSecret;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const BALANCERS: usize = 3;
const HOSTS: usize = 7;
const CONNECTIONS: u32 = 2_000;
/// Mean time that a flow is open, in microseconds.
const LIFETIME: f64 = 20_000_000.0;
/// Time before measurement and time of measurement, in lifetimes.
const WARM_UP: f64 = 4.0;
const MEASURED: f64 = 8.0;
/// Packets that a flow sends back, per microsecond.
const RETURN_RATE: f64 = 0.5e-6;
const TICK: u64 = 10_000;
const SAMPLE: u64 = 1_000_000;
/// Time between two changes of the roster, in microseconds.
const CHANGE: u64 = 10_000_000;
/// Time between two bursts, in microseconds.
const BURST_PERIOD: u64 = 30_000_000;
/// Time from a burst to its measurement, in microseconds.
const BURST_SAMPLE: u64 = 3_000_000;
/// Time that the flows of a burst are open, in microseconds.
const BURST_LIFETIME: u64 = 10_000_000;
/// Bursts of a run.
const BURSTS: u64 = 100;
/// Time from a host to a balancer, in microseconds.
const INNER_LATENCY: u64 = 500;
/// Longest time until a balancer learns of a change, in microseconds.
const LEARN: u64 = 2_000_000;
/// Age of load reports under [`PlacementMethod::TwoChoices`], in ticks.
const REPORT_LAG: usize = 200;
/// Time between two such reports, in ticks.
const REPORT_INTERVAL: u64 = 50;

#[derive(Debug, Clone, Copy)]
enum PlacementMethod {
    /// The first host of the list.
    Hashing,
    /// The first host decides by its own load.
    HandOver(HandoverMargin),
    /// The balancer chooses between two hosts by late reports.
    TwoChoices,
}

#[derive(Debug, Clone, Copy)]
struct TrialPlan {
    name: &'static str,
    method: PlacementMethod,
    flows: u32,
    /// One-way time between callers and hosts, in microseconds.
    latency: u64,
    /// Whether host 0 always reports that it has no flows.
    has_liar: bool,
    has_changes: bool,
    /// Time in which all flows arrive together, in microseconds; without it
    /// they arrive one by one.
    burst: Option<u64>,
    seed: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum TrialEvent {
    Arrive,
    Burst,
    Reply { host: usize, flows: u32 },
    Packet { flow: usize, is_first: bool },
    Established { flow: usize },
    Depart { host: usize },
    Tick,
    Sample,
    Change,
    Learn { balancer: usize },
}

struct TrialHost {
    process: ProcessId,
    gate: HostRouter,
    flows: u32,
    draining: bool,
    /// Flows at each of the last ticks, the latest one last.
    history: Vec<u32>,
}

struct TrialBalancer {
    view: RoutingView,
    loads: LoadTable,
    reports: Vec<u32>,
}

#[derive(Debug, Clone, Copy, Default)]
struct TrialFlow {
    host: Option<usize>,
    is_lost: bool,
}

#[derive(Debug, Default)]
struct TrialResult {
    opened: u64,
    lost: u64,
    handed_over: u64,
    samples: u32,
    max_over_mean: f64,
    variation: f64,
}

struct PlacementTrial {
    plan: TrialPlan,
    random: StdRng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, TrialEvent)>>,
    sequence: u64,
    rules: Arc<RuleSet>,
    hosts: Vec<TrialHost>,
    balancers: Vec<TrialBalancer>,
    flows: Vec<TrialFlow>,
    result: TrialResult,
}

fn host_process(index: usize) -> ProcessId {
    ProcessId {
        address: SocketAddrV4::new([10, 1, 0, index as u8].into(), 7000),
        incarnation: HostIncarnation(1),
    }
}

impl PlacementTrial {
    fn new(plan: TrialPlan) -> Self {
        let text = "service one id 1 address 10.0.0.1:443  # trial\nkey 1  # trial\n";
        let rules = Arc::new(RuleSet::parse(text).expect("the rules are valid"));
        let margin = match plan.method {
            PlacementMethod::HandOver(margin) => margin,
            // Hands over at full or draining hosts only.
            PlacementMethod::Hashing | PlacementMethod::TwoChoices => HandoverMargin {
                flows: u32::MAX,
                percent: 0,
            },
        };
        let host = |index| TrialHost {
            process: host_process(index),
            gate: HostRouter::with_margin(ServiceId(1), margin),
            flows: 0,
            draining: false,
            history: Vec::new(),
        };
        let mut trial = Self {
            plan,
            random: StdRng::seed_from_u64(plan.seed),
            now: 0,
            queue: BinaryHeap::new(),
            sequence: 0,
            rules,
            hosts: (0..HOSTS).map(host).collect(),
            balancers: Vec::new(),
            flows: Vec::new(),
            result: TrialResult::default(),
        };
        let view = trial.view();
        let balancer = |_| TrialBalancer {
            view: view.clone(),
            loads: LoadTable::default(),
            reports: vec![0; HOSTS],
        };
        trial.balancers = (0..BALANCERS).map(balancer).collect();
        trial
    }

    fn view(&self) -> RoutingView {
        let member = |host: &TrialHost| MemberEntry {
            process: host.process,
            counter: 0,
            role: MemberRole::Host {
                service: ServiceId(1),
                zone: 1,
                weight: 1,
            },
            state: if host.draining {
                MemberState::Draining
            } else {
                MemberState::Alive
            },
        };
        let members: Vec<_> = self.hosts.iter().map(member).collect();
        let secret = FleetSecret::new([1; 16]);
        RoutingView::build(1, self.rules.clone(), &secret, &members)
    }

    fn schedule(&mut self, delay: u64, event: TrialEvent) {
        self.sequence += 1;
        let entry = (self.now + delay, self.sequence, event);
        self.queue.push(Reverse(entry));
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        let unit: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        (-unit.ln() * mean) as u64
    }

    fn run(mut self) -> TrialResult {
        let end = match self.plan.burst {
            Some(_) => BURSTS * BURST_PERIOD,
            None => ((WARM_UP + MEASURED) * LIFETIME) as u64,
        };
        self.schedule(0, TrialEvent::Tick);
        match self.plan.burst {
            Some(_) => self.schedule(0, TrialEvent::Burst),
            None => {
                self.schedule(0, TrialEvent::Arrive);
                self.schedule(SAMPLE, TrialEvent::Sample);
            }
        }
        if self.plan.has_changes {
            self.schedule(CHANGE, TrialEvent::Change);
        }
        while let Some(Reverse((time, _, event))) = self.queue.pop() {
            if time > end {
                break;
            }
            self.now = time;
            self.step(event);
        }
        let samples = f64::from(self.result.samples);
        self.result.max_over_mean /= samples;
        self.result.variation /= samples;
        self.result
    }

    fn is_measured(&self) -> bool {
        self.plan.burst.is_some() || self.now as f64 > WARM_UP * LIFETIME
    }

    fn step(&mut self, event: TrialEvent) {
        match event {
            TrialEvent::Arrive => self.arrive(),
            TrialEvent::Burst => self.burst(),
            TrialEvent::Reply { host, flows } => self.reply(host, flows),
            TrialEvent::Packet { flow, is_first } => self.deliver(flow, is_first),
            TrialEvent::Established { flow } => self.establish(flow),
            TrialEvent::Depart { host } => self.hosts[host].flows -= 1,
            TrialEvent::Tick => self.tick(),
            TrialEvent::Sample => self.sample(),
            TrialEvent::Change => self.change(),
            TrialEvent::Learn { balancer } => self.balancers[balancer].view = self.view(),
        }
    }

    /// The first flight of a caller has two packets; a twentieth of the callers
    /// repeat one after a second.
    fn arrive(&mut self) {
        const SECOND_PACKET: u64 = 200;
        const REPETITION: u64 = 1_000_000;
        let flow = self.flows.len();
        self.flows.push(TrialFlow::default());
        let packet = |is_first| TrialEvent::Packet { flow, is_first };
        self.schedule(0, packet(true));
        self.schedule(SECOND_PACKET, packet(false));
        if self.random.random_bool(0.05) {
            self.schedule(REPETITION, packet(false));
        }
        if self.plan.burst.is_none() {
            let next = self.exponential(LIFETIME / f64::from(self.plan.flows));
            self.schedule(next, TrialEvent::Arrive);
        }
    }

    fn burst(&mut self) {
        let spread = self.plan.burst.unwrap_or(0);
        for _ in 0..self.plan.flows {
            let delay = self.random.random_range(0..=spread);
            self.schedule(delay, TrialEvent::Arrive);
        }
        self.schedule(BURST_SAMPLE, TrialEvent::Sample);
        self.schedule(BURST_PERIOD, TrialEvent::Burst);
    }

    /// A report that rides on the first packet that a host sends back.
    fn reply(&mut self, host: usize, flows: u32) {
        let balancer = self.random.random_range(0..BALANCERS);
        self.report(host, flows, balancer);
    }

    fn deliver(&mut self, flow: usize, is_first: bool) {
        let host = self.route(flow, is_first);
        if is_first {
            self.flows[flow].host = host;
            self.schedule(2 * self.plan.latency, TrialEvent::Established { flow });
            self.result.opened += u64::from(self.is_measured());
            if let Some(host) = host {
                let flows = self.load(host).report().flows;
                self.schedule(INNER_LATENCY, TrialEvent::Reply { host, flows });
            }
        }
        let is_parted = host.is_none() || self.flows[flow].host != host;
        if is_parted && !self.flows[flow].is_lost {
            self.flows[flow].is_lost = true;
            self.result.lost += u64::from(self.is_measured());
        }
    }

    /// The connection ID that the caller of a flow chose.
    fn connection(&self, flow: usize) -> [u8; 8] {
        (flow as u64 ^ self.plan.seed << 32).to_be_bytes()
    }

    fn route(&mut self, flow: usize, is_first: bool) -> Option<usize> {
        let mut datagram = vec![0xc0, 0, 0, 0, 1, 8];
        datagram.extend_from_slice(&self.connection(flow));
        let index = self.random.random_range(0..BALANCERS);
        let balancer = &self.balancers[index];
        let context = BalancerContext {
            address: "10.2.0.1:7000".parse().expect("the address is valid"),
            view: &balancer.view,
            loads: &balancer.loads,
        };
        let path = EntryPath {
            source: "192.0.2.1:5000".parse().expect("the address is valid"),
            destination: "10.0.0.1:443".parse().expect("the address is valid"),
        };
        let now = MonotonicTime(self.now);
        let action = route_packet(&context, &path, &datagram, now);
        let RouteAction::Forward { host, mut header } = action else {
            return None;
        };
        let mut first = usize::from(host.address.ip().octets()[3]);
        if let (PlacementMethod::TwoChoices, Some(second)) = (self.plan.method, header.second) {
            let second = usize::from(second.process.address.ip().octets()[3]);
            if balancer.reports[second] < balancer.reports[first] {
                header.second = None;
                first = second;
            }
        }
        match self.receive(first, &header, &datagram, now) {
            HostAction::Accept => Some(first),
            HostAction::PassOn { host, header } => {
                self.result.handed_over += u64::from(is_first && self.is_measured());
                self.pass_on(host, &header, &datagram, now)
            }
            HostAction::Reset { .. } | HostAction::Drop(_) => None,
        }
    }

    fn pass_on(
        &self,
        host: ProcessId,
        header: &ForwardHeader,
        datagram: &[u8],
        now: MonotonicTime,
    ) -> Option<usize> {
        let index = usize::from(host.address.ip().octets()[3]);
        match self.receive(index, header, datagram, now) {
            HostAction::Accept => Some(index),
            HostAction::PassOn { host, header } => self.pass_on(host, &header, datagram, now),
            HostAction::Reset { .. } | HostAction::Drop(_) => None,
        }
    }

    fn receive<'a>(
        &self,
        index: usize,
        header: &ForwardHeader,
        datagram: &'a [u8],
        now: MonotonicTime,
    ) -> HostAction<'a> {
        let host = &self.hosts[index];
        let load = self.load(index);
        host.gate
            .receive(host.process.incarnation, header, datagram, &load, now)
    }

    fn load(&self, index: usize) -> HostLoad {
        let host = &self.hosts[index];
        HostLoad {
            flows: host.flows,
            pending: host.gate.pending(MonotonicTime(self.now)),
            limit: CONNECTIONS,
            draining: host.draining,
        }
    }

    fn establish(&mut self, flow: usize) {
        let connection = self.connection(flow);
        let flow = self.flows[flow];
        let Some(host) = flow.host else {
            return;
        };
        // A lost handshake has a packet at this host all the same; its QUIC
        // waits for the rest, so it counts until its lifetime is over.
        if flow.is_lost {
            return;
        }
        self.hosts[host].gate.end_handshake(&connection);
        self.hosts[host].flows += 1;
        let lifetime = match self.plan.burst {
            Some(_) => BURST_LIFETIME,
            None => self.exponential(LIFETIME),
        };
        self.schedule(lifetime, TrialEvent::Depart { host });
        let balancer = self.random.random_range(0..BALANCERS);
        let flows = self.load(host).report().flows;
        self.report(host, flows, balancer);
    }

    fn report(&self, host: usize, flows: u32, balancer: usize) {
        let is_lie = self.plan.has_liar && host == 0;
        let report = LoadReport {
            flows: if is_lie { 0 } else { flows },
            takes_new: !self.hosts[host].draining,
        };
        let now = MonotonicTime(self.now);
        self.balancers[balancer]
            .loads
            .record(self.hosts[host].process, report, now);
    }

    fn tick(&mut self) {
        let tick = self.now / TICK;
        for host in 0..HOSTS {
            let flows = self.hosts[host].flows;
            self.hosts[host].history.push(flows);
            let rate = f64::from(flows) * RETURN_RATE * TICK as f64 / BALANCERS as f64;
            for balancer in 0..BALANCERS {
                if self.random.random_bool(1.0 - (-rate).exp()) {
                    let reported = self.load(host).report().flows;
                    self.report(host, reported, balancer);
                }
            }
        }
        for balancer in 0..BALANCERS {
            let phase = balancer as u64 * REPORT_INTERVAL / BALANCERS as u64;
            if tick % REPORT_INTERVAL == phase {
                self.take_late_reports(balancer);
            }
        }
        self.schedule(TICK, TrialEvent::Tick);
    }

    fn take_late_reports(&mut self, balancer: usize) {
        for host in 0..HOSTS {
            let history = &self.hosts[host].history;
            let late = history.len().checked_sub(1 + REPORT_LAG);
            let is_lie = self.plan.has_liar && host == 0;
            let flows = late.map_or(0, |index| history[index]);
            self.balancers[balancer].reports[host] = if is_lie { 0 } else { flows };
        }
    }

    fn sample(&mut self) {
        if self.plan.burst.is_none() {
            self.schedule(SAMPLE, TrialEvent::Sample);
        }
        if !self.is_measured() {
            return;
        }
        let open: Vec<f64> = self
            .hosts
            .iter()
            .filter(|host| !host.draining)
            .map(|host| f64::from(host.flows))
            .collect();
        let mean = open.iter().sum::<f64>() / open.len() as f64;
        let max = open.iter().copied().fold(0.0, f64::max);
        let squares = open.iter().map(|flows| (flows - mean).powi(2));
        let deviation = (squares.sum::<f64>() / open.len() as f64).sqrt();
        self.result.samples += 1;
        self.result.max_over_mean += max / mean;
        self.result.variation += deviation / mean;
    }

    /// Drains a host, or takes back the one that is drained.
    fn change(&mut self) {
        self.schedule(CHANGE, TrialEvent::Change);
        match self.hosts.iter().position(|host| host.draining) {
            Some(index) => self.hosts[index].draining = false,
            None => {
                let index = self.random.random_range(0..HOSTS);
                self.hosts[index].draining = true;
            }
        }
        for balancer in 0..BALANCERS {
            let delay = self.random.random_range(0..LEARN);
            self.schedule(delay, TrialEvent::Learn { balancer });
        }
    }
}

fn print_trial(plan: TrialPlan) {
    let result = PlacementTrial::new(plan).run();
    println!(
        "{{\"deployment\":\"{}\",\"method\":\"{:?}\",\"flows\":{},\"liar\":{},\"changes\":{},\
         \"burst_us\":{},\"max_over_mean\":{:.4},\"variation\":{:.4},\"opened\":{},\"handed_over\":{},\
         \"lost_handshakes\":{}}}",
        plan.name,
        plan.method,
        plan.flows,
        plan.has_liar,
        plan.has_changes,
        plan.burst.unwrap_or(0),
        result.max_over_mean,
        result.variation,
        result.opened,
        result.handed_over,
        result.lost,
    );
}

fn margin(flows: u32, percent: u32) -> PlacementMethod {
    PlacementMethod::HandOver(HandoverMargin { flows, percent })
}

fn main() {
    let tunes = std::env::args().any(|argument| argument == "--margins");
    let methods = if tunes {
        let margins = [
            (0, 0),
            (1, 0),
            (2, 0),
            (4, 0),
            (8, 0),
            (0, 2),
            (0, 5),
            (1, 5),
        ];
        let method = |pair: &(u32, u32)| margin(pair.0, pair.1);
        margins.iter().map(method).collect()
    } else {
        let chosen = PlacementMethod::HandOver(HandoverMargin::default());
        vec![
            PlacementMethod::Hashing,
            chosen,
            PlacementMethod::TwoChoices,
        ]
    };
    let bursts = std::env::args().any(|argument| argument == "--bursts");
    for (name, latency) in [("foundation", 3_500), ("hydroflow", 1_500)] {
        let plan = |method: PlacementMethod, flows: u32| TrialPlan {
            name,
            method,
            flows,
            latency,
            has_liar: false,
            has_changes: false,
            burst: None,
            seed: 1,
        };
        if bursts {
            print_bursts(&methods, plan);
        } else {
            print_arrivals(&methods, plan);
        }
    }
}

/// Prints trials with flows that arrive one by one.
fn print_arrivals(methods: &[PlacementMethod], plan: impl Fn(PlacementMethod, u32) -> TrialPlan) {
    for flows in [70, 700, 7_000, 12_000] {
        for (has_liar, has_changes) in [(false, false), (true, false), (false, true)] {
            for method in methods {
                print_trial(TrialPlan {
                    has_liar,
                    has_changes,
                    ..plan(*method, flows)
                });
            }
        }
    }
}

/// Prints trials with flows that arrive together at hosts without flows.
fn print_bursts(methods: &[PlacementMethod], plan: impl Fn(PlacementMethod, u32) -> TrialPlan) {
    for flows in [70, 700, 7_000] {
        for spread in [1_000, 20_000, 200_000] {
            for method in methods {
                print_trial(TrialPlan {
                    burst: Some(spread),
                    ..plan(*method, flows)
                });
            }
        }
    }
}
