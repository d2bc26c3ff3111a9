//! Lists of a host's open flows: their encoding, when they are saved, and what the next
//! process of the host does with them.

mod fixture;

use expect_test::expect;
use hyssopstair_flows::event::FlowEvent;
use hyssopstair_flows::heartbeat::ServerHeartbeat;
use hyssopstair_flows::host::CheckResult;
use hyssopstair_flows::host::FlowHost;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::saved_flows::MAX_LIST_BYTES;
use hyssopstair_flows::saved_flows::SavedFlow;
use hyssopstair_flows::saved_flows::SavedFlowList;
use hyssopstair_wire::carried::ForwardPurpose;
use proptest::prelude::any;
use proptest::proptest;

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
    let mut request = request_packet(4_001);
    request.acknowledged = acknowledged;
    let header = carry_header(ForwardPurpose::Owner);
    let mut outbox = FlowOutbox::default();
    host.receive_forwarded_packet(&header, &raw_packet(&request), at(millis), &mut outbox);
}

/// Describes the flows that a host saves at a time.
fn save_at(host: &mut FlowHost, millis: u64) -> String {
    let Some(list) = host.take_due_flow_list(at(millis)) else {
        return format!("{millis} ms: none");
    };
    let flows: Vec<String> = list
        .flows
        .iter()
        .map(|saved| format!("{} at {}", saved.flow.caller, saved.acknowledged))
        .collect();
    format!("{millis} ms: {}", flows.join(", "))
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
        ("too long", vec![1; MAX_LIST_BYTES + 1]),
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
    let mut saves = vec![save_at(&mut host, 600)];
    saves.push(save_at(&mut host, 1_200));
    // The list still covers the flow.
    send_request(&mut host, 15_001, 4_000);
    saves.push(save_at(&mut host, 6_000));
    send_request(&mut host, 50_001, 6_500);
    saves.push(save_at(&mut host, 7_000));
    // The last list is too recent.
    send_request(&mut host, 95_001, 8_000);
    saves.push(save_at(&mut host, 9_000));
    saves.push(save_at(&mut host, 11_100));
    expect![[r#"
        600 ms: none
        1200 ms: 100.64.0.7:4001 at 5001
        6000 ms: none
        7000 ms: 100.64.0.7:4001 at 50001
        9000 ms: none
        11100 ms: 100.64.0.7:4001 at 95001"#]]
    .assert_eq(&saves.join("\n"));
}

#[test]
fn nothing_is_saved_before_a_heartbeat_names_the_server() {
    let mut host = new_host(1);
    assert_eq!(host.take_due_flow_list(at(2_000)), None);
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
