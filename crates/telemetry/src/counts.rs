//! Counters and gauges that the parts of a daemon update.
//!
//! An [`EventCounter`] or a [`LevelGauge`] is one atomic integer. Updating it takes
//! no lock and allocates nothing, so it can be used on the packet path. A
//! [`LabelCounter`] takes a lock and is meant for rare events.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A monotonically increasing counter.
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

    /// Adds `number` to the counter.
    pub fn add(&self, number: u64) {
        self.count.fetch_add(number, Ordering::Relaxed);
    }

    /// Adds one to the counter.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Returns the current count.
    pub fn get(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }
}

/// A gauge of the number of items that exist at a time, such as open flows.
#[derive(Debug, Default)]
pub struct LevelGauge {
    value: AtomicU64,
}

impl LevelGauge {
    /// Creates a gauge at zero.
    pub const fn new() -> Self {
        Self {
            value: AtomicU64::new(0),
        }
    }

    /// Adds one to the gauge until the returned guard is dropped.
    pub fn enter(&self) -> LevelGuard<'_> {
        self.value.fetch_add(1, Ordering::Relaxed);
        LevelGuard { gauge: self }
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.value.load(Ordering::Relaxed)
    }
}

/// Holds one unit of a [`LevelGauge`] until it is dropped.
#[derive(Debug)]
pub struct LevelGuard<'a> {
    gauge: &'a LevelGauge,
}

impl Drop for LevelGuard<'_> {
    fn drop(&mut self) {
        self.gauge.value.fetch_sub(1, Ordering::Relaxed);
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

/// A counter for each label of a small set, for rare events.
#[derive(Debug, Default)]
pub struct LabelCounter {
    counts: Mutex<Vec<LabelCount>>,
}

impl LabelCounter {
    /// Creates a counter without any labels.
    pub const fn new() -> Self {
        Self {
            counts: Mutex::new(Vec::new()),
        }
    }

    /// Adds one to the count of `label`.
    pub fn increment(&self, label: &'static str) {
        let mut counts = self.lock();
        match counts.binary_search_by_key(&label, |entry| entry.label) {
            Ok(index) => counts[index].count += 1,
            Err(index) => counts.insert(index, LabelCount { label, count: 1 }),
        }
    }

    /// Returns all counts, sorted by label.
    pub fn get(&self) -> Vec<LabelCount> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<LabelCount>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The counters and gauges of a daemon.
#[derive(Debug, Default)]
pub struct DaemonCounters {
    /// Packets from callers that were forwarded to a host.
    pub packets_forwarded: EventCounter,
    /// Packets to callers that were forwarded.
    pub packets_returned: EventCounter,
    /// Packets from callers that opened a flow.
    pub packets_opening: EventCounter,
    /// Packets that one host forwarded to another.
    pub packets_passed_on: EventCounter,
    /// Dropped packets, by reason.
    pub packets_dropped: LabelCounter,
    /// Stateless resets that were sent to callers.
    pub resets_sent: EventCounter,
    /// Flows that were opened.
    pub flows_opened: EventCounter,
    /// Flows that are currently open.
    pub flows_open: LevelGauge,
    /// Requests that have started and not ended.
    pub requests_open: LevelGauge,
    /// Requests that wait for a slot of the backend server.
    pub requests_queued: LevelGauge,
    /// Requests that were relayed to another host.
    pub requests_relayed: EventCounter,
    /// Bytes of control messages that were sent.
    pub control_bytes_sent: EventCounter,
    /// Bytes of control messages that were received.
    pub control_bytes_received: EventCounter,
    /// All calls to the platform.
    pub platform_calls: EventCounter,
    /// Calls to the platform that write. All other calls read.
    pub platform_writes: EventCounter,
    /// Calls to the platform that received no response, an error status or an invalid
    /// response.
    pub platform_errors: EventCounter,
    /// Spans that could not be exported.
    pub spans_lost: EventCounter,
}

impl DaemonCounters {
    /// Creates all counters and gauges at zero.
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

/// The counters and gauges of this process.
pub static COUNTERS: DaemonCounters = DaemonCounters::new();
