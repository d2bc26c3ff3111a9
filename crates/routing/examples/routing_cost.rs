//! Measures what the decisions about packets cost, as lines of JSON.
//!
//! An argument runs one part alone: `route`, `gate`, `returns`, `view`,
//! `rules` or `pace`. With
//! `valgrind --tool=callgrind` the instruction counts can be repeated.

use std::hint::black_box;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

use hyssopstair_routing::balancer::BalancerContext;
use hyssopstair_routing::balancer::route_packet;
use hyssopstair_routing::host::HostLoad;
use hyssopstair_routing::host::HostRouter;
use hyssopstair_routing::loads::LoadTable;
use hyssopstair_routing::pace::BuildPacer;
use hyssopstair_routing::returns::ReturnTable;
use hyssopstair_routing::view::HostRule;
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
use hyssopstair_wire::packet::MAX_PACKET_LENGTH;
use hyssopstair_wire::packet::PacketKind;
use hyssopstair_wire::packet::write_packet;
use hyssopstair_wire::time::MonotonicTime;
use hyssopstair_wire::token::FleetSecret;
use hyssopstair_wire::token::KeyNumber;
use hyssopstair_wire::token::RouteToken;

const SIZES: [u32; 3] = [50_000, 100_000, 200_000];

fn secret() -> FleetSecret {
    FleetSecret::new([1; 16])
}

/// Spreads numbers over addresses, so that insertions hit all places.
fn scattered(number: u32) -> SocketAddrV4 {
    let mixed = number.wrapping_mul(0x9e37_79b1);
    SocketAddrV4::new(mixed.into(), (mixed >> 16) as u16)
}

fn rules(services: u32) -> Arc<RuleSet> {
    let mut text = "key 1  # trial\n".to_owned();
    for id in 0..services {
        let address = SocketAddrV4::new((0x0a00_0000 + id).into(), 443);
        text.push_str(&format!(
            "service s{id} id {id} address {address}  # trial\n"
        ));
    }
    Arc::new(RuleSet::parse(&text).expect("the rules are valid"))
}

/// Members that are spread over the services in turn.
fn members(count: u32, services: u32) -> Vec<MemberEntry> {
    let member = |index: u32| MemberEntry {
        process: ProcessId {
            address: SocketAddrV4::new((0x0b00_0000 + index).into(), 7000),
            incarnation: HostIncarnation(1),
        },
        counter: 0,
        role: MemberRole::Host {
            service: ServiceId((index % services) as u16),
            zone: 1,
            weight: 1,
        },
        state: MemberState::Alive,
    };
    (0..count).map(member).collect()
}

fn header(caller: SocketAddrV4) -> ForwardHeader {
    ForwardHeader {
        service: ServiceId(0),
        incarnation: None,
        caller,
        target: SocketAddrV4::new(0x0a00_0000.into(), 443),
        balancer: SocketAddrV4::new(0x0c00_0001.into(), 7000),
        second: None,
        hops: 0,
        version: 1,
        trace: None,
    }
}

/// Runs `step` with the numbers below `count` and returns nanoseconds per run.
fn time_each(count: u32, mut step: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for number in 0..count {
        step(number);
    }
    start.elapsed().as_nanos() as f64 / f64::from(count)
}

/// One packet: the decision, and the header in front of the datagram.
fn measure_route() {
    const PACKETS: u32 = 200_000;
    const DATAGRAM_LENGTH: usize = 1_200;
    for (hosts, services) in [(7, 1), (1_000, 1), (50_000, 8_700)] {
        let all = members(hosts, services);
        let view = RoutingView::build(1, rules(services), &secret(), &all);
        let loads = LoadTable::default();
        let context = BalancerContext {
            address: SocketAddrV4::new(0x0c00_0001.into(), 7000),
            view: &view,
            loads: &loads,
        };
        let path = EntryPath {
            source: scattered(1),
            destination: SocketAddrV4::new(0x0a00_0000.into(), 443),
        };
        let token = RouteToken {
            key: KeyNumber(1),
            service: ServiceId(0),
            host: all[0].process,
            nonce: 1,
        };
        let connection = token.seal(&secret().route_key(KeyNumber(1)));
        let mut short = vec![0x40; DATAGRAM_LENGTH];
        short[1..21].copy_from_slice(&connection);
        let mut opening = vec![0; DATAGRAM_LENGTH];
        opening[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
        let now = MonotonicTime::from_millis(1);
        let token_nanos = time_each(PACKETS, |_| {
            black_box(route_packet(&context, &path, black_box(&short), now));
        });
        let opening_nanos = time_each(PACKETS / 20, |number| {
            opening[6..10].copy_from_slice(&number.to_be_bytes());
            black_box(route_packet(&context, &path, black_box(&opening), now));
        });
        let mut buffer = vec![0; MAX_PACKET_LENGTH];
        let header = header(scattered(1));
        let write_nanos = time_each(PACKETS, |_| {
            let written = write_packet(&mut buffer, PacketKind::Forward, &header, &short);
            black_box(written).expect("the buffer is long enough");
        });
        println!(
            "{{\"part\":\"route\",\"hosts\":{hosts},\"services\":{services},\
             \"token_ns\":{token_nanos:.0},\"opening_ns\":{opening_nanos:.0},\
             \"write_ns\":{write_nanos:.0}}}"
        );
    }
}

fn measure_gate() {
    for size in SIZES {
        let me = HostIncarnation(1);
        let gate = HostRouter::new(ServiceId(0));
        let load = HostLoad {
            flows: 0,
            pending: 0,
            limit: u32::MAX,
            draining: false,
        };
        let header = header(scattered(1));
        let now = MonotonicTime::from_millis(1);
        let mut opening = vec![0; 1_200];
        opening[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
        let mut receive = |number: u32| {
            opening[6..10].copy_from_slice(&number.wrapping_mul(0x9e37_79b1).to_be_bytes());
            black_box(gate.receive(me, &header, &opening, &load, now));
        };
        let insert_nanos = time_each(size, &mut receive);
        let find_nanos = time_each(size, &mut receive);
        let footprint = gate.footprint();
        println!(
            "{{\"part\":\"gate\",\"handshakes\":{},\"insert_ns\":{insert_nanos:.0},\
             \"find_ns\":{find_nanos:.0},\"bytes\":{},\"bytes_each\":{:.1}}}",
            footprint.records,
            footprint.bytes,
            footprint.bytes as f64 / f64::from(size),
        );
    }
}

fn measure_returns() {
    for size in SIZES {
        let table = ReturnTable::default();
        let now = MonotonicTime::from_millis(1);
        let hear = |number| table.record(&header(scattered(number)), now);
        let insert_nanos = time_each(size, hear);
        let hear_nanos = time_each(size, hear);
        let route_nanos = time_each(size, |number| {
            black_box(table.find_route(scattered(number), now));
        });
        let footprint = table.footprint();
        println!(
            "{{\"part\":\"returns\",\"callers\":{},\"insert_ns\":{insert_nanos:.0},\
             \"hear_ns\":{hear_nanos:.0},\"route_ns\":{route_nanos:.0},\"bytes\":{},\
             \"bytes_each\":{:.1}}}",
            footprint.records,
            footprint.bytes,
            footprint.bytes as f64 / f64::from(size),
        );
    }
}

/// Nanoseconds that one build of a view takes.
fn build_nanos(hosts: u32, services: u32) -> f64 {
    const REPEATS: u32 = 20;
    let all = members(hosts, services);
    let rules = rules(services);
    time_each(REPEATS, |_| {
        let view = RoutingView::build(1, rules.clone(), &secret(), black_box(&all));
        black_box(view);
    })
}

fn measure_view() {
    for (hosts, services) in [(20, 2), (5_000, 870), (50_000, 8_700)] {
        let millis = build_nanos(hosts, services) / 1e6;
        println!(
            "{{\"part\":\"view\",\"hosts\":{hosts},\"services\":{services},\
             \"build_ms\":{millis:.3}}}"
        );
    }
}

/// What a host must know of the rules for each packet: looked up by name, and
/// read from the view.
fn measure_rules() {
    const PACKETS: u32 = 1_000_000;
    for services in [2, 870, 8_700] {
        let name = format!("s{}", services / 2);
        let host = scattered(1);
        let view = RoutingView::build(1, rules(services), &secret(), &[]).with_host(&name, host);
        let find_nanos = time_each(PACKETS, |_| {
            let name = black_box(name.as_str());
            black_box(HostRule::find(black_box(&view.rules), name, host));
        });
        let read_nanos = time_each(PACKETS, |_| {
            black_box(black_box(&view).own_rule);
        });
        println!(
            "{{\"part\":\"rules\",\"services\":{services},\"find_ns\":{find_nanos:.0},\
             \"read_ns\":{read_nanos:.1}}}"
        );
    }
}

/// Builds of the view and their share of a core, at 50,000 hosts and 8,700
/// services, with changes at even distances and a look at what is due each 50 ms.
fn measure_pace() {
    const TICK_MICROS: u64 = 50_000;
    const DAY_MICROS: u64 = 86_400_000_000;
    let build_micros = build_nanos(50_000, 8_700) / 1e3;
    for (name, changes, micros) in [
        ("a day", 33_500, DAY_MICROS),
        ("a zone, spread by gossip", 14_000, 311_000_000),
        ("a zone, at once", 14_000, 5_000_000),
    ] {
        let mut pacer = BuildPacer::default();
        let mut builds = 0;
        let mut next_tick = 0;
        for change in 0..changes {
            let time = change * micros / changes;
            while next_tick <= time {
                builds += u64::from(pacer.take_due_build(MonotonicTime(next_tick)));
                next_tick += TICK_MICROS;
            }
            builds += u64::from(pacer.record_change(MonotonicTime(time)));
        }
        let share = |builds: u64| builds as f64 * build_micros / micros as f64 * 100.0;
        println!(
            "{{\"part\":\"pace\",\"case\":\"{name}\",\"changes\":{changes},\"builds\":{builds},\
             \"percent_each_change\":{:.2},\"percent_merged\":{:.2}}}",
            share(changes),
            share(builds),
        );
    }
}

fn main() {
    let part = std::env::args().nth(1);
    let runs = |name: &str| part.as_deref().is_none_or(|part| part == name);
    if runs("route") {
        measure_route();
    }
    if runs("gate") {
        measure_gate();
    }
    if runs("returns") {
        measure_returns();
    }
    if runs("view") {
        measure_view();
    }
    if runs("pace") {
        measure_pace();
    }
    if runs("rules") {
        measure_rules();
    }
}
