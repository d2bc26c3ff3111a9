//! Finds the first members through the platform.
//!
//! The platform keeps a bounded number of addresses. A process reads them until
//! it has found others, and takes over a slot whose holder is unknown to it. A
//! write whose answer is lost does no harm: a slot only names an address.

use std::net::SocketAddrV4;
use std::sync::Arc;

use hyssopstair_platform::client::PlatformClient;
use hyssopstair_platform::client::PlatformError;
use hyssopstair_platform::client::StoredKey;
use hyssopstair_platform::record::ENTRY_PREFIX;
use hyssopstair_platform::record::ENTRY_SLOTS;
use hyssopstair_platform::record::entry_key;
use hyssopstair_platform::schedule::poll_interval;
use hyssopstair_telemetry::limiter::RepeatLimiter;
use hyssopstair_wire::control::MemberState;
use rand::RngExt;

use crate::control::node::ControlNode;

/// Runs until the process ends.
pub async fn run(node: Arc<ControlNode>, client: PlatformClient) {
    let mut limiter = RepeatLimiter::default();
    let mut failures = 0;
    loop {
        match refresh(&node, &client).await {
            Ok(()) => {
                failures = 0;
                limiter.recover();
            }
            Err(error) => {
                failures += 1;
                if let Some(held_back) = limiter.warn(node.clock.now()) {
                    log::warn!(error:% = error, held_back; "entries: the platform is unreachable");
                }
            }
        }
        let jitter = rand::rng().random_range(0.0..1.0);
        let members = node.live_members();
        tokio::time::sleep(poll_interval(members, failures, jitter)).await;
    }
}

async fn refresh(node: &ControlNode, client: &PlatformClient) -> Result<(), PlatformError> {
    let entries = client.get_prefix(ENTRY_PREFIX).await?;
    for address in entries.iter().filter_map(entry_address) {
        node.add_contact(address);
    }
    let slot = rand::rng().random_range(0..ENTRY_SLOTS);
    let key = entry_key(slot);
    let held = entries.iter().find(|entry| entry.key == key);
    if held.is_some_and(|entry| is_live(node, entry)) {
        return Ok(());
    }
    let revision = held.map_or(0, |entry| entry.stored.revision);
    let value = node.process_id().address.to_string();
    client
        .compare_and_swap(&key, revision, value.as_bytes())
        .await?;
    Ok(())
}

fn entry_address(entry: &StoredKey) -> Option<SocketAddrV4> {
    std::str::from_utf8(&entry.stored.value).ok()?.parse().ok()
}

fn is_live(node: &ControlNode, entry: &StoredKey) -> bool {
    let Some(address) = entry_address(entry) else {
        return false;
    };
    let members = node.members();
    let found = members.binary_search_by_key(&address, |member| member.process.address);
    found.is_ok_and(|index| members[index].state == MemberState::Alive)
}
