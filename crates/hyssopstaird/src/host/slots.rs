//! Slots of the backend server, and the queue of requests that wait for one.
//!
//! [`AdmissionController`] decides which requests run, wait or are refused. This module passes
//! its decisions to the tasks of the requests and releases slots when they end.

use std::sync::Arc;
use std::time::Duration;

use hyssopstair_requests::admission::AdmissionController;
use hyssopstair_requests::admission::AdmissionRules;
use hyssopstair_requests::admission::QueueDecision;
use hyssopstair_requests::admission::RequestClass;
use hyssopstair_requests::admission::RequestKey;
use hyssopstair_requests::admission::SlotDecision;
use hyssopstair_requests::admission::SlotOutcome;
use hyssopstair_requests::admission::SlotRequest;
use hyssopstair_rules::service_rule::ServiceRule;
use hyssopstair_telemetry::requests::wait_for_admission;
use hyssopstair_wire::time::MonotonicTime;
use tokio::sync::oneshot;
use tokio::sync::oneshot::Receiver;
use tokio::sync::oneshot::Sender;

use crate::control::node::lock;
use crate::host::state::HostState;

/// Minimum time between two advances of the queue by a waiting request.
const MIN_ADVANCE_INTERVAL: Duration = Duration::from_millis(1);

/// A waiting request and the channel over which it receives its decision.
#[derive(Debug)]
struct SlotWaiter {
    key: RequestKey,
    sender: Sender<SlotDecision>,
}

/// The slots of a host, and the waiting requests.
#[derive(Debug, Default)]
pub struct SlotScheduler {
    admission: AdmissionController,
    /// The waiting requests, sorted by key.
    waiters: Vec<SlotWaiter>,
    last_key: u64,
}

impl SlotScheduler {
    /// Returns the state of the slots and the queue.
    pub fn admission(&mut self) -> &mut AdmissionController {
        &mut self.admission
    }

    /// Returns a new key for a request.
    fn allocate_key(&mut self) -> RequestKey {
        self.last_key += 1;
        RequestKey(self.last_key)
    }

    /// Sends decisions to waiting requests. The slot of a request that no longer waits is
    /// released again.
    fn send_decisions(
        &mut self,
        decisions: &[QueueDecision],
        rules: &AdmissionRules,
        now: MonotonicTime,
    ) {
        for queued in decisions {
            let is_sent = self
                .remove_waiter(queued.key)
                .is_some_and(|sender| sender.send(queued.decision).is_ok());
            if !is_sent && queued.decision == SlotDecision::Run {
                let follow_up_decisions = self.admission.release(SlotOutcome::Unused, rules, now);
                self.send_decisions(&follow_up_decisions, rules, now);
            }
        }
    }

    /// Removes a waiting request and returns the sender of its channel.
    fn remove_waiter(&mut self, key: RequestKey) -> Option<Sender<SlotDecision>> {
        let position = self.waiters.binary_search_by_key(&key, |waiter| waiter.key);
        Some(self.waiters.remove(position.ok()?).sender)
    }
}

/// Returns the limits that the rules of a service set for one host.
pub fn admission_rules(service: &ServiceRule) -> AdmissionRules {
    AdmissionRules {
        slots: u32::from(service.slots),
        queue: usize::from(service.queue),
    }
}

/// An acquired slot. If it is dropped, the slot is released as unused.
#[derive(Debug)]
pub struct SlotGuard {
    state: Arc<HostState>,
    rules: AdmissionRules,
    acquired_at: MonotonicTime,
    is_released: bool,
}

impl SlotGuard {
    fn new(state: &Arc<HostState>, rules: &AdmissionRules) -> Self {
        Self {
            state: state.clone(),
            rules: *rules,
            acquired_at: state.node.clock.now(),
            is_released: false,
        }
    }

    /// Releases the slot after a complete response.
    pub fn complete(self) {
        let elapsed = self.elapsed();
        self.release(SlotOutcome::Completed(elapsed));
    }

    /// Releases the slot after the deadline has passed without a response.
    pub fn time_out(self) {
        let elapsed = self.elapsed();
        self.release(SlotOutcome::TimedOut(elapsed));
    }

    /// Releases the slot of a request that ended with `outcome`.
    pub fn release(mut self, outcome: SlotOutcome) {
        self.is_released = true;
        self.release_slot(outcome);
    }

    /// Returns the time since the slot was acquired.
    fn elapsed(&self) -> Duration {
        self.state.node.clock.now().since(self.acquired_at)
    }

    fn release_slot(&self, outcome: SlotOutcome) {
        let now = self.state.node.clock.now();
        let mut scheduler = lock(&self.state.scheduler);
        let decisions = scheduler.admission.release(outcome, &self.rules, now);
        scheduler.send_decisions(&decisions, &self.rules, now);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !self.is_released {
            self.release_slot(SlotOutcome::Unused);
        }
    }
}

/// A waiting request. If it is dropped, the request leaves the queue.
struct WaitGuard<'a> {
    state: &'a Arc<HostState>,
    rules: &'a AdmissionRules,
    key: RequestKey,
    receiver: Receiver<SlotDecision>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut scheduler = lock(&self.state.scheduler);
        scheduler.remove_waiter(self.key);
        scheduler.admission.cancel(self.key);
        // Decisions are sent while the lock is held, so none can arrive after this check.
        if self.receiver.try_recv() == Ok(SlotDecision::Run) {
            let now = self.state.node.clock.now();
            let decisions = scheduler
                .admission
                .release(SlotOutcome::Unused, self.rules, now);
            scheduler.send_decisions(&decisions, self.rules, now);
        }
    }
}

/// Acquires a slot, waiting for one as long as the request is expected to meet its
/// deadline.
///
/// # Errors
///
/// If the request is refused, returns the time after which the caller may retry it.
pub async fn acquire_slot(
    state: &Arc<HostState>,
    service: &ServiceRule,
    class: RequestClass,
    deadline: MonotonicTime,
) -> Result<SlotGuard, Duration> {
    let rules = admission_rules(service);
    let (decision, mut guard) = {
        let mut scheduler = lock(&state.scheduler);
        let now = state.node.clock.now();
        let request = SlotRequest {
            key: scheduler.allocate_key(),
            class,
            deadline,
        };
        let mut decisions = Vec::new();
        let decision = scheduler
            .admission
            .admit(request, &rules, now, &mut decisions);
        scheduler.send_decisions(&decisions, &rules, now);
        let (sender, receiver) = oneshot::channel();
        if decision == SlotDecision::Wait {
            scheduler.waiters.push(SlotWaiter {
                key: request.key,
                sender,
            });
        }
        let guard = WaitGuard {
            state,
            rules: &rules,
            key: request.key,
            receiver,
        };
        (decision, guard)
    };
    let decision = match decision {
        SlotDecision::Wait => wait_for_admission(wait_for_decision(&mut guard)).await,
        decision => decision,
    };
    match decision {
        SlotDecision::Run => Ok(SlotGuard::new(state, &rules)),
        SlotDecision::Refuse { retry_after } => Err(retry_after),
        SlotDecision::Wait => Err(Duration::ZERO),
    }
}

/// Waits until the request receives a decision, and advances the queue whenever that is
/// due. Returns [`SlotDecision::Wait`] if the channel was closed without a decision.
async fn wait_for_decision(guard: &mut WaitGuard<'_>) -> SlotDecision {
    loop {
        let now = guard.state.node.clock.now();
        let next_advance_at = {
            let mut scheduler = lock(&guard.state.scheduler);
            let decisions = scheduler.admission.advance(guard.rules, now);
            scheduler.send_decisions(&decisions, guard.rules, now);
            scheduler.admission.next_advance_at(now).unwrap_or(now)
        };
        let timeout = next_advance_at.since(now).max(MIN_ADVANCE_INTERVAL);
        if let Ok(decision) = tokio::time::timeout(timeout, &mut guard.receiver).await {
            return decision.unwrap_or(SlotDecision::Wait);
        }
    }
}

/// Acquires a slot for a request that another host has relayed, without waiting.
///
/// # Errors
///
/// If no slot is free, other requests are waiting or the request is not expected to meet its
/// deadline, returns the time after which the other host may retry it.
pub fn try_acquire_slot(
    state: &Arc<HostState>,
    service: &ServiceRule,
    class: RequestClass,
    deadline: MonotonicTime,
) -> Result<SlotGuard, Duration> {
    let rules = admission_rules(service);
    let mut scheduler = lock(&state.scheduler);
    let now = state.node.clock.now();
    let request = SlotRequest {
        key: scheduler.allocate_key(),
        class,
        deadline,
    };
    match scheduler.admission.admit_relayed(request, &rules, now) {
        SlotDecision::Run => {
            drop(scheduler);
            Ok(SlotGuard::new(state, &rules))
        }
        SlotDecision::Refuse { retry_after } => Err(retry_after),
        SlotDecision::Wait => Err(Duration::ZERO),
    }
}

/// Returns the running and waiting requests of the host, in percent of the requests that
/// can run concurrently, or `u16::MAX` while the host backs off.
pub fn load_percent(state: &HostState, service: &ServiceRule) -> u16 {
    let now = state.node.clock.now();
    lock(&state.scheduler)
        .admission
        .load_percent(&admission_rules(service), now)
}
