//! Messages and heartbeats of any content, as another program or a faulty peer may send
//! them: none may end the process, and what a process knows stays usable.

mod fixture;

use hyssopstair_flows::heartbeat::ServerHeartbeat;
use hyssopstair_flows::outbox::FlowOutbox;
use hyssopstair_flows::packet::PacketHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::time::MonotonicTime;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixture::*;

const SEED: u64 = 6;

/// Number of changed messages that each process gets.
const MESSAGE_COUNT: u32 = 40_000;

/// Messages whose bytes are changed at random.
fn template_messages() -> Vec<CarryMessage> {
    let flow = opening_packet(4_001).caller_flow();
    vec![
        host_hello(3, 1),
        balancer_hello(3),
        CarryMessage::Forward(carry_header(ForwardPurpose::Open)),
        CarryMessage::Forward(carry_header(ForwardPurpose::Probe)),
        CarryMessage::Owned {
            flow,
            load: Default::default(),
        },
        CarryMessage::Returned {
            purpose: ForwardPurpose::Open,
        },
        locate_message(&request_packet(4_001)),
        CarryMessage::NotHeld {
            flows: vec![flow],
            is_certain: true,
        },
        CarryMessage::Flows {
            owner: host_address(1),
            flows: vec![flow],
        },
        CarryMessage::RoutesWanted { known: 0 },
        CarryMessage::RoutesPart {
            version: 9,
            part: 0,
            parts: 2,
        },
        CarryMessage::SaveFlows { number: 1, part: 0 },
        CarryMessage::FlowsSaved { number: 1 },
        CarryMessage::Detour {
            origin: host_address(1),
            target: host_address(2),
        },
    ]
}

/// Returns an encoded message with a few bytes changed, cut off or added.
fn change_message(message: &CarryMessage, random: &mut SmallRng) -> Vec<u8> {
    let mut bytes = Vec::new();
    message.encode(&mut bytes);
    for _ in 0..random.random_range(0..4) {
        let index = random.random_range(0..bytes.len());
        bytes[index] = random.random_range(0..=255);
    }
    if random.random_range(0..4) == 0 {
        bytes.truncate(random.random_range(0..=bytes.len()));
    }
    if random.random_range(0..4) == 0 {
        bytes.extend((0..random.random_range(0..30)).map(|_| random.random_range(0..=255u8)));
    }
    bytes
}

fn any_packet(random: &mut SmallRng) -> PacketHeader {
    PacketHeader {
        is_open: random.random(),
        has_ack: random.random(),
        is_finish: random.random(),
        is_reset: random.random(),
        is_bounced: random.random(),
        sequence: random.random(),
        acknowledged: random.random(),
        data_length: random.random(),
        ..opening_packet(random.random_range(4_000..4_004))
    }
}

fn any_number(random: &mut SmallRng) -> u64 {
    match random.random_range(0..4) {
        0 => 0,
        1 => u64::MAX,
        2 => HOST_START_UNIX_MILLIS + random.random_range(0..5_000),
        _ => random.random(),
    }
}

fn any_heartbeat(random: &mut SmallRng) -> ServerHeartbeat {
    ServerHeartbeat {
        id: format!("i-{}", random.random_range(0..3)),
        started_unix_millis: any_number(random),
        sequence: any_number(random),
        is_draining: random.random(),
        slots: any_number(random) as u16,
        cold_remaining_millis: any_number(random) as u32,
        ..heartbeat(1)
    }
}

#[test]
fn no_input_ends_a_balancer_or_a_host() {
    let mut random = SmallRng::seed_from_u64(SEED);
    let messages = template_messages();
    let mut balancer = new_balancer();
    let mut host = new_ready_host(1);
    let mut now = MonotonicTime::default();
    let mut decoded_count = 0;
    for number in 0..MESSAGE_COUNT {
        now = now + std::time::Duration::from_micros(random.random_range(0..3_000));
        let mut outbox = FlowOutbox::default();
        let message = &messages[random.random_range(0..messages.len())];
        let bytes = change_message(message, &mut random);
        let header = any_packet(&mut random);
        let packet = raw_packet(&header);
        if let Some((message, payload)) = CarryMessage::decode(&bytes) {
            decoded_count += 1;
            let from = host_address(random.random_range(0..6));
            let packet = random.random::<bool>().then_some(&packet);
            balancer.receive_peer_message(from, &message, packet, payload, now, &mut outbox);
            host.receive_peer_message(from, &message, packet, payload, now, &mut outbox);
        }
        balancer.receive_caller_packet(&packet, now, &mut outbox);
        host.receive_server_packet(&packet, now, &mut outbox);
        if number % 8 == 0 {
            host.receive_heartbeat(&any_heartbeat(&mut random), now, &mut outbox);
        }
        balancer.tick(now, &mut outbox);
        host.tick(now, &mut outbox);
    }
    assert!(decoded_count > MESSAGE_COUNT / 3, "{decoded_count}");

    // Afterwards, a real server and a real caller are served. The heartbeats of another
    // writer count until they have been silent for 4 s.
    let mut outbox = FlowOutbox::default();
    for sequence in 1..=4 {
        now = now + std::time::Duration::from_millis(1_500);
        host.receive_heartbeat(&heartbeat(sequence), now, &mut outbox);
    }
    outbox.clear();
    let open_header = carry_header(ForwardPurpose::OpenHere);
    let opening = opening_packet(9_001);
    host.receive_forwarded_packet(&open_header, &raw_packet(&opening), now, &mut outbox);
    let output = take_output(&mut outbox);
    assert_eq!(output, "Server: packet");
}
