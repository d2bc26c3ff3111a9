//! Discovery of the first members through the platform.
//!
//! The platform stores a bounded number of entry addresses, each in a slot. Every process
//! reads them periodically and contacts the members that they name, and replaces the
//! address in a random slot if its holder is not an alive member. A write whose answer is
//! lost does no harm, because a slot contains only an address.

use std::net::SocketAddrV4;
use std::sync::Arc;

use hyssopstair_platform::client::PlatformClient;
use hyssopstair_platform::client::PlatformError;
use hyssopstair_platform::client::StoredEntry;
use hyssopstair_platform::record::ENTRY_PREFIX;
use hyssopstair_platform::record::ENTRY_SLOTS;
use hyssopstair_platform::record::entry_key;
use hyssopstair_platform::schedule::poll_interval;
use hyssopstair_telemetry::limiter::WarningLimiter;
use hyssopstair_wire::control::MemberState;
use rand::RngExt;

use crate::control::node::ControlNode;

/// Refreshes the entry addresses periodically until the process ends. The interval grows
/// with the number of live members and with consecutive failures.
pub async fn run(node: Arc<ControlNode>, client: PlatformClient) {
    let mut limiter = WarningLimiter::default();
    let mut failures = 0;
    loop {
        match refresh_entries(&node, &client).await {
            Ok(()) => {
                failures = 0;
                limiter.record_recovery();
            }
            Err(error) => {
                failures += 1;
                if let Some(held_back) = limiter.record_warning(node.clock.now()) {
                    log::warn!(error:% = error, held_back; "entries: the platform is unreachable");
                }
            }
        }
        let jitter = rand::rng().random_range(0.0..1.0);
        let members = node.live_member_count();
        tokio::time::sleep(poll_interval(members, failures, jitter)).await;
    }
}

/// Adds all entry addresses as contacts, and chooses a random slot. If the slot is empty or
/// its holder is not an alive member, writes the address of this process into it.
async fn refresh_entries(node: &ControlNode, client: &PlatformClient) -> Result<(), PlatformError> {
    let entries = client.get_prefix(ENTRY_PREFIX).await?;
    for address in entries.iter().filter_map(parse_entry_address) {
        node.add_contact(address);
    }
    let slot = rand::rng().random_range(0..ENTRY_SLOTS);
    let key = entry_key(slot);
    let slot_entry = entries.iter().find(|entry| entry.key == key);
    if slot_entry.is_some_and(|entry| is_holder_alive(node, entry)) {
        return Ok(());
    }
    let expected = slot_entry.map(|entry| &entry.stored);
    let value = node.process_id().address.to_string();
    client
        .compare_and_swap(&key, expected, value.as_bytes())
        .await?;
    Ok(())
}

/// Returns the address in an entry, or `None` if it is malformed.
fn parse_entry_address(entry: &StoredEntry) -> Option<SocketAddrV4> {
    std::str::from_utf8(&entry.stored.value).ok()?.parse().ok()
}

/// Returns whether the address in an entry belongs to a member in the state `Alive`.
fn is_holder_alive(node: &ControlNode, entry: &StoredEntry) -> bool {
    let Some(address) = parse_entry_address(entry) else {
        return false;
    };
    let members = node.members();
    let position = members.binary_search_by_key(&address, |member| member.process.address);
    position.is_ok_and(|index| members[index].state == MemberState::Alive)
}
