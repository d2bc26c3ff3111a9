//! Simulates placement methods for new flows and measures load imbalance and lost
//! handshakes.
//!
//! The simulation runs the routing decisions of balancers and hosts in simulated time
//! with fixed seeds. Each packet goes to a random balancer. A handshake is lost if its
//! packets reach different hosts or no host. Each run prints one line of JSON.
//!
//! With `--margins`, the handover margins are compared instead of the methods. With
//! `--bursts`, flows arrive in bursts instead of one by one.

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
/// Maximum number of open flows per host.
const MAX_FLOWS: u32 = 2_000;
/// Mean duration of a flow, in microseconds.
const LIFETIME_MICROS: f64 = 20_000_000.0;
/// Simulated time before the measurement starts, in flow lifetimes.
const WARM_UP_LIFETIMES: f64 = 4.0;
/// Simulated time of the measurement, in flow lifetimes.
const MEASURED_LIFETIMES: f64 = 8.0;
/// Packets per microsecond that a host returns on each flow.
const RETURNS_PER_MICRO: f64 = 0.5e-6;
/// Interval of simulation ticks, in microseconds.
const TICK_MICROS: u64 = 10_000;
/// Interval between samples of the load, in microseconds.
const SAMPLE_MICROS: u64 = 1_000_000;
/// Interval between roster changes, in microseconds.
const CHANGE_MICROS: u64 = 10_000_000;
/// Interval between bursts, in microseconds.
const BURST_PERIOD_MICROS: u64 = 30_000_000;
/// Delay from a burst to the sample of its load, in microseconds.
const BURST_SAMPLE_MICROS: u64 = 3_000_000;
/// Duration of the flows of a burst, in microseconds.
const BURST_LIFETIME_MICROS: u64 = 10_000_000;
/// Number of bursts per run.
const BURST_COUNT: u64 = 100;
/// One-way latency between a host and a balancer, in microseconds.
const INNER_LATENCY_MICROS: u64 = 500;
/// Maximum delay until a balancer learns of a roster change, in microseconds.
const MAX_LEARN_MICROS: u64 = 2_000_000;
/// Age of the load reports for [`PlacementMethod::TwoChoices`], in ticks.
const REPORT_LAG_TICKS: usize = 200;
/// Interval between these reports, in ticks.
const REPORT_INTERVAL_TICKS: u64 = 50;

/// A method for choosing the host of a new flow.
#[derive(Debug, Clone, Copy)]
enum PlacementMethod {
    /// The flow goes to the first host by rendezvous hashing.
    Hashing,
    /// The first host may hand the flow over, based on its own load.
    HandOver(HandoverMargin),
    /// The balancer chooses the less loaded of two hosts by delayed load reports.
    TwoChoices,
}

/// The parameters of a run.
#[derive(Debug, Clone, Copy)]
struct TrialPlan {
    deployment: &'static str,
    method: PlacementMethod,
    /// Mean number of open flows, or number of flows per burst.
    flows: u32,
    /// One-way latency between callers and hosts, in microseconds.
    latency: u64,
    /// Whether host 0 always reports that it has no flows.
    has_false_reports: bool,
    /// Whether hosts are drained and restored during the run.
    has_changes: bool,
    /// Duration in microseconds within which all flows of a burst arrive; `None` if
    /// flows arrive one by one.
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
    UpdateView { balancer: usize },
}

struct TrialHost {
    process: ProcessId,
    router: HostRouter,
    flows: u32,
    draining: bool,
    /// Number of flows at each tick, in order of time.
    history: Vec<u32>,
}

struct TrialBalancer {
    view: RoutingView,
    loads: LoadTable,
    /// Delayed load reports for [`PlacementMethod::TwoChoices`], one per host.
    reports: Vec<u32>,
}

#[derive(Debug, Clone, Copy, Default)]
struct TrialFlow {
    host: Option<usize>,
    is_lost: bool,
}

/// The results of a run. `max_over_mean` and `variation` are sums over the samples
/// until the run ends, and means afterwards.
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
    /// Pending events, ordered by time and sequence number.
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
            // With this margin, only full or draining hosts hand flows over.
            PlacementMethod::Hashing | PlacementMethod::TwoChoices => HandoverMargin {
                flows: u32::MAX,
                percent: 0,
            },
        };
        let host = |index| TrialHost {
            process: host_process(index),
            router: HostRouter::with_margin(ServiceId(1), margin),
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
        let view = trial.build_view();
        let balancer = |_| TrialBalancer {
            view: view.clone(),
            loads: LoadTable::default(),
            reports: vec![0; HOSTS],
        };
        trial.balancers = (0..BALANCERS).map(balancer).collect();
        trial
    }

    /// Returns a view of the current state of the hosts.
    fn build_view(&self) -> RoutingView {
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

    /// Returns an exponentially distributed random number with the given mean.
    fn draw_exponential(&mut self, mean: f64) -> u64 {
        let unit: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        (-unit.ln() * mean) as u64
    }

    fn run(mut self) -> TrialResult {
        let end = match self.plan.burst {
            Some(_) => BURST_COUNT * BURST_PERIOD_MICROS,
            None => ((WARM_UP_LIFETIMES + MEASURED_LIFETIMES) * LIFETIME_MICROS) as u64,
        };
        self.schedule(0, TrialEvent::Tick);
        match self.plan.burst {
            Some(_) => self.schedule(0, TrialEvent::Burst),
            None => {
                self.schedule(0, TrialEvent::Arrive);
                self.schedule(SAMPLE_MICROS, TrialEvent::Sample);
            }
        }
        if self.plan.has_changes {
            self.schedule(CHANGE_MICROS, TrialEvent::Change);
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
        self.plan.burst.is_some() || self.now as f64 > WARM_UP_LIFETIMES * LIFETIME_MICROS
    }

    fn step(&mut self, event: TrialEvent) {
        match event {
            TrialEvent::Arrive => self.start_flow(),
            TrialEvent::Burst => self.start_burst(),
            TrialEvent::Reply { host, flows } => self.receive_reply(host, flows),
            TrialEvent::Packet { flow, is_first } => self.deliver(flow, is_first),
            TrialEvent::Established { flow } => self.establish(flow),
            TrialEvent::Depart { host } => self.hosts[host].flows -= 1,
            TrialEvent::Tick => self.tick(),
            TrialEvent::Sample => self.sample_load(),
            TrialEvent::Change => self.change_roster(),
            TrialEvent::UpdateView { balancer } => {
                self.balancers[balancer].view = self.build_view()
            }
        }
    }

    /// Starts a flow. A caller's first flight has two packets; a twentieth of the
    /// callers retransmit one after a second.
    fn start_flow(&mut self) {
        const SECOND_PACKET_MICROS: u64 = 200;
        const RETRANSMIT_MICROS: u64 = 1_000_000;
        let flow = self.flows.len();
        self.flows.push(TrialFlow::default());
        let packet = |is_first| TrialEvent::Packet { flow, is_first };
        self.schedule(0, packet(true));
        self.schedule(SECOND_PACKET_MICROS, packet(false));
        if self.random.random_bool(0.05) {
            self.schedule(RETRANSMIT_MICROS, packet(false));
        }
        if self.plan.burst.is_none() {
            let delay = self.draw_exponential(LIFETIME_MICROS / f64::from(self.plan.flows));
            self.schedule(delay, TrialEvent::Arrive);
        }
    }

    fn start_burst(&mut self) {
        let spread = self.plan.burst.unwrap_or(0);
        for _ in 0..self.plan.flows {
            let delay = self.random.random_range(0..=spread);
            self.schedule(delay, TrialEvent::Arrive);
        }
        self.schedule(BURST_SAMPLE_MICROS, TrialEvent::Sample);
        self.schedule(BURST_PERIOD_MICROS, TrialEvent::Burst);
    }

    /// Stores the load report in the first packet that a host returns on a flow.
    fn receive_reply(&mut self, host: usize, flows: u32) {
        let balancer = self.random.random_range(0..BALANCERS);
        self.report(host, flows, balancer);
    }

    /// Delivers a packet of a flow's first flight to the host that accepts it, and
    /// counts the handshake as lost if its packets have different hosts.
    fn deliver(&mut self, flow: usize, is_first: bool) {
        let host = self.route(flow, is_first);
        if is_first {
            self.flows[flow].host = host;
            self.schedule(2 * self.plan.latency, TrialEvent::Established { flow });
            self.result.opened += u64::from(self.is_measured());
            if let Some(host) = host {
                let flows = self.load(host).report().flows;
                self.schedule(INNER_LATENCY_MICROS, TrialEvent::Reply { host, flows });
            }
        }
        let is_split = host.is_none() || self.flows[flow].host != host;
        if is_split && !self.flows[flow].is_lost {
            self.flows[flow].is_lost = true;
            self.result.lost += u64::from(self.is_measured());
        }
    }

    /// Returns the connection ID that the caller of a flow chose.
    fn connection_id(&self, flow: usize) -> [u8; 8] {
        (flow as u64 ^ self.plan.seed << 32).to_be_bytes()
    }

    /// Routes a packet through a random balancer and returns the host that accepts it.
    fn route(&mut self, flow: usize, is_first: bool) -> Option<usize> {
        let mut datagram = vec![0xc0, 0, 0, 0, 1, 8];
        datagram.extend_from_slice(&self.connection_id(flow));
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

    /// Passes a packet on to `host` and returns the host that accepts it.
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
        host.router
            .receive(host.process.incarnation, header, datagram, &load, now)
    }

    fn load(&self, index: usize) -> HostLoad {
        let host = &self.hosts[index];
        HostLoad {
            flows: host.flows,
            pending: host.router.pending_count(MonotonicTime(self.now)),
            limit: MAX_FLOWS,
            draining: host.draining,
        }
    }

    /// Ends the handshake of a flow and opens it, unless the handshake is lost.
    fn establish(&mut self, flow: usize) {
        let connection_id = self.connection_id(flow);
        let flow = self.flows[flow];
        let Some(host) = flow.host else {
            return;
        };
        // The host has received a packet of the lost handshake, and its QUIC endpoint
        // waits for the others, so the handshake stays pending until it expires.
        if flow.is_lost {
            return;
        }
        self.hosts[host].router.end_handshake(&connection_id);
        self.hosts[host].flows += 1;
        let lifetime = match self.plan.burst {
            Some(_) => BURST_LIFETIME_MICROS,
            None => self.draw_exponential(LIFETIME_MICROS),
        };
        self.schedule(lifetime, TrialEvent::Depart { host });
        let balancer = self.random.random_range(0..BALANCERS);
        let flows = self.load(host).report().flows;
        self.report(host, flows, balancer);
    }

    /// Sends a load report of a host to a balancer.
    fn report(&self, host: usize, flows: u32, balancer: usize) {
        let is_false_report = self.plan.has_false_reports && host == 0;
        let report = LoadReport {
            flows: if is_false_report { 0 } else { flows },
            takes_new: !self.hosts[host].draining,
        };
        let now = MonotonicTime(self.now);
        self.balancers[balancer]
            .loads
            .record(self.hosts[host].process, report, now);
    }

    /// Sends the load reports that are due.
    fn tick(&mut self) {
        let tick = self.now / TICK_MICROS;
        for host in 0..HOSTS {
            let flows = self.hosts[host].flows;
            self.hosts[host].history.push(flows);
            let rate = f64::from(flows) * RETURNS_PER_MICRO * TICK_MICROS as f64 / BALANCERS as f64;
            for balancer in 0..BALANCERS {
                if self.random.random_bool(1.0 - (-rate).exp()) {
                    let reported = self.load(host).report().flows;
                    self.report(host, reported, balancer);
                }
            }
        }
        for balancer in 0..BALANCERS {
            let phase = balancer as u64 * REPORT_INTERVAL_TICKS / BALANCERS as u64;
            if tick % REPORT_INTERVAL_TICKS == phase {
                self.update_delayed_reports(balancer);
            }
        }
        self.schedule(TICK_MICROS, TrialEvent::Tick);
    }

    fn update_delayed_reports(&mut self, balancer: usize) {
        for host in 0..HOSTS {
            let history = &self.hosts[host].history;
            let delayed = history.len().checked_sub(1 + REPORT_LAG_TICKS);
            let is_false_report = self.plan.has_false_reports && host == 0;
            let flows = delayed.map_or(0, |index| history[index]);
            self.balancers[balancer].reports[host] = if is_false_report { 0 } else { flows };
        }
    }

    /// Adds the current imbalance of the hosts to the result.
    fn sample_load(&mut self) {
        if self.plan.burst.is_none() {
            self.schedule(SAMPLE_MICROS, TrialEvent::Sample);
        }
        if !self.is_measured() {
            return;
        }
        let loads: Vec<f64> = self
            .hosts
            .iter()
            .filter(|host| !host.draining)
            .map(|host| f64::from(host.flows))
            .collect();
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        let max = loads.iter().copied().fold(0.0, f64::max);
        let squares = loads.iter().map(|flows| (flows - mean).powi(2));
        let deviation = (squares.sum::<f64>() / loads.len() as f64).sqrt();
        self.result.samples += 1;
        self.result.max_over_mean += max / mean;
        self.result.variation += deviation / mean;
    }

    /// Drains a random host, or ends the drain of the host that is draining.
    fn change_roster(&mut self) {
        self.schedule(CHANGE_MICROS, TrialEvent::Change);
        match self.hosts.iter().position(|host| host.draining) {
            Some(index) => self.hosts[index].draining = false,
            None => {
                let index = self.random.random_range(0..HOSTS);
                self.hosts[index].draining = true;
            }
        }
        for balancer in 0..BALANCERS {
            let delay = self.random.random_range(0..MAX_LEARN_MICROS);
            self.schedule(delay, TrialEvent::UpdateView { balancer });
        }
    }
}

/// Runs a trial and prints its result as a line of JSON.
fn print_trial(plan: TrialPlan) {
    let result = PlacementTrial::new(plan).run();
    println!(
        "{{\"deployment\":\"{}\",\"method\":\"{:?}\",\"flows\":{},\"liar\":{},\"changes\":{},\
         \"burst_us\":{},\"max_over_mean\":{:.4},\"variation\":{:.4},\"opened\":{},\"handed_over\":{},\
         \"lost_handshakes\":{}}}",
        plan.deployment,
        plan.method,
        plan.flows,
        plan.has_false_reports,
        plan.has_changes,
        plan.burst.unwrap_or(0),
        result.max_over_mean,
        result.variation,
        result.opened,
        result.handed_over,
        result.lost,
    );
}

fn hand_over(flows: u32, percent: u32) -> PlacementMethod {
    PlacementMethod::HandOver(HandoverMargin { flows, percent })
}

fn main() {
    let compares_margins = std::env::args().any(|argument| argument == "--margins");
    let methods = if compares_margins {
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
        let method = |pair: &(u32, u32)| hand_over(pair.0, pair.1);
        margins.iter().map(method).collect()
    } else {
        let default_method = PlacementMethod::HandOver(HandoverMargin::default());
        vec![
            PlacementMethod::Hashing,
            default_method,
            PlacementMethod::TwoChoices,
        ]
    };
    let has_bursts = std::env::args().any(|argument| argument == "--bursts");
    for (deployment, latency) in [("foundation", 3_500), ("hydroflow", 1_500)] {
        let plan = |method: PlacementMethod, flows: u32| TrialPlan {
            deployment,
            method,
            flows,
            latency,
            has_false_reports: false,
            has_changes: false,
            burst: None,
            seed: 1,
        };
        if has_bursts {
            print_bursts(&methods, plan);
        } else {
            print_arrivals(&methods, plan);
        }
    }
}

/// Runs and prints the trials in which flows arrive one by one.
fn print_arrivals(methods: &[PlacementMethod], plan: impl Fn(PlacementMethod, u32) -> TrialPlan) {
    for flows in [70, 700, 7_000, 12_000] {
        for (has_false_reports, has_changes) in [(false, false), (true, false), (false, true)] {
            for method in methods {
                print_trial(TrialPlan {
                    has_false_reports,
                    has_changes,
                    ..plan(*method, flows)
                });
            }
        }
    }
}

/// Runs and prints the trials in which flows arrive in bursts at idle hosts.
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
