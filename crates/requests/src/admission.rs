//! Which requests a host hands to its backend server, and when.
//!
//! A request takes a slot, waits in a short queue, or is refused at once. The
//! number of slots in use is bounded by the rules and by a working limit, which
//! starts at one, grows with completed requests and falls when the backend
//! server sheds. What the backend server reports about itself can only send the
//! limit back to one; completed requests raise it again.

use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

use crate::estimate::ServiceEstimate;
use crate::limit::WorkingLimit;

/// First pause after a shed answer.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause after a row of shed answers.
const MAX_PAUSE: Duration = Duration::from_millis(200);

/// A host without a completed request for this long starts anew.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// A host whose estimate has refused all work for this long tries a request.
const TRIAL_TIME: Duration = Duration::from_secs(1);

/// Completed requests of this age outweigh a report of the backend server.
const REPORT_DOUBT: Duration = Duration::from_secs(5);

/// Shortest time after which a refused caller may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

/// What the rules allow on one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRules {
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that wait for a slot.
    pub queue: usize,
}

/// Tells the requests of one host apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKey(pub u64);

/// How much a request counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestClass {
    /// May be run again; counts once.
    Idempotent,
    /// Must not be run twice; counts double.
    NonIdempotent,
}

/// A request that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRequest {
    /// Its name.
    pub key: RequestKey,
    /// How much it counts.
    pub class: RequestClass,
    /// When its caller stops waiting.
    pub deadline: MonotonicTime,
}

/// What becomes of a request that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotDecision {
    /// It has a slot.
    Run,
    /// It waits; a [`QueueDecision`] ends the wait.
    Wait,
    /// It is refused.
    Refuse {
        /// When the caller may ask again.
        retry_after: Duration,
    },
}

/// The end of a wait: the decision is [`SlotDecision::Run`] or
/// [`SlotDecision::Refuse`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueDecision {
    /// The request that waited.
    pub key: RequestKey,
    /// What becomes of it.
    pub decision: SlotDecision,
}

/// How the use of a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotOutcome {
    /// With an answer, after this time.
    Completed(Duration),
    /// Without an answer before the deadline, after this time.
    TimedOut(Duration),
    /// The backend server shed the request.
    Shed,
    /// The backend server could not be reached or broke off.
    Failed,
    /// The caller cancelled it, or it was never handed over.
    Unused,
}

/// The slots and the queue of one host.
#[derive(Debug, Default)]
pub struct AdmissionController {
    running: u32,
    waiting: Vec<SlotRequest>,
    limit: WorkingLimit,
    estimate: ServiceEstimate,
    last_completion: Option<MonotonicTime>,
    last_sample: MonotonicTime,
    paused_until: MonotonicTime,
    pause: Duration,
}

impl AdmissionController {
    /// Decides about a request that arrives. Requests that must make way are
    /// added to `changes`.
    pub fn admit(
        &mut self,
        request: SlotRequest,
        rules: &AdmissionRules,
        now: MonotonicTime,
        changes: &mut Vec<QueueDecision>,
    ) -> SlotDecision {
        self.restart_when_idle(now);
        self.drop_late(rules, now, changes);
        if self.needs_trial(&request, now) {
            self.limit = WorkingLimit::default();
            self.estimate = ServiceEstimate::default();
        }
        if self.misses_deadline(&request, self.waiting.len(), rules, now) {
            return self.refusal(rules, now);
        }
        if self.waiting.is_empty() && self.has_free_slot(rules, now) {
            self.running += 1;
            return SlotDecision::Run;
        }
        if self.waiting.len() >= rules.queue && !self.make_way(&request, rules, now, changes) {
            return self.refusal(rules, now);
        }
        self.waiting.push(request);
        SlotDecision::Wait
    }

    /// Decides about a request that was refused at another host: it takes a
    /// free slot or is refused, and never waits.
    pub fn admit_relayed(
        &mut self,
        request: SlotRequest,
        rules: &AdmissionRules,
        now: MonotonicTime,
    ) -> SlotDecision {
        self.restart_when_idle(now);
        let is_late = self.misses_deadline(&request, 0, rules, now);
        if is_late || !self.waiting.is_empty() || !self.has_free_slot(rules, now) {
            return self.refusal(rules, now);
        }
        self.running += 1;
        SlotDecision::Run
    }

    /// Takes back a slot and returns what becomes of waiting requests.
    pub fn release(
        &mut self,
        end: SlotOutcome,
        rules: &AdmissionRules,
        now: MonotonicTime,
    ) -> Vec<QueueDecision> {
        self.running = self.running.saturating_sub(1);
        match end {
            SlotOutcome::Completed(time) => {
                self.estimate.record(time);
                self.last_sample = now;
                self.last_completion = Some(now);
                self.pause = Duration::ZERO;
                self.limit.grow(rules);
            }
            SlotOutcome::TimedOut(time) => {
                self.estimate.record(time);
                self.last_sample = now;
                self.limit = WorkingLimit::default();
            }
            SlotOutcome::Shed | SlotOutcome::Failed => self.back_off(now),
            SlotOutcome::Unused => {}
        }
        self.advance(rules, now)
    }

    /// Forgets a waiting request whose caller has cancelled it.
    pub fn cancel(&mut self, key: RequestKey) {
        self.waiting.retain(|request| request.key != key);
    }

    /// Does what is due at `now`; see [`Self::next_advance_at`].
    pub fn advance(&mut self, rules: &AdmissionRules, now: MonotonicTime) -> Vec<QueueDecision> {
        let mut changes = Vec::new();
        self.drop_late(rules, now, &mut changes);
        while !self.waiting.is_empty() && self.has_free_slot(rules, now) {
            let request = self.waiting.remove(0);
            self.running += 1;
            changes.push(QueueDecision {
                key: request.key,
                decision: SlotDecision::Run,
            });
        }
        changes
    }

    /// Returns when [`Self::advance`] has something to do, if nothing else
    /// happens before.
    pub fn next_advance_at(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let earliest = self.waiting.iter().map(|request| request.deadline).min()?;
        if self.paused_until > now {
            return Some(earliest.min(self.paused_until));
        }
        Some(earliest)
    }

    /// Takes in what the backend server says of its own load, from 0 to 1, or
    /// of its health as 0 or 1.
    pub fn record_load_report(&mut self, load: f64, now: MonotonicTime) {
        let is_doubted = self
            .last_completion
            .is_some_and(|completion| now.since(completion) < REPORT_DOUBT);
        if load >= 1.0 && !is_doubted {
            self.limit = WorkingLimit::default();
        }
    }

    /// Returns the number of slots that are taken.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the work that is accepted, in percent of what can run at once.
    pub fn load_percent(&self, rules: &AdmissionRules, now: MonotonicTime) -> u16 {
        if self.paused_until > now {
            return u16::MAX;
        }
        let work = self.running as usize + self.waiting.len();
        let limit = self.limit.whole(rules) as usize;
        u16::try_from(work * 100 / limit).unwrap_or(u16::MAX)
    }

    fn has_free_slot(&self, rules: &AdmissionRules, now: MonotonicTime) -> bool {
        now >= self.paused_until && self.running < self.limit.whole(rules)
    }

    fn restart_when_idle(&mut self, now: MonotonicTime) {
        let is_idle = self
            .last_completion
            .is_some_and(|completion| now.since(completion) >= IDLE_TIME);
        if is_idle && self.running == 0 {
            self.limit = WorkingLimit::default();
        }
    }

    /// Returns whether an idle host refuses `request` only by an estimate that
    /// nothing has renewed for some time. Without a trial, such an estimate
    /// would refuse all work for ever. A request that must not be run twice is
    /// not put at risk.
    fn needs_trial(&self, request: &SlotRequest, now: MonotonicTime) -> bool {
        let is_idle = self.running == 0 && self.waiting.is_empty() && now >= self.paused_until;
        let is_old = now.since(self.last_sample) >= TRIAL_TIME;
        let is_refused = now + self.estimate.cautious() >= request.deadline;
        let is_alive = now < request.deadline;
        let may_be_late = request.class == RequestClass::Idempotent;
        is_idle && is_old && is_refused && is_alive && may_be_late
    }

    fn back_off(&mut self, now: MonotonicTime) {
        self.limit = WorkingLimit::default();
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        self.paused_until = now + self.pause;
    }

    /// Returns whether a request with `ahead` others before it in the queue
    /// would end after its deadline.
    fn misses_deadline(
        &self,
        request: &SlotRequest,
        ahead: usize,
        rules: &AdmissionRules,
        now: MonotonicTime,
    ) -> bool {
        let wait = self.expected_wait(ahead, rules, now);
        now + wait + self.estimate.cautious() >= request.deadline
    }

    /// Returns the time after which a request that has `ahead` others before
    /// it in the queue may expect a slot.
    fn expected_wait(&self, ahead: usize, rules: &AdmissionRules, now: MonotonicTime) -> Duration {
        let limit = self.limit.whole(rules);
        let pause = self.paused_until.since(now);
        let before = self.running as usize + ahead;
        let rounds = (before + 1).saturating_sub(limit as usize);
        pause + self.estimate.mean() * rounds as u32 / limit
    }

    fn refusal(&self, rules: &AdmissionRules, now: MonotonicTime) -> SlotDecision {
        let wait = self.expected_wait(self.waiting.len(), rules, now);
        SlotDecision::Refuse {
            retry_after: wait.max(MIN_RETRY_AFTER),
        }
    }

    fn drop_late(
        &mut self,
        rules: &AdmissionRules,
        now: MonotonicTime,
        changes: &mut Vec<QueueDecision>,
    ) {
        let decision = self.refusal(rules, now);
        let mut index = 0;
        while index < self.waiting.len() {
            let request = self.waiting[index];
            if !self.misses_deadline_in_queue(&request, index, rules, now) {
                index += 1;
                continue;
            }
            self.waiting.remove(index);
            changes.push(QueueDecision {
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
        // Running requests have used a part of their time, so that only whole
        // rounds of others in the queue are counted here.
        let rounds = index as u32 / self.limit.whole(rules);
        let wait = self.paused_until.since(now) + self.estimate.mean() * rounds;
        now + wait + self.estimate.cautious() >= request.deadline
    }

    /// Refuses a waiting request that counts less than `request`, and returns
    /// whether there was one.
    fn make_way(
        &mut self,
        request: &SlotRequest,
        rules: &AdmissionRules,
        now: MonotonicTime,
        changes: &mut Vec<QueueDecision>,
    ) -> bool {
        if request.class != RequestClass::NonIdempotent {
            return false;
        }
        let lesser = self
            .waiting
            .iter()
            .rposition(|other| other.class == RequestClass::Idempotent);
        let Some(index) = lesser else {
            return false;
        };
        let decision = self.refusal(rules, now);
        let other = self.waiting.remove(index);
        changes.push(QueueDecision {
            key: other.key,
            decision,
        });
        true
    }
}
