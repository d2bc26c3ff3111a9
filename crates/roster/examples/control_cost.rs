//! Measures what the roster costs one daemon, and how fast changes spread.
//!
//! `fleet` drives one roster among made-up members that ping it, answer it and
//! pass changes on to it as often as a whole fleet would. `spread` and `lost`
//! run real rosters that talk through a bag of messages.

#![allow(missing_docs)]

#[allow(dead_code)]
#[path = "../tests/bag/mod.rs"]
mod bag;

use std::fs;
use std::time::Duration;

use argh::FromArgs;
use bag::MessageBag;
use bag::entry;
use hyssopstair_roster::budget::DATAGRAM_OVERHEAD;
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
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SEED: u64 = 1;
const TICK_MILLIS: u64 = 50;
const DAY_SECONDS: f64 = 86_400.0;

/// Pages that members who join ask of one daemon in a second: 8,300 restarts a
/// day, each of one page per 39 members, spread over all members.
const PAGES_PER_SECOND: f64 = 8_300.0 / 39.0 / DAY_SECONDS;

/// Measures the cost of the roster.
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

/// One daemon among made-up members.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
struct FleetArguments {
    /// members of the fleet
    #[argh(option)]
    members: usize,
    /// changes a day in the whole fleet
    #[argh(option, default = "33_500.0")]
    changes: f64,
    /// simulated seconds
    #[argh(option, default = "600")]
    seconds: u64,
}

/// How long a change takes to reach every member.
#[derive(FromArgs)]
#[argh(subcommand, name = "spread")]
struct SpreadArguments {
    /// members of the fleet, all real
    #[argh(option)]
    members: usize,
    /// changes that are measured
    #[argh(option, default = "20")]
    changes: usize,
    /// share of messages that are lost
    #[argh(option, default = "0.0")]
    loss: f64,
}

/// Many members that are lost at once.
#[derive(FromArgs)]
#[argh(subcommand, name = "lost")]
struct LostArguments {
    /// members that are left, all real
    #[argh(option, default = "200")]
    members: usize,
    /// members that are lost
    #[argh(option, default = "14_000")]
    lost: usize,
    /// share of the fleet that the lost members are
    #[argh(option, default = "0.25")]
    share: f64,
    /// whether the members were gone and come back, as after a partition
    #[argh(switch)]
    back: bool,
    /// simulated seconds at most
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

/// One daemon and what it sends, receives and computes.
struct CostMeter {
    roster: RosterState,
    now: MonotonicTime,
    sent_bytes: u64,
    sent_messages: u64,
    received_bytes: u64,
    received_messages: u64,
    cpu_nanos: u64,
    answers: Vec<RosterAction>,
}

impl CostMeter {
    fn receive(&mut self, message: &ControlMessage) {
        let packet = encode_packet(PacketKind::Control, message, &[]).expect("fits");
        self.received_bytes += packet.len() as u64 + DATAGRAM_OVERHEAD;
        self.received_messages += 1;
        let start = cpu_nanos();
        let (_, rest) = split_kind(&packet).expect("readable");
        let (message, _) = split_message::<ControlMessage>(rest).expect("readable");
        let actions = self.roster.receive(&message, self.now);
        let packets = encode_all(&actions);
        self.cpu_nanos += cpu_nanos() - start;
        self.note_sent(actions, &packets);
    }

    fn tick(&mut self) {
        let start = cpu_nanos();
        let actions = self.roster.tick(1, self.now);
        let packets = encode_all(&actions);
        self.cpu_nanos += cpu_nanos() - start;
        self.note_sent(actions, &packets);
    }

    fn note_sent(&mut self, actions: Vec<RosterAction>, packets: &[Vec<u8>]) {
        self.sent_messages += packets.len() as u64;
        let lengths = packets.iter().map(|it| it.len() as u64 + DATAGRAM_OVERHEAD);
        self.sent_bytes += lengths.sum::<u64>();
        self.answers.extend(actions);
    }
}

fn encode_all(actions: &[RosterAction]) -> Vec<Vec<u8>> {
    actions
        .iter()
        .map(|RosterAction::Send { message, .. }| {
            encode_packet(PacketKind::Control, message, &[]).expect("fits")
        })
        .collect()
}

fn measure_fleet(arguments: &FleetArguments) {
    let before = resident_bytes();
    let mut random = StdRng::seed_from_u64(SEED);
    let mut meter = join_fleet(arguments.members);
    let memory = resident_bytes().saturating_sub(before);
    let joined = (meter.received_bytes, meter.cpu_nanos);
    meter.sent_bytes = 0;
    meter.sent_messages = 0;
    meter.received_bytes = 0;
    meter.received_messages = 0;
    meter.cpu_nanos = 0;
    // The time after joining is not the usual one.
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
        offer_load(&mut meter, arguments, copies, &mut random);
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
        joined.0 / 1_000,
        joined.1 as f64 / 1e6,
    );
}

/// Joins a roster to a fleet of made-up members.
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
        answers: Vec::new(),
    };
    meter.tick();
    while let Some(after) = asked_page(&mut meter) {
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

/// Returns where the page starts that was asked for.
fn asked_page(meter: &mut CostMeter) -> Option<Option<std::net::SocketAddrV4>> {
    meter.answers.drain(..).find_map(|action| {
        let RosterAction::Send { message, .. } = action;
        match message.body {
            ControlBody::Join { after } => Some(after),
            _ => None,
        }
    })
}

fn answer_pings(meter: &mut CostMeter) {
    for action in std::mem::take(&mut meter.answers) {
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
    meter.answers.clear();
}

/// Sends what the rest of the fleet sends to one member in one tick.
fn offer_load(meter: &mut CostMeter, arguments: &FleetArguments, copies: f64, random: &mut StdRng) {
    let tick = TICK_MILLIS as f64 / 1_000.0;
    for _ in 0..draw(WATCHERS as f64 * tick, random) {
        let number = random.random_range(1..arguments.members);
        let member = meter.roster.members()[number];
        let changes = vec![member];
        let body = ControlBody::Ping { number: 0, changes };
        meter.receive(&message(member, body));
    }
    for _ in 0..draw(tick / 10.0, random) {
        let salt = random.random();
        let buckets = bucket_hashes(meter.roster.members(), salt);
        let body = ControlBody::Digest { salt, buckets };
        meter.receive(&message(entry(1, 100), body));
    }
    for _ in 0..draw(tick * PAGES_PER_SECOND, random) {
        let number = random.random_range(1..arguments.members);
        let after = Some(entry(number, 100).process.address);
        meter.receive(&message(entry(1, 100), ControlBody::Join { after }));
    }
    for _ in 0..draw(tick * arguments.changes / DAY_SECONDS, random) {
        let number = random.random_range(1..arguments.members);
        let changed = next_change(&meter.roster.members()[number]);
        for _ in 0..copies as usize {
            let sender = entry(random.random_range(1..arguments.members), 100);
            let body = ControlBody::Changes(vec![changed]);
            meter.receive(&message(sender, body));
        }
    }
}

/// Returns what a member may say next: it drains, goes, and starts again.
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

/// Draws how often something with this mean rate happens.
fn draw(mean: f64, random: &mut StdRng) -> usize {
    let whole = mean.floor();
    whole as usize + usize::from(random.random_bool(mean - whole))
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
    let mut bag = MessageBag::new(SEED);
    bag.start_fleet(arguments.members);
    bag.loss = arguments.loss;
    let mut times = Vec::new();
    for subject in 1..=arguments.changes {
        let now = bag.now;
        bag.nodes[subject]
            .roster
            .set_state(MemberState::Draining, now);
        let limit = Duration::from_secs(120);
        let took = bag.run_until(limit, |bag| bag.all_know(subject, MemberState::Draining));
        times.push(took.expect("the change reached all"));
        bag.run(Duration::from_secs(5));
    }
    times.sort_unstable();
    println!(
        "members {} loss {} | a change reaches all in {:?} (median), {:?} (longest of {})",
        arguments.members,
        arguments.loss,
        times[times.len() / 2],
        times[times.len() - 1],
        times.len()
    );
}

fn measure_lost(arguments: &LostArguments) {
    let mut bag = MessageBag::new(SEED);
    bag.start_fleet(arguments.members);
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
    tell_all(&mut bag, &lost);
    change_all(&mut bag, &lost);
    bag.redirected = if arguments.back {
        1.0
    } else {
        1.0 - arguments.share
    };
    let start = bag.now;
    let sent: Vec<u64> = bag.nodes.iter().map(|node| node.sent_bytes).collect();
    let mut last = sent.clone();
    let mut most = 0;
    for second in 1..=arguments.seconds {
        bag.run(Duration::from_secs(1));
        for (node, last) in bag.nodes.iter().zip(&mut last) {
            most = most.max(node.sent_bytes - *last);
            *last = node.sent_bytes;
        }
        let stale = stale_entries(&bag, arguments);
        let share = stale as f64 / (arguments.lost * arguments.members) as f64;
        if second.is_power_of_two() || stale == 0 {
            let total: u64 = bag.nodes.iter().map(|node| node.sent_bytes).sum();
            let rate = (total - sent.iter().sum::<u64>()) as f64
                / bag.now.since(start).as_secs_f64()
                / arguments.members as f64;
            println!(
                "{second} s: {:.4} % of entries stale, {rate:.0} B/s mean, {most} B in the \
                 busiest second of a member",
                share * 100.0
            );
        }
        if stale == 0 {
            return;
        }
    }
}

/// Makes all rosters hold entries, without passing them on.
fn tell_all(bag: &mut MessageBag, entries: &[MemberEntry]) {
    let now = bag.now;
    for node in &mut bag.nodes {
        node.roster.merge_entries(entries, now);
    }
}

/// Has three members each learn what becomes of a lost member, as its watchers
/// would.
fn change_all(bag: &mut MessageBag, lost: &[MemberEntry]) {
    let mut random = StdRng::seed_from_u64(SEED);
    let now = bag.now;
    for known in lost {
        let mut changed = *known;
        if known.state == MemberState::Gone {
            changed.state = MemberState::Alive;
            changed.counter += 1;
        } else {
            changed.state = MemberState::Gone;
        }
        for _ in 0..WATCHERS {
            let number = random.random_range(0..bag.nodes.len());
            let body = ControlBody::Changes(vec![changed]);
            let told = message(entry(1, 100), body);
            let actions = bag.nodes[number].roster.receive(&told, now);
            bag.carry_out(number, actions);
        }
    }
}

fn stale_entries(bag: &MessageBag, arguments: &LostArguments) -> usize {
    let known = |node: &bag::BagNode| node.roster.live_count() - arguments.members;
    let stale = |node| match arguments.back {
        true => arguments.lost - known(node),
        false => known(node),
    };
    bag.nodes.iter().map(stale).sum()
}

/// Returns the processor time of this thread.
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
