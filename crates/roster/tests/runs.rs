//! Tests of the compact encoding of changes.

#![allow(missing_docs)]

#[allow(dead_code)]
mod network;

use hyssopstair_roster::runs::MAX_RUN_MEMBERS;
use hyssopstair_roster::runs::apply_run_change;
use hyssopstair_roster::runs::decode_run;
use hyssopstair_roster::runs::encode_run;
use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::control::ControlBody;
use hyssopstair_wire::control::ControlMessage;
use hyssopstair_wire::control::MAX_CONTROL_LENGTH;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::packet::PacketKind;
use hyssopstair_wire::packet::encode_packet;
use network::entry;

fn changed_entries(numbers: impl Iterator<Item = usize>, state: MemberState) -> Vec<MemberEntry> {
    numbers
        .map(|number| MemberEntry {
            counter: 3,
            state,
            ..entry(number, 100)
        })
        .collect()
}

#[test]
fn run_round_trips_its_entries() {
    for state in [MemberState::Gone, MemberState::Alive] {
        let entries = changed_entries((5..900).step_by(3), state);
        let members = encode_run(&entries);
        let previous_counter = if state == MemberState::Gone { 3 } else { 2 };
        let decoded: Vec<MemberEntry> = decode_run(entries[0].process.address, &members)
            .zip(&entries)
            .filter_map(|((address, check), entry)| {
                assert_eq!(address, entry.process.address);
                let known = MemberEntry {
                    counter: previous_counter,
                    state: MemberState::Draining,
                    ..*entry
                };
                apply_run_change(&known, state, check)
            })
            .collect();
        assert_eq!(decoded, entries);
    }
}

#[test]
fn run_does_not_change_an_entry_of_another_incarnation() {
    let entries = changed_entries(5..300, MemberState::Gone);
    let members = encode_run(&entries);
    let applied = decode_run(entries[0].process.address, &members)
        .zip(&entries)
        .filter(|((_, check), entry)| {
            let mut known = **entry;
            known.process.incarnation = HostIncarnation(101);
            apply_run_change(&known, MemberState::Gone, *check).is_some()
        });
    assert_eq!(applied.count(), 0);
}

#[test]
fn run_ends_at_a_gap_and_at_its_maximum_length() {
    let entries = changed_entries((5..40).chain(900..950), MemberState::Gone);
    assert_eq!(encode_run(&entries).len(), 35);
    let entries = changed_entries(1..2_000, MemberState::Gone);
    let members = encode_run(&entries);
    assert_eq!(members.len(), MAX_RUN_MEMBERS);
    let message = ControlMessage {
        sender: entries[0].process,
        version: u64::MAX,
        body: ControlBody::Run {
            state: MemberState::Gone,
            first: entries[0].process.address,
            members,
        },
    };
    let packet =
        encode_packet(PacketKind::Control, &message, &[]).expect("the message fits into a packet");
    assert!(packet.len() <= MAX_CONTROL_LENGTH, "{}", packet.len());
}
