//! Counts of packets by what was done with them.

use std::cell::Cell;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use crate::balancer::DropReason;

/// Copies of the counters, so that threads seldom write to the same one.
const COUNT_SHARDS: usize = 16;

/// What was done with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketEvent {
    /// A balancer sent it to a host.
    Forwarded,
    /// A balancer sent it to a caller.
    Returned,
    /// A host took it.
    Accepted,
    /// A host handed it over to another.
    PassedOn,
    /// It was answered by a stateless reset.
    Reset,
    /// It was dropped.
    Dropped(DropReason),
}

/// Number of different events.
const EVENTS: usize = 5 + DropReason::ALL.len();

impl PacketEvent {
    fn index(self) -> usize {
        match self {
            Self::Forwarded => 0,
            Self::Returned => 1,
            Self::Accepted => 2,
            Self::PassedOn => 3,
            Self::Reset => 4,
            Self::Dropped(reason) => 5 + reason as usize,
        }
    }
}

/// Counters of one shard, in a cache line of their own.
#[derive(Debug, Default)]
#[repr(align(128))]
struct CountShard {
    counters: [AtomicU64; EVENTS],
}

/// Counts of packets since the start of the process.
#[derive(Debug, Default)]
pub struct PacketCounts {
    shards: [CountShard; COUNT_SHARDS],
}

/// Packets dropped for one reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DropTotal {
    /// Why.
    pub reason: DropReason,
    /// How many.
    pub packets: u64,
}

/// The sums of [`PacketCounts`] at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PacketTotals {
    /// Sent to hosts by a balancer.
    pub forwarded: u64,
    /// Sent to callers by a balancer.
    pub returned: u64,
    /// Taken by a host.
    pub accepted: u64,
    /// Handed over by a host.
    pub passed_on: u64,
    /// Answered by a stateless reset.
    pub resets: u64,
    /// Dropped, by reason.
    pub drops: Vec<DropTotal>,
}

impl PacketCounts {
    /// Counts one packet.
    pub fn count(&self, event: PacketEvent) {
        let counter = &self.shards[own_shard()].counters[event.index()];
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the sums.
    pub fn totals(&self) -> PacketTotals {
        let drops = DropReason::ALL.iter().map(|reason| DropTotal {
            reason: *reason,
            packets: self.sum(PacketEvent::Dropped(*reason)),
        });
        PacketTotals {
            forwarded: self.sum(PacketEvent::Forwarded),
            returned: self.sum(PacketEvent::Returned),
            accepted: self.sum(PacketEvent::Accepted),
            passed_on: self.sum(PacketEvent::PassedOn),
            resets: self.sum(PacketEvent::Reset),
            drops: drops.collect(),
        }
    }

    fn sum(&self, event: PacketEvent) -> u64 {
        let index = event.index();
        let read = |shard: &CountShard| shard.counters[index].load(Ordering::Relaxed);
        self.shards.iter().map(read).sum()
    }
}

/// Returns the shard of the present thread.
fn own_shard() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    thread_local! {
        static SHARD: Cell<Option<usize>> = const { Cell::new(None) };
    }
    SHARD.with(|shard| {
        let index = shard
            .get()
            .unwrap_or_else(|| NEXT.fetch_add(1, Ordering::Relaxed) % COUNT_SHARDS);
        shard.set(Some(index));
        index
    })
}
