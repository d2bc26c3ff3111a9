//! Rosters under failure.

#![allow(missing_docs)]

mod bag;

use std::time::Duration;

use bag::MessageBag;
use bag::address;
use bag::entry;
use hyssopstair_roster::members::TOMBSTONE_TTL;
use hyssopstair_roster::state::RosterState;
use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::control::ControlBody;
use hyssopstair_wire::control::ControlMessage;
use hyssopstair_wire::control::MAX_CONTROL_LENGTH;
use hyssopstair_wire::control::MAX_ENTRIES;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::packet::PacketKind;
use hyssopstair_wire::packet::encode_packet;
use hyssopstair_wire::time::MonotonicTime;

const SEED: u64 = 7;

fn fleet(count: usize) -> MessageBag {
    let mut bag = MessageBag::new(SEED);
    bag.start_fleet(count);
    bag
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn a_fleet_finds_itself_from_one_contact() {
    let bag = fleet(60);
    for node in &bag.nodes {
        assert_eq!(node.roster.live_count(), 60);
        assert!(node.roster.is_joined());
        assert!(node.roster.is_confirmed(bag.now));
    }
}

#[test]
fn a_quiet_fleet_sends_no_changes() {
    let mut bag = fleet(30);
    bag.run(seconds(30));
    assert!(
        bag.nodes
            .iter()
            .all(|node| node.roster.queued_changes() == 0)
    );
}

#[test]
fn a_drain_reaches_all_within_3_seconds() {
    let mut bag = fleet(100);
    let now = bag.now;
    bag.nodes[4].roster.set_state(MemberState::Draining, now);
    let took = bag.run_until(seconds(3), |bag| bag.all_know(4, MemberState::Draining));
    assert!(took.is_some());
}

#[test]
fn a_killed_member_is_found_gone() {
    let mut bag = fleet(60);
    bag.nodes[9].running = false;
    let took = bag.run_until(seconds(10), |bag| bag.all_know(9, MemberState::Suspect));
    assert!(took.is_some());
    // Flows wait for it a while, and not for ever.
    bag.run(seconds(6));
    assert!(bag.all_know(9, MemberState::Suspect));
    bag.run(seconds(4));
    assert!(bag.all_know(9, MemberState::Gone));
}

#[test]
fn messages_that_are_lost_do_not_kill_a_member() {
    let mut bag = fleet(60);
    bag.loss = 0.1;
    let changes: Vec<u64> = bag
        .nodes
        .iter()
        .map(|it| it.roster.change_count())
        .collect();
    bag.run(seconds(300));
    let after: Vec<u64> = bag
        .nodes
        .iter()
        .map(|it| it.roster.change_count())
        .collect();
    assert_eq!(after, changes);
}

#[test]
fn a_digest_repairs_what_gossip_lost() {
    let mut bag = fleet(60);
    bag.loss = 1.0;
    let now = bag.now;
    bag.nodes[4].roster.set_state(MemberState::Draining, now);
    bag.run(Duration::from_millis(1_900));
    bag.loss = 0.0;
    assert_eq!(bag.nodes[4].roster.queued_changes(), 0);
    let took = bag.run_until(seconds(60), MessageBag::agree);
    assert!(took.is_some());
    assert!(bag.all_know(4, MemberState::Draining));
}

#[test]
fn a_member_that_is_paused_and_wakes_is_not_confirmed_and_refutes() {
    let mut bag = fleet(60);
    bag.nodes[9].running = false;
    bag.run(seconds(10));
    assert!(!bag.nodes[9].roster.is_confirmed(bag.now));
    assert!(bag.knows(1, 9, MemberState::Suspect));
    let now = bag.now;
    let actions = bag.nodes[9].roster.tick(1, now);
    assert!(!bag.nodes[9].roster.is_confirmed(now));
    bag.nodes[9].running = true;
    bag.carry_out(9, actions);
    let took = bag.run_until(seconds(10), |bag| {
        bag.nodes[9].roster.is_confirmed(bag.now) && bag.all_know(9, MemberState::Alive)
    });
    assert!(took.is_some());
    assert!(bag.nodes[9].roster.own_entry().counter > 0);
}

#[test]
fn an_old_announcement_brings_nobody_back() {
    let mut bag = fleet(30);
    let old = *bag.nodes[9].roster.own_entry();
    let now = bag.now;
    bag.nodes[9].roster.set_state(MemberState::Gone, now);
    let actions = bag.nodes[9].roster.announce_immediately(1, now);
    bag.carry_out(9, actions);
    bag.nodes[9].running = false;
    bag.run(seconds(5));
    bag.nodes[9].running = false;
    for number in 0..30 {
        let message = changes(entry(5, 100).process, vec![old]);
        let now = bag.now;
        bag.nodes[number].roster.receive(&message, now);
    }
    assert!(bag.all_know(9, MemberState::Gone));
    bag.run(TOMBSTONE_TTL);
    let forgotten = |node: &bag::BagNode| node.roster.members().len() == 29;
    assert!(bag.nodes.iter().filter(|it| it.running).all(forgotten));
}

#[test]
fn a_member_whose_clock_went_back_takes_a_higher_incarnation() {
    let mut bag = fleet(30);
    for incarnation in [40, 200, 201] {
        bag.nodes[9].running = false;
        bag.run(seconds(10));
        bag.restart(9, incarnation, 3);
        let took = bag.run_until(seconds(10), |bag| {
            bag.all_know(9, MemberState::Alive) && bag.agree()
        });
        assert!(took.is_some(), "incarnation {incarnation}");
        let taken = bag.nodes[9].roster.own_entry().process.incarnation.0;
        assert_eq!(taken, if incarnation == 40 { 101 } else { incarnation });
    }
    // A successor within the resolution of incarnations.
    bag.restart(9, 201, 3);
    bag.run(seconds(5));
    assert_eq!(bag.nodes[9].roster.own_entry().process.incarnation.0, 202);
    assert!(bag.all_know(9, MemberState::Alive));
}

#[test]
fn two_parts_that_lost_each_other_find_back() {
    let mut bag = fleet(60);
    for node in bag.nodes.iter_mut().skip(30) {
        node.side = 1;
    }
    bag.run(seconds(300));
    assert_eq!(bag.nodes[0].roster.live_count(), 30);
    assert_eq!(bag.nodes[59].roster.live_count(), 30);
    for node in &mut bag.nodes {
        node.side = 0;
    }
    let took = bag.run_until(seconds(60), |bag| {
        bag.agree() && bag.nodes[0].roster.live_count() == 60
    });
    assert!(took.is_some());
}

#[test]
fn a_third_of_the_fleet_lost_at_once_is_found_gone() {
    let mut bag = fleet(90);
    for node in bag.nodes.iter_mut().skip(60) {
        node.running = false;
    }
    let took = bag.run_until(seconds(60), |bag| {
        bag.nodes[..60]
            .iter()
            .all(|it| it.roster.live_count() == 60)
    });
    assert!(took.is_some());
}

#[test]
fn a_member_that_is_cut_off_does_not_empty_its_roster() {
    let mut bag = fleet(60);
    bag.nodes[9].side = 1;
    bag.run(seconds(600));
    assert!(bag.nodes[9].roster.live_count() > 50);
    bag.nodes[9].side = 0;
    let took = bag.run_until(seconds(30), |bag| {
        bag.agree() && bag.all_know(9, MemberState::Alive)
    });
    assert!(took.is_some());
}

#[test]
fn the_longest_message_fits_a_datagram() {
    let longest = MemberEntry {
        process: ProcessId {
            address: address(1),
            incarnation: HostIncarnation(u32::MAX),
        },
        counter: u32::MAX,
        role: MemberRole::Host {
            service: ServiceId(u16::MAX),
            zone: u8::MAX,
            weight: u16::MAX,
        },
        state: MemberState::Gone,
    };
    let body = ControlBody::Page {
        after: Some(address(1)),
        known: Some(longest),
        entries: vec![longest; MAX_ENTRIES - 1],
        more: true,
    };
    let message = ControlMessage {
        sender: longest.process,
        version: u64::MAX,
        body,
    };
    let packet = encode_packet(PacketKind::Control, &message, &[]).expect("fits");
    assert!(packet.len() <= MAX_CONTROL_LENGTH, "{}", packet.len());
}

#[test]
fn a_process_that_finds_nobody_acts_alone() {
    let mut roster = RosterState::new(entry(1, 1), SEED);
    let mut now = MonotonicTime::from_millis(1);
    roster.tick(0, now);
    assert!(!roster.is_confirmed(now));
    for _ in 0..50 {
        now = now + Duration::from_millis(50);
        roster.tick(0, now);
    }
    assert!(roster.is_confirmed(now));
    assert!(roster.is_joined());
}

fn changes(sender: ProcessId, entries: Vec<MemberEntry>) -> ControlMessage {
    ControlMessage {
        sender,
        version: 1,
        body: ControlBody::Changes(entries),
    }
}

#[test]
fn a_large_fleet_joins_through_one_contact() {
    let bag = fleet(300);
    assert!(bag.nodes.iter().all(|it| it.roster.is_joined()));
}

#[test]
fn a_process_that_starts_tells_nobody_its_incarnation() {
    let mut roster = RosterState::new(entry(1, 1), SEED);
    let now = MonotonicTime::from_millis(1);
    roster.tick(0, now);
    let sender = entry(2, 1).process;
    let leaves = vec![0; 64];
    for bucket in 0..64 {
        let message = ControlMessage {
            sender,
            version: 1,
            body: ControlBody::Leaves {
                salt: 1,
                bucket,
                leaves: leaves.clone(),
            },
        };
        assert_eq!(roster.receive(&message, now), []);
    }
    // It may know others by then.
    roster.merge_entries(&[entry(2, 1)], now);
    roster.set_state(MemberState::Draining, now);
    assert_eq!(roster.announce_immediately(0, now), []);
}
