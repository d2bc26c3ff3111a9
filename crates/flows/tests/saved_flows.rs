//! Lists of a host's open flows: their encoding, when they are saved, and what the next
//! process of the host does with them.

mod fixture;

use expect_test::expect;
use hyssopstair_flows::event::FlowEvent;
use hyssopstair_flows::heartbeat::ServerHeartbeat;
use hyssopstair_flows::host::CheckResult;
use hyssopstair_flows::host::FlowHost;
use hyssopstair_flows::outbox::Destination;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::saved_flows::MAX_PART_BYTES;
use hyssopstair_flows::saved_flows::SavedFlow;
use hyssopstair_flows::saved_flows::SavedFlowList;
use hyssopstair_flows::saved_flows::combine_parts;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::HelloExtension;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use crate::fixture::*;

/// Returns the list that a former process saved 5 s before the present one started, with
/// the flows of ports 4001 and 4002.
fn former_list() -> SavedFlowList {
    let flows = [4_001, 4_002].map(|port| SavedFlow {
        flow: opening_packet(port).caller_flow(),
        acknowledged: 5_601,
    });
    SavedFlowList {
        saved_unix_millis: HOST_START_UNIX_MILLIS - 5_000,
        service: SERVICE.to_owned(),
        server_id: "i-1".to_owned(),
        server_started_unix_millis: HOST_START_UNIX_MILLIS - 48_000,
        flows: flows.to_vec(),
    }
}

/// Delivers a list to a host that gets `heartbeat` afterwards, and describes the output.
fn receive_list_before(heartbeat: &ServerHeartbeat, list: SavedFlowList) -> String {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    host.receive_former_flows(list, at(20), &mut outbox);
    host.receive_heartbeat(heartbeat, at(60), &mut outbox);
    describe_former_flows(&mut outbox)
}

/// Describes the verdicts about former flows and the resets, and empties the outbox.
fn describe_former_flows(outbox: &mut FlowOutbox) -> String {
    let verdicts = outbox.events().iter().filter_map(|event| match event {
        FlowEvent::FormerFlows {
            flows,
            age_millis,
            verdict,
            ..
        } => Some(format!("{flows} flows, {age_millis:?} ms: {verdict:?}")),
        _ => None,
    });
    let verdicts: Vec<String> = verdicts.collect();
    format!("{}\n{}", verdicts.join("\n"), take_output(outbox))
}

/// Returns a host with an open flow on which the caller has acknowledged `acknowledged`.
fn host_with_flow(acknowledged: u32) -> FlowHost {
    let mut outbox = FlowOutbox::default();
    let mut host = new_ready_host(1);
    open_flow(&mut host, 4_001, 20, &mut outbox);
    send_request(&mut host, acknowledged, 30);
    host
}

/// Delivers a request on the flow of [`host_with_flow`].
fn send_request(host: &mut FlowHost, acknowledged: u32, millis: u64) {
    let mut outbox = FlowOutbox::default();
    receive_owner_request(host, acknowledged, at(millis), &mut outbox);
}

/// Delivers a heartbeat and a hello of each balancer to a host at a time, runs the host's timers, and
/// returns what it asks balancers to save: the balancer, the number, the part and the list.
fn take_saves(host: &mut FlowHost, millis: u64) -> Vec<(Destination, u32, u8, SavedFlowList)> {
    let mut outbox = FlowOutbox::default();
    host.receive_heartbeat(&heartbeat(millis), at(millis), &mut outbox);
    run_timers(host, millis, &mut outbox)
}

/// Delivers a hello of each balancer to a host at a time, runs the host's timers, and
/// returns what it asks balancers to save.
fn run_timers(
    host: &mut FlowHost,
    millis: u64,
    outbox: &mut FlowOutbox,
) -> Vec<(Destination, u32, u8, SavedFlowList)> {
    for balancer in [1, 2] {
        let hello = balancer_hello(millis as u32);
        let from = balancer_address(balancer);
        host.receive_peer_message(from, &hello, None, &[], at(millis), outbox);
    }
    host.tick(at(millis), outbox);
    let saves = outbox.datagrams().filter_map(|(destination, bytes)| {
        let (message, payload) = CarryMessage::decode(bytes)?;
        let CarryMessage::SaveFlows { number, part } = message else {
            return None;
        };
        let list = SavedFlowList::decode(payload).expect("the host sends valid lists");
        Some((destination, number, part, list))
    });
    saves.collect()
}

/// Describes the flows that a host saves at a time. The balancer confirms them if
/// `is_confirmed` is set.
fn save_at(host: &mut FlowHost, millis: u64, is_confirmed: bool) -> String {
    let mut lines = vec![format!("{millis} ms")];
    for (destination, number, part, list) in take_saves(host, millis) {
        let flows: Vec<String> = list
            .flows
            .iter()
            .map(|saved| format!("{} at {}", saved.flow.caller, saved.acknowledged))
            .collect();
        lines.push(format!("{destination:?} part {part}: {}", flows.join(", ")));
        if is_confirmed {
            let confirmation = CarryMessage::FlowsSaved { number };
            let mut outbox = FlowOutbox::default();
            let from = balancer_address(1);
            host.receive_peer_message(from, &confirmation, None, &[], at(millis), &mut outbox);
        }
    }
    lines.join("\n")
}

#[test]
fn a_list_is_decoded_as_it_was_encoded() {
    let bytes = former_list().encode();
    assert_eq!(SavedFlowList::decode(&bytes), Ok(former_list()));
    expect!["56"].assert_eq(&bytes.len().to_string());
}

#[test]
fn invalid_lists_are_rejected() {
    let valid = former_list().encode();
    let mut unsorted_list = former_list();
    unsorted_list.flows.reverse();
    let cases = [
        ("empty", Vec::new()),
        ("other version", [&[9], &valid[1..]].concat()),
        ("cut off", valid[..valid.len() - 1].to_vec()),
        ("longer", [&valid[..], &[0]].concat()),
        ("damaged", [&valid[..valid.len() - 1], &[0]].concat()),
        ("unsorted", unsorted_list.encode()),
        ("too long", vec![1; MAX_PART_BYTES + 1]),
    ];
    let results: Vec<String> = cases
        .iter()
        .map(|(name, bytes)| format!("{name}: {:?}", SavedFlowList::decode(bytes).map(|_| ())))
        .collect();
    expect![[r#"
        empty: Err(Malformed)
        other version: Err(UnknownVersion)
        cut off: Err(Damaged)
        longer: Err(Damaged)
        damaged: Err(Damaged)
        unsorted: Err(Malformed)
        too long: Err(TooLong)"#]]
    .assert_eq(&results.join("\n"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261),
        failure_persistence: None,
        ..ProptestConfig::with_cases(2_000)
    })]

    #[test]
    fn any_bytes_decode_without_a_panic(
        version in 0u8..=2,
        bytes in proptest::collection::vec(any::<u8>(), 0..400),
    ) {
        let encoded = [&[version], &bytes[..]].concat();
        if let Ok(list) = SavedFlowList::decode(&encoded) {
            assert_eq!(SavedFlowList::decode(&list.encode()), Ok(list));
        }
    }

    #[test]
    fn damaged_lists_are_rejected(position in any::<proptest::sample::Index>(), change in 1u8..) {
        let mut bytes = former_list().encode();
        let position = position.index(bytes.len());
        bytes[position] ^= change;
        assert!(SavedFlowList::decode(&bytes).is_err());
    }
}

#[test]
fn a_flow_is_saved_once_it_is_old_enough_and_again_when_it_has_moved_on() {
    let mut host = host_with_flow(5_001);
    let mut saves = vec![save_at(&mut host, 260, true)];
    saves.push(save_at(&mut host, 1_200, true));
    // The list still covers the flow.
    send_request(&mut host, 15_001, 4_000);
    saves.push(save_at(&mut host, 6_000, true));
    send_request(&mut host, 50_001, 6_500);
    saves.push(save_at(&mut host, 7_000, true));
    // The last list is too recent.
    send_request(&mut host, 95_001, 7_500);
    saves.push(save_at(&mut host, 8_000, true));
    saves.push(save_at(&mut host, 9_100, true));
    expect![[r#"
        260 ms
        1200 ms
        Peer(10.0.2.1) part 0: 100.64.0.7:4001 at 5001
        6000 ms
        7000 ms
        Peer(10.0.2.1) part 0: 100.64.0.7:4001 at 50001
        8000 ms
        9100 ms
        Peer(10.0.2.1) part 0: 100.64.0.7:4001 at 95001"#]]
    .assert_eq(&saves.join("\n"));
}

#[test]
fn a_confirmed_list_is_sent_again_once_the_store_has_come_back_from_a_copy() {
    let mut outbox = FlowOutbox::default();
    let mut host = host_with_flow(5_001);
    host.record_store_era(Some(0), &mut outbox);
    let mut saves = vec![save_at(&mut host, 1_200, true)];
    saves.push(save_at(&mut host, 4_000, true));
    host.record_store_era(Some(0), &mut outbox);
    saves.push(save_at(&mut host, 6_500, true));
    host.record_store_era(Some(1), &mut outbox);
    saves.push(save_at(&mut host, 9_000, true));
    expect![[r#"
        1200 ms
        Peer(10.0.2.1) part 0: 100.64.0.7:4001 at 5001
        4000 ms
        6500 ms
        9000 ms
        Peer(10.0.2.1) part 0: 100.64.0.7:4001 at 5001"#]]
    .assert_eq(&saves.join("\n"));
}

#[test]
fn the_era_in_the_hello_of_a_balancer_is_learned_and_a_missing_one_is_ignored() {
    let mut host = new_ready_host(1);
    let from = balancer_address(1);
    let mut lines = Vec::new();
    for (number, era) in [(1, Some(0)), (2, None), (3, Some(1)), (4, Some(0))] {
        let extension = era.map(|store_era| {
            HelloExtension {
                store_era: Some(store_era),
                ..Default::default()
            }
            .encode()
        });
        let bytes = extension.unwrap_or_default();
        let mut outbox = FlowOutbox::default();
        let hello = balancer_hello(number);
        host.receive_peer_message(from, &hello, None, &bytes, at(100), &mut outbox);
        let restores = outbox.events().iter().filter_map(|event| match event {
            FlowEvent::StoreRestored { era, former_era } => Some(format!("{former_era} to {era}")),
            _ => None,
        });
        lines.push(format!("{era:?}: {}", restores.collect::<String>()));
    }
    expect![[r#"
        Some(0): 
        None: 
        Some(1): 0 to 1
        Some(0): "#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_list_that_is_not_confirmed_is_sent_to_another_balancer() {
    let mut host = host_with_flow(5_001);
    let saves = [1_200, 2_400, 3_600, 6_000].map(|millis| save_at(&mut host, millis, false));
    expect![[r#"
        1200 ms
        Peer(10.0.2.1) part 0: 100.64.0.7:4001 at 5001
        2400 ms
        3600 ms
        Peer(10.0.2.2) part 0: 100.64.0.7:4001 at 5001
        6000 ms
        Peer(10.0.2.1) part 0: 100.64.0.7:4001 at 5001"#]]
    .assert_eq(&saves.join("\n"));
}

#[test]
fn a_long_list_is_sent_in_parts_that_fit_into_datagrams() {
    let mut host = new_ready_host(1);
    let mut outbox = FlowOutbox::default();
    for port in 0..100 {
        open_flow(&mut host, 4_000 + port, 20, &mut outbox);
        let header = carry_header(ForwardPurpose::Owner);
        let request = request_packet(4_000 + port);
        host.receive_forwarded_packet(&header, &raw_packet(&request), at(30), &mut outbox);
    }
    let parts: Vec<String> = take_saves(&mut host, 1_200)
        .iter()
        .map(|(_, number, part, list)| {
            let is_short = list.encode().len() <= MAX_PART_BYTES;
            let flow_count = list.flows.len();
            format!("number {number}, part {part}: {flow_count} flows, short: {is_short}")
        })
        .collect();
    expect![[r#"
        number 1, part 0: 48 flows, short: true
        number 2, part 1: 48 flows, short: true
        number 3, part 2: 4 flows, short: true"#]]
    .assert_eq(&parts.join("\n"));
}

#[test]
fn nothing_is_saved_before_a_heartbeat_names_the_server() {
    let mut host = new_host(1);
    let saves = run_timers(&mut host, 2_000, &mut FlowOutbox::default());
    assert_eq!(saves, Vec::new());
}

// A server that has restarted since its last heartbeat may hold the flow, and the list
// would name its former incarnation.
#[test]
fn a_flow_is_not_saved_before_a_heartbeat_after_its_opening() {
    let mut host = host_with_flow(5_001);
    let mut outbox = FlowOutbox::default();
    assert_eq!(run_timers(&mut host, 2_000, &mut outbox), Vec::new());
    assert_eq!(take_saves(&mut host, 2_600).len(), 1);
}

#[test]
fn parts_of_one_server_are_combined_and_those_of_earlier_ones_left_out() {
    let newest = former_list();
    let mut older_part = former_list();
    older_part.saved_unix_millis -= 2_000;
    older_part.flows[0].acknowledged = 7;
    older_part.flows[1].flow = opening_packet(4_003).caller_flow();
    let mut expired_part = former_list();
    expired_part.saved_unix_millis -= 60_001;
    expired_part.flows[0].flow = opening_packet(4_004).caller_flow();
    let mut earlier_server = former_list();
    earlier_server.server_started_unix_millis -= 1;
    earlier_server.flows[0].flow = opening_packet(4_005).caller_flow();
    let parts = vec![older_part, expired_part, newest, earlier_server];
    let combined = combine_parts(parts).expect("there are parts");
    let flows: Vec<String> = combined
        .flows
        .iter()
        .map(|saved| format!("{} at {}", saved.flow.caller, saved.acknowledged))
        .collect();
    expect![[r#"
        100.64.0.7:4001 at 5601
        100.64.0.7:4002 at 5601
        100.64.0.7:4003 at 5601"#]]
    .assert_eq(&flows.join("\n"));
    assert_eq!(combine_parts(Vec::new()), None);
}

#[test]
fn a_balancer_saves_the_lists_of_many_hosts_together() {
    let mut outbox = FlowOutbox::default();
    let mut balancer = new_balancer();
    let mut batches = Vec::new();
    let part = former_list().encode();
    for (number, host) in (1..=40u8).enumerate() {
        let message = CarryMessage::SaveFlows {
            number: number as u32,
            part: 0,
        };
        let from = host_address(host);
        balancer.receive_peer_message(from, &message, None, &part, at(100), &mut outbox);
    }
    for millis in [100, 101, 1_200] {
        let saves = balancer.take_due_saves(at(millis));
        batches.push(format!("{millis} ms: {}", saves.len()));
    }
    // A part that is too long is dropped.
    let message = CarryMessage::SaveFlows {
        number: 50,
        part: 0,
    };
    let too_long = vec![0; MAX_PART_BYTES + 1];
    outbox.clear();
    balancer.receive_peer_message(
        host_address(1),
        &message,
        None,
        &too_long,
        at(1_300),
        &mut outbox,
    );
    batches.push(format!("{:?}", outbox.events()));
    batches.push(format!(
        "9000 ms: {}",
        balancer.take_due_saves(at(9_000)).len()
    ));
    expect![[r#"
        100 ms: 32
        101 ms: 0
        1200 ms: 8
        [Dropped { reason: Malformed }]
        9000 ms: 0"#]]
    .assert_eq(&batches.join("\n"));
}

#[test]
fn the_flows_of_a_replaced_server_are_reset() {
    expect![[r#"
        2 flows, Some(5060) ms: Reset
        reset 100.64.0.7:4001 at 5601
        reset 100.64.0.7:4002 at 5601"#]]
    .assert_eq(&receive_list_before(&heartbeat(3), former_list()));
}

#[test]
fn a_list_that_arrives_after_the_first_heartbeat_is_handled_at_once() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    host.receive_heartbeat(&heartbeat(3), at(60), &mut outbox);
    outbox.clear();
    host.receive_former_flows(former_list(), at(900), &mut outbox);
    expect![[r#"
        2 flows, Some(5900) ms: Reset
        reset 100.64.0.7:4001 at 5601
        reset 100.64.0.7:4002 at 5601"#]]
    .assert_eq(&describe_former_flows(&mut outbox));
}

#[test]
fn the_flows_of_a_server_that_still_runs_are_expected() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    host.receive_former_flows(former_list(), at(20), &mut outbox);
    host.receive_heartbeat(&running_server_heartbeat(), at(60), &mut outbox);
    expect![[r#"
        2 flows, Some(5060) ms: Expected
    "#]]
    .assert_eq(&describe_former_flows(&mut outbox));
    // The server is given the flow's packets, and may return them.
    let header = carry_header(ForwardPurpose::Owner);
    let request = request_packet(4_001);
    host.receive_forwarded_packet(&header, &raw_packet(&request), at(70), &mut outbox);
    expect!["Server: packet"].assert_eq(&take_output(&mut outbox));
}

#[test]
fn lists_that_may_not_be_this_hosts_own_or_are_old_are_not_used() {
    let mut other_service = former_list();
    other_service.service = "archive".to_owned();
    let mut expired = former_list();
    expired.saved_unix_millis = HOST_START_UNIX_MILLIS - 60_000;
    let mut from_future = former_list();
    from_future.saved_unix_millis = HOST_START_UNIX_MILLIS + 9_000;
    let mut later_server = former_list();
    later_server.server_started_unix_millis = HOST_START_UNIX_MILLIS + 1;
    let mut other_server = former_list();
    other_server.server_started_unix_millis = HOST_START_UNIX_MILLIS;
    other_server.server_id = "i-2".to_owned();
    let results = [
        other_service,
        expired,
        from_future,
        later_server,
        other_server,
    ]
    .map(|list| receive_list_before(&heartbeat(1), list));
    expect![[r#"
        2 flows, Some(5020) ms: OtherService

        2 flows, Some(60020) ms: Expired

        2 flows, None ms: Expired

        2 flows, Some(5060) ms: Undecided

        2 flows, Some(5060) ms: Undecided
    "#]]
    .assert_eq(&results.join("\n"));
}

#[test]
fn former_flows_are_reset_if_nothing_listens_at_the_servers_address() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    host.receive_former_flows(former_list(), at(20), &mut outbox);
    host.receive_check_result(CheckResult::Refused, at(30), &mut outbox);
    expect![[r#"
        2 flows, Some(5030) ms: Reset
        reset 100.64.0.7:4001 at 5601
        reset 100.64.0.7:4002 at 5601"#]]
    .assert_eq(&describe_former_flows(&mut outbox));
}

#[test]
fn a_former_flow_that_was_opened_anew_at_the_host_is_not_reset() {
    let mut outbox = FlowOutbox::default();
    let mut host = new_host(1);
    host.receive_heartbeat(&heartbeat(1), at(20), &mut outbox);
    open_flow(&mut host, 4_001, 30, &mut outbox);
    outbox.clear();
    host.receive_former_flows(former_list(), at(900), &mut outbox);
    expect![[r#"
        2 flows, Some(5900) ms: Reset
        reset 100.64.0.7:4002 at 5601"#]]
    .assert_eq(&describe_former_flows(&mut outbox));
}

// A host that is replaced by one of the next build reads the list of its former process, and
// after a step back a host of the former build reads a list of the next.
#[test]
fn a_list_is_encoded_as_released() {
    let list = SavedFlowList {
        saved_unix_millis: 1_769_247_347_000,
        service: "lessons".to_owned(),
        server_id: "i-7f3a91c2".to_owned(),
        server_started_unix_millis: 1_769_247_300_000,
        flows: vec![SavedFlow {
            flow: opening_packet(4_001).caller_flow(),
            acknowledged: 70_000,
        }],
    };
    let bytes = list.encode();
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    expect!["01caaefabfc6901b40b8a2f0fabe33076c6573736f6e730a692d3766336139316332a0b3edfabe330164400007a11fc6120001bb03f0a204"].assert_eq(&hex);
    assert_eq!(SavedFlowList::decode(&bytes), Ok(list));
}
