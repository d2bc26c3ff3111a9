//! Tests of rosters under loss, pauses, restarts and partitions.

#![allow(missing_docs)]

mod network;

use std::time::Duration;

use hyssopstair_roster::members::TOMBSTONE_TTL;
use hyssopstair_roster::state::RosterAction;
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
use network::SimulatedNetwork;
use network::address;
use network::entry;

const SEED: u64 = 7;

fn start_fleet(count: usize) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::new(SEED);
    network.start_fleet(count);
    network
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn fleet_converges_from_one_contact() {
    let network = start_fleet(60);
    for node in &network.nodes {
        assert_eq!(node.roster.live_count(), 60);
        assert!(node.roster.is_joined());
        assert!(node.roster.is_confirmed(network.now));
    }
}

#[test]
fn idle_fleet_has_no_queued_changes() {
    let mut network = start_fleet(30);
    network.run(seconds(30));
    assert!(
        network
            .nodes
            .iter()
            .all(|node| node.roster.queued_changes() == 0)
    );
}

#[test]
fn drain_reaches_all_members_within_3_seconds() {
    let mut network = start_fleet(100);
    let now = network.now;
    network.nodes[4]
        .roster
        .set_state(MemberState::Draining, now);
    let elapsed = network.run_until(seconds(3), |network| {
        network.all_hold_state(4, MemberState::Draining)
    });
    assert!(elapsed.is_some());
}

// Members that a partition has separated for some seconds hold each other suspect, and
// have ended the gossip about it when the partition heals. Each must learn of it before
// it is declared gone, 8 s after the suspicion, even if some pings are lost.
#[test]
fn every_suspect_is_pinged_twice_before_it_expires() {
    let mut roster = RosterState::new(entry(0, 1), SEED);
    let start = MonotonicTime::default();
    let suspects: Vec<MemberEntry> = (1..=3)
        .map(|number| MemberEntry {
            state: MemberState::Suspect,
            ..entry(number, 1)
        })
        .collect();
    roster.merge_entries(&suspects, start);
    let mut ping_counts = vec![0; suspects.len()];
    for step in 0..39 {
        let now = start + Duration::from_millis(200) * step;
        for RosterAction::Send { to, message } in roster.tick(0, now) {
            let suspect = suspects
                .iter()
                .position(|entry| entry.process.address == to);
            if let (Some(index), ControlBody::Ping { .. }) = (suspect, &message.body) {
                ping_counts[index] += 1;
            }
        }
    }
    assert!(
        ping_counts.iter().all(|count| *count >= 2),
        "{ping_counts:?}"
    );
}

#[test]
fn killed_member_becomes_suspect_then_gone() {
    let mut network = start_fleet(60);
    network.nodes[9].running = false;
    let elapsed = network.run_until(seconds(10), |network| {
        network.all_hold_state(9, MemberState::Suspect)
    });
    assert!(elapsed.is_some());
    // Its flows wait for it while it is suspect, until it is declared gone.
    network.run(seconds(6));
    assert!(network.all_hold_state(9, MemberState::Suspect));
    network.run(seconds(4));
    assert!(network.all_hold_state(9, MemberState::Gone));
}

#[test]
fn message_loss_does_not_make_live_members_suspect() {
    let mut network = start_fleet(60);
    network.loss = 0.1;
    let changes: Vec<u64> = network
        .nodes
        .iter()
        .map(|node| node.roster.change_count())
        .collect();
    network.run(seconds(300));
    let after: Vec<u64> = network
        .nodes
        .iter()
        .map(|node| node.roster.change_count())
        .collect();
    assert_eq!(after, changes);
}

#[test]
fn digest_repairs_changes_lost_by_gossip() {
    let mut network = start_fleet(60);
    network.loss = 1.0;
    let now = network.now;
    network.nodes[4]
        .roster
        .set_state(MemberState::Draining, now);
    network.run(Duration::from_millis(1_900));
    network.loss = 0.0;
    assert_eq!(network.nodes[4].roster.queued_changes(), 0);
    let elapsed = network.run_until(seconds(60), SimulatedNetwork::has_converged);
    assert!(elapsed.is_some());
    assert!(network.all_hold_state(4, MemberState::Draining));
}

#[test]
fn resumed_member_is_unconfirmed_and_refutes_its_suspicion() {
    let mut network = start_fleet(60);
    network.nodes[9].running = false;
    network.run(seconds(10));
    assert!(!network.nodes[9].roster.is_confirmed(network.now));
    assert!(network.holds_state(1, 9, MemberState::Suspect));
    let now = network.now;
    let actions = network.nodes[9].roster.tick(1, now);
    assert!(!network.nodes[9].roster.is_confirmed(now));
    network.nodes[9].running = true;
    network.send_actions(9, actions);
    let elapsed = network.run_until(seconds(10), |network| {
        network.nodes[9].roster.is_confirmed(network.now)
            && network.all_hold_state(9, MemberState::Alive)
    });
    assert!(elapsed.is_some());
    assert!(network.nodes[9].roster.own_entry().counter > 0);
}

#[test]
fn old_announcement_does_not_revive_a_gone_member() {
    let mut network = start_fleet(30);
    let old_entry = *network.nodes[9].roster.own_entry();
    let now = network.now;
    network.nodes[9].roster.set_state(MemberState::Gone, now);
    let actions = network.nodes[9].roster.announce_immediately(1, now);
    network.send_actions(9, actions);
    network.nodes[9].running = false;
    network.run(seconds(5));
    network.nodes[9].running = false;
    for number in 0..30 {
        let message = changes_message(entry(5, 100).process, vec![old_entry]);
        let now = network.now;
        network.nodes[number].roster.receive(&message, now);
    }
    assert!(network.all_hold_state(9, MemberState::Gone));
    network.run(TOMBSTONE_TTL);
    let has_evicted = |node: &network::SimulatedNode| node.roster.members().len() == 29;
    assert!(
        network
            .nodes
            .iter()
            .filter(|node| node.running)
            .all(has_evicted)
    );
}

#[test]
fn restarted_member_with_a_lower_incarnation_raises_it() {
    let mut network = start_fleet(30);
    for incarnation in [40, 200, 201] {
        network.nodes[9].running = false;
        network.run(seconds(10));
        network.restart_node(9, incarnation, 3);
        let elapsed = network.run_until(seconds(10), |network| {
            network.all_hold_state(9, MemberState::Alive) && network.has_converged()
        });
        assert!(elapsed.is_some(), "incarnation {incarnation}");
        let incarnation_after = network.nodes[9].roster.own_entry().process.incarnation.0;
        assert_eq!(
            incarnation_after,
            if incarnation == 40 { 101 } else { incarnation }
        );
    }
    // A restart so soon after the last that both processes get the same
    // incarnation from the clock.
    network.restart_node(9, 201, 3);
    network.run(seconds(5));
    assert_eq!(
        network.nodes[9].roster.own_entry().process.incarnation.0,
        202
    );
    assert!(network.all_hold_state(9, MemberState::Alive));
}

#[test]
fn partitioned_fleet_converges_after_healing() {
    let mut network = start_fleet(60);
    for node in network.nodes.iter_mut().skip(30) {
        node.partition = 1;
    }
    network.run(seconds(300));
    assert_eq!(network.nodes[0].roster.live_count(), 30);
    assert_eq!(network.nodes[59].roster.live_count(), 30);
    for node in &mut network.nodes {
        node.partition = 0;
    }
    let elapsed = network.run_until(seconds(60), |network| {
        network.has_converged() && network.nodes[0].roster.live_count() == 60
    });
    assert!(elapsed.is_some());
}

#[test]
fn simultaneous_loss_of_a_third_of_the_fleet_is_detected() {
    let mut network = start_fleet(90);
    for node in network.nodes.iter_mut().skip(60) {
        node.running = false;
    }
    let elapsed = network.run_until(seconds(60), |network| {
        network.nodes[..60]
            .iter()
            .all(|node| node.roster.live_count() == 60)
    });
    assert!(elapsed.is_some());
}

#[test]
fn isolated_member_keeps_its_roster() {
    let mut network = start_fleet(60);
    network.nodes[9].partition = 1;
    network.run(seconds(600));
    assert!(network.nodes[9].roster.live_count() > 50);
    network.nodes[9].partition = 0;
    let elapsed = network.run_until(seconds(30), |network| {
        network.has_converged() && network.all_hold_state(9, MemberState::Alive)
    });
    assert!(elapsed.is_some());
}

#[test]
fn longest_message_fits_in_a_control_packet() {
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
    let packet =
        encode_packet(PacketKind::Control, &message, &[]).expect("the message fits into a packet");
    assert!(packet.len() <= MAX_CONTROL_LENGTH, "{}", packet.len());
}

#[test]
fn process_without_peers_is_confirmed_alone() {
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

fn changes_message(sender: ProcessId, entries: Vec<MemberEntry>) -> ControlMessage {
    ControlMessage {
        sender,
        version: 1,
        body: ControlBody::Changes(entries),
    }
}

#[test]
fn large_fleet_joins_through_one_contact() {
    let network = start_fleet(300);
    assert!(network.nodes.iter().all(|node| node.roster.is_joined()));
}

#[test]
fn starting_process_does_not_announce_its_incarnation() {
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
    // The process may already know other members while it is still starting.
    roster.merge_entries(&[entry(2, 1)], now);
    roster.set_state(MemberState::Draining, now);
    assert_eq!(roster.announce_immediately(0, now), []);
}
