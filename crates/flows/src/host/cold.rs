//! Limits new flows to a server that is cold after its start.
//!
//! All new flows of a server pass through its host, so the limit holds for what all balancers
//! send together, whether they know of one another or not.

use std::collections::VecDeque;
use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

use crate::routes::ColdTerms;

/// Length of the window in which new flows are counted.
const COUNTING_WINDOW: Duration = Duration::from_secs(1);

/// Counts the new flows of a cold server.
#[derive(Debug)]
pub(super) struct ColdLimiter {
    created_at: MonotonicTime,
    /// Time until which the server is cold by its own word; `None` before its first
    /// heartbeat.
    cold_until: Option<MonotonicTime>,
    /// Times at which new flows were delivered in the last window, ascending.
    delivered_at: VecDeque<MonotonicTime>,
}

impl ColdLimiter {
    /// Creates a limiter for a server of which nothing is known at `now`.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            created_at: now,
            cold_until: None,
            delivered_at: VecDeque::new(),
        }
    }

    /// Records for how much longer the server is cold, as its newest heartbeat says.
    pub(super) fn record_heartbeat(&mut self, cold_remaining: Duration, now: MonotonicTime) {
        self.cold_until = Some(now + cold_remaining);
    }

    /// Returns whether the server is cold. Before its first heartbeat, it may have started
    /// together with the host.
    pub(super) fn is_cold(&self, terms: ColdTerms, now: MonotonicTime) -> bool {
        let period = Duration::from_millis(u64::from(terms.period_millis));
        now < self.cold_until.unwrap_or(self.created_at + period)
    }

    /// Returns whether the server may get one more new flow.
    pub(super) fn admits(&mut self, terms: ColdTerms, now: MonotonicTime) -> bool {
        if terms.flows_per_second == 0 || !self.is_cold(terms, now) {
            return true;
        }
        self.drop_expired(now);
        self.delivered_at.len() < terms.flows_per_second as usize
    }

    /// Records that a new flow was delivered to the server.
    pub(super) fn record_delivery(&mut self, terms: ColdTerms, now: MonotonicTime) {
        if terms.flows_per_second == 0 {
            return;
        }
        // A warm server may become cold at any time, and its last flows count then.
        self.drop_expired(now);
        self.delivered_at.push_back(now);
    }

    fn drop_expired(&mut self, now: MonotonicTime) {
        while self
            .delivered_at
            .front()
            .is_some_and(|delivered_at| now.since(*delivered_at) >= COUNTING_WINDOW)
        {
            self.delivered_at.pop_front();
        }
    }
}
