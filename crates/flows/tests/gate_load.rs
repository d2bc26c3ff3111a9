//! How a gate counts the requests of its server.

mod fixture;

use expect_test::expect;
use hyssopstair_flows::gate::FlowGate;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_wire::carried::ForwardPurpose;

use crate::fixture::*;

fn offer(gate: &mut FlowGate, port: u16, millis: u64, outbox: &mut FlowOutbox) {
    let opening = opening(port);
    let header = header(ForwardPurpose::OpenHere);
    gate.receive_forwarded(&header, &raw(&opening), at(millis), outbox);
    gate.receive_server(&raw(&opened(port)), at(millis), outbox);
}

#[test]
fn flows_that_never_ask_stop_counting_soon() {
    let mut outbox = FlowOutbox::default();
    let mut gate = ready_gate(1);
    for port in 4_001..4_007 {
        offer(&mut gate, port, 100, &mut outbox);
    }
    let mut counts = Vec::new();
    for millis in [100, 140, 200, 400] {
        counts.push(format!("{millis} ms: {}", gate.in_progress(at(millis))));
    }
    expect![[r#"
        100 ms: 6
        140 ms: 6
        200 ms: 0
        400 ms: 0"#]]
    .assert_eq(&counts.join("\n"));
}

#[test]
fn requests_count_until_their_answer_or_the_end_of_their_flow() {
    let mut outbox = FlowOutbox::default();
    let mut gate = ready_gate(1);
    let owner = header(ForwardPurpose::Owner);
    for port in 4_001..4_005 {
        offer(&mut gate, port, 100, &mut outbox);
        gate.receive_forwarded(&owner, &raw(&request(port)), at(106), &mut outbox);
    }
    let mut counts = vec![format!("asked: {}", gate.in_progress(at(200)))];
    gate.receive_server(&raw(&answer(4_001)), at(210), &mut outbox);
    counts.push(format!("one answered: {}", gate.in_progress(at(210))));
    let mut reset = request(4_002);
    reset.is_reset = true;
    reset.data_length = 0;
    gate.receive_forwarded(&owner, &raw(&reset), at(220), &mut outbox);
    counts.push(format!("one broken off: {}", gate.in_progress(at(220))));
    for millis in (250..5_000).step_by(50) {
        gate.tick(at(millis), &mut outbox);
    }
    counts.push(format!("after 5 s: {}", gate.in_progress(at(5_000))));
    expect![[r#"
        asked: 4
        one answered: 3
        one broken off: 2
        after 5 s: 0"#]]
    .assert_eq(&counts.join("\n"));
}

#[test]
fn a_request_that_is_repeated_after_its_answer_is_not_counted_again() {
    let mut outbox = FlowOutbox::default();
    let mut gate = ready_gate(1);
    let owner = header(ForwardPurpose::Owner);
    offer(&mut gate, 4_001, 100, &mut outbox);
    gate.receive_forwarded(&owner, &raw(&request(4_001)), at(106), &mut outbox);
    gate.receive_server(&raw(&answer(4_001)), at(305), &mut outbox);
    gate.receive_forwarded(&owner, &raw(&request(4_001)), at(306), &mut outbox);
    let repeated = gate.in_progress(at(400));
    let mut second = request(4_001);
    second.sequence += 80;
    gate.receive_forwarded(&owner, &raw(&second), at(410), &mut outbox);
    let next = gate.in_progress(at(410));
    expect!["repeated: 0, the next one: 1"]
        .assert_eq(&format!("repeated: {repeated}, the next one: {next}"));
}
