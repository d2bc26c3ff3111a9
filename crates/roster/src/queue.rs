//! The queue of changes that a process still has to gossip.

use std::net::SocketAddrV4;

/// Queue length above which each new change is sent fewer times, and changes are
/// sent in runs.
const LONG_QUEUE_LENGTH: usize = 200;

/// Maximum number of times that a change is sent if it is enqueued while the queue
/// is long. Digests repair the rosters that it does not reach.
const LONG_QUEUE_SENDS: u32 = 6;

/// Number of times that a change is sent in addition to the natural logarithm of
/// the fleet size.
const EXTRA_SENDS: u32 = 4;

/// A changed member whose entry is still to be sent.
#[derive(Debug, Clone, Copy)]
struct QueuedChange {
    address: SocketAddrV4,
    remaining_sends: u32,
}

/// The members whose entries changed recently and are still to be gossiped.
#[derive(Debug, Default)]
pub struct ChangeQueue {
    changes: Vec<QueuedChange>,
}

impl ChangeQueue {
    /// Returns whether no change is left to send.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns the number of changes in the queue.
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Returns whether the queue is so long that changes are sent fewer times and
    /// in runs.
    pub fn is_long(&self) -> bool {
        self.changes.len() > LONG_QUEUE_LENGTH
    }

    /// Returns the addresses of all changed members, sorted.
    pub fn addresses(&self) -> Vec<SocketAddrV4> {
        let mut addresses: Vec<SocketAddrV4> =
            self.changes.iter().map(|change| change.address).collect();
        addresses.sort_unstable();
        addresses
    }

    /// Records that the changes of these members were sent once. `addresses` must
    /// be sorted.
    pub fn record_sent(&mut self, addresses: &[SocketAddrV4]) {
        for change in &mut self.changes {
            if addresses.binary_search(&change.address).is_ok() {
                change.remaining_sends -= 1;
            }
        }
        self.changes.retain(|change| change.remaining_sends > 0);
    }

    /// Enqueues a change, in place of an earlier one of the same member.
    ///
    /// When each of `n` members sends a change `ln n + 4` times, the expected
    /// share of members that it does not reach is about `exp(-4) / n`.
    pub fn push(&mut self, address: SocketAddrV4, fleet_size: usize) {
        self.changes.retain(|change| change.address != address);
        let remaining_sends = (fleet_size.max(1) as f64).ln().ceil() as u32 + EXTRA_SENDS;
        let remaining_sends = if self.is_long() {
            remaining_sends.min(LONG_QUEUE_SENDS)
        } else {
            remaining_sends
        };
        self.changes.push(QueuedChange {
            address,
            remaining_sends,
        });
    }

    /// Returns the addresses of up to `limit` changed members, those with the most
    /// sends left first, and records each as sent once.
    pub fn take_batch(&mut self, limit: usize) -> Vec<SocketAddrV4> {
        self.changes
            .sort_by_key(|change| std::cmp::Reverse(change.remaining_sends));
        let count = limit.min(self.changes.len());
        let batch = &mut self.changes[..count];
        let addresses = batch.iter().map(|change| change.address).collect();
        for change in batch {
            change.remaining_sends -= 1;
        }
        self.changes.retain(|change| change.remaining_sends > 0);
        addresses
    }
}
