//! Counts of the calls to the platform, whose rates are bounded.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Kinds of call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Reads keys.
    Read,
    /// Writes keys if a comparison holds.
    Write,
}

/// Calls since the start of the process, as they are counted.
#[derive(Debug, Default)]
pub struct CallCounters {
    reads: AtomicU64,
    writes: AtomicU64,
    failures: AtomicU64,
}

/// Calls since the start of the process, at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallCounts {
    /// Attempts to read.
    pub reads: u64,
    /// Attempts to write.
    pub writes: u64,
    /// Attempts of both kinds that got no answer.
    pub failures: u64,
}

impl CallCounters {
    /// Counts an attempt.
    pub fn count(&self, kind: CallKind) {
        let counter = match kind {
            CallKind::Read => &self.reads,
            CallKind::Write => &self.writes,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an attempt that got no answer.
    pub fn count_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the present counts.
    pub fn read(&self) -> CallCounts {
        CallCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            failures: self.failures.load(Ordering::Relaxed),
        }
    }
}
