//! Exchanges members with other processes.

use std::sync::Arc;
use std::time::Duration;

use hyssopstair_telemetry::counts::COUNTS;
use hyssopstair_wire::control::ControlMessage;
use hyssopstair_wire::packet::split_message;

use crate::control::configuration;
use crate::control::node::ControlNode;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// Runs until the process ends.
pub async fn run(node: Arc<ControlNode>) {
    let mut interval = tokio::time::interval(TICK);
    loop {
        interval.tick().await;
        node.tick().await;
    }
}

/// Takes in the message of a control packet.
pub async fn receive(node: &Arc<ControlNode>, bytes: &[u8]) {
    COUNTS.control_received.add(bytes.len() as u64);
    let Ok((message, _)) = split_message::<ControlMessage>(bytes) else {
        return;
    };
    node.receive_control(&message).await;
    if node.wants_config(message.version) {
        configuration::record_peer_version(node, message.sender.address, message.version);
    }
}
