//! Fetches newer configurations from the platform and from peers.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use hyssopstair_platform::client::PlatformClient;
use hyssopstair_platform::client::StoredValue;
use hyssopstair_platform::record::CONFIGURATION_KEY;
use hyssopstair_platform::record::ConfigurationRecord;
use hyssopstair_telemetry::limiter::RepeatLimiter;
use hyssopstair_wire::peer::PeerAnswer;
use hyssopstair_wire::peer::PeerRequest;
use rand::RngExt;

use crate::control::node::ControlNode;
use crate::peer;

/// Time between two reads, per member of the fleet.
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(20);

/// Shortest time between two reads.
const MIN_INTERVAL: Duration = Duration::from_millis(500);

/// Runs until the process ends.
pub async fn run(node: Arc<ControlNode>, client: PlatformClient) {
    let mut limiter = RepeatLimiter::default();
    loop {
        match client.get(CONFIGURATION_KEY).await {
            Ok(stored) => {
                if let Some(unreported) = limiter.recover() {
                    log::info!(unreported; "config: the platform answers again");
                }
                if let Some(stored) = stored {
                    take_stored(&node, &stored);
                }
            }
            Err(error) => {
                if let Some(held_back) = limiter.warn(node.clock.now()) {
                    log::warn!(error:% = error, held_back; "config: the platform is unreachable");
                }
            }
        }
        let members = node.members().len() as u32;
        let interval = (INTERVAL_PER_MEMBER * members).max(MIN_INTERVAL);
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(interval.mul_f64(jitter)).await;
    }
}

fn take_stored(node: &ControlNode, stored: &StoredValue) {
    match ConfigurationRecord::decode(&stored.value) {
        Ok(record) => {
            node.offer_config(record.version, &record.text);
        }
        Err(error) => log::warn!(error:% = error; "config: the platform holds no record"),
    }
}

/// Fetches the configuration of a peer that said it has a newer one.
pub fn hear_version(node: &Arc<ControlNode>, from: SocketAddrV4, version: u64) {
    let above = node.view().version;
    if version <= above {
        return;
    }
    let node = node.clone();
    tokio::spawn(async move {
        let request = PeerRequest::Configuration { above };
        match peer::ask(from, request).await {
            Ok(PeerAnswer::Configuration { version, text }) => {
                node.offer_config(version, &text);
            }
            Ok(_) => {}
            Err(report) => log::warn!("config: {report:?}"),
        }
    });
}
