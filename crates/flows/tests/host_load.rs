//! How a gate counts the requests of its server.

mod fixture;

use expect_test::expect;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::packet::PacketHeader;
use hyssopstair_wire::carried::ForwardPurpose;

use crate::fixture::*;

#[test]
fn flows_that_never_ask_stop_counting_soon() {
    let mut outbox = FlowOutbox::default();
    let mut gate = ready_gate(1);
    for port in 4_001..4_007 {
        take_flow(&mut gate, port, 100, &mut outbox);
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
        take_flow(&mut gate, port, 100, &mut outbox);
        gate.receive_forwarded_packet(&owner, &raw(&request(port)), at(106), &mut outbox);
    }
    let mut counts = vec![format!("asked: {}", gate.in_progress(at(200)))];
    gate.receive_server_packet(&raw(&answer(4_001)), at(210), &mut outbox);
    counts.push(format!("one answered: {}", gate.in_progress(at(210))));
    let mut reset = request(4_002);
    reset.is_reset = true;
    reset.data_length = 0;
    gate.receive_forwarded_packet(&owner, &raw(&reset), at(220), &mut outbox);
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
    take_flow(&mut gate, 4_001, 100, &mut outbox);
    gate.receive_forwarded_packet(&owner, &raw(&request(4_001)), at(106), &mut outbox);
    gate.receive_server_packet(&raw(&answer(4_001)), at(305), &mut outbox);
    gate.receive_forwarded_packet(&owner, &raw(&request(4_001)), at(306), &mut outbox);
    let repeated = gate.in_progress(at(400));
    let mut second = request(4_001);
    second.sequence += 80;
    gate.receive_forwarded_packet(&owner, &raw(&second), at(410), &mut outbox);
    let next = gate.in_progress(at(410));
    expect!["repeated: 0, the next one: 1"]
        .assert_eq(&format!("repeated: {repeated}, the next one: {next}"));
}

#[test]
fn a_flow_that_the_server_closes_without_an_answer_is_no_answer() {
    let mut outbox = FlowOutbox::default();
    let mut gate = ready_gate(1);
    let owner = header(ForwardPurpose::Owner);
    let mut lines = Vec::new();
    for (port, is_reset) in [(4_001, false), (4_002, true)] {
        take_flow(&mut gate, port, 100, &mut outbox);
        gate.receive_forwarded_packet(&owner, &raw(&request(port)), at(106), &mut outbox);
        let before = gate.in_progress(at(300));
        outbox.clear();
        let closed = PacketHeader {
            data_length: 0,
            is_finish: !is_reset,
            is_reset,
            ..answer(port)
        };
        gate.receive_server_packet(&raw(&closed), at(310), &mut outbox);
        let after = gate.in_progress(at(310));
        let text = events(&mut outbox, |_| true);
        lines.push(format!("{before} then {after}: {text}"));
    }
    expect![[r#"
        1 then 0: Unanswered { flow: FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }, waited_millis: 204, is_closed: true }
        1 then 0: Unanswered { flow: FlowKey { caller: 100.64.0.7:4002, target: 198.18.0.1:443 }, waited_millis: 204, is_closed: true }"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_server_that_closes_flows_without_answers_seems_slow_and_recovers() {
    let mut outbox = FlowOutbox::default();
    let mut gate = ready_gate(1);
    let owner = header(ForwardPurpose::Owner);
    let mut times = Vec::new();
    for number in 0..16 {
        let (port, start) = (4_001 + number, 1_000 * u64::from(number));
        take_flow(&mut gate, port, start, &mut outbox);
        gate.receive_forwarded_packet(&owner, &raw(&request(port)), at(start + 6), &mut outbox);
        let fails = (4..6).contains(&number);
        let reply = PacketHeader {
            data_length: if fails { 0 } else { 600 },
            is_finish: true,
            ..answer(port)
        };
        outbox.clear();
        gate.receive_server_packet(&raw(&reply), at(start + 16), &mut outbox);
        times.push(gate.answer_micros().to_string());
    }
    expect!["10000 10000 10000 10000 33750 54532 48966 44096 39834 36105 32842 29987 27489 25303 23391 21718"].assert_eq(&times.join(" "));
}

#[test]
fn the_end_of_a_flow_that_overtakes_the_answer_is_an_answer() {
    let mut outbox = FlowOutbox::default();
    let mut gate = ready_gate(1);
    let owner = header(ForwardPurpose::Owner);
    take_flow(&mut gate, 4_001, 100, &mut outbox);
    gate.receive_forwarded_packet(&owner, &raw(&request(4_001)), at(106), &mut outbox);
    outbox.clear();
    // The answer has 600 bytes, and the end comes after them in the stream.
    let end = PacketHeader {
        data_length: 0,
        is_finish: true,
        sequence: 5_601,
        ..answer(4_001)
    };
    gate.receive_server_packet(&raw(&end), at(126), &mut outbox);
    gate.receive_server_packet(&raw(&answer(4_001)), at(127), &mut outbox);
    expect!["Answered { flow: FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }, micros: 20000 }"]
        .assert_eq(&events(&mut outbox, |_| true));
}
