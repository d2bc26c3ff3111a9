//! Balancers know which hosts have room, and keep flows that none has room for.

mod fixture;

use std::time::Duration;

use expect_test::expect;
use hyssopstair_flows::balancer::BalancerIdentity;
use hyssopstair_flows::balancer::FlowBalancer;
use hyssopstair_flows::holding::HeldFlow;
use hyssopstair_flows::holding::HoldQueue;
use hyssopstair_flows::holding::max_fresh_age;
use hyssopstair_flows::holding::max_hold_time;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::room::full_time;
use hyssopstair_wire::carried::CarryLoad;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::ForwardPurpose;

use crate::fixture::*;

/// Number of hosts in these tests; a flow is offered to eight at most.
const HOST_COUNT: u8 = 10;

/// Creates a balancer that has known its hosts for a while, each with this number of requests
/// in progress at two slots.
fn new_balancer_with_load(in_progress: u16, outbox: &mut FlowOutbox) -> FlowBalancer {
    let mut balancer = new_balancer();
    for number in 1..=HOST_COUNT {
        receive_host_hello(&mut balancer, number, &host_hello(1, 0), at(10), outbox);
    }
    report_load(&mut balancer, 2, in_progress, 990, outbox);
    outbox.clear();
    balancer
}

fn report_load(
    balancer: &mut FlowBalancer,
    hello_number: u32,
    in_progress: u16,
    millis: u64,
    outbox: &mut FlowOutbox,
) {
    for number in 1..=HOST_COUNT {
        let hello = host_hello(hello_number, in_progress);
        receive_host_hello(balancer, number, &hello, at(millis), outbox);
    }
}

/// Lets a caller open a flow, and returns what the balancer sends.
fn open_flow_at(balancer: &mut FlowBalancer, port: u16, millis: u64) -> String {
    let mut outbox = FlowOutbox::default();
    let packet = opening_packet(port);
    balancer.receive_caller_packet(&raw_packet(&packet), at(millis), &mut outbox);
    take_output(&mut outbox)
}

/// Lets the hosts that were offered a flow return it, and returns what the balancer sends.
fn return_flow(balancer: &mut FlowBalancer, port: u16, millis: u64) -> String {
    let mut outbox = FlowOutbox::default();
    let returned = CarryMessage::Returned {
        purpose: ForwardPurpose::Open,
    };
    let packet = opening_packet(port);
    let from = host_address(1);
    let raw = raw_packet(&packet);
    balancer.receive_peer_message(
        from,
        &returned,
        Some(&raw),
        b"packet",
        at(millis),
        &mut outbox,
    );
    take_output(&mut outbox)
}

fn count_offers(output: &str) -> usize {
    output.matches("forward Open").count()
}

/// Failure: all servers are full. Each waiting flow is offered to all hosts again and again,
/// and the balancers do nothing else any more.
#[test]
fn hosts_that_turned_a_flow_away_are_asked_again_when_they_may_have_room() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_load(5, &mut outbox);
    let mut offers = count_offers(&open_flow_at(&mut balancer, 4_001, 1_000));
    let mut ports_in_hold = Vec::new();
    for (millis, port) in (1_001..1_005).zip(4_001..) {
        // The hosts return each offer.
        while offers > 0 {
            offers = count_offers(&return_flow(&mut balancer, port, millis));
        }
        ports_in_hold.push(port);
        offers = count_offers(&open_flow_at(&mut balancer, port + 1, millis));
    }
    assert_eq!(offers, 0, "a full host was offered a flow");
    // A report that shows room ends the wait, without a tick of 20 ms for each flow.
    report_load(&mut balancer, 3, 1, 1_010, &mut outbox);
    outbox.clear();
    balancer.tick(at(1_025), &mut outbox);
    assert_eq!(
        count_offers(&take_output(&mut outbox)),
        ports_in_hold.len() + 1
    );
}

#[test]
fn a_host_is_full_for_the_time_in_which_its_server_ends_the_share_of_a_balancer() {
    let load = |slots, answer_micros| CarryLoad {
        slots,
        answer_micros,
        ..CarryLoad::default()
    };
    let cases = [
        (load(2, 40_000), 1),
        (load(2, 40_000), 8),
        (load(2, 40_000), 25),
        (load(4, 40_000), 25),
        (load(2, 0), 25),
        (load(2, 40_000), 5_100),
        (load(0, 40_000), 8),
    ];
    let times = cases.map(|(load, balancers)| full_time(&load, balancers));
    expect!["[5ms, 20ms, 62.5ms, 31.25ms, 31.25ms, 100ms, 40ms]"].assert_eq(&format!("{times:?}"));
}

#[test]
fn an_offer_names_few_hosts_if_none_has_a_free_slot() {
    let mut outbox = FlowOutbox::default();
    let count_hosts = |in_progress, outbox: &mut FlowOutbox| {
        let mut balancer = new_balancer_with_load(in_progress, outbox);
        let output = open_flow_at(&mut balancer, 4_001, 1_000);
        output.matches("10.0.1.").count()
    };
    assert_eq!(count_hosts(0, &mut outbox), 8);
    assert_eq!(count_hosts(5, &mut outbox), 3);
}

/// Failure: a process has just started, and its routes are on their way. A packet that is
/// dropped meanwhile comes again after 200 ms at the earliest.
#[test]
fn a_flow_that_arrives_before_the_routes_is_kept_until_they_are_known() {
    let identity = BalancerIdentity {
        address: balancer_address(1),
        zone: "utr-a".to_owned(),
        started_unix_millis: 1,
        max_flow_age: Duration::from_secs(60),
    };
    let mut outbox = FlowOutbox::default();
    let mut balancer = FlowBalancer::new(identity, Vec::new(), at(0));
    assert_eq!(open_flow_at(&mut balancer, 4_001, 5), "");
    receive_host_hello(&mut balancer, 1, &host_hello(1, 0), at(10), &mut outbox);
    balancer.tick(at(20), &mut outbox);
    outbox.clear();
    let table = route_table(1, vec![route_rule(target_address(), SERVICE)]);
    balancer.set_routes(table, &mut outbox);
    balancer.tick(at(45), &mut outbox);
    let output = take_output(&mut outbox);
    assert_eq!(count_offers(&output), 1, "{output}");

    // If the routes do not come, the caller learns that nothing has run.
    assert_eq!(open_flow_at(&mut balancer, 4_002, 50).lines().count(), 1);
}

/// Failure: servers answer after 100 ms of waiting and work, and a flow that has waited for
/// 60 ms of its 400 ms counts as too late, so that urgent flows that are too late go first.
#[test]
fn a_flow_that_can_be_in_time_goes_before_a_more_urgent_one_that_cannot() {
    let answer_time = Duration::from_millis(100);
    let target = Duration::from_millis(400);
    let held_flow = |port, priority, arrived| HeldFlow {
        flow: opening_packet(port).caller_flow(),
        priority,
        arrived_at: at(arrived),
        age_at_arrival: Duration::ZERO,
        max_fresh_age: max_fresh_age(target, answer_time),
        deadline: at(10_000),
        bytes: Vec::new(),
    };
    let mut queue = HoldQueue::default();
    for flow in [
        held_flow(1, 1, 0),
        held_flow(2, 2, 440),
        held_flow(3, 2, 150),
    ] {
        assert_eq!(queue.push(flow), None);
    }
    let mut order = Vec::new();
    while let Some(flow) = queue.take_next(at(500), |_| true) {
        order.push(flow.flow.caller.port());
    }
    assert_eq!(order, [2, 1, 3]);
}

/// Failure: of the flows that are late already, the newest go first, and the oldest are refused
/// although a late answer would have been worth as much to them.
#[test]
fn late_flows_go_in_the_order_in_which_they_are_refused() {
    let held_flow = |port, arrived, timeout| HeldFlow {
        flow: opening_packet(port).caller_flow(),
        priority: 1,
        arrived_at: at(arrived),
        age_at_arrival: Duration::ZERO,
        max_fresh_age: Duration::from_millis(50),
        deadline: at(arrived + timeout),
        bytes: Vec::new(),
    };
    let mut queue = HoldQueue::default();
    for flow in [
        held_flow(1, 200, 700),
        held_flow(2, 0, 700),
        held_flow(3, 100, 1_400),
        held_flow(4, 480, 700),
    ] {
        assert_eq!(queue.push(flow), None);
    }
    let mut order = Vec::new();
    while let Some(flow) = queue.take_next(at(500), |_| true) {
        order.push(flow.flow.caller.port());
    }
    assert_eq!(order, [4, 2, 1, 3]);
}

/// Failure: a caller that is refused comes back at once as a new flow, and takes the place of one
/// that can still be in time.
#[test]
fn a_flow_waits_until_its_request_is_too_late_or_its_caller_gives_up() {
    let millis = |value| Duration::from_millis(value);
    let hold = |timeout, age| max_hold_time(millis(timeout), millis(100), millis(age), true);
    let times = [
        hold(800, 0),
        hold(800, 200),
        hold(3_000, 0),
        hold(3_000, 600),
        hold(50, 0),
    ];
    assert_eq!(
        times.map(|time| time.as_millis()),
        [700, 500, 1_400, 800, 0]
    );
    let before_discovery = max_hold_time(millis(50), millis(100), millis(600), false);
    assert_eq!(before_discovery, millis(800));
}

/// Failure: more callers come than are served. If the oldest go first, all are late.
#[test]
fn flows_that_can_be_in_time_go_first_and_then_by_priority_and_the_newest_first() {
    let answer_time = Duration::from_millis(40);
    let held_flow = |port, priority, arrived, target| HeldFlow {
        flow: opening_packet(port).caller_flow(),
        priority,
        arrived_at: at(arrived),
        age_at_arrival: Duration::ZERO,
        max_fresh_age: max_fresh_age(Duration::from_millis(target), answer_time),
        deadline: at(10_000),
        bytes: Vec::new(),
    };
    let mut queue = HoldQueue::default();
    for flow in [
        held_flow(1, 2, 0, 250),
        held_flow(2, 2, 150, 250),
        held_flow(3, 2, 190, 250),
        held_flow(4, 1, 100, 250),
        held_flow(5, 1, 60, 250),
        held_flow(6, 2, 195, 100),
        held_flow(7, 2, 100, 0),
    ] {
        assert_eq!(queue.push(flow), None);
    }
    let mut order = Vec::new();
    while let Some(flow) = queue.take_next(at(200), |_| true) {
        order.push(flow.flow.caller.port());
    }
    expect!["[4, 5, 6, 3, 2, 1, 7]"].assert_eq(&format!("{order:?}"));
}
