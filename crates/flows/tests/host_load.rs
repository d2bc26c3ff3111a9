//! The load of a server, as its host measures it from the packets.

mod fixture;

use expect_test::expect;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::packet::PacketHeader;
use hyssopstair_wire::carried::ForwardPurpose;

use crate::fixture::*;

#[test]
fn flows_without_a_request_are_counted_only_for_a_short_time() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    for port in 4_001..4_007 {
        open_flow(&mut host, port, 100, &mut outbox);
    }
    let mut counts = Vec::new();
    for millis in [100, 140, 200, 400] {
        counts.push(format!("{millis} ms: {}", host.in_progress(at(millis))));
    }
    expect![[r#"
        100 ms: 6
        140 ms: 6
        200 ms: 0
        400 ms: 0"#]]
    .assert_eq(&counts.join("\n"));
}

#[test]
fn requests_are_counted_until_their_answer_or_the_end_of_their_flow() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    let owner_header = carry_header(ForwardPurpose::Owner);
    for port in 4_001..4_005 {
        open_flow(&mut host, port, 100, &mut outbox);
        host.receive_forwarded_packet(
            &owner_header,
            &raw_packet(&request_packet(port)),
            at(106),
            &mut outbox,
        );
    }
    let mut counts = vec![format!("requested: {}", host.in_progress(at(200)))];
    host.receive_server_packet(&raw_packet(&answer_packet(4_001)), at(210), &mut outbox);
    counts.push(format!("one answered: {}", host.in_progress(at(210))));
    let mut reset = request_packet(4_002);
    reset.is_reset = true;
    reset.data_length = 0;
    host.receive_forwarded_packet(&owner_header, &raw_packet(&reset), at(220), &mut outbox);
    counts.push(format!("one reset: {}", host.in_progress(at(220))));
    for millis in (250..5_000).step_by(50) {
        host.tick(at(millis), &mut outbox);
    }
    counts.push(format!("after 5 s: {}", host.in_progress(at(5_000))));
    expect![[r#"
        requested: 4
        one answered: 3
        one reset: 2
        after 5 s: 0"#]]
    .assert_eq(&counts.join("\n"));
}

#[test]
fn a_request_that_is_retransmitted_after_its_answer_is_not_counted_again() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    let owner_header = carry_header(ForwardPurpose::Owner);
    open_flow(&mut host, 4_001, 100, &mut outbox);
    host.receive_forwarded_packet(
        &owner_header,
        &raw_packet(&request_packet(4_001)),
        at(106),
        &mut outbox,
    );
    host.receive_server_packet(&raw_packet(&answer_packet(4_001)), at(305), &mut outbox);
    host.receive_forwarded_packet(
        &owner_header,
        &raw_packet(&request_packet(4_001)),
        at(306),
        &mut outbox,
    );
    let repeated = host.in_progress(at(400));
    let mut second = request_packet(4_001);
    second.sequence += 80;
    host.receive_forwarded_packet(&owner_header, &raw_packet(&second), at(410), &mut outbox);
    let next = host.in_progress(at(410));
    expect!["repeated: 0, the next one: 1"]
        .assert_eq(&format!("repeated: {repeated}, the next one: {next}"));
}

#[test]
fn a_flow_that_the_server_closes_without_an_answer_is_recorded_as_unanswered() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    let owner_header = carry_header(ForwardPurpose::Owner);
    let mut lines = Vec::new();
    for (port, is_reset) in [(4_001, false), (4_002, true)] {
        open_flow(&mut host, port, 100, &mut outbox);
        host.receive_forwarded_packet(
            &owner_header,
            &raw_packet(&request_packet(port)),
            at(106),
            &mut outbox,
        );
        let before = host.in_progress(at(300));
        outbox.clear();
        let closed = PacketHeader {
            data_length: 0,
            is_finish: !is_reset,
            is_reset,
            ..answer_packet(port)
        };
        host.receive_server_packet(&raw_packet(&closed), at(310), &mut outbox);
        let after = host.in_progress(at(310));
        let text = take_events(&mut outbox, |_| true);
        lines.push(format!("{before} then {after}: {text}"));
    }
    expect![[r#"
        1 then 0: Unanswered { flow: FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }, waited_millis: 204, is_closed: true }
        1 then 0: Unanswered { flow: FlowKey { caller: 100.64.0.7:4002, target: 198.18.0.1:443 }, waited_millis: 204, is_closed: true }"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn closing_flows_without_answers_raises_the_answer_time_for_a_while() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    let owner_header = carry_header(ForwardPurpose::Owner);
    let mut times = Vec::new();
    for number in 0..16 {
        let (port, start) = (4_001 + number, 1_000 * u64::from(number));
        open_flow(&mut host, port, start, &mut outbox);
        host.receive_forwarded_packet(
            &owner_header,
            &raw_packet(&request_packet(port)),
            at(start + 6),
            &mut outbox,
        );
        let fails = (4..6).contains(&number);
        let reply = PacketHeader {
            data_length: if fails { 0 } else { 600 },
            is_finish: true,
            ..answer_packet(port)
        };
        outbox.clear();
        host.receive_server_packet(&raw_packet(&reply), at(start + 16), &mut outbox);
        times.push(host.answer_micros().to_string());
    }
    expect!["10000 10000 10000 10000 33750 54532 48966 44096 39834 36105 32842 29987 27489 25303 23391 21718"].assert_eq(&times.join(" "));
}

#[test]
fn the_end_of_a_flow_that_overtakes_the_answer_counts_as_the_answer() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    let owner_header = carry_header(ForwardPurpose::Owner);
    open_flow(&mut host, 4_001, 100, &mut outbox);
    host.receive_forwarded_packet(
        &owner_header,
        &raw_packet(&request_packet(4_001)),
        at(106),
        &mut outbox,
    );
    outbox.clear();
    // The answer has 600 bytes, and the end follows it in the stream.
    let end = PacketHeader {
        data_length: 0,
        is_finish: true,
        sequence: 5_601,
        ..answer_packet(4_001)
    };
    host.receive_server_packet(&raw_packet(&end), at(126), &mut outbox);
    host.receive_server_packet(&raw_packet(&answer_packet(4_001)), at(127), &mut outbox);
    expect!["Answered { flow: FlowKey { caller: 100.64.0.7:4001, target: 198.18.0.1:443 }, micros: 20000 }"]
        .assert_eq(&take_events(&mut outbox, |_| true));
}
