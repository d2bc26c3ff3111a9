//! A balancer looks for the host of a flow that its table does not name.

mod fixture;

use std::net::Ipv4Addr;

use expect_test::expect;
use hyssopstair_flows::balancer::FlowBalancer;
use hyssopstair_flows::outbox::Destination;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_wire::carried::BalancerHello;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::HelloMessage;
use hyssopstair_wire::carried::HelloRole;
use hyssopstair_wire::carried::ServerState;

use crate::fixture::*;

fn deny(
    balancer: &mut FlowBalancer,
    number: u8,
    is_certain: bool,
    millis: u64,
    outbox: &mut FlowOutbox,
) {
    let message = CarryMessage::NotHeld {
        flows: vec![request(4_001).caller_flow()],
        is_certain,
    };
    balancer.receive_peer(host(number), &message, None, &[], at(millis), outbox);
}

/// Lets a host hand a packet back that the balancer took for one of its flows.
fn hand_back(balancer: &mut FlowBalancer, from: Ipv4Addr, millis: u64, outbox: &mut FlowOutbox) {
    let returned = CarryMessage::Returned {
        purpose: ForwardPurpose::Owner,
    };
    let packet = request(4_001);
    let raw = raw(&packet);
    balancer.receive_peer(from, &returned, Some(&raw), b"packet", at(millis), outbox);
}

fn balancer_with_hosts(outbox: &mut FlowOutbox) -> FlowBalancer {
    let mut balancer = balancer();
    greet(&mut balancer, 1, &host_hello(1, 0), at(10), outbox);
    greet(&mut balancer, 2, &host_hello(1, 0), at(12), outbox);
    outbox.clear();
    balancer
}

fn keep_heard(balancer: &mut FlowBalancer, until: u64, outbox: &mut FlowOutbox) {
    for (number, millis) in (250..=until).step_by(250).enumerate() {
        let hello = host_hello(number as u32 + 2, 0);
        greet(balancer, 1, &hello, at(millis), outbox);
        greet(balancer, 2, &hello, at(millis), outbox);
    }
    outbox.clear();
}

#[test]
fn a_flow_that_every_host_denies_is_reset_where_its_caller_accepts_it() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer_with_hosts(&mut outbox);
    keep_heard(&mut balancer, 2_000, &mut outbox);
    balancer.receive_caller_packet(&raw(&request(4_001)), at(2_010), &mut outbox);
    balancer.tick(at(2_014), &mut outbox);
    expect![[r#"
        Peer(10.0.1.1): ask for 4001
        Peer(10.0.1.2): ask for 4001"#]]
    .assert_eq(&questions(&mut outbox));
    deny(&mut balancer, 1, true, 2_011, &mut outbox);
    deny(&mut balancer, 2, true, 2_011, &mut outbox);
    // Callers take a reset only near the position that they acknowledged last.
    expect!["reset 100.64.0.7:4001 at 5001"].assert_eq(&drain(&mut outbox));
}

#[test]
fn a_host_that_cannot_tell_asks_its_server_and_the_flow_is_left_in_silence() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer_with_hosts(&mut outbox);
    keep_heard(&mut balancer, 2_000, &mut outbox);
    balancer.receive_caller_packet(&raw(&request(4_001)), at(2_010), &mut outbox);
    outbox.clear();
    deny(&mut balancer, 1, true, 2_011, &mut outbox);
    deny(&mut balancer, 2, false, 2_011, &mut outbox);
    expect!["Peer(10.0.1.2): forward Probe best None next [] + 6 bytes"]
        .assert_eq(&drain(&mut outbox));
}

#[test]
fn servers_are_asked_two_at_a_time() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer();
    for number in 1..=6 {
        greet(
            &mut balancer,
            number,
            &host_hello(1, 0),
            at(10),
            &mut outbox,
        );
    }
    balancer.receive_caller_packet(&raw(&request(4_001)), at(100), &mut outbox);
    outbox.clear();
    for number in 1..=6 {
        deny(&mut balancer, number, false, 101, &mut outbox);
    }
    expect![[r#"
        Peer(10.0.1.1): forward Probe best None next [] + 6 bytes
        Peer(10.0.1.2): forward Probe best None next [] + 6 bytes"#]]
    .assert_eq(&drain(&mut outbox));
    deny(&mut balancer, 2, true, 102, &mut outbox);
    expect!["Peer(10.0.1.3): forward Probe best None next [] + 6 bytes"]
        .assert_eq(&drain(&mut outbox));
}

#[test]
fn a_flow_is_left_in_silence_while_a_host_is_silent() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer_with_hosts(&mut outbox);
    keep_heard(&mut balancer, 2_000, &mut outbox);
    // Host 3 was met and went silent.
    greet(&mut balancer, 3, &host_hello(1, 0), at(500), &mut outbox);
    balancer.receive_caller_packet(&raw(&request(4_001)), at(2_010), &mut outbox);
    outbox.clear();
    for number in 1..=3 {
        deny(&mut balancer, number, true, 2_011, &mut outbox);
    }
    expect![""].assert_eq(&drain(&mut outbox));
}

#[test]
fn a_flow_that_may_be_at_a_host_that_was_silent_for_long_is_reset() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer_with_hosts(&mut outbox);
    keep_heard(&mut balancer, 4_000, &mut outbox);
    greet(&mut balancer, 3, &host_hello(1, 0), at(500), &mut outbox);
    balancer.receive_caller_packet(&raw(&request(4_001)), at(4_010), &mut outbox);
    outbox.clear();
    for number in 1..=2 {
        deny(&mut balancer, number, true, 4_011, &mut outbox);
    }
    expect!["reset 100.64.0.7:4001 at 5001"].assert_eq(&drain(&mut outbox));
}

#[test]
fn a_flow_whose_own_host_denies_it_is_reset_while_another_host_is_silent() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer_with_hosts(&mut outbox);
    keep_heard(&mut balancer, 2_000, &mut outbox);
    greet(&mut balancer, 3, &host_hello(1, 0), at(500), &mut outbox);
    let owned = CarryMessage::Owned {
        flow: request(4_001).caller_flow(),
        load: Default::default(),
    };
    balancer.receive_peer(host(1), &owned, None, &[], at(1_900), &mut outbox);
    hand_back(&mut balancer, host(1), 2_010, &mut outbox);
    outbox.clear();
    deny(&mut balancer, 2, true, 2_011, &mut outbox);
    for millis in (2_020..2_100).step_by(10) {
        balancer.tick(at(millis), &mut outbox);
    }
    let text = drain(&mut outbox);
    let resets: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("reset"))
        .collect();
    expect!["reset 100.64.0.7:4001 at 5001"].assert_eq(&resets.join("\n"));
}

#[test]
fn a_flow_that_two_hosts_have_claimed_is_not_reset_because_one_denies_it() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer_with_hosts(&mut outbox);
    keep_heard(&mut balancer, 2_000, &mut outbox);
    let owned = CarryMessage::Owned {
        flow: request(4_001).caller_flow(),
        load: Default::default(),
    };
    // The first host answered late, so that the flow was offered to another.
    balancer.receive_peer(host(1), &owned, None, &[], at(2_000), &mut outbox);
    balancer.receive_peer(host(2), &owned, None, &[], at(2_001), &mut outbox);
    hand_back(&mut balancer, host(2), 2_010, &mut outbox);
    for millis in (2_014..2_090).step_by(4) {
        balancer.tick(at(millis), &mut outbox);
    }
    let resets: Vec<_> = outbox.resets().to_vec();
    expect!["[]"].assert_eq(&format!("{resets:?}"));
}

#[test]
fn a_flow_that_was_offered_twice_is_not_reset_because_one_host_denies_it() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer_with_hosts(&mut outbox);
    keep_heard(&mut balancer, 2_000, &mut outbox);
    // The first host takes the flow, and its claim is lost.
    balancer.receive_caller_packet(&raw(&opening(4_001)), at(2_000), &mut outbox);
    balancer.tick(at(2_070), &mut outbox);
    let second = outbox.datagrams().last().map(|(to, _)| to);
    let Some(Destination::Peer(second)) = second else {
        panic!("the flow was not offered again: {second:?}");
    };
    let owned = CarryMessage::Owned {
        flow: request(4_001).caller_flow(),
        load: Default::default(),
    };
    balancer.receive_peer(second, &owned, None, &[], at(2_072), &mut outbox);
    hand_back(&mut balancer, second, 2_074, &mut outbox);
    for millis in (2_078..2_170).step_by(4) {
        balancer.tick(at(millis), &mut outbox);
    }
    let resets: Vec<_> = outbox.resets().to_vec();
    expect!["[]"].assert_eq(&format!("{resets:?}"));
}

/// Returns when a flow is reset that all hosts have denied but a third one, which
/// was heard at `heard` and had no server then. The search starts at 2010 ms.
fn reset_beside_a_host_without_server(heard: u64) -> Option<u64> {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer_with_hosts(&mut outbox);
    keep_heard(&mut balancer, 2_000, &mut outbox);
    for (number, millis) in [(1, 500), (2, heard)] {
        let down = host_hello_of(number, 0, ServerState::Down);
        greet(&mut balancer, 3, &down, at(millis), &mut outbox);
    }
    balancer.receive_caller_packet(&raw(&request(4_001)), at(2_010), &mut outbox);
    for number in 1..=2 {
        deny(&mut balancer, number, true, 2_016, &mut outbox);
    }
    (2_020..2_200).step_by(5).find(|millis| {
        outbox.clear();
        balancer.tick(at(*millis), &mut outbox);
        !outbox.resets().is_empty()
    })
}

#[test]
fn a_host_that_has_gone_after_its_server_does_not_keep_flows_from_being_reset() {
    let resets = [1_400, 1_900].map(reset_beside_a_host_without_server);
    // The second is asked twice, as it may have a server again.
    expect!["[Some(2020), Some(2100)]"].assert_eq(&format!("{resets:?}"));
}

#[test]
fn a_flow_is_left_in_silence_while_hosts_are_still_being_met() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer_with_hosts(&mut outbox);
    balancer.receive_caller_packet(&raw(&request(4_001)), at(100), &mut outbox);
    outbox.clear();
    deny(&mut balancer, 1, true, 101, &mut outbox);
    deny(&mut balancer, 2, true, 101, &mut outbox);
    expect![""].assert_eq(&drain(&mut outbox));
}

#[test]
fn a_flow_from_before_an_outage_of_everything_is_reset_at_once() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer();
    for number in 1..=3 {
        let CarryMessage::Hello(mut hello) = host_hello(1, 0) else {
            panic!("the fixture made another message");
        };
        if let HelloRole::Host(host) = &mut hello.role {
            host.is_server_new = true;
        }
        greet(
            &mut balancer,
            number,
            &CarryMessage::Hello(hello),
            at(10),
            &mut outbox,
        );
    }
    balancer.receive_caller_packet(&raw(&request(4_001)), at(70), &mut outbox);
    outbox.clear();
    for number in 1..=3 {
        deny(&mut balancer, number, true, 71, &mut outbox);
    }
    expect!["reset 100.64.0.7:4001 at 5001"].assert_eq(&drain(&mut outbox));
}

#[test]
fn a_flow_of_a_host_that_only_a_peer_has_met_is_left_in_silence() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer_with_hosts(&mut outbox);
    keep_heard(&mut balancer, 2_000, &mut outbox);
    let told = CarryMessage::Flows {
        owner: host(9),
        flows: vec![request(4_002).caller_flow()],
    };
    balancer.receive_peer(
        balancer_address(2),
        &told,
        None,
        &[],
        at(2_000),
        &mut outbox,
    );
    balancer.receive_caller_packet(&raw(&request(4_001)), at(2_010), &mut outbox);
    outbox.clear();
    deny(&mut balancer, 1, true, 2_011, &mut outbox);
    deny(&mut balancer, 2, true, 2_011, &mut outbox);
    expect![""].assert_eq(&drain(&mut outbox));
}

#[test]
fn a_flow_is_left_in_silence_while_a_peer_knows_more_hosts() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer_with_hosts(&mut outbox);
    keep_heard(&mut balancer, 2_000, &mut outbox);
    let hello = CarryMessage::Hello(HelloMessage {
        started: 1,
        number: 1,
        zone: "utr-a".to_owned(),
        routes: 1,
        wants_answer: false,
        role: HelloRole::Balancer(BalancerHello {
            is_stopping: false,
            wants_flows: false,
            hosts: 3,
            balancers: Default::default(),
        }),
    });
    balancer.receive_peer(
        balancer_address(2),
        &hello,
        None,
        &[],
        at(2_000),
        &mut outbox,
    );
    balancer.receive_caller_packet(&raw(&request(4_001)), at(2_010), &mut outbox);
    outbox.clear();
    deny(&mut balancer, 1, true, 2_011, &mut outbox);
    deny(&mut balancer, 2, true, 2_011, &mut outbox);
    expect![""].assert_eq(&drain(&mut outbox));
}

#[test]
fn packets_that_came_during_a_search_follow_the_first() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer_with_hosts(&mut outbox);
    balancer.receive_caller_packet(&raw(&request(4_001)), at(100), &mut outbox);
    balancer.receive_caller_packet(&raw(&request(4_001)), at(101), &mut outbox);
    outbox.clear();
    let owned = CarryMessage::Owned {
        flow: request(4_001).caller_flow(),
        load: Default::default(),
    };
    balancer.receive_peer(host(2), &owned, None, &[], at(102), &mut outbox);
    balancer.receive_caller_packet(&raw(&request(4_001)), at(103), &mut outbox);
    expect![[r#"
        Peer(10.0.1.2): forward Owner best None next [] + 6 bytes
        Peer(10.0.1.2): forward Owner best None next [] + 6 bytes
        Peer(10.0.1.2): forward Owner best None next [] + 6 bytes"#]]
    .assert_eq(&drain(&mut outbox));
}

#[test]
fn questions_about_many_flows_share_a_datagram() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer_with_hosts(&mut outbox);
    for port in 4_001..4_061 {
        balancer.receive_caller_packet(&raw(&request(port)), at(100), &mut outbox);
    }
    balancer.tick(at(103), &mut outbox);
    expect![""].assert_eq(&questions(&mut outbox));
    balancer.tick(at(104), &mut outbox);
    let longest = outbox.datagrams().map(|(_, bytes)| bytes.len()).max();
    assert!(longest.is_some_and(|length| length <= 1_200), "{longest:?}");
    let text = questions(&mut outbox);
    let counts: Vec<String> = text
        .lines()
        .map(|line| line.split(' ').count() - 3)
        .map(|count| count.to_string())
        .collect();
    expect!["56 4 56 4"].assert_eq(&counts.join(" "));
}

#[test]
fn a_lost_question_is_asked_again() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer_with_hosts(&mut outbox);
    balancer.receive_caller_packet(&raw(&request(4_001)), at(100), &mut outbox);
    balancer.tick(at(104), &mut outbox);
    deny(&mut balancer, 1, true, 105, &mut outbox);
    outbox.clear();
    for millis in (110..160).step_by(2) {
        balancer.tick(at(millis), &mut outbox);
    }
    expect!["Peer(10.0.1.2): ask for 4001"].assert_eq(&questions(&mut outbox));
}

#[test]
fn a_flow_is_also_looked_for_at_the_service_that_its_route_has_left() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = balancer_with_hosts(&mut outbox);
    keep_heard(&mut balancer, 2_000, &mut outbox);
    let table = routes(2, vec![route(target(), "archive")]);
    balancer.set_routes(table, &mut outbox);
    let CarryMessage::Hello(mut hello) = host_hello(1, 0) else {
        panic!("the fixture made another message");
    };
    if let HelloRole::Host(host) = &mut hello.role {
        host.service = "archive".to_owned();
    }
    greet(
        &mut balancer,
        3,
        &CarryMessage::Hello(hello),
        at(1_400),
        &mut outbox,
    );
    balancer.receive_caller_packet(&raw(&request(4_001)), at(2_010), &mut outbox);
    balancer.tick(at(2_014), &mut outbox);
    expect![[r#"
        Peer(10.0.1.1): ask for 4001
        Peer(10.0.1.2): ask for 4001
        Peer(10.0.1.3): ask for 4001"#]]
    .assert_eq(&questions(&mut outbox));
}

/// Describes the questions that are to be sent, and empties the outbox.
fn questions(outbox: &mut FlowOutbox) -> String {
    let lines: Vec<String> = outbox
        .datagrams()
        .filter_map(|(to, bytes)| match CarryMessage::decode(bytes)? {
            (CarryMessage::Locate { questions }, _) => {
                let ports = questions
                    .iter()
                    .map(|question| question.flow.caller.port().to_string());
                let ports: Vec<String> = ports.collect();
                Some(format!("{to:?}: ask for {}", ports.join(" ")))
            }
            _ => None,
        })
        .collect();
    outbox.clear();
    lines.join("\n")
}
