//! Sharded tables with one lock per shard, which reduces lock contention.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// The size of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TableFootprint {
    /// Number of records.
    pub records: usize,
    /// Bytes allocated for records.
    pub bytes: usize,
}

/// A fixed number of shards, each with its own lock.
#[derive(Debug)]
pub(crate) struct ShardSet<T> {
    shards: Vec<Mutex<T>>,
}

impl<T: Default> ShardSet<T> {
    /// Creates a set of `count` default shards.
    pub(crate) fn new(count: usize) -> Self {
        Self {
            shards: (0..count).map(|_| Mutex::default()).collect(),
        }
    }

    /// Locks and returns the shard of the key `bytes`. Callers may control the key;
    /// keys that all map to one shard slow that shard down, but do not affect
    /// correctness.
    pub(crate) fn lock(&self, bytes: &[u8]) -> MutexGuard<'_, T> {
        let index = hash_bytes(bytes) as usize % self.shards.len();
        lock(&self.shards[index])
    }

    /// Calls `visit` with each shard, locking one at a time.
    pub(crate) fn for_each(&self, mut visit: impl FnMut(&mut T)) {
        for shard in &self.shards {
            visit(&mut lock(shard));
        }
    }
}

/// Locks a mutex and ignores poisoning: the state remains usable if another thread
/// panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the 32-bit FNV-1a hash of `bytes`.
fn hash_bytes(bytes: &[u8]) -> u32 {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    let step = |hash: u32, byte: &u8| (hash ^ u32::from(*byte)).wrapping_mul(PRIME);
    bytes.iter().fold(OFFSET, step)
}
