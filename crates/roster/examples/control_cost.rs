//! Measures the cost of the roster in one daemon, and how fast changes spread.
//!
//! `fleet` drives one roster among simulated members that ping it, answer its
//! pings and gossip changes to it as often as a whole fleet would. `spread` and
//! `lost` run real rosters over a simulated network.

#![allow(missing_docs)]

#[allow(dead_code)]
#[path = "../tests/network/mod.rs"]
mod network;

use std::fs;
use std::time::Duration;

use argh::FromArgs;
use hyssopstair_roster::budget::DATAGRAM_OVERHEAD_BYTES;
use hyssopstair_roster::digest::bucket_hashes;
use hyssopstair_roster::state::RosterAction;
use hyssopstair_roster::state::RosterState;
use hyssopstair_roster::watch::WATCHERS;
use hyssopstair_routing::view::RoutingView;
use hyssopstair_rules::rule_set::RuleSet;
use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::control::ControlBody;
use hyssopstair_wire::control::ControlMessage;
use hyssopstair_wire::control::MAX_ENTRIES;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::packet::PacketKind;
use hyssopstair_wire::packet::encode_packet;
use hyssopstair_wire::packet::split_kind;
use hyssopstair_wire::packet::split_message;
use hyssopstair_wire::time::MonotonicTime;
use hyssopstair_wire::token::FleetSecret;
use network::SimulatedNetwork;
use network::entry;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEED: u64 = 1;
const TICK_MILLIS: u64 = 50;
const DAY_SECONDS: f64 = 86_400.0;

/// Pages that joining members request from one daemon per second: 8,300 restarts
/// per day, each of which requests one page per 39 members, spread evenly over all
/// members.
const PAGES_PER_SECOND: f64 = 8_300.0 / 39.0 / DAY_SECONDS;

/// Measures the cost of the roster and the propagation of changes.
#[derive(FromArgs)]
struct CostArguments {
    #[argh(subcommand)]
    command: CostCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum CostCommand {
    Fleet(FleetArguments),
    Spread(SpreadArguments),
    Lost(LostArguments),
}

/// Measure the cost of one daemon among simulated members.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
struct FleetArguments {
    /// members of the fleet
    #[argh(option)]
    members: usize,
    /// changes per day in the whole fleet
    #[argh(option, default = "33_500.0")]
    changes: f64,
    /// simulated seconds
    #[argh(option, default = "600")]
    seconds: u64,
}

/// Measure how long a change takes to reach every member.
#[derive(FromArgs)]
#[argh(subcommand, name = "spread")]
struct SpreadArguments {
    /// members of the fleet, each with a real roster
    #[argh(option)]
    members: usize,
    /// changes to measure
    #[argh(option, default = "20")]
    changes: usize,
    /// share of messages that are lost
    #[argh(option, default = "0.0")]
    loss: f64,
}

/// Measure how fast the loss or return of many members at once spreads.
#[derive(FromArgs)]
#[argh(subcommand, name = "lost")]
struct LostArguments {
    /// remaining members, each with a real roster
    #[argh(option, default = "200")]
    members: usize,
    /// members that are lost
    #[argh(option, default = "14_000")]
    lost: usize,
    /// share of the lost members in the fleet
    #[argh(option, default = "0.25")]
    share: f64,
    /// measure the return of members that were gone, as after a partition
    #[argh(switch)]
    back: bool,
    /// upper limit of the simulated time, in seconds
    #[argh(option, default = "1_800")]
    seconds: u64,
}

fn main() {
    let arguments: CostArguments = argh::from_env();
    match arguments.command {
        CostCommand::Fleet(arguments) => measure_fleet(&arguments),
        CostCommand::Spread(arguments) => measure_spread(&arguments),
        CostCommand::Lost(arguments) => measure_lost(&arguments),
    }
}

/// One daemon with counters for its traffic and CPU time.
struct CostMeter {
    roster: RosterState,
    now: MonotonicTime,
    sent_bytes: u64,
    sent_messages: u64,
    received_bytes: u64,
    received_messages: u64,
    cpu_nanos: u64,
    sent_actions: Vec<RosterAction>,
}

impl CostMeter {
    fn receive(&mut self, message: &ControlMessage) {
        let packet = encode_packet(PacketKind::Control, message, &[])
            .expect("the message fits into a packet");
        self.received_bytes += packet.len() as u64 + DATAGRAM_OVERHEAD_BYTES;
        self.received_messages += 1;
        let start = cpu_nanos();
        let (_, rest) = split_kind(&packet).expect("the packet is well-formed");
        let (message, _) =
            split_message::<ControlMessage>(rest).expect("the packet is well-formed");
        let actions = self.roster.receive(&message, self.now);
        let packets = encode_all(&actions);
        self.cpu_nanos += cpu_nanos() - start;
        self.record_sent(actions, &packets);
    }

    fn tick(&mut self) {
        let start = cpu_nanos();
        let actions = self.roster.tick(1, self.now);
        let packets = encode_all(&actions);
        self.cpu_nanos += cpu_nanos() - start;
        self.record_sent(actions, &packets);
    }

    fn record_sent(&mut self, actions: Vec<RosterAction>, packets: &[Vec<u8>]) {
        self.sent_messages += packets.len() as u64;
        let lengths = packets
            .iter()
            .map(|packet| packet.len() as u64 + DATAGRAM_OVERHEAD_BYTES);
        self.sent_bytes += lengths.sum::<u64>();
        self.sent_actions.extend(actions);
    }
}

fn encode_all(actions: &[RosterAction]) -> Vec<Vec<u8>> {
    actions
        .iter()
        .map(|RosterAction::Send { message, .. }| {
            encode_packet(PacketKind::Control, message, &[])
                .expect("the message fits into a packet")
        })
        .collect()
}

fn measure_fleet(arguments: &FleetArguments) {
    let before = resident_bytes();
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut meter = join_fleet(arguments.members);
    let memory = resident_bytes().saturating_sub(before);
    let join_cost = (meter.received_bytes, meter.cpu_nanos);
    meter.sent_bytes = 0;
    meter.sent_messages = 0;
    meter.received_bytes = 0;
    meter.received_messages = 0;
    meter.cpu_nanos = 0;
    // Skips the time after joining, when digests are sent more often.
    let start = meter.now + Duration::from_secs(60);
    let copies = (arguments.members as f64).ln().ceil() + 2.0;
    let mut view_nanos = 0;
    let mut changes = meter.roster.change_count();
    let ticks = arguments.seconds * 1_000 / TICK_MILLIS;
    meter.now = start;
    for _ in 0..ticks {
        meter.now = meter.now + Duration::from_millis(TICK_MILLIS);
        meter.tick();
        answer_pings(&mut meter);
        simulate_load(&mut meter, arguments, copies, &mut rng);
        if meter.roster.change_count() != changes {
            changes = meter.roster.change_count();
            view_nanos += build_view(&meter.roster);
        }
    }
    let seconds = arguments.seconds as f64;
    println!(
        "members {} changes/day {} | sent {:.0} B/s {:.2} msg/s | received {:.0} B/s {:.2} msg/s | \
         roster cpu {:.4} % | view cpu {:.4} % | memory {:.1} MB, {:.0} B/member | \
         join: {} KB received, {:.0} ms cpu",
        arguments.members,
        arguments.changes,
        meter.sent_bytes as f64 / seconds,
        meter.sent_messages as f64 / seconds,
        meter.received_bytes as f64 / seconds,
        meter.received_messages as f64 / seconds,
        meter.cpu_nanos as f64 / seconds / 1e7,
        view_nanos as f64 / seconds / 1e7,
        memory as f64 / 1e6,
        memory as f64 / arguments.members as f64,
        join_cost.0 / 1_000,
        join_cost.1 as f64 / 1e6,
    );
}

/// Joins a roster to a fleet of simulated members.
fn join_fleet(members: usize) -> CostMeter {
    let mut roster = RosterState::new(entry(0, 100), SEED);
    roster.add_contact(entry(1, 100).process.address);
    let mut meter = CostMeter {
        roster,
        now: MonotonicTime::from_millis(1),
        sent_bytes: 0,
        sent_messages: 0,
        received_bytes: 0,
        received_messages: 0,
        cpu_nanos: 0,
        sent_actions: Vec::new(),
    };
    meter.tick();
    while let Some(after) = requested_page(&mut meter) {
        let next = after.map_or(1, |address| {
            address.ip().to_bits() as usize - 0x0a00_0000 + 1
        });
        let end = (next + MAX_ENTRIES - 1).min(members);
        let body = ControlBody::Page {
            after,
            known: None,
            entries: (next..end).map(|number| entry(number, 100)).collect(),
            more: end < members,
        };
        let page = message(entry(1, 100), body);
        meter.receive(&page);
    }
    assert_eq!(meter.roster.live_count(), members);
    meter
}

/// Returns the start of the page that the daemon requested, if it requested one.
fn requested_page(meter: &mut CostMeter) -> Option<Option<std::net::SocketAddrV4>> {
    meter.sent_actions.drain(..).find_map(|action| {
        let RosterAction::Send { message, .. } = action;
        match message.body {
            ControlBody::Join { after } => Some(after),
            _ => None,
        }
    })
}

fn answer_pings(meter: &mut CostMeter) {
    for action in std::mem::take(&mut meter.sent_actions) {
        let RosterAction::Send { to, message: sent } = action;
        let ControlBody::Ping { number, .. } = sent.body else {
            continue;
        };
        let members = meter.roster.members();
        let found = members.binary_search_by_key(&to, |known| known.process.address);
        let Ok(index) = found else {
            continue;
        };
        let body = ControlBody::Pong {
            number,
            changes: Vec::new(),
        };
        let pong = message(members[index], body);
        meter.receive(&pong);
    }
    meter.sent_actions.clear();
}

/// Delivers the messages that the rest of the fleet sends to one member in one
/// tick.
fn simulate_load(meter: &mut CostMeter, arguments: &FleetArguments, copies: f64, rng: &mut StdRng) {
    let tick = TICK_MILLIS as f64 / 1_000.0;
    for _ in 0..random_count(WATCHERS as f64 * tick, rng) {
        let number = rng.random_range(1..arguments.members);
        let member = meter.roster.members()[number];
        let changes = vec![member];
        let body = ControlBody::Ping { number: 0, changes };
        meter.receive(&message(member, body));
    }
    for _ in 0..random_count(tick / 10.0, rng) {
        let salt = rng.random();
        let buckets = bucket_hashes(meter.roster.members(), salt);
        let body = ControlBody::Digest { salt, buckets };
        meter.receive(&message(entry(1, 100), body));
    }
    for _ in 0..random_count(tick * PAGES_PER_SECOND, rng) {
        let number = rng.random_range(1..arguments.members);
        let after = Some(entry(number, 100).process.address);
        meter.receive(&message(entry(1, 100), ControlBody::Join { after }));
    }
    for _ in 0..random_count(tick * arguments.changes / DAY_SECONDS, rng) {
        let number = rng.random_range(1..arguments.members);
        let changed = next_change(&meter.roster.members()[number]);
        for _ in 0..copies as usize {
            let sender = entry(rng.random_range(1..arguments.members), 100);
            let body = ControlBody::Changes(vec![changed]);
            meter.receive(&message(sender, body));
        }
    }
}

/// Returns the next entry of a member: it drains, then leaves, then restarts.
fn next_change(known: &MemberEntry) -> MemberEntry {
    let mut next = *known;
    match known.state {
        MemberState::Alive => next.state = MemberState::Draining,
        MemberState::Draining => next.state = MemberState::Gone,
        MemberState::Suspect | MemberState::Gone => {
            next.process.incarnation = HostIncarnation(known.process.incarnation.0 + 1);
            next.state = MemberState::Alive;
        }
    }
    next.counter += 1;
    next
}

fn message(sender: MemberEntry, body: ControlBody) -> ControlMessage {
    ControlMessage {
        sender: sender.process,
        version: 1_000_000,
        body,
    }
}

/// Returns a random number of events with the given mean.
fn random_count(mean: f64, rng: &mut StdRng) -> usize {
    let whole = mean.floor();
    whole as usize + usize::from(rng.random_bool(mean - whole))
}

fn build_view(roster: &RosterState) -> u64 {
    let secret = FleetSecret::new([7; 16]);
    let rules = std::sync::Arc::new(RuleSet::default());
    let start = cpu_nanos();
    let view = RoutingView::build(1, rules, &secret, roster.members());
    std::hint::black_box(&view);
    cpu_nanos() - start
}

fn measure_spread(arguments: &SpreadArguments) {
    let mut network = SimulatedNetwork::new(SEED);
    network.start_fleet(arguments.members);
    network.loss = arguments.loss;
    let mut times = Vec::new();
    for subject in 1..=arguments.changes {
        let now = network.now;
        network.nodes[subject]
            .roster
            .set_state(MemberState::Draining, now);
        let limit = Duration::from_secs(120);
        let elapsed = network.run_until(limit, |network| {
            network.all_hold_state(subject, MemberState::Draining)
        });
        times.push(elapsed.expect("the change reached all members"));
        network.run(Duration::from_secs(5));
    }
    times.sort_unstable();
    println!(
        "members {} loss {} | a change reaches all members in {:?} (median), {:?} (longest of {})",
        arguments.members,
        arguments.loss,
        times[times.len() / 2],
        times[times.len() - 1],
        times.len()
    );
}

fn measure_lost(arguments: &LostArguments) {
    let mut network = SimulatedNetwork::new(SEED);
    network.start_fleet(arguments.members);
    let state = if arguments.back {
        MemberState::Gone
    } else {
        MemberState::Alive
    };
    let lost: Vec<MemberEntry> = (arguments.members..arguments.members + arguments.lost)
        .map(|number| MemberEntry {
            state,
            ..entry(number, 100)
        })
        .collect();
    merge_into_all(&mut network, &lost);
    report_changes(&mut network, &lost);
    network.redirect_share = if arguments.back {
        1.0
    } else {
        1.0 - arguments.share
    };
    let start = network.now;
    let sent: Vec<u64> = network.nodes.iter().map(|node| node.sent_bytes).collect();
    let mut last = sent.clone();
    let mut max_bytes = 0;
    for second in 1..=arguments.seconds {
        network.run(Duration::from_secs(1));
        for (node, last) in network.nodes.iter().zip(&mut last) {
            max_bytes = max_bytes.max(node.sent_bytes - *last);
            *last = node.sent_bytes;
        }
        let stale = count_stale_entries(&network, arguments);
        let share = stale as f64 / (arguments.lost * arguments.members) as f64;
        if second.is_power_of_two() || stale == 0 {
            let total: u64 = network.nodes.iter().map(|node| node.sent_bytes).sum();
            let rate = (total - sent.iter().sum::<u64>()) as f64
                / network.now.since(start).as_secs_f64()
                / arguments.members as f64;
            println!(
                "{second} s: {:.4} % of entries stale, {rate:.0} B/s mean, {max_bytes} B in the \
                 busiest second of a member",
                share * 100.0
            );
        }
        if stale == 0 {
            return;
        }
    }
}

/// Merges entries into all rosters without gossiping them.
fn merge_into_all(network: &mut SimulatedNetwork, entries: &[MemberEntry]) {
    let now = network.now;
    for node in &mut network.nodes {
        node.roster.merge_entries(entries, now);
    }
}

/// Reports the change of each lost member to as many random members as would watch
/// it.
fn report_changes(network: &mut SimulatedNetwork, lost: &[MemberEntry]) {
    let mut rng = StdRng::seed_from_u64(SEED);
    let now = network.now;
    for known in lost {
        let mut changed = *known;
        if known.state == MemberState::Gone {
            changed.state = MemberState::Alive;
            changed.counter += 1;
        } else {
            changed.state = MemberState::Gone;
        }
        for _ in 0..WATCHERS {
            let number = rng.random_range(0..network.nodes.len());
            let body = ControlBody::Changes(vec![changed]);
            let report = message(entry(1, 100), body);
            let actions = network.nodes[number].roster.receive(&report, now);
            network.send_actions(number, actions);
        }
    }
}

fn count_stale_entries(network: &SimulatedNetwork, arguments: &LostArguments) -> usize {
    let live_lost = |node: &network::SimulatedNode| node.roster.live_count() - arguments.members;
    let stale = |node| match arguments.back {
        true => arguments.lost - live_lost(node),
        false => live_lost(node),
    };
    network.nodes.iter().map(stale).sum()
}

/// Returns the CPU time of this thread in nanoseconds, or 0 if it is unknown.
fn cpu_nanos() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|word| word.parse().ok()).unwrap_or(0)
}

fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let second = text.split_whitespace().nth(1);
    second.and_then(|word| word.parse().ok()).unwrap_or(0) * PAGE_BYTES
}
