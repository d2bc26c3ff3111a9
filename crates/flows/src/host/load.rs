//! Measures how busy the server is, from the packets that pass.

use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

/// Part of a new answer time in the smoothed one, as a divisor.
const ANSWER_SMOOTHING: u32 = 8;

/// Time over which the mean of requests in progress is taken.
const MEAN_PERIOD: Duration = Duration::from_secs(1);

/// Time for which a flow that was offered to the server counts as a request to
/// come: a round trip to the caller takes 6 ms, and a busy machine some more. A
/// caller that has not asked by then has left.
const OFFER_COUNTED: Duration = Duration::from_millis(50);

/// Time that a failed request counts as: what its caller loses by another try.
const FAILED_ANSWER: Duration = Duration::from_millis(200);

/// The requests of one server.
#[derive(Debug)]
pub(super) struct LoadMeter {
    requests: u16,
    /// When flows were offered that have not asked yet, in order.
    offers: Vec<MonotonicTime>,
    answer_micros: u32,
    mean: f64,
    measured: MonotonicTime,
}

impl LoadMeter {
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            requests: 0,
            offers: Vec::new(),
            answer_micros: 0,
            mean: 0.0,
            measured: now,
        }
    }

    /// Requests that wait for an answer, and flows that will soon ask.
    pub(super) fn in_progress(&self, now: MonotonicTime) -> u16 {
        let recent = self
            .offers
            .iter()
            .rev()
            .take_while(|offered| now.since(**offered) < OFFER_COUNTED)
            .count();
        self.requests.saturating_add(recent as u16)
    }

    /// The mean over the last second, in sixteenths.
    pub(super) fn mean_sixteenths(&self) -> u16 {
        (self.mean * 16.0) as u16
    }

    /// The smoothed time to the first data of an answer; 0 before the first.
    pub(super) fn answer_micros(&self) -> u32 {
        self.answer_micros
    }

    pub(super) fn begin_offer(&mut self, now: MonotonicTime) {
        self.offers.push(now);
    }

    pub(super) fn end_offer(&mut self, offered: MonotonicTime) {
        if let Ok(index) = self.offers.binary_search(&offered) {
            self.offers.remove(index);
        }
    }

    pub(super) fn begin_request(&mut self) {
        self.requests = self.requests.saturating_add(1);
    }

    pub(super) fn end_request(&mut self, took: Duration) {
        self.drop_request();
        let took = took.as_micros().min(u128::from(u32::MAX / 2)) as u32;
        self.answer_micros = match self.answer_micros {
            0 => took.max(1),
            known => known - known / ANSWER_SMOOTHING + took / ANSWER_SMOOTHING,
        };
    }

    /// Notes a request whose flow the server has closed instead of answering. One
    /// that fails at once would seem idle and fast, and draw new flows.
    pub(super) fn fail_request(&mut self) {
        self.end_request(FAILED_ANSWER);
    }

    pub(super) fn drop_request(&mut self) {
        self.requests = self.requests.saturating_sub(1);
    }

    pub(super) fn clear(&mut self) {
        self.requests = 0;
        self.offers.clear();
        self.answer_micros = 0;
        self.mean = 0.0;
    }

    pub(super) fn tick(&mut self, now: MonotonicTime) {
        let passed = now.since(self.measured).as_secs_f64() / MEAN_PERIOD.as_secs_f64();
        self.measured = now;
        self.offers
            .retain(|offered| now.since(*offered) < OFFER_COUNTED);
        let share = passed.min(1.0);
        self.mean += (f64::from(self.requests) - self.mean) * share;
    }
}
