//! Finds how many requests a server bears at once, from how it answers.
//!
//! The limit rises with each good answer and falls with slow answers, requests that hang and
//! failures. A server that has just started begins below the maximum, so that it is not
//! flooded before its first answers; one that fails is tried with a request now and then.
//! What answers say cannot be read, but a server that fails at once answers in a fraction of
//! its usual time.

use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

use crate::event::PaceChangeCause;
use crate::room::MAX_REQUESTS_PER_SLOT;
use crate::room::requests_within;

/// Limit for a server that has just started, in requests for each slot.
const START_REQUESTS_PER_SLOT: f64 = 2.0;

/// What a good answer adds to the limit.
const INCREASE: f64 = 0.25;

/// What a good answer of a failing server adds to the limit: two in a row show that it has
/// recovered.
const PROBE_INCREASE: f64 = 0.5;

/// Factor by which a slow answer or a request that hangs lowers the limit.
const SLOW_FACTOR: f64 = 0.8;

/// Factor by which a failure lowers the limit.
const FAILURE_FACTOR: f64 = 0.7;

/// Minimum time between two decreases: answers that were under way when the limit fell say
/// nothing about the new one.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Multiple of the usual time from which an answer is slow. Requests of one service differ
/// by a factor of two and more.
const SLOW_MULTIPLE: f64 = 3.0;

/// Number of slow answers in a row that lower the limit. One alone may be that to a long
/// request.
const SLOW_COUNT: u32 = 2;

/// Multiple of the usual time from which a request without an answer hangs.
const HANGING_MULTIPLE: u32 = 8;

/// Time from which a request hangs at the earliest: the whole queue of a server takes less.
const MIN_HANGING_TIME: Duration = Duration::from_millis(300);

/// Divisor of the usual time: answers that take less than the quotient are likely to be
/// errors. Requests of one service differ by a factor of two and more.
const FAST_DIVISOR: f64 = 4.0;

/// Number of fast answers in a row from which the server counts as failing. A fast answer
/// alone may be that to a short request.
const FAILING_FAST_COUNT: u32 = 3;

/// Number of fast answers in a row from which they are taken for the usual ones.
const USUAL_FAST_COUNT: u32 = 40;

/// Interval at which a failing server gets a new flow, to find out whether it has recovered.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Limit from which a server no longer counts as failing.
const RECOVERED_LIMIT: f64 = 2.0;

/// Weight of an answer in the mean of the usual time.
const USUAL_TIME_WEIGHT: f64 = 1.0 / 32.0;

/// The pace of one server.
#[derive(Debug)]
pub(super) struct ServerPace {
    is_enabled: bool,
    /// Number of requests in progress up to which the server gets new flows; `None` for the
    /// maximum, as long as nothing has lowered it.
    limit: Option<f64>,
    /// Usual time to the first data of an answer, in seconds; 0 before the first.
    usual_seconds: f64,
    /// Start times of the requests without an answer, ascending.
    started_at: Vec<MonotonicTime>,
    /// Number of the oldest of these that are known to hang.
    hanging_count: usize,
    lowered_at: MonotonicTime,
    /// Number of the last answers that were slow, in a row.
    slow_count: u32,
    /// Number of the last answers that were fast, in a row.
    fast_count: u32,
    /// Whether the server fails, and gets a new flow at intervals only.
    is_failing: bool,
    /// Earliest time at which a failing server gets a new flow.
    next_probe_at: MonotonicTime,
}

/// A change of the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PaceChange {
    pub(super) cause: PaceChangeCause,
    /// The new limit, rounded down.
    pub(super) limit: u16,
}

impl ServerPace {
    pub(super) fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            limit: None,
            usual_seconds: 0.0,
            started_at: Vec::new(),
            hanging_count: 0,
            lowered_at: MonotonicTime::default(),
            slow_count: 0,
            fast_count: 0,
            is_failing: false,
            next_probe_at: MonotonicTime::default(),
        }
    }

    /// Returns whether the server may get a new flow now. A failing one gets few, however
    /// fast it answers.
    pub(super) fn admits(&self, now: MonotonicTime) -> bool {
        !(self.is_enabled && self.is_failing) || now >= self.next_probe_at
    }

    /// Records that the server gets a new flow.
    pub(super) fn record_offer(&mut self, now: MonotonicTime) {
        self.next_probe_at = now + PROBE_INTERVAL;
    }

    /// Returns the number of requests in progress up to which a server with this number of
    /// slots gets new flows.
    pub(super) fn limit(&self, slots: u16) -> u16 {
        let maximum = slots.saturating_mul(MAX_REQUESTS_PER_SLOT);
        match self.limit {
            Some(limit) if self.is_enabled => (limit as u16).clamp(1, maximum),
            _ => maximum,
        }
    }

    /// Returns [`limit`](Self::limit) for a flow whose caller expects an answer within
    /// `target_latency`, which is zero if it is not known.
    pub(super) fn limit_within(&self, slots: u16, target_latency: Duration) -> u16 {
        let usual_time = Duration::from_secs_f64(self.usual_seconds.min(60.0));
        requests_within(slots, usual_time, target_latency).min(self.limit(slots))
    }

    /// Begins anew for a server that has just started.
    pub(super) fn restart(&mut self, slots: u16) -> Option<PaceChange> {
        *self = Self::new(self.is_enabled);
        let former_limit = self.limit(slots);
        self.limit = Some(f64::from(slots) * START_REQUESTS_PER_SLOT);
        self.describe_change(former_limit, slots, PaceChangeCause::Started)
    }

    /// Forgets the requests in progress, because their server has ended.
    pub(super) fn clear(&mut self) {
        self.started_at.clear();
        self.hanging_count = 0;
    }

    /// Records that a request was delivered to the server at `started_at`.
    pub(super) fn begin_request(&mut self, started_at: MonotonicTime) {
        if self.is_enabled {
            let index = self
                .started_at
                .partition_point(|earlier| *earlier <= started_at);
            self.started_at.insert(index, started_at);
        }
    }

    /// Stops tracking a request that was delivered at `started_at`.
    pub(super) fn end_request(&mut self, started_at: MonotonicTime) {
        if let Ok(index) = self.started_at.binary_search(&started_at) {
            self.started_at.remove(index);
            if index < self.hanging_count {
                self.hanging_count -= 1;
            }
        }
    }

    /// Records an answer after `elapsed` to a request with which `in_progress` requests were
    /// in progress.
    pub(super) fn record_answer(
        &mut self,
        elapsed: Duration,
        in_progress: u16,
        slots: u16,
        now: MonotonicTime,
    ) -> Option<PaceChange> {
        if self.is_fast(elapsed) {
            return self.record_fast_answer(elapsed, slots, now);
        }
        self.fast_count = 0;
        let queue_places = f64::from(in_progress.max(1)) / f64::from(slots.max(1));
        let seconds = elapsed.as_secs_f64() / queue_places.max(1.0);
        let is_slow = self.usual_seconds > 0.0 && seconds > self.usual_seconds * SLOW_MULTIPLE;
        if self.usual_seconds > 0.0 {
            self.usual_seconds += (seconds - self.usual_seconds) * USUAL_TIME_WEIGHT;
        } else {
            self.usual_seconds = seconds;
        }
        self.slow_count = if is_slow { self.slow_count + 1 } else { 0 };
        if is_slow && self.slow_count < SLOW_COUNT {
            return None;
        }
        if is_slow {
            return self.lower(SLOW_FACTOR, slots, slots, PaceChangeCause::SlowAnswer, now);
        }
        let former_limit = self.limit(slots);
        let maximum = f64::from(slots) * f64::from(MAX_REQUESTS_PER_SLOT);
        let increase = match self.is_failing {
            true => PROBE_INCREASE,
            false => INCREASE,
        };
        self.limit = self
            .limit
            .map(|limit| limit + increase)
            .filter(|limit| *limit < maximum);
        self.is_failing &= self.limit.is_some_and(|limit| limit < RECOVERED_LIMIT);
        self.describe_change(former_limit, slots, PaceChangeCause::GoodAnswer)
    }

    /// Returns whether an answer after `elapsed` is probably an error.
    fn is_fast(&self, elapsed: Duration) -> bool {
        elapsed.as_secs_f64() * FAST_DIVISOR < self.usual_seconds
    }

    fn record_fast_answer(
        &mut self,
        elapsed: Duration,
        slots: u16,
        now: MonotonicTime,
    ) -> Option<PaceChange> {
        self.fast_count += 1;
        if self.fast_count >= USUAL_FAST_COUNT {
            // The requests have become shorter.
            self.usual_seconds = elapsed.as_secs_f64();
            self.fast_count = 0;
            return None;
        }
        if self.fast_count < FAILING_FAST_COUNT || self.is_failing {
            return None;
        }
        let former_limit = self.limit(slots);
        self.limit = Some(1.0);
        self.is_failing = true;
        self.lowered_at = now;
        self.describe_change(former_limit, slots, PaceChangeCause::FastAnswers)
    }

    /// Records that the server closed a flow instead of answering, or did not answer.
    pub(super) fn record_failure(&mut self, slots: u16, now: MonotonicTime) -> Option<PaceChange> {
        let change = self.lower(FAILURE_FACTOR, 1, slots, PaceChangeCause::Failure, now);
        self.is_failing |= self.limit.is_some_and(|limit| limit <= 1.0);
        change
    }

    /// Looks for requests that hang.
    pub(super) fn check_hanging(&mut self, slots: u16, now: MonotonicTime) -> Option<PaceChange> {
        let usual_time = Duration::from_secs_f64(self.usual_seconds.min(60.0));
        let hanging_time = (usual_time * HANGING_MULTIPLE).max(MIN_HANGING_TIME);
        let count = self
            .started_at
            .partition_point(|started_at| now.since(*started_at) >= hanging_time);
        let has_more = count > self.hanging_count;
        self.hanging_count = count;
        if !has_more {
            return None;
        }
        self.lower(SLOW_FACTOR, slots, slots, PaceChangeCause::Hanging, now)
    }

    fn lower(
        &mut self,
        factor: f64,
        floor: u16,
        slots: u16,
        cause: PaceChangeCause,
        now: MonotonicTime,
    ) -> Option<PaceChange> {
        if self.lowered_at != MonotonicTime::default()
            && now.since(self.lowered_at) < DECREASE_INTERVAL
        {
            return None;
        }
        self.lowered_at = now;
        let former_limit = self.limit(slots);
        let maximum = f64::from(slots) * f64::from(MAX_REQUESTS_PER_SLOT);
        let limit = self.limit.unwrap_or(maximum);
        // A limit below the floor, set by failures, is not raised by a slow answer.
        self.limit = Some((limit * factor).max(limit.min(f64::from(floor))));
        self.describe_change(former_limit, slots, cause)
    }

    fn describe_change(
        &self,
        former_limit: u16,
        slots: u16,
        cause: PaceChangeCause,
    ) -> Option<PaceChange> {
        let limit = self.limit(slots);
        (limit != former_limit).then_some(PaceChange { cause, limit })
    }
}
