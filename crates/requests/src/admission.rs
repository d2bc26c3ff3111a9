//! Admission control for the requests that a host sends to its backend server.
//!
//! A request gets a slot, waits in a short queue, or is refused immediately. The
//! number of slots in use is limited by the rules and by an adaptive concurrency
//! limit. That limit starts at one, grows with completed requests and is reset to
//! one when the backend server sheds, fails or times out. A load report of the
//! backend server can reset the limit but never raises it.

use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

use crate::estimate::ServiceTimeEstimate;
use crate::limit::ConcurrencyLimit;

/// Backoff after the first shed or failed request.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff after consecutive shed or failed requests.
const MAX_BACKOFF: Duration = Duration::from_millis(200);

/// Time without a completed request after which the concurrency limit of an idle
/// host is reset.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Age of the service time estimate from which an idle host no longer refuses an
/// idempotent request because of the estimate alone, but admits it as a probe.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// A load report is ignored if a request has completed within this time before
/// it.
const REPORT_IGNORE_WINDOW: Duration = Duration::from_secs(5);

/// Minimum retry delay that is given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

/// The limits that the rules of a service set for one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRules {
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Maximum number of requests that wait for a slot.
    pub queue: usize,
}

/// Identifies a request within one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKey(pub u64);

/// Whether a request may run more than once; determines its priority in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestClass {
    /// May run more than once; evicted from a full queue first.
    Idempotent,
    /// Must not run twice. Counts double in the goodput and evicts an idempotent
    /// request from a full queue.
    NonIdempotent,
}

/// A request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRequest {
    /// Identifies the request.
    pub key: RequestKey,
    /// The class of the request.
    pub class: RequestClass,
    /// When the caller stops waiting.
    pub deadline: MonotonicTime,
}

/// The decision about a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotDecision {
    /// The request has a slot and may run.
    Run,
    /// The request waits in the queue until a [`QueueDecision`] is made about it.
    Wait,
    /// The request is refused.
    Refuse {
        /// Minimum delay before the caller retries.
        retry_after: Duration,
    },
}

/// The decision about a request that waited in the queue: either
/// [`SlotDecision::Run`] or [`SlotDecision::Refuse`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueDecision {
    /// The request that waited.
    pub key: RequestKey,
    /// The decision about it.
    pub decision: SlotDecision,
}

/// How the request that held a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotOutcome {
    /// The backend server responded after this time.
    Completed(Duration),
    /// The deadline passed without a response, after this time.
    TimedOut(Duration),
    /// The backend server shed the request.
    Shed,
    /// The backend server was unreachable or closed the connection.
    Failed,
    /// The caller cancelled the request, or it was never sent to the backend
    /// server.
    Unused,
}

/// The slots and the request queue of one host.
#[derive(Debug, Default)]
pub struct AdmissionController {
    running_count: u32,
    queue: Vec<SlotRequest>,
    limit: ConcurrencyLimit,
    estimate: ServiceTimeEstimate,
    last_completed_at: Option<MonotonicTime>,
    last_sample_at: MonotonicTime,
    backoff_until: MonotonicTime,
    backoff: Duration,
}

impl AdmissionController {
    /// Decides whether a new request runs, waits or is refused. If this causes queued
    /// requests to be refused, adds the decisions about them to `decisions`.
    pub fn admit(
        &mut self,
        request: SlotRequest,
        rules: &AdmissionRules,
        now: MonotonicTime,
        decisions: &mut Vec<QueueDecision>,
    ) -> SlotDecision {
        self.reset_limit_when_idle(now);
        self.refuse_late(rules, now, decisions);
        if self.needs_probe(&request, now) {
            self.limit = ConcurrencyLimit::default();
            self.estimate = ServiceTimeEstimate::default();
        }
        if self.misses_deadline(&request, self.queue.len(), rules, now) {
            return self.refusal_decision(rules, now);
        }
        if self.queue.is_empty() && self.has_free_slot(rules, now) {
            self.running_count += 1;
            return SlotDecision::Run;
        }
        if self.queue.len() >= rules.queue
            && !self.evict_idempotent(&request, rules, now, decisions)
        {
            return self.refusal_decision(rules, now);
        }
        self.queue.push(request);
        SlotDecision::Wait
    }

    /// Decides whether a request that was refused at another host and relayed runs
    /// or is refused. A relayed request never waits.
    pub fn admit_relayed(
        &mut self,
        request: SlotRequest,
        rules: &AdmissionRules,
        now: MonotonicTime,
    ) -> SlotDecision {
        self.reset_limit_when_idle(now);
        let misses_deadline = self.misses_deadline(&request, 0, rules, now);
        if misses_deadline || !self.queue.is_empty() || !self.has_free_slot(rules, now) {
            return self.refusal_decision(rules, now);
        }
        self.running_count += 1;
        SlotDecision::Run
    }

    /// Releases a slot and returns the decisions about queued requests that follow.
    pub fn release(
        &mut self,
        outcome: SlotOutcome,
        rules: &AdmissionRules,
        now: MonotonicTime,
    ) -> Vec<QueueDecision> {
        self.running_count = self.running_count.saturating_sub(1);
        match outcome {
            SlotOutcome::Completed(time) => {
                self.estimate.record(time);
                self.last_sample_at = now;
                self.last_completed_at = Some(now);
                self.backoff = Duration::ZERO;
                self.limit.increase(rules);
            }
            SlotOutcome::TimedOut(time) => {
                self.estimate.record(time);
                self.last_sample_at = now;
                self.limit = ConcurrencyLimit::default();
            }
            SlotOutcome::Shed | SlotOutcome::Failed => self.back_off(now),
            SlotOutcome::Unused => {}
        }
        self.advance(rules, now)
    }

    /// Removes a queued request that its caller has cancelled.
    pub fn cancel(&mut self, key: RequestKey) {
        self.queue.retain(|request| request.key != key);
    }

    /// Refuses queued requests that can no longer meet their deadline, and starts
    /// queued requests while slots are free. Returns the decisions.
    ///
    /// See [`Self::next_advance_at`] for when to call it.
    pub fn advance(&mut self, rules: &AdmissionRules, now: MonotonicTime) -> Vec<QueueDecision> {
        let mut decisions = Vec::new();
        self.refuse_late(rules, now, &mut decisions);
        while !self.queue.is_empty() && self.has_free_slot(rules, now) {
            let request = self.queue.remove(0);
            self.running_count += 1;
            decisions.push(QueueDecision {
                key: request.key,
                decision: SlotDecision::Run,
            });
        }
        decisions
    }

    /// Returns when [`Self::advance`] must be called next unless another call
    /// comes first, or `None` if no request waits.
    pub fn next_advance_at(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let next_at = self.queue.iter().map(|request| request.deadline).min()?;
        if self.backoff_until > now {
            return Some(next_at.min(self.backoff_until));
        }
        Some(next_at)
    }

    /// Records a load report of the backend server, from 0 (idle) to 1 (full). A
    /// health check is reported as 0 (healthy) or 1 (unhealthy).
    ///
    /// A report of full load resets the concurrency limit unless a recently
    /// completed request contradicts it.
    pub fn record_load_report(&mut self, load: f64, now: MonotonicTime) {
        let is_contradicted = self
            .last_completed_at
            .is_some_and(|completed_at| now.since(completed_at) < REPORT_IGNORE_WINDOW);
        if load >= 1.0 && !is_contradicted {
            self.limit = ConcurrencyLimit::default();
        }
    }

    /// Returns the number of slots in use.
    pub fn running_count(&self) -> u32 {
        self.running_count
    }

    /// Returns the number of queued requests.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of running and queued requests, in percent of the
    /// concurrency limit, or `u16::MAX` while the host backs off.
    pub fn load_percent(&self, rules: &AdmissionRules, now: MonotonicTime) -> u16 {
        if self.backoff_until > now {
            return u16::MAX;
        }
        let request_count = self.running_count as usize + self.queue.len();
        let limit = self.limit.slot_count(rules) as usize;
        u16::try_from(request_count * 100 / limit).unwrap_or(u16::MAX)
    }

    fn has_free_slot(&self, rules: &AdmissionRules, now: MonotonicTime) -> bool {
        now >= self.backoff_until && self.running_count < self.limit.slot_count(rules)
    }

    fn reset_limit_when_idle(&mut self, now: MonotonicTime) {
        let is_idle = self
            .last_completed_at
            .is_some_and(|completed_at| now.since(completed_at) >= IDLE_TIMEOUT);
        if is_idle && self.running_count == 0 {
            self.limit = ConcurrencyLimit::default();
        }
    }

    /// Returns whether `request` should be admitted as a probe: the host is idle,
    /// and only a stale estimate of the service time causes the refusal.
    ///
    /// Without probes, such an estimate would never be updated and the host would
    /// refuse all requests forever. Non-idempotent requests are never used as
    /// probes: a probe may time out, and then it is unknown whether it ran.
    fn needs_probe(&self, request: &SlotRequest, now: MonotonicTime) -> bool {
        let is_idle = self.running_count == 0 && self.queue.is_empty() && now >= self.backoff_until;
        let is_estimate_stale = now.since(self.last_sample_at) >= PROBE_INTERVAL;
        let is_refused = now + self.estimate.upper_bound() >= request.deadline;
        let is_before_deadline = now < request.deadline;
        let is_idempotent = request.class == RequestClass::Idempotent;
        is_idle && is_estimate_stale && is_refused && is_before_deadline && is_idempotent
    }

    fn back_off(&mut self, now: MonotonicTime) {
        self.limit = ConcurrencyLimit::default();
        self.backoff = (self.backoff * 2).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
        self.backoff_until = now + self.backoff;
    }

    /// Returns whether a request with `ahead_count` queued requests ahead of it is
    /// expected to end after its deadline.
    fn misses_deadline(
        &self,
        request: &SlotRequest,
        ahead_count: usize,
        rules: &AdmissionRules,
        now: MonotonicTime,
    ) -> bool {
        let wait = self.expected_wait(ahead_count, rules, now);
        now + wait + self.estimate.upper_bound() >= request.deadline
    }

    /// Returns the expected wait for a slot of a request with `ahead_count` queued
    /// requests ahead of it.
    fn expected_wait(
        &self,
        ahead_count: usize,
        rules: &AdmissionRules,
        now: MonotonicTime,
    ) -> Duration {
        let limit = self.limit.slot_count(rules);
        let backoff = self.backoff_until.since(now);
        let preceding_count = self.running_count as usize + ahead_count;
        let blocking_count = (preceding_count + 1).saturating_sub(limit as usize);
        backoff + self.estimate.mean() * blocking_count as u32 / limit
    }

    fn refusal_decision(&self, rules: &AdmissionRules, now: MonotonicTime) -> SlotDecision {
        let wait = self.expected_wait(self.queue.len(), rules, now);
        SlotDecision::Refuse {
            retry_after: wait.max(MIN_RETRY_AFTER),
        }
    }

    /// Refuses the queued requests that are expected to end after their deadline, and
    /// adds the decisions about them to `decisions`.
    fn refuse_late(
        &mut self,
        rules: &AdmissionRules,
        now: MonotonicTime,
        decisions: &mut Vec<QueueDecision>,
    ) {
        let decision = self.refusal_decision(rules, now);
        let mut index = 0;
        while index < self.queue.len() {
            let request = self.queue[index];
            if !self.misses_deadline_in_queue(&request, index, rules, now) {
                index += 1;
                continue;
            }
            self.queue.remove(index);
            decisions.push(QueueDecision {
                key: request.key,
                decision,
            });
        }
    }

    fn misses_deadline_in_queue(
        &self,
        request: &SlotRequest,
        index: usize,
        rules: &AdmissionRules,
        now: MonotonicTime,
    ) -> bool {
        // Running requests are partly done, so only full rounds of queued requests
        // ahead of this one add to the expected wait.
        let round_count = index as u32 / self.limit.slot_count(rules);
        let wait = self.backoff_until.since(now) + self.estimate.mean() * round_count;
        now + wait + self.estimate.upper_bound() >= request.deadline
    }

    /// Refuses the last idempotent request in the queue to make space for a
    /// non-idempotent `request`. Returns whether a request was refused.
    fn evict_idempotent(
        &mut self,
        request: &SlotRequest,
        rules: &AdmissionRules,
        now: MonotonicTime,
        decisions: &mut Vec<QueueDecision>,
    ) -> bool {
        if request.class != RequestClass::NonIdempotent {
            return false;
        }
        let found = self
            .queue
            .iter()
            .rposition(|other| other.class == RequestClass::Idempotent);
        let Some(index) = found else {
            return false;
        };
        let decision = self.refusal_decision(rules, now);
        let other = self.queue.remove(index);
        decisions.push(QueueDecision {
            key: other.key,
            decision,
        });
        true
    }
}
