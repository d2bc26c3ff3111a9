//! Maps callers to the traces of their sampled requests, on a host.
//!
//! Packets are encrypted, so a balancer cannot read the trace headers of a request.
//! While a sampled request runs, the host therefore adds the trace context to the
//! return header of each packet to the caller.

use std::net::SocketAddrV4;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyssopstair_wire::packet::TraceContext;
use hyssopstair_wire::time::MonotonicTime;

/// Time during which packets still belong to a trace after its request has ended.
/// The last packets of a response are sent, and possibly retransmitted, after the
/// end of the request.
pub const TRACE_RETENTION: Duration = Duration::from_millis(300);

/// Maximum number of callers with a sampled request. The traces of further requests
/// lack the spans of the balancers.
pub const MAX_TRACED_CALLERS: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct TracedCaller {
    caller: SocketAddrV4,
    trace: TraceContext,
    ended_at: Option<MonotonicTime>,
}

/// The callers with a sampled request, and the trace context of that request.
#[derive(Debug, Default)]
pub struct CallerTraces {
    // The length of `callers`. It is read for each packet, to avoid taking the lock
    // while no request is sampled, which is the usual case.
    caller_count: AtomicUsize,
    callers: Mutex<Vec<TracedCaller>>,
}

impl CallerTraces {
    /// Creates an empty table.
    pub const fn new() -> Self {
        Self {
            caller_count: AtomicUsize::new(0),
            callers: Mutex::new(Vec::new()),
        }
    }

    /// Records the start of a sampled request, which replaces an earlier request of the
    /// same caller. Does nothing for a new caller if [`MAX_TRACED_CALLERS`] are tracked.
    pub fn start_request(&self, caller: SocketAddrV4, trace: TraceContext, now: MonotonicTime) {
        let mut callers = self.lock();
        callers.retain(|entry| !entry.is_expired(now));
        let entry = TracedCaller {
            caller,
            trace,
            ended_at: None,
        };
        match callers.binary_search_by_key(&caller, |entry| entry.caller) {
            Ok(index) => callers[index] = entry,
            Err(index) if callers.len() < MAX_TRACED_CALLERS => callers.insert(index, entry),
            Err(_) => {}
        }
        self.caller_count.store(callers.len(), Ordering::Relaxed);
    }

    /// Records the end of a sampled request. Does nothing if a later request of the
    /// caller has replaced it.
    pub fn end_request(&self, caller: SocketAddrV4, trace: TraceContext, now: MonotonicTime) {
        let mut callers = self.lock();
        if let Ok(index) = callers.binary_search_by_key(&caller, |entry| entry.caller)
            && callers[index].trace == trace
        {
            callers[index].ended_at = Some(now);
        }
    }

    /// Returns the trace context of a packet to a caller, or `None` if no sampled
    /// request of the caller is running or has ended recently.
    pub fn find_trace(&self, caller: SocketAddrV4, now: MonotonicTime) -> Option<TraceContext> {
        if self.caller_count.load(Ordering::Relaxed) == 0 {
            return None;
        }
        let mut callers = self.lock();
        let index = callers
            .binary_search_by_key(&caller, |entry| entry.caller)
            .ok()?;
        if callers[index].is_expired(now) {
            callers.remove(index);
            self.caller_count.store(callers.len(), Ordering::Relaxed);
            return None;
        }
        Some(callers[index].trace)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TracedCaller>> {
        self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TracedCaller {
    fn is_expired(&self, now: MonotonicTime) -> bool {
        self.ended_at
            .is_some_and(|ended_at| now.since(ended_at) > TRACE_RETENTION)
    }
}

/// The callers with a sampled request at this process.
pub static CALLER_TRACES: CallerTraces = CallerTraces::new();
