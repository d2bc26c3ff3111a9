//! Measures the load of the backend server from the packets that the host forwards.
//!
//! The server reports no load of its own; the host counts requests without an answer
//! and measures the time to the first data of each answer.

use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

use crate::host::pace::PaceChange;
use crate::host::pace::ServerPace;

/// Divisor that gives the weight of a new answer time in the exponential mean.
const ANSWER_SMOOTHING_DIVISOR: u32 = 8;

/// Time constant of the exponential mean of the requests in progress.
const MEAN_PERIOD: Duration = Duration::from_secs(1);

/// Time for which a flow whose opening packet was delivered counts as a request in
/// progress. The caller's request follows after a round trip, which takes 6 ms, or
/// longer on a busy machine; a caller that has sent nothing after this time has left.
const EXPECTED_REQUEST_TIMEOUT: Duration = Duration::from_millis(50);

/// Answer time that a failed request is recorded with: what a retry costs its caller.
const FAILED_REQUEST_TIME: Duration = Duration::from_millis(200);

/// The load of one backend server.
#[derive(Debug)]
pub(super) struct LoadMeter {
    request_count: u16,
    /// Delivery times of the opening packets of flows without a request, ascending.
    offers: Vec<MonotonicTime>,
    answer_micros: u32,
    mean_requests: f64,
    last_tick_at: MonotonicTime,
    pace: ServerPace,
    /// The last change of the pace that was not taken yet.
    pace_change: Option<PaceChange>,
}

impl LoadMeter {
    /// Creates the meter of an idle server. `follows_pace` says whether the limit for new
    /// flows is found from the server's answers.
    pub(super) fn new(follows_pace: bool, now: MonotonicTime) -> Self {
        Self {
            request_count: 0,
            offers: Vec::new(),
            answer_micros: 0,
            mean_requests: 0.0,
            last_tick_at: now,
            pace: ServerPace::new(follows_pace),
            pace_change: None,
        }
    }

    /// Returns the number of requests in progress up to which a server with this number of
    /// slots gets new flows.
    pub(super) fn limit(&self, slots: u16) -> u16 {
        self.pace.limit(slots)
    }

    /// Returns the number of requests in progress up to which the server gets new flows whose
    /// callers expect an answer within `target_latency`, which is zero if it is not known.
    pub(super) fn limit_within(&self, slots: u16, target_latency: Duration) -> u16 {
        self.pace.limit_within(slots, target_latency)
    }

    /// Returns whether the server may get a new flow now, by its pace.
    pub(super) fn admits(&self, now: MonotonicTime) -> bool {
        self.pace.admits(now)
    }

    /// Finds the pace anew for a server that has just started.
    pub(super) fn restart_pace(&mut self, slots: u16) {
        let change = self.pace.restart(slots);
        self.record_pace_change(change);
    }

    /// Returns the last change of the pace, if there was one since the last call.
    pub(super) fn take_pace_change(&mut self) -> Option<PaceChange> {
        self.pace_change.take()
    }

    fn record_pace_change(&mut self, change: Option<PaceChange>) {
        self.pace_change = change.or(self.pace_change);
    }

    /// Returns the number of requests without an answer, plus new flows whose request is
    /// expected.
    pub(super) fn in_progress(&self, now: MonotonicTime) -> u16 {
        let recent_offers = self
            .offers
            .iter()
            .rev()
            .take_while(|offered_at| now.since(**offered_at) < EXPECTED_REQUEST_TIMEOUT)
            .count();
        self.request_count.saturating_add(recent_offers as u16)
    }

    /// Returns the mean of the requests without an answer over the last second, in
    /// sixteenths.
    pub(super) fn mean_sixteenths(&self) -> u16 {
        (self.mean_requests * 16.0) as u16
    }

    /// Returns the smoothed time to the first data of an answer, in microseconds; 0
    /// before the first answer.
    pub(super) fn answer_micros(&self) -> u32 {
        self.answer_micros
    }

    /// Counts a new flow whose request is expected, and whose opening packet was delivered
    /// at `offered_at`.
    pub(super) fn add_offer(&mut self, offered_at: MonotonicTime) {
        let index = self
            .offers
            .partition_point(|earlier| *earlier <= offered_at);
        self.offers.insert(index, offered_at);
        self.pace.record_offer(offered_at);
    }

    /// Stops counting a new flow whose opening packet was delivered at `offered_at`.
    pub(super) fn remove_offer(&mut self, offered_at: MonotonicTime) {
        if let Ok(index) = self.offers.binary_search(&offered_at) {
            self.offers.remove(index);
        }
    }

    /// Counts a request that was delivered at `started_at`.
    pub(super) fn begin_request(&mut self, started_at: MonotonicTime) {
        self.request_count = self.request_count.saturating_add(1);
        self.pace.begin_request(started_at);
    }

    /// Records the answer to a request that was delivered at `started_at`.
    pub(super) fn complete_request(
        &mut self,
        started_at: MonotonicTime,
        slots: u16,
        now: MonotonicTime,
    ) {
        let elapsed = now.since(started_at);
        let change = self
            .pace
            .record_answer(elapsed, self.request_count, slots, now);
        self.record_pace_change(change);
        self.discard_request(started_at);
        self.record_answer_time(elapsed);
    }

    fn record_answer_time(&mut self, answer_time: Duration) {
        let answer_time = answer_time.as_micros().min(u128::from(u32::MAX / 2)) as u32;
        self.answer_micros = match self.answer_micros {
            0 => answer_time.max(1),
            known => {
                known - known / ANSWER_SMOOTHING_DIVISOR + answer_time / ANSWER_SMOOTHING_DIVISOR
            }
        };
    }

    /// Records a request whose flow the server closed instead of answering. The time that
    /// it took is not used: a server that fails at once would seem idle and fast, and
    /// would attract new flows.
    pub(super) fn fail_request(
        &mut self,
        started_at: MonotonicTime,
        slots: u16,
        now: MonotonicTime,
    ) {
        self.give_up_request(started_at, slots, now);
        self.record_answer_time(FAILED_REQUEST_TIME);
    }

    /// Stops counting a request that the server has not answered in time. No answer time is
    /// recorded.
    pub(super) fn give_up_request(
        &mut self,
        started_at: MonotonicTime,
        slots: u16,
        now: MonotonicTime,
    ) {
        let change = self.pace.record_failure(slots, now);
        self.record_pace_change(change);
        self.discard_request(started_at);
    }

    /// Stops counting a request that was delivered at `started_at`, for a reason that says
    /// nothing about the server.
    pub(super) fn discard_request(&mut self, started_at: MonotonicTime) {
        self.request_count = self.request_count.saturating_sub(1);
        self.pace.end_request(started_at);
    }

    /// Resets all counts when the server has ended or was replaced.
    pub(super) fn clear(&mut self) {
        self.request_count = 0;
        self.offers.clear();
        self.answer_micros = 0;
        self.mean_requests = 0.0;
        self.pace.clear();
    }

    /// Updates the mean, drops expired offers and looks for requests that hang.
    pub(super) fn tick(&mut self, slots: u16, now: MonotonicTime) {
        let change = self.pace.check_hanging(slots, now);
        self.record_pace_change(change);
        let elapsed_periods =
            now.since(self.last_tick_at).as_secs_f64() / MEAN_PERIOD.as_secs_f64();
        self.last_tick_at = now;
        self.offers
            .retain(|offered_at| now.since(*offered_at) < EXPECTED_REQUEST_TIMEOUT);
        let weight = elapsed_periods.min(1.0);
        self.mean_requests += (f64::from(self.request_count) - self.mean_requests) * weight;
    }
}
