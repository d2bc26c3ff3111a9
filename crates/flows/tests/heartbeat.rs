//! The order of heartbeats: late ones and those of earlier lives change nothing.

mod fixture;

use expect_test::expect;
use hyssopstair_flows::heartbeat::HeartbeatTracker;
use hyssopstair_flows::heartbeat::ServerHeartbeat;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_wire::carried::ForwardPurpose;

use crate::fixture::*;

fn beat(born: u64, sequence: u64) -> ServerHeartbeat {
    ServerHeartbeat {
        started_unix_millis: born,
        ..heartbeat(sequence)
    }
}

#[test]
fn heartbeats_are_ordered_by_life_and_number() {
    let mut log = HeartbeatTracker::default();
    let steps = [
        (1_000, 3),
        (1_000, 4),
        (1_000, 4),
        (1_000, 2),
        (2_000, 0),
        (1_000, 9),
        (2_000, 1),
    ];
    let orders: Vec<String> = steps
        .iter()
        .map(|(born, sequence)| {
            format!(
                "{born}/{sequence} {:?}",
                log.record(&beat(*born, *sequence), at(0))
            )
        })
        .collect();
    expect![[r#"
        1000/3 Next
        1000/4 Next
        1000/4 Late
        1000/2 Late
        2000/0 NewIncarnation
        1000/9 Late
        2000/1 Next"#]]
    .assert_eq(&orders.join("\n"));
}

#[test]
fn a_late_heartbeat_of_an_earlier_life_breaks_no_flow() {
    let mut outbox = FlowOutbox::default();
    let mut gate = gate(1);
    gate.receive_heartbeat(&beat(2_000, 0), at(0), &mut outbox);
    take_flow(&mut gate, 4_001, 20, &mut outbox);
    outbox.clear();
    gate.receive_heartbeat(&beat(1_000, 50), at(30), &mut outbox);
    let owner = header(ForwardPurpose::Owner);
    gate.receive_forwarded_packet(&owner, &raw(&request(4_001)), at(40), &mut outbox);
    expect!["Server: packet"].assert_eq(&drain(&mut outbox));
}

#[test]
fn a_flow_that_opened_at_another_server_gets_no_further_here() {
    let mut outbox = FlowOutbox::default();
    let mut gate = ready_gate(1);
    take_flow(&mut gate, 4_001, 20, &mut outbox);
    outbox.clear();
    // The caller took the answer of a server whose stream starts at 900000.
    let mut other = request(4_001);
    other.acknowledged = 900_001;
    let owner = header(ForwardPurpose::Owner);
    gate.receive_forwarded_packet(&owner, &raw(&other), at(27), &mut outbox);
    expect!["Peer(10.0.2.1): Returned { purpose: Owner } + 6 bytes"].assert_eq(&drain(&mut outbox));
}

#[test]
fn a_server_whose_clock_was_set_back_is_heard_again() {
    let mut log = HeartbeatTracker::default();
    // The second life was born an hour earlier, by its clock.
    let steps = [
        (3_601_000, 7, 0),
        (1_000, 0, 1_500),
        (1_000, 1, 2_700),
        (1_000, 2, 3_900),
        (1_000, 3, 5_100),
        (1_000, 4, 6_300),
    ];
    let orders: Vec<String> = steps
        .iter()
        .map(|(born, sequence, millis)| {
            let order = log.record(&beat(*born, *sequence), at(*millis));
            format!("{millis} {order:?}")
        })
        .collect();
    expect![[r#"
        0 Next
        1500 Late
        2700 Late
        3900 Late
        5100 Next
        6300 Next"#]]
    .assert_eq(&orders.join("\n"));
}

#[test]
fn late_heartbeats_do_not_replace_a_life_that_goes_on() {
    let mut log = HeartbeatTracker::default();
    log.record(&beat(9_000, 0), at(0));
    let orders: Vec<String> = (1..6)
        .map(|number| {
            log.record(&beat(9_000, number), at(number * 1_200));
            let late = log.record(&beat(1_000, 40 + number), at(number * 1_200 + 1));
            format!("{late:?}")
        })
        .collect();
    expect!["Late Late Late Late Late"].assert_eq(&orders.join(" "));
}

#[test]
fn one_late_heartbeat_does_not_bring_a_life_back() {
    let mut log = HeartbeatTracker::default();
    log.record(&beat(9_000, 0), at(0));
    let late = log.record(&beat(1_000, 40), at(20_000));
    let again = log.record(&beat(1_000, 40), at(20_100));
    expect!["Late Late"].assert_eq(&format!("{late:?} {again:?}"));
}

#[test]
fn flows_of_a_server_whose_clock_was_set_back_are_not_reset() {
    let mut outbox = FlowOutbox::default();
    let mut gate = gate(1);
    gate.receive_heartbeat(&beat(3_601_000, 7), at(0), &mut outbox);
    // The next life started at once, and nobody noticed.
    take_flow(&mut gate, 4_001, 2_000, &mut outbox);
    let owner = header(ForwardPurpose::Owner);
    gate.receive_forwarded_packet(&owner, &raw(&request(4_001)), at(2_010), &mut outbox);
    outbox.clear();
    for sequence in 0..6 {
        let millis = 1_500 + sequence * 1_200;
        gate.receive_heartbeat(&beat(1_000, sequence), at(millis), &mut outbox);
    }
    expect![""].assert_eq(&drain(&mut outbox));
}
