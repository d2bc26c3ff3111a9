//! The traces that packets to callers belong to, as a host knows them.
//!
//! Packets are encrypted, so a balancer cannot read a request's headers. While
//! a sampled request runs, the host names its trace in the header of each
//! packet to the caller.

use std::net::SocketAddrV4;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyssopstair_wire::packet::TraceContext;
use hyssopstair_wire::time::MonotonicTime;

/// How long packets belong to a trace after its request has ended: the end of
/// an answer is sent, and sent again, after the request is done.
pub const TRACE_LINGER: Duration = Duration::from_millis(300);

/// Callers with a sampled request at most; requests beyond have no balancer in
/// their trace.
pub const MAX_TRACED: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct TracedCaller {
    caller: SocketAddrV4,
    trace: TraceContext,
    ended: Option<MonotonicTime>,
}

/// Callers whose present request is sampled.
#[derive(Debug, Default)]
pub struct CallerTraces {
    // Read without the lock for each packet: most of the time there is none.
    count: AtomicUsize,
    callers: Mutex<Vec<TracedCaller>>,
}

impl CallerTraces {
    /// Creates an empty table.
    pub const fn new() -> Self {
        Self {
            count: AtomicUsize::new(0),
            callers: Mutex::new(Vec::new()),
        }
    }

    /// Notes that a sampled request of a caller begins; a later one takes the
    /// place of an earlier one.
    pub fn start_request(&self, caller: SocketAddrV4, trace: TraceContext, now: MonotonicTime) {
        let mut callers = self.lock();
        callers.retain(|item| !item.is_over(now));
        let item = TracedCaller {
            caller,
            trace,
            ended: None,
        };
        match callers.binary_search_by_key(&caller, |item| item.caller) {
            Ok(index) => callers[index] = item,
            Err(index) if callers.len() < MAX_TRACED => callers.insert(index, item),
            Err(_) => {}
        }
        self.count.store(callers.len(), Ordering::Relaxed);
    }

    /// Notes that a sampled request has ended.
    pub fn end_request(&self, caller: SocketAddrV4, trace: TraceContext, now: MonotonicTime) {
        let mut callers = self.lock();
        if let Ok(index) = callers.binary_search_by_key(&caller, |item| item.caller)
            && callers[index].trace == trace
        {
            callers[index].ended = Some(now);
        }
    }

    /// Returns the trace that a packet to a caller belongs to.
    pub fn find_trace(&self, caller: SocketAddrV4, now: MonotonicTime) -> Option<TraceContext> {
        if self.count.load(Ordering::Relaxed) == 0 {
            return None;
        }
        let mut callers = self.lock();
        let index = callers
            .binary_search_by_key(&caller, |item| item.caller)
            .ok()?;
        if callers[index].is_over(now) {
            callers.remove(index);
            self.count.store(callers.len(), Ordering::Relaxed);
            return None;
        }
        Some(callers[index].trace)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TracedCaller>> {
        self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TracedCaller {
    fn is_over(&self, now: MonotonicTime) -> bool {
        self.ended
            .is_some_and(|ended| now.since(ended) > TRACE_LINGER)
    }
}

/// The traced callers of this process.
pub static CALLER_TRACES: CallerTraces = CallerTraces::new();
