//! State in shards, each under its own lock.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// What a table holds at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TableFootprint {
    /// Records.
    pub records: usize,
    /// Bytes that are reserved for records.
    pub bytes: usize,
}

/// Values of one type, each under its own lock.
#[derive(Debug)]
pub(crate) struct ShardSet<T> {
    shards: Vec<Mutex<T>>,
}

impl<T: Default> ShardSet<T> {
    /// Creates `count` shards.
    pub(crate) fn new(count: usize) -> Self {
        Self {
            shards: (0..count).map(|_| Mutex::default()).collect(),
        }
    }

    /// Locks the shard that `bytes` belong to. The bytes may be chosen by a
    /// caller: a skewed choice makes one shard slow, and no answer wrong.
    pub(crate) fn lock(&self, bytes: &[u8]) -> MutexGuard<'_, T> {
        let index = fold(bytes) as usize % self.shards.len();
        lock(&self.shards[index])
    }

    /// Visits all shards, one after the other.
    pub(crate) fn for_each(&self, mut visit: impl FnMut(&mut T)) {
        for shard in &self.shards {
            visit(&mut lock(shard));
        }
    }
}

/// Locks a mutex; a panic elsewhere leaves its state usable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The FNV-1a hash.
fn fold(bytes: &[u8]) -> u32 {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    let step = |hash: u32, byte: &u8| (hash ^ u32::from(*byte)).wrapping_mul(PRIME);
    bytes.iter().fold(OFFSET, step)
}
