//! Processing of the packets that a host receives from other processes.

use std::sync::Arc;

use hyssopstair_routing::balancer::DropReason;
use hyssopstair_routing::host::HostAction;
use hyssopstair_routing::host::HostRouter;
use hyssopstair_routing::reset::reset_packet;
use hyssopstair_telemetry::counts::COUNTERS;
use hyssopstair_wire::packet::ForwardHeader;
use hyssopstair_wire::packet::MAX_PACKET_LENGTH;
use hyssopstair_wire::packet::PacketKind;
use hyssopstair_wire::packet::ReturnHeader;
use hyssopstair_wire::packet::SecondHost;
use hyssopstair_wire::packet::encode_packet;
use hyssopstair_wire::packet::split_kind;
use hyssopstair_wire::packet::split_message;
use hyssopstair_wire::packet::write_packet;

use crate::control::configuration;
use crate::control::gossip;
use crate::host::state::HostState;
use crate::telemetry;

/// Number of tasks that read the inner socket.
const READER_TASKS: usize = 2;

/// Starts the tasks that read the inner socket.
pub fn spawn_readers(state: &Arc<HostState>) {
    for _ in 0..READER_TASKS {
        tokio::spawn(read_inner(state.clone()));
    }
}

/// Processes received packets until the process ends.
async fn read_inner(state: Arc<HostState>) {
    let mut buffer = vec![0; MAX_PACKET_LENGTH];
    let mut outgoing = vec![0; MAX_PACKET_LENGTH];
    loop {
        let Ok((length, _)) = state.node.socket.recv_from(&mut buffer).await else {
            continue;
        };
        match split_kind(&buffer[..length]) {
            Ok((PacketKind::Forward, payload)) => {
                receive_packet(&state, payload, &mut outgoing).await
            }
            Ok((PacketKind::Control, payload)) => {
                gossip::receive_packet(&state.node, payload).await
            }
            Ok((PacketKind::Return, _)) | Err(_) => {
                telemetry::count_dropped_packet(DropReason::Malformed)
            }
        }
    }
}

/// Processes a datagram that a balancer or another host has forwarded: passes it to QUIC,
/// forwards it to another host, answers it with a reset, or drops it. `payload` is the
/// packet without its kind.
async fn receive_packet(state: &Arc<HostState>, payload: &[u8], outgoing: &mut [u8]) {
    let Ok((header, datagram)) = split_message::<ForwardHeader>(payload) else {
        telemetry::count_dropped_packet(DropReason::Malformed);
        return;
    };
    configuration::record_peer_version(&state.node, header.balancer, header.version);
    let Some(service) = state.service_id() else {
        return;
    };
    let load = state.load();
    let now = state.node.clock.now();
    let router = state.router.get_or_init(|| HostRouter::new(service));
    let incarnation = state.node.process_id().incarnation;
    match router.receive(incarnation, &header, datagram, &load, now) {
        HostAction::Accept => {
            state.return_table.record(&header, now);
            state.packet_queue.push(header.caller, datagram.to_vec());
        }
        HostAction::PassOn { host, mut header } => {
            // The other host may have started to drain in the meantime. It can then send
            // the flow back to this host.
            header.second = Some(SecondHost {
                process: state.node.process_id(),
                weight: 1,
                first_weight: 1,
                load: Some(load.report()),
            });
            COUNTERS.packets_passed_on.increment();
            if let Ok(length) = write_packet(outgoing, PacketKind::Forward, &header, datagram) {
                let packet = &outgoing[..length];
                let _ = state.node.socket.send_to(packet, host.address).await;
            }
        }
        HostAction::Reset { connection_id } => {
            send_reset(state, &header, connection_id, datagram.len()).await;
        }
        HostAction::Drop(reason) => telemetry::count_dropped_packet(reason),
    }
}

/// Sends a stateless reset to the caller through the balancer in `header`. A reset must be
/// shorter than the datagram that triggers it, whose length is `trigger_length`.
async fn send_reset(
    state: &HostState,
    header: &ForwardHeader,
    connection_id: &[u8],
    trigger_length: usize,
) {
    let view = state.node.view();
    let key = view.reset_secret();
    let Some(reset) = reset_packet(key, connection_id, trigger_length, rand::random()) else {
        return;
    };
    COUNTERS.resets_sent.increment();
    let return_header = ReturnHeader {
        service: header.service,
        host: state.node.process_id(),
        load: state.load().report(),
        caller: header.caller,
        target: header.target,
        version: view.version,
        trace: None,
    };
    if let Ok(packet) = encode_packet(PacketKind::Return, &return_header, &reset) {
        let _ = state.node.socket.send_to(&packet, header.balancer).await;
    }
}
