//! The changes that a process still has to pass on.

use std::net::SocketAddrV4;

/// Changes that wait at most before each is sent fewer times.
const LONG_QUEUE: usize = 200;

/// Times that a change is sent while the queue is long; digests do the rest.
const FEW_SENDS: u32 = 3;

/// Times that a change is sent beyond the logarithm of the fleet's size.
const EXTRA_SENDS: u32 = 4;

/// A change that is still to be sent.
#[derive(Debug, Clone, Copy)]
struct QueuedChange {
    address: SocketAddrV4,
    sends: u32,
}

/// The members whose entries changed of late, with the most sends left first.
#[derive(Debug, Default)]
pub struct ChangeQueue {
    changes: Vec<QueuedChange>,
}

impl ChangeQueue {
    /// Returns whether nothing is left to be sent.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns the number of changes that wait.
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Adds a change, in place of an earlier one of the same member.
    ///
    /// With each change sent `ln n + 4` times by each of `n` members, the share
    /// of members that it misses is about `exp(-4) / n`.
    pub fn push(&mut self, address: SocketAddrV4, fleet: usize) {
        self.changes.retain(|change| change.address != address);
        let sends = (fleet.max(1) as f64).ln().ceil() as u32 + EXTRA_SENDS;
        let sends = if self.changes.len() > LONG_QUEUE {
            sends.min(FEW_SENDS)
        } else {
            sends
        };
        self.changes.push(QueuedChange { address, sends });
    }

    /// Returns up to `limit` members, those that were sent least first, and
    /// counts each as sent once.
    pub fn take(&mut self, limit: usize) -> Vec<SocketAddrV4> {
        self.changes
            .sort_by_key(|change| std::cmp::Reverse(change.sends));
        let count = limit.min(self.changes.len());
        let taken = &mut self.changes[..count];
        let addresses = taken.iter().map(|change| change.address).collect();
        for change in taken {
            change.sends -= 1;
        }
        self.changes.retain(|change| change.sends > 0);
        addresses
    }
}
