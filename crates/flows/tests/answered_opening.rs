//! Opening packets that a server has answered, of flows that open at another server.

mod fixture;
mod model;

use expect_test::expect;
use hyssopstair_flows::host::FlowHost;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::packet::PacketHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::ForwardPurpose;

use crate::fixture::*;
use crate::model::world::Fault;
use crate::model::world::World;
use crate::model::world::WorldPlan;

/// Number of runs of the simulation, each with another seed.
const ROLLING_SEEDS: u64 = 20;

/// Position in the stream of another server that the caller acknowledges.
const OTHER_POSITION: u32 = 90_001;

/// Creates a host that was restarted beside a running server, to which a balancer reports the
/// flow of port 4001.
fn new_restarted_host(outbox: &mut FlowOutbox) -> FlowHost {
    let mut host = new_host(1);
    host.receive_heartbeat(&running_server_heartbeat(), at(10), outbox);
    let reported = CarryMessage::Flows {
        owner: host_address(1),
        flows: vec![request_packet(4_001).caller_flow()],
    };
    host.receive_peer_message(balancer_address(1), &reported, None, &[], at(15), outbox);
    outbox.clear();
    host
}

fn receive_server_packet(
    host: &mut FlowHost,
    packet: &PacketHeader,
    millis: u64,
    outbox: &mut FlowOutbox,
) {
    host.receive_server_packet(&raw_packet(packet), at(millis), outbox);
}

/// Returns the packet of a caller that the server returns.
fn bounced_request(acknowledged: u32) -> PacketHeader {
    PacketHeader {
        is_bounced: true,
        acknowledged,
        ..request_packet(4_001)
    }
}

// Failure: the answer of this server to the opening packet was lost, and the flow opened at
// another server. The server repeats its answer. After a restart, the host took that for the
// proof that the server holds the flow, and reset it when the server returned a packet of it.
#[test]
fn a_repeated_answer_is_no_proof_that_the_server_holds_a_reported_flow() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_restarted_host(&mut outbox);
    receive_server_packet(&mut host, &accept_packet(4_001), 20, &mut outbox);
    let answered = take_output(&mut outbox);
    receive_owner_request(&mut host, OTHER_POSITION, at(30), &mut outbox);
    expect![[r#"
        Caller(100.64.0.7): packet
        Peer(10.0.2.1): Returned { purpose: Owner } + 6 bytes"#]]
    .assert_eq(&format!("{answered}\n{}", take_output(&mut outbox)));
}

// Failure: as above, after the server has returned a packet of the flow.
#[test]
fn a_repeated_answer_is_no_proof_that_the_server_holds_a_denied_flow() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_restarted_host(&mut outbox);
    receive_owner_request(&mut host, OTHER_POSITION, at(20), &mut outbox);
    receive_server_packet(&mut host, &bounced_request(OTHER_POSITION), 21, &mut outbox);
    receive_server_packet(&mut host, &accept_packet(4_001), 30, &mut outbox);
    outbox.clear();
    receive_owner_request(&mut host, OTHER_POSITION, at(40), &mut outbox);
    expect!["Peer(10.0.2.1): Returned { purpose: Owner } + 6 bytes"]
        .assert_eq(&take_output(&mut outbox));
}

// Failure: as above, while the server has a packet of the flow that it will return.
#[test]
fn a_packet_that_the_server_returns_after_a_repeated_answer_goes_back_to_the_balancer() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_restarted_host(&mut outbox);
    receive_owner_request(&mut host, OTHER_POSITION, at(20), &mut outbox);
    receive_server_packet(&mut host, &accept_packet(4_001), 21, &mut outbox);
    outbox.clear();
    receive_server_packet(&mut host, &bounced_request(OTHER_POSITION), 22, &mut outbox);
    expect!["Peer(10.0.2.1): Returned { purpose: Owner } + 6 bytes"]
        .assert_eq(&take_output(&mut outbox));
}

#[test]
fn a_flow_opens_at_the_server_whose_repeated_answer_the_caller_acknowledges() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_restarted_host(&mut outbox);
    receive_server_packet(&mut host, &accept_packet(4_001), 20, &mut outbox);
    outbox.clear();
    receive_owner_request(&mut host, 5_001, at(30), &mut outbox);
    receive_server_packet(&mut host, &answer_packet(4_001), 40, &mut outbox);
    receive_owner_request(&mut host, 5_601, at(50), &mut outbox);
    expect![[r#"
        Server: packet
        Caller(100.64.0.7): packet
        Server: packet"#]]
    .assert_eq(&take_output(&mut outbox));
}

// Failure: the caller's packet opens the flow, and an answer that the server sent before is read
// after it. If the host then took the flow for one that has not opened, it would deny it.
#[test]
fn an_answer_that_is_read_late_does_not_hide_an_open_flow() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_restarted_host(&mut outbox);
    receive_owner_request(&mut host, 5_001, at(20), &mut outbox);
    receive_server_packet(&mut host, &accept_packet(4_001), 21, &mut outbox);
    receive_server_packet(&mut host, &answer_packet(4_001), 40, &mut outbox);
    outbox.clear();
    receive_owner_request(&mut host, 5_601, at(50), &mut outbox);
    let question = locate_message(&PacketHeader {
        acknowledged: 5_601,
        ..request_packet(4_001)
    });
    host.receive_peer_message(
        balancer_address(2),
        &question,
        None,
        &[],
        at(51),
        &mut outbox,
    );
    expect![[r#"
        Server: packet
        Peer(10.0.2.2): Owned { flow: FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }, load: CarryLoad { in_progress: 0, mean_sixteenths: 0, slots: 2, flows: 1, answer_micros: 20000 } } + 0 bytes"#]]
    .assert_eq(&take_output(&mut outbox));
}

// Failure: the flow opened at another server. With each repetition of its answer, this server's
// host claimed the flow, so that a balancer that had just started took it for the only possible
// owner, and reset the flow as soon as it denied a packet.
#[test]
fn a_repeated_answer_claims_the_flow_once_for_each_offer() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    let open_header = carry_header(ForwardPurpose::Open);
    let mut claims = Vec::new();
    for (millis, is_offered) in [(20, true), (220, false), (420, true), (620, false)] {
        if is_offered {
            let opening = opening_packet(4_001);
            host.receive_forwarded_packet(
                &open_header,
                &raw_packet(&opening),
                at(millis),
                &mut outbox,
            );
        }
        outbox.clear();
        receive_server_packet(&mut host, &accept_packet(4_001), millis + 1, &mut outbox);
        claims.push(take_output(&mut outbox).matches("Owned").count());
    }
    expect!["[1, 0, 1, 0]"].assert_eq(&format!("{claims:?}"));
}

/// Returns a plan in which hosts are restarted in turn, three rounds of them, while servers
/// repeat answers to opening packets and callers pause for seconds.
fn rolling_plan() -> WorldPlan {
    let hosts = WorldPlan::default().hosts;
    let restarts = (0..3 * u64::from(hosts)).map(|number| {
        let host = (number % u64::from(hosts)) as u8 + 1;
        (4_000 + number * 1_200, Fault::StopHost(host))
    });
    WorldPlan {
        faults: restarts.collect(),
        duration_millis: 36_000,
        max_pause_millis: 4_000,
        lost_answers_per_mille: 50,
        ..WorldPlan::default()
    }
}

// Failure: a flow is open at a server whose host was not restarted, and the restarted host of
// another server, which repeats its answer to the flow's opening packet, resets it.
#[test]
fn no_open_flow_is_reset_while_hosts_restart_and_answers_are_repeated() {
    let mut failures: Vec<String> = Vec::new();
    for seed in 1..=ROLLING_SEEDS {
        let mut world = World::new(rolling_plan(), seed);
        world.run();
        let violations = world.oracle.violations();
        let resets = violations.iter().filter(|text| text.contains("was reset"));
        failures.extend(resets.map(|text| format!("seed {seed}: {text}")));
    }
    let first_failures = failures[..failures.len().min(3)].join("\n");
    let summary = format!("{} violations\n{first_failures}", failures.len());
    expect!["0 violations"].assert_eq(summary.trim_end());
}
