//! Benchmarks routing decisions and prints the results as lines of JSON.
//!
//! Without an argument all parts run. An argument selects a single part: `route`,
//! `gate` (the decisions of a host), `returns`, `view`, `rules` or `pace`. Run it
//! under `valgrind --tool=callgrind` for reproducible instruction counts.

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

/// Numbers of table records for which the tables are measured.
const TABLE_SIZES: [u32; 3] = [50_000, 100_000, 200_000];

fn secret() -> FleetSecret {
    FleetSecret::new([1; 16])
}

/// Maps consecutive numbers to scattered addresses, so that insertions into a sorted
/// table hit all positions.
fn scattered_address(number: u32) -> SocketAddrV4 {
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

/// Returns `count` host members, assigned to the services in turn.
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

/// Calls `step` with each number below `count` and returns the mean time per call in
/// nanoseconds.
fn measure_nanos(count: u32, mut step: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for number in 0..count {
        step(number);
    }
    start.elapsed().as_nanos() as f64 / f64::from(count)
}

/// Measures the routing of a packet and the encoding of its header.
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
            source: scattered_address(1),
            destination: SocketAddrV4::new(0x0a00_0000.into(), 443),
        };
        let token = RouteToken {
            key: KeyNumber(1),
            service: ServiceId(0),
            host: all[0].process,
            nonce: 1,
        };
        let connection_id = token.seal(&secret().route_key(KeyNumber(1)));
        let mut short = vec![0x40; DATAGRAM_LENGTH];
        short[1..21].copy_from_slice(&connection_id);
        let mut opening = vec![0; DATAGRAM_LENGTH];
        opening[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
        let now = MonotonicTime::from_millis(1);
        let token_nanos = measure_nanos(PACKETS, |_| {
            black_box(route_packet(&context, &path, black_box(&short), now));
        });
        let opening_nanos = measure_nanos(PACKETS / 20, |number| {
            opening[6..10].copy_from_slice(&number.to_be_bytes());
            black_box(route_packet(&context, &path, black_box(&opening), now));
        });
        let mut buffer = vec![0; MAX_PACKET_LENGTH];
        let header = header(scattered_address(1));
        let write_nanos = measure_nanos(PACKETS, |_| {
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

/// Measures a host's decisions about new flows.
fn measure_host() {
    for size in TABLE_SIZES {
        let incarnation = HostIncarnation(1);
        let router = HostRouter::new(ServiceId(0));
        let load = HostLoad {
            flows: 0,
            pending: 0,
            limit: u32::MAX,
            draining: false,
        };
        let header = header(scattered_address(1));
        let now = MonotonicTime::from_millis(1);
        let mut opening = vec![0; 1_200];
        opening[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
        let mut receive = |number: u32| {
            opening[6..10].copy_from_slice(&number.wrapping_mul(0x9e37_79b1).to_be_bytes());
            black_box(router.receive(incarnation, &header, &opening, &load, now));
        };
        let insert_nanos = measure_nanos(size, &mut receive);
        let find_nanos = measure_nanos(size, &mut receive);
        let footprint = router.footprint();
        println!(
            "{{\"part\":\"gate\",\"handshakes\":{},\"insert_ns\":{insert_nanos:.0},\
             \"find_ns\":{find_nanos:.0},\"bytes\":{},\"bytes_each\":{:.1}}}",
            footprint.records,
            footprint.bytes,
            footprint.bytes as f64 / f64::from(size),
        );
    }
}

/// Measures the table of return paths.
fn measure_returns() {
    for size in TABLE_SIZES {
        let table = ReturnTable::default();
        let now = MonotonicTime::from_millis(1);
        let record = |number| table.record(&header(scattered_address(number)), now);
        let insert_nanos = measure_nanos(size, record);
        let update_nanos = measure_nanos(size, record);
        let route_nanos = measure_nanos(size, |number| {
            black_box(table.find_route(scattered_address(number), now));
        });
        let footprint = table.footprint();
        println!(
            "{{\"part\":\"returns\",\"callers\":{},\"insert_ns\":{insert_nanos:.0},\
             \"hear_ns\":{update_nanos:.0},\"route_ns\":{route_nanos:.0},\"bytes\":{},\
             \"bytes_each\":{:.1}}}",
            footprint.records,
            footprint.bytes,
            footprint.bytes as f64 / f64::from(size),
        );
    }
}

/// Returns the mean time for building a view, in nanoseconds.
fn measure_build(hosts: u32, services: u32) -> f64 {
    const REPEATS: u32 = 20;
    let all = members(hosts, services);
    let rules = rules(services);
    measure_nanos(REPEATS, |_| {
        let view = RoutingView::build(1, rules.clone(), &secret(), black_box(&all));
        black_box(view);
    })
}

/// Measures the time for building a view.
fn measure_view() {
    for (hosts, services) in [(20, 2), (5_000, 870), (50_000, 8_700)] {
        let millis = measure_build(hosts, services) / 1e6;
        println!(
            "{{\"part\":\"view\",\"hosts\":{hosts},\"services\":{services},\
             \"build_ms\":{millis:.3}}}"
        );
    }
}

/// Measures access to the rules that a host needs for each packet: a look-up by
/// service name compared with reading the rule from the view.
fn measure_rules() {
    const PACKETS: u32 = 1_000_000;
    for services in [2, 870, 8_700] {
        let name = format!("s{}", services / 2);
        let host = scattered_address(1);
        let view =
            RoutingView::build(1, rules(services), &secret(), &[]).with_host(&name, "z", host);
        let find_nanos = measure_nanos(PACKETS, |_| {
            let name = black_box(name.as_str());
            black_box(HostRule::find(black_box(&view.rules), name, "z", host));
        });
        let read_nanos = measure_nanos(PACKETS, |_| {
            black_box(black_box(&view).own_rule);
        });
        println!(
            "{{\"part\":\"rules\",\"services\":{services},\"find_ns\":{find_nanos:.0},\
             \"read_ns\":{read_nanos:.1}}}"
        );
    }
}

/// Measures how many views are built and the share of a core that the builds take,
/// with 50,000 hosts, 8,700 services, evenly spaced changes and a tick every 50 ms.
fn measure_pace() {
    const TICK_MICROS: u64 = 50_000;
    const DAY_MICROS: u64 = 86_400_000_000;
    let build_micros = measure_build(50_000, 8_700) / 1e3;
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
        let percent = |builds: u64| builds as f64 * build_micros / micros as f64 * 100.0;
        println!(
            "{{\"part\":\"pace\",\"case\":\"{name}\",\"changes\":{changes},\"builds\":{builds},\
             \"percent_each_change\":{:.2},\"percent_merged\":{:.2}}}",
            percent(changes),
            percent(builds),
        );
    }
}

fn main() {
    let part = std::env::args().nth(1);
    let is_selected = |name: &str| part.as_deref().is_none_or(|part| part == name);
    if is_selected("route") {
        measure_route();
    }
    if is_selected("gate") {
        measure_host();
    }
    if is_selected("returns") {
        measure_returns();
    }
    if is_selected("view") {
        measure_view();
    }
    if is_selected("pace") {
        measure_pace();
    }
    if is_selected("rules") {
        measure_rules();
    }
}
