//! After an outage, processes start within some tenths of a second of each other, in any
//! order. A host whose first hello reached nobody was not known to a balancer that started
//! 10 ms later until the next regular hello, half a second later in a large fleet. Meanwhile
//! the callers of the whole outage waited for the few servers that the balancer knew.

mod fixture;

use std::net::Ipv4Addr;

use expect_test::expect;
use hyssopstair_flows::host::FlowHost;
use hyssopstair_flows::outbox::Destination;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_wire::carried::CarryMessage;

use crate::fixture::*;

/// Runs a host until `until_millis`, in steps of 10 ms, beside balancers that answer from the
/// given times on. Returns when each balancer got its first hello that it could receive.
fn play_start(
    host: &mut FlowHost,
    balancers: &[(Ipv4Addr, u64)],
    until_millis: u64,
) -> Vec<String> {
    let mut lines = Vec::new();
    let mut met: Vec<Ipv4Addr> = Vec::new();
    for millis in (0..until_millis).step_by(10) {
        let mut outbox = FlowOutbox::default();
        if at(millis) >= host.next_tick_at() {
            host.tick(at(millis), &mut outbox);
        }
        for (destination, bytes) in outbox.datagrams() {
            let (Destination::Peer(to), Some((CarryMessage::Hello(hello), _))) =
                (destination, CarryMessage::decode(bytes))
            else {
                continue;
            };
            let is_running = balancers
                .iter()
                .any(|(address, started_millis)| *address == to && millis >= *started_millis);
            if is_running && !met.contains(&to) {
                met.push(to);
                assert!(hello.wants_answer, "an unknown balancer is asked to answer");
                lines.push(format!("{to} at {millis} ms"));
            }
        }
        for address in &met {
            let hello = balancer_hello(millis as u32 + 1);
            let mut ignored = FlowOutbox::default();
            host.receive_peer_message(*address, &hello, None, &[], at(millis), &mut ignored);
        }
    }
    lines
}

/// Returns the number of hellos that a host sends from `from_millis` to `until_millis`, with
/// a tick every 50 ms.
fn count_hellos(host: &mut FlowHost, from_millis: u64, until_millis: u64) -> usize {
    let mut outbox = FlowOutbox::default();
    for millis in (from_millis..until_millis).step_by(50) {
        host.tick(at(millis), &mut outbox);
    }
    outbox.datagrams().count()
}

#[test]
fn balancers_that_start_after_a_host_meet_it_within_a_tick() {
    let balancers = [
        (balancer_address(1), 0),
        (balancer_address(2), 30),
        (balancer_address(3), 310),
        (balancer_address(4), 430),
    ];
    let mut host = new_ready_host(1);
    host.add_contacts(&balancers.map(|(address, _)| address));
    expect![[r#"
        10.0.2.1 at 0 ms
        10.0.2.2 at 50 ms
        10.0.2.3 at 350 ms
        10.0.2.4 at 450 ms"#]]
    .assert_eq(&play_start(&mut host, &balancers, 1_000).join("\n"));
}

#[test]
fn a_balancer_that_stays_away_gets_regular_hellos_after_the_first_second() {
    let mut host = new_ready_host(1);
    host.add_contacts(&[balancer_address(1)]);
    let hellos = [
        count_hellos(&mut host, 0, 1_000),
        count_hellos(&mut host, 1_000, 2_000),
    ];
    expect!["[20, 4]"].assert_eq(&format!("{hellos:?}"));
}

#[test]
fn the_greetings_of_a_tick_are_limited_and_reach_all_in_turn() {
    let addresses: Vec<Ipv4Addr> = (1..=100).map(balancer_address).collect();
    let mut host = new_ready_host(1);
    host.add_contacts(&addresses);
    let mut outbox = FlowOutbox::default();
    host.tick(at(0), &mut outbox);
    outbox.clear();
    let mut greeted: Vec<Destination> = Vec::new();
    let mut counts = Vec::new();
    for millis in [50, 100, 150, 200] {
        host.tick(at(millis), &mut outbox);
        greeted.extend(outbox.datagrams().map(|(destination, _)| destination));
        counts.push(outbox.datagrams().count());
        outbox.clear();
    }
    greeted.sort_by_key(|destination| format!("{destination:?}"));
    greeted.dedup();
    expect!["[32, 32, 32, 32], 100 balancers"]
        .assert_eq(&format!("{counts:?}, {} balancers", greeted.len()));
}

// The next hellos of a large fleet come half a second later.
#[test]
fn a_process_that_starts_asks_for_routes_on_the_first_hello() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host_without_routes();
    host.receive_peer_message(
        balancer_address(1),
        &balancer_hello(1),
        None,
        &[],
        at(3),
        &mut outbox,
    );
    let output = take_output(&mut outbox);
    let requests: Vec<&str> = output
        .lines()
        .filter(|line| line.contains("RoutesWanted"))
        .collect();
    expect!["Peer(10.0.2.1): RoutesWanted { known: 0 } + 0 bytes"].assert_eq(&requests.join("\n"));
}
