//! A balancer's search for the host of a flow that its table has no entry for.

mod fixture;

use std::net::Ipv4Addr;

use expect_test::expect;
use hyssopstair_flows::balancer::FlowBalancer;
use hyssopstair_flows::outbox::Destination;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::packet::PacketHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::HelloRole;
use hyssopstair_wire::carried::ServerState;

use crate::fixture::*;

/// Delivers a host's answer that it does not hold the flow of port 4001.
fn deny_flow(
    balancer: &mut FlowBalancer,
    number: u8,
    is_certain: bool,
    millis: u64,
    outbox: &mut FlowOutbox,
) {
    let message = CarryMessage::NotHeld {
        flows: vec![request_packet(4_001).caller_flow()],
        is_certain,
    };
    balancer.receive_peer_message(
        host_address(number),
        &message,
        None,
        &[],
        at(millis),
        outbox,
    );
}

/// Delivers a packet that the balancer forwarded to a host as the owner of its flow, and
/// that the host returns.
fn return_packet(
    balancer: &mut FlowBalancer,
    from: Ipv4Addr,
    millis: u64,
    outbox: &mut FlowOutbox,
) {
    let returned = CarryMessage::Returned {
        purpose: ForwardPurpose::Owner,
    };
    let packet = request_packet(4_001);
    let raw = raw_packet(&packet);
    balancer.receive_peer_message(from, &returned, Some(&raw), b"packet", at(millis), outbox);
}

/// Creates a balancer that knows hosts 1 and 2.
fn new_balancer_with_hosts(outbox: &mut FlowOutbox) -> FlowBalancer {
    let mut balancer = new_balancer();
    receive_host_hello(&mut balancer, 1, &host_hello(1, 0), at(10), outbox);
    receive_host_hello(&mut balancer, 2, &host_hello(1, 0), at(12), outbox);
    outbox.clear();
    balancer
}

/// Delivers hellos of hosts 1 and 2 every 250 ms until a time in milliseconds.
fn receive_hellos_until(balancer: &mut FlowBalancer, until: u64, outbox: &mut FlowOutbox) {
    for (number, millis) in (250..=until).step_by(250).enumerate() {
        let hello = host_hello(number as u32 + 2, 0);
        receive_host_hello(balancer, 1, &hello, at(millis), outbox);
        receive_host_hello(balancer, 2, &hello, at(millis), outbox);
    }
    outbox.clear();
}

#[test]
fn a_flow_that_every_host_denies_is_reset_at_the_acknowledged_position() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&mut outbox);
    receive_hellos_until(&mut balancer, 2_000, &mut outbox);
    balancer.receive_caller_packet(&raw_packet(&request_packet(4_001)), at(2_010), &mut outbox);
    balancer.tick(at(2_014), &mut outbox);
    expect![[r#"
        Peer(10.0.1.1): ask for 4001
        Peer(10.0.1.2): ask for 4001"#]]
    .assert_eq(&take_questions(&mut outbox));
    deny_flow(&mut balancer, 1, true, 2_011, &mut outbox);
    deny_flow(&mut balancer, 2, true, 2_011, &mut outbox);
    // Callers accept a reset only near the position that they acknowledged last.
    expect!["reset 100.64.0.7:4001 at 5001"].assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_host_that_is_uncertain_is_probed_and_the_flow_is_not_reset() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&mut outbox);
    receive_hellos_until(&mut balancer, 2_000, &mut outbox);
    balancer.receive_caller_packet(&raw_packet(&request_packet(4_001)), at(2_010), &mut outbox);
    outbox.clear();
    deny_flow(&mut balancer, 1, true, 2_011, &mut outbox);
    deny_flow(&mut balancer, 2, false, 2_011, &mut outbox);
    expect!["Peer(10.0.1.2): forward Probe best None next [] + 6 bytes"]
        .assert_eq(&take_output(&mut outbox));
}

#[test]
fn servers_are_probed_two_at_a_time() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer();
    for number in 1..=6 {
        receive_host_hello(
            &mut balancer,
            number,
            &host_hello(1, 0),
            at(10),
            &mut outbox,
        );
    }
    balancer.receive_caller_packet(&raw_packet(&request_packet(4_001)), at(100), &mut outbox);
    outbox.clear();
    for number in 1..=6 {
        deny_flow(&mut balancer, number, false, 101, &mut outbox);
    }
    expect![[r#"
        Peer(10.0.1.1): forward Probe best None next [] + 6 bytes
        Peer(10.0.1.2): forward Probe best None next [] + 6 bytes"#]]
    .assert_eq(&take_output(&mut outbox));
    deny_flow(&mut balancer, 2, true, 102, &mut outbox);
    expect!["Peer(10.0.1.3): forward Probe best None next [] + 6 bytes"]
        .assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_flow_is_not_reset_while_a_host_is_silent() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&mut outbox);
    receive_hellos_until(&mut balancer, 2_000, &mut outbox);
    // Host 3 was discovered and has been silent since.
    receive_host_hello(&mut balancer, 3, &host_hello(1, 0), at(500), &mut outbox);
    balancer.receive_caller_packet(&raw_packet(&request_packet(4_001)), at(2_010), &mut outbox);
    outbox.clear();
    for number in 1..=3 {
        deny_flow(&mut balancer, number, true, 2_011, &mut outbox);
    }
    expect![""].assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_flow_is_reset_although_a_host_that_was_silent_for_long_may_hold_it() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&mut outbox);
    receive_hellos_until(&mut balancer, 4_000, &mut outbox);
    receive_host_hello(&mut balancer, 3, &host_hello(1, 0), at(500), &mut outbox);
    balancer.receive_caller_packet(&raw_packet(&request_packet(4_001)), at(4_010), &mut outbox);
    outbox.clear();
    for number in 1..=2 {
        deny_flow(&mut balancer, number, true, 4_011, &mut outbox);
    }
    expect!["reset 100.64.0.7:4001 at 5001"].assert_eq(&take_output(&mut outbox));
}

/// Plays a flow that host 1 claims at 1.5 s and whose packet it returns at 2.01 s. The caller
/// acknowledges these positions 0.05 s after the claim and every 0.3 s from then on. Host 2
/// denies the flow, and host 3 is silent. Returns the resets.
fn deny_claimed_flow(acknowledged_positions: &[u32]) -> String {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&mut outbox);
    receive_hellos_until(&mut balancer, 2_000, &mut outbox);
    receive_host_hello(&mut balancer, 3, &host_hello(1, 0), at(500), &mut outbox);
    balancer.receive_caller_packet(&raw_packet(&opening_packet(4_001)), at(1_499), &mut outbox);
    let claim = CarryMessage::Owned {
        flow: request_packet(4_001).caller_flow(),
        load: Default::default(),
    };
    balancer.receive_peer_message(host_address(1), &claim, None, &[], at(1_500), &mut outbox);
    for (number, acknowledged) in acknowledged_positions.iter().enumerate() {
        let packet = PacketHeader {
            acknowledged: *acknowledged,
            ..request_packet(4_001)
        };
        let now = at(1_550 + 300 * number as u64);
        balancer.receive_caller_packet(&raw_packet(&packet), now, &mut outbox);
    }
    return_packet(&mut balancer, host_address(1), 2_010, &mut outbox);
    deny_flow(&mut balancer, 2, true, 2_011, &mut outbox);
    for millis in (2_020..2_100).step_by(10) {
        balancer.tick(at(millis), &mut outbox);
    }
    let text = take_output(&mut outbox);
    let resets: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("reset"))
        .collect();
    resets.join("\n")
}

#[test]
fn a_flow_whose_own_host_denies_it_is_reset_while_another_host_is_silent() {
    expect!["reset 100.64.0.7:4001 at 5001"].assert_eq(&deny_claimed_flow(&[5_001, 5_601]));
}

// Failure: the first copy of an opening packet came to this balancer, and the answer of host 1 to
// it was lost. The next copy went to another balancer, and the flow opened at host 3. Later the
// caller's packets came to this balancer, which took host 1 for the only possible owner.
#[test]
fn a_flow_that_a_host_has_only_answered_is_not_reset_because_it_denies_the_flow() {
    expect![""].assert_eq(&deny_claimed_flow(&[5_001]));
    expect![""].assert_eq(&deny_claimed_flow(&[]));
}

#[test]
fn a_flow_that_two_hosts_have_claimed_is_not_reset_because_one_denies_it() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&mut outbox);
    receive_hellos_until(&mut balancer, 2_000, &mut outbox);
    let claim = CarryMessage::Owned {
        flow: request_packet(4_001).caller_flow(),
        load: Default::default(),
    };
    // Host 1 accepted the flow too late, after it had been offered to host 2 as well.
    balancer.receive_peer_message(host_address(1), &claim, None, &[], at(2_000), &mut outbox);
    balancer.receive_peer_message(host_address(2), &claim, None, &[], at(2_001), &mut outbox);
    return_packet(&mut balancer, host_address(2), 2_010, &mut outbox);
    for millis in (2_014..2_090).step_by(4) {
        balancer.tick(at(millis), &mut outbox);
    }
    let resets: Vec<_> = outbox.resets().to_vec();
    expect!["[]"].assert_eq(&format!("{resets:?}"));
}

#[test]
fn a_flow_that_was_offered_twice_is_not_reset_because_one_host_denies_it() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&mut outbox);
    receive_hellos_until(&mut balancer, 2_000, &mut outbox);
    // The first host's claim is lost, so that the flow is offered to the second.
    balancer.receive_caller_packet(&raw_packet(&opening_packet(4_001)), at(2_000), &mut outbox);
    balancer.tick(at(2_070), &mut outbox);
    let second = outbox.datagrams().last().map(|(to, _)| to);
    let Some(Destination::Peer(second)) = second else {
        panic!("the flow was not offered to a second host: {second:?}");
    };
    let claim = CarryMessage::Owned {
        flow: request_packet(4_001).caller_flow(),
        load: Default::default(),
    };
    balancer.receive_peer_message(second, &claim, None, &[], at(2_072), &mut outbox);
    return_packet(&mut balancer, second, 2_074, &mut outbox);
    for millis in (2_078..2_170).step_by(4) {
        balancer.tick(at(millis), &mut outbox);
    }
    let resets: Vec<_> = outbox.resets().to_vec();
    expect!["[]"].assert_eq(&format!("{resets:?}"));
}

// Another balancer may have offered the flow to another host.
#[test]
fn a_flow_whose_first_opening_packet_went_elsewhere_is_not_reset_because_one_host_denies_it() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&mut outbox);
    let repetition = PacketHeader {
        acknowledged: 2,
        ..opening_packet(4_001)
    };
    balancer.receive_caller_packet(&raw_packet(&repetition), at(100), &mut outbox);
    let claim = CarryMessage::Owned {
        flow: repetition.caller_flow(),
        load: Default::default(),
    };
    balancer.receive_peer_message(host_address(1), &claim, None, &[], at(102), &mut outbox);
    balancer.receive_caller_packet(&raw_packet(&request_packet(4_001)), at(103), &mut outbox);
    return_packet(&mut balancer, host_address(1), 104, &mut outbox);
    deny_flow(&mut balancer, 2, true, 106, &mut outbox);
    let resets: Vec<_> = outbox.resets().to_vec();
    expect!["[]"].assert_eq(&format!("{resets:?}"));
}

/// Returns the time in milliseconds at which a flow is reset, or `None` if it is not.
///
/// Hosts 1 and 2 deny the flow. Host 3 does not answer; its last hello, which arrived at
/// `last_hello_millis`, reported that its server is down. The search starts at 2010 ms.
fn find_reset_time(last_hello_millis: u64) -> Option<u64> {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&mut outbox);
    receive_hellos_until(&mut balancer, 2_000, &mut outbox);
    for (number, millis) in [(1, 500), (2, last_hello_millis)] {
        let down = host_hello_with_state(number, 0, ServerState::Down);
        receive_host_hello(&mut balancer, 3, &down, at(millis), &mut outbox);
    }
    balancer.receive_caller_packet(&raw_packet(&request_packet(4_001)), at(2_010), &mut outbox);
    for number in 1..=2 {
        deny_flow(&mut balancer, number, true, 2_016, &mut outbox);
    }
    (2_020..2_200).step_by(5).find(|millis| {
        outbox.clear();
        balancer.tick(at(*millis), &mut outbox);
        !outbox.resets().is_empty()
    })
}

#[test]
fn a_silent_host_whose_server_was_down_does_not_prevent_resets() {
    let resets = [1_400, 1_900].map(find_reset_time);
    // In the second case, host 3 is queried twice because it may have a server again.
    expect!["[Some(2020), Some(2100)]"].assert_eq(&format!("{resets:?}"));
}

#[test]
fn a_flow_is_not_reset_while_hosts_are_still_being_discovered() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&mut outbox);
    balancer.receive_caller_packet(&raw_packet(&request_packet(4_001)), at(100), &mut outbox);
    outbox.clear();
    deny_flow(&mut balancer, 1, true, 101, &mut outbox);
    deny_flow(&mut balancer, 2, true, 101, &mut outbox);
    expect![""].assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_flow_from_before_an_outage_of_all_servers_is_reset_at_once() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer();
    for number in 1..=3 {
        let CarryMessage::Hello(mut hello) = host_hello(1, 0) else {
            panic!("the fixture returned a message other than a hello");
        };
        if let HelloRole::Host(host) = &mut hello.role {
            host.is_server_new = true;
        }
        receive_host_hello(
            &mut balancer,
            number,
            &CarryMessage::Hello(hello),
            at(10),
            &mut outbox,
        );
    }
    balancer.receive_caller_packet(&raw_packet(&request_packet(4_001)), at(70), &mut outbox);
    outbox.clear();
    for number in 1..=3 {
        deny_flow(&mut balancer, number, true, 71, &mut outbox);
    }
    expect!["reset 100.64.0.7:4001 at 5001"].assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_flow_is_not_reset_while_only_a_peer_knows_one_of_the_hosts() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&mut outbox);
    receive_hellos_until(&mut balancer, 2_000, &mut outbox);
    let report = CarryMessage::Flows {
        owner: host_address(9),
        flows: vec![request_packet(4_002).caller_flow()],
    };
    balancer.receive_peer_message(
        balancer_address(2),
        &report,
        None,
        &[],
        at(2_000),
        &mut outbox,
    );
    balancer.receive_caller_packet(&raw_packet(&request_packet(4_001)), at(2_010), &mut outbox);
    outbox.clear();
    deny_flow(&mut balancer, 1, true, 2_011, &mut outbox);
    deny_flow(&mut balancer, 2, true, 2_011, &mut outbox);
    expect![""].assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_flow_is_not_reset_while_a_peer_knows_more_hosts() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&mut outbox);
    receive_hellos_until(&mut balancer, 2_000, &mut outbox);
    let hello = balancer_hello_with_hosts(1, 3);
    balancer.receive_peer_message(
        balancer_address(2),
        &hello,
        None,
        &[],
        at(2_000),
        &mut outbox,
    );
    balancer.receive_caller_packet(&raw_packet(&request_packet(4_001)), at(2_010), &mut outbox);
    outbox.clear();
    deny_flow(&mut balancer, 1, true, 2_011, &mut outbox);
    deny_flow(&mut balancer, 2, true, 2_011, &mut outbox);
    expect![""].assert_eq(&take_output(&mut outbox));
}

#[test]
fn packets_that_arrive_during_a_search_are_forwarded_after_the_first() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&mut outbox);
    balancer.receive_caller_packet(&raw_packet(&request_packet(4_001)), at(100), &mut outbox);
    balancer.receive_caller_packet(&raw_packet(&request_packet(4_001)), at(101), &mut outbox);
    outbox.clear();
    let claim = CarryMessage::Owned {
        flow: request_packet(4_001).caller_flow(),
        load: Default::default(),
    };
    balancer.receive_peer_message(host_address(2), &claim, None, &[], at(102), &mut outbox);
    balancer.receive_caller_packet(&raw_packet(&request_packet(4_001)), at(103), &mut outbox);
    expect![[r#"
        Peer(10.0.1.2): forward Owner best None next [] + 6 bytes
        Peer(10.0.1.2): forward Owner best None next [] + 6 bytes
        Peer(10.0.1.2): forward Owner best None next [] + 6 bytes"#]]
    .assert_eq(&take_output(&mut outbox));
}

#[test]
fn questions_about_many_flows_share_a_datagram() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&mut outbox);
    for port in 4_001..4_061 {
        balancer.receive_caller_packet(&raw_packet(&request_packet(port)), at(100), &mut outbox);
    }
    balancer.tick(at(103), &mut outbox);
    expect![""].assert_eq(&take_questions(&mut outbox));
    balancer.tick(at(104), &mut outbox);
    let longest = outbox.datagrams().map(|(_, bytes)| bytes.len()).max();
    assert!(longest.is_some_and(|length| length <= 1_200), "{longest:?}");
    let text = take_questions(&mut outbox);
    let counts: Vec<String> = text
        .lines()
        .map(|line| line.split(' ').count() - 3)
        .map(|count| count.to_string())
        .collect();
    expect!["56 4 56 4"].assert_eq(&counts.join(" "));
}

#[test]
fn a_lost_question_is_retransmitted() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&mut outbox);
    balancer.receive_caller_packet(&raw_packet(&request_packet(4_001)), at(100), &mut outbox);
    balancer.tick(at(104), &mut outbox);
    deny_flow(&mut balancer, 1, true, 105, &mut outbox);
    outbox.clear();
    for millis in (110..160).step_by(2) {
        balancer.tick(at(millis), &mut outbox);
    }
    expect!["Peer(10.0.1.2): ask for 4001"].assert_eq(&take_questions(&mut outbox));
}

#[test]
fn a_flow_is_also_searched_for_at_the_previous_service_of_its_route() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer_with_hosts(&mut outbox);
    receive_hellos_until(&mut balancer, 2_000, &mut outbox);
    let table = route_table(2, vec![route_rule(target_address(), "archive")]);
    balancer.set_routes(table, &mut outbox);
    let CarryMessage::Hello(mut hello) = host_hello(1, 0) else {
        panic!("the fixture returned a message other than a hello");
    };
    if let HelloRole::Host(host) = &mut hello.role {
        host.service = "archive".to_owned();
    }
    receive_host_hello(
        &mut balancer,
        3,
        &CarryMessage::Hello(hello),
        at(1_400),
        &mut outbox,
    );
    balancer.receive_caller_packet(&raw_packet(&request_packet(4_001)), at(2_010), &mut outbox);
    balancer.tick(at(2_014), &mut outbox);
    expect![[r#"
        Peer(10.0.1.1): ask for 4001
        Peer(10.0.1.2): ask for 4001
        Peer(10.0.1.3): ask for 4001"#]]
    .assert_eq(&take_questions(&mut outbox));
}

/// Describes the questions to send, one datagram a line, and empties the outbox.
fn take_questions(outbox: &mut FlowOutbox) -> String {
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
