//! Exchange of the roster with other processes.

use std::sync::Arc;
use std::time::Duration;

use hyssopstair_telemetry::counts::COUNTERS;
use hyssopstair_wire::control::ControlMessage;
use hyssopstair_wire::packet::split_message;

use crate::control::configuration;
use crate::control::node::ControlNode;

/// Interval between two ticks of the roster.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Ticks the roster until the process ends.
pub async fn run(node: Arc<ControlNode>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    loop {
        interval.tick().await;
        node.tick().await;
    }
}

/// Processes a received control packet, of which `bytes` is the part after the packet
/// kind. Malformed packets are ignored.
pub async fn receive_packet(node: &Arc<ControlNode>, bytes: &[u8]) {
    COUNTERS.control_bytes_received.add(bytes.len() as u64);
    let Ok((message, _)) = split_message::<ControlMessage>(bytes) else {
        return;
    };
    node.receive_message(&message).await;
    if node.needs_config_version(message.version) {
        configuration::record_peer_version(node, message.sender.address, message.version);
    }
}
