//! Counters that the parts of a daemon add to.
//!
//! A counter is one atomic number; adding to it takes no lock and allocates
//! nothing, so that it may stand on the path of a packet.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A number that only grows.
#[derive(Debug, Default)]
pub struct EventCounter {
    count: AtomicU64,
}

impl EventCounter {
    /// Creates a counter at zero.
    pub const fn new() -> Self {
        Self {
            count: AtomicU64::new(0),
        }
    }

    /// Adds `number`.
    pub fn add(&self, number: u64) {
        self.count.fetch_add(number, Ordering::Relaxed);
    }

    /// Adds one.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Returns the count.
    pub fn get(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }
}

/// A number that grows and shrinks.
#[derive(Debug, Default)]
pub struct LevelGauge {
    level: AtomicU64,
}

impl LevelGauge {
    /// Creates a gauge at zero.
    pub const fn new() -> Self {
        Self {
            level: AtomicU64::new(0),
        }
    }

    /// Adds one until the returned guard is dropped.
    pub fn enter(&self) -> LevelGuard<'_> {
        self.level.fetch_add(1, Ordering::Relaxed);
        LevelGuard { gauge: self }
    }

    /// Returns the level.
    pub fn get(&self) -> u64 {
        self.level.load(Ordering::Relaxed)
    }
}

/// One unit of a [`LevelGauge`].
#[derive(Debug)]
pub struct LevelGuard<'a> {
    gauge: &'a LevelGauge,
}

impl Drop for LevelGuard<'_> {
    fn drop(&mut self) {
        self.gauge.level.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The count of one label.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LabelCount {
    /// The label.
    pub label: &'static str,
    /// The count.
    pub count: u64,
}

/// Counters of a small set of labels, for events that are not the rule.
#[derive(Debug, Default)]
pub struct LabelCounter {
    counts: Mutex<Vec<LabelCount>>,
}

impl LabelCounter {
    /// Creates a counter without labels.
    pub const fn new() -> Self {
        Self {
            counts: Mutex::new(Vec::new()),
        }
    }

    /// Adds one to the count of a label.
    pub fn increment(&self, label: &'static str) {
        let mut counts = self.lock();
        match counts.binary_search_by_key(&label, |item| item.label) {
            Ok(index) => counts[index].count += 1,
            Err(index) => counts.insert(index, LabelCount { label, count: 1 }),
        }
    }

    /// Returns all counts, by label.
    pub fn get(&self) -> Vec<LabelCount> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<LabelCount>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The counters of a daemon.
#[derive(Debug, Default)]
pub struct DaemonCounters {
    /// Packets of callers that were sent on to a host.
    pub packets_forwarded: EventCounter,
    /// Packets to callers that were sent on.
    pub packets_returned: EventCounter,
    /// Packets of callers that opened a flow.
    pub packets_opening: EventCounter,
    /// Packets that one host passed on to another.
    pub packets_passed_on: EventCounter,
    /// Packets that were dropped, by reason.
    pub packets_dropped: LabelCounter,
    /// Resets that were sent to callers.
    pub resets_sent: EventCounter,
    /// Flows that were opened.
    pub flows_opened: EventCounter,
    /// Flows that are open.
    pub flows_open: LevelGauge,
    /// Requests that were begun and have not ended.
    pub requests_open: LevelGauge,
    /// Requests that wait for the backend server.
    pub requests_queued: LevelGauge,
    /// Requests that were tried again at another host.
    pub requests_relayed: EventCounter,
    /// Control bytes that were sent.
    pub control_bytes_sent: EventCounter,
    /// Control bytes that were received.
    pub control_bytes_received: EventCounter,
    /// Calls to the platform.
    pub platform_calls: EventCounter,
    /// Calls to the platform that write; the others read.
    pub platform_writes: EventCounter,
    /// Calls to the platform that gave no answer.
    pub platform_errors: EventCounter,
    /// Spans that could not be exported.
    pub spans_lost: EventCounter,
}

impl DaemonCounters {
    /// Creates counters at zero.
    pub const fn new() -> Self {
        Self {
            packets_forwarded: EventCounter::new(),
            packets_returned: EventCounter::new(),
            packets_opening: EventCounter::new(),
            packets_passed_on: EventCounter::new(),
            packets_dropped: LabelCounter::new(),
            resets_sent: EventCounter::new(),
            flows_opened: EventCounter::new(),
            flows_open: LevelGauge::new(),
            requests_open: LevelGauge::new(),
            requests_queued: LevelGauge::new(),
            requests_relayed: EventCounter::new(),
            control_bytes_sent: EventCounter::new(),
            control_bytes_received: EventCounter::new(),
            platform_calls: EventCounter::new(),
            platform_writes: EventCounter::new(),
            platform_errors: EventCounter::new(),
            spans_lost: EventCounter::new(),
        }
    }
}

/// The counters of this process.
pub static COUNTERS: DaemonCounters = DaemonCounters::new();
