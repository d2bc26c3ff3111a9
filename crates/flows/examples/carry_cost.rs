//! Measures how long a balancer's decisions take, without sockets.
//!
//! Prints the mean time for an opening packet, a packet of a known flow, a search and a
//! hello.
//!
//! `cargo run --release -p hyssopstair-flows --example carry_cost`

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use hyssopstair_flows::balancer::BalancerIdentity;
use hyssopstair_flows::balancer::FlowBalancer;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::packet::PacketHeader;
use hyssopstair_flows::packet::RawPacket;
use hyssopstair_flows::routes::RequestKind;
use hyssopstair_flows::routes::RouteRule;
use hyssopstair_flows::routes::RouteTable;
use hyssopstair_flows::routes::ServiceShare;
use hyssopstair_wire::carried::CarryLoad;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::HelloMessage;
use hyssopstair_wire::carried::HelloRole;
use hyssopstair_wire::carried::HostHello;
use hyssopstair_wire::carried::ServerState;
use hyssopstair_wire::time::MonotonicTime;

/// Number of flows that are opened and then used.
const FLOW_COUNT: u32 = 20_000;

/// Returns the address that callers connect to.
fn target_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

/// Returns the address of a host.
fn host_address(number: u32) -> Ipv4Addr {
    Ipv4Addr::from(0x0a01_0000 + number)
}

/// Returns the header of a caller's packet, which opens the flow or follows on it.
fn packet_header(flow: u32, is_open: bool) -> PacketHeader {
    let caller = Ipv4Addr::from(0x6440_0000 + flow / 50_000);
    PacketHeader {
        source: SocketAddrV4::new(caller, 1_024 + (flow % 50_000) as u16),
        destination: target_address(),
        is_open,
        has_ack: !is_open,
        is_finish: false,
        is_reset: false,
        is_bounced: false,
        sequence: 1,
        acknowledged: 0,
        data_length: 0,
    }
}

/// Returns a hello of a host whose server is ready.
fn host_hello(number: u32) -> CarryMessage {
    CarryMessage::Hello(HelloMessage {
        started: 1,
        number,
        zone: "a".to_owned(),
        routes: 1,
        wants_answer: false,
        role: HelloRole::Host(HostHello {
            service: "one".to_owned(),
            server: ServerState::Ready,
            load: CarryLoad {
                slots: 2,
                ..CarryLoad::default()
            },
            is_relearning: false,
            is_server_new: false,
            is_stopping: false,
        }),
    })
}

/// Creates a balancer with one route that knows the given number of hosts.
fn new_balancer(hosts: u32, outbox: &mut FlowOutbox) -> FlowBalancer {
    let identity = BalancerIdentity {
        address: Ipv4Addr::new(10, 2, 0, 1),
        zone: "a".to_owned(),
        started_unix_millis: 1,
        max_flow_age: Duration::from_secs(60),
    };
    let now = MonotonicTime::default();
    let mut balancer = FlowBalancer::new(identity, Vec::new(), now);
    let route = RouteRule {
        target: target_address(),
        kind: RequestKind::Idempotent,
        timeout_millis: 800,
        priority: 1,
        shares: vec![ServiceShare {
            service: "one".to_owned(),
            weight: 1,
        }],
        target_latency_millis: 0,
    };
    balancer.set_routes(RouteTable::new(1, 15_000, vec![route], Vec::new()), outbox);
    for number in 0..hosts {
        balancer.receive_peer_message(host_address(number), &host_hello(1), None, &[], now, outbox);
    }
    outbox.clear();
    balancer
}

/// Returns the mean time of `count` calls, in nanoseconds.
fn measure_nanos(count: u32, mut call: impl FnMut(u32)) -> u128 {
    let start = Instant::now();
    (0..count).for_each(&mut call);
    start.elapsed().as_nanos() / u128::from(count)
}

fn main() {
    println!("hosts  opening  established  search  hello  (ns, {FLOW_COUNT} flows)");
    for hosts in [7, 45, 300] {
        let mut outbox = FlowOutbox::default();
        let mut balancer = new_balancer(hosts, &mut outbox);
        let now = MonotonicTime::from_millis(1_000);
        let opening = measure_nanos(FLOW_COUNT, |flow| {
            let header = packet_header(flow, true);
            let bytes = [0; 36];
            let raw = RawPacket {
                header,
                bytes: &bytes,
            };
            balancer.receive_caller_packet(&raw, now, &mut outbox);
            outbox.clear();
            let claim = CarryMessage::Owned {
                flow: header.caller_flow(),
                load: CarryLoad::default(),
            };
            balancer.receive_peer_message(
                host_address(flow % hosts),
                &claim,
                None,
                &[],
                now,
                &mut outbox,
            );
            outbox.clear();
        });
        let established = measure_nanos(FLOW_COUNT, |flow| {
            let bytes = [0; 1_236];
            let raw = RawPacket {
                header: packet_header(flow, false),
                bytes: &bytes,
            };
            balancer.receive_caller_packet(&raw, now, &mut outbox);
            outbox.clear();
        });
        // 400 searches at once: the balancer asks all hosts, and each denies every flow.
        let searches = 400;
        let search = measure_nanos(searches, |flow| {
            let header = packet_header(FLOW_COUNT + flow, false);
            let bytes = [0; 36];
            let raw = RawPacket {
                header,
                bytes: &bytes,
            };
            balancer.receive_caller_packet(&raw, now, &mut outbox);
            if flow + 1 == searches {
                balancer.tick(MonotonicTime::from_millis(1_100), &mut outbox);
            }
            outbox.clear();
            let denial = CarryMessage::NotHeld {
                flows: vec![header.caller_flow()],
                is_certain: true,
            };
            for number in 0..hosts {
                balancer.receive_peer_message(
                    host_address(number),
                    &denial,
                    None,
                    &[],
                    now,
                    &mut outbox,
                );
            }
            outbox.clear();
        });
        let hello_time = measure_nanos(FLOW_COUNT, |number| {
            let message = host_hello(number + 2);
            balancer.receive_peer_message(
                host_address(number % hosts),
                &message,
                None,
                &[],
                now,
                &mut outbox,
            );
            outbox.clear();
        });
        println!("{hosts:5}  {opening:7}  {established:11}  {search:6}  {hello_time:5}");
    }
}
