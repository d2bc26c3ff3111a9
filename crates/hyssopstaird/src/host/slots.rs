//! Slots of the backend server, and the requests that wait for one.

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

/// Shortest time between two looks at the queue.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// A request that waits, and where it hears what became of it.
#[derive(Debug)]
struct SlotWaiter {
    key: RequestKey,
    sender: Sender<SlotDecision>,
}

/// The slots of a host and the channels of the requests that wait.
#[derive(Debug, Default)]
pub struct SlotDesk {
    admission: AdmissionController,
    /// Sorted by key.
    waiters: Vec<SlotWaiter>,
    next_key: u64,
}

impl SlotDesk {
    /// Returns the slots and the queue.
    pub fn admission(&mut self) -> &mut AdmissionController {
        &mut self.admission
    }

    fn next_key(&mut self) -> RequestKey {
        self.next_key += 1;
        RequestKey(self.next_key)
    }

    /// Tells waiting requests what became of them.
    fn dispatch(&mut self, changes: &[QueueDecision], rules: &AdmissionRules, now: MonotonicTime) {
        for change in changes {
            let sent = self
                .take_waiter(change.key)
                .is_some_and(|sender| sender.send(change.decision).is_ok());
            if !sent && change.decision == SlotDecision::Run {
                let more = self.admission.release(SlotOutcome::Unused, rules, now);
                self.dispatch(&more, rules, now);
            }
        }
    }

    fn take_waiter(&mut self, key: RequestKey) -> Option<Sender<SlotDecision>> {
        let found = self.waiters.binary_search_by_key(&key, |waiter| waiter.key);
        Some(self.waiters.remove(found.ok()?).sender)
    }
}

/// Returns what the rules of a service allow on one host.
pub fn admission_rules(service: &ServiceRule) -> AdmissionRules {
    AdmissionRules {
        slots: u32::from(service.slots),
        queue: usize::from(service.queue),
    }
}

/// A slot that is taken; it is given back when this is dropped.
#[derive(Debug)]
pub struct SlotGuard {
    state: Arc<HostState>,
    rules: AdmissionRules,
    start: MonotonicTime,
    ended: bool,
}

impl SlotGuard {
    fn new(state: &Arc<HostState>, rules: &AdmissionRules) -> Self {
        Self {
            state: state.clone(),
            rules: *rules,
            start: state.node.clock.now(),
            ended: false,
        }
    }

    /// Gives the slot back after a whole answer.
    pub fn complete(self) {
        let time = self.elapsed();
        self.end(SlotOutcome::Completed(time));
    }

    /// Gives the slot back after the deadline passed without an answer.
    pub fn time_out(self) {
        let time = self.elapsed();
        self.end(SlotOutcome::TimedOut(time));
    }

    /// Gives the slot back.
    pub fn end(mut self, end: SlotOutcome) {
        self.ended = true;
        self.release(end);
    }

    fn elapsed(&self) -> Duration {
        self.state.node.clock.now().since(self.start)
    }

    fn release(&self, end: SlotOutcome) {
        let now = self.state.node.clock.now();
        let mut desk = lock(&self.state.slots);
        let changes = desk.admission.release(end, &self.rules, now);
        desk.dispatch(&changes, &self.rules, now);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.release(SlotOutcome::Unused);
        }
    }
}

/// A request that waits; it gives up its place when this is dropped.
struct WaitGuard<'a> {
    state: &'a Arc<HostState>,
    rules: &'a AdmissionRules,
    key: RequestKey,
    receiver: Receiver<SlotDecision>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut desk = lock(&self.state.slots);
        desk.take_waiter(self.key);
        desk.admission.cancel(self.key);
        // Decisions are sent under the lock, so that none can come after this.
        if self.receiver.try_recv() == Ok(SlotDecision::Run) {
            let now = self.state.node.clock.now();
            let changes = desk.admission.release(SlotOutcome::Unused, self.rules, now);
            desk.dispatch(&changes, self.rules, now);
        }
    }
}

/// Takes a slot, waiting for one as long as the deadline can be met.
///
/// # Errors
///
/// Returns the time after which the caller may ask again.
pub async fn take_slot(
    state: &Arc<HostState>,
    service: &ServiceRule,
    class: RequestClass,
    deadline: MonotonicTime,
) -> Result<SlotGuard, Duration> {
    let rules = admission_rules(service);
    let (decision, mut wait) = {
        let mut desk = lock(&state.slots);
        let now = state.node.clock.now();
        let request = SlotRequest {
            key: desk.next_key(),
            class,
            deadline,
        };
        let mut changes = Vec::new();
        let decision = desk.admission.admit(request, &rules, now, &mut changes);
        desk.dispatch(&changes, &rules, now);
        let (sender, receiver) = oneshot::channel();
        if decision == SlotDecision::Wait {
            desk.waiters.push(SlotWaiter {
                key: request.key,
                sender,
            });
        }
        let wait = WaitGuard {
            state,
            rules: &rules,
            key: request.key,
            receiver,
        };
        (decision, wait)
    };
    let decision = match decision {
        SlotDecision::Wait => wait_for_admission(wait_for_slot(&mut wait)).await,
        decision => decision,
    };
    match decision {
        SlotDecision::Run => Ok(SlotGuard::new(state, &rules)),
        SlotDecision::Refuse { retry_after } => Err(retry_after),
        SlotDecision::Wait => Err(Duration::ZERO),
    }
}

async fn wait_for_slot(wait: &mut WaitGuard<'_>) -> SlotDecision {
    loop {
        let now = wait.state.node.clock.now();
        let next = {
            let mut desk = lock(&wait.state.slots);
            let changes = desk.admission.advance(wait.rules, now);
            desk.dispatch(&changes, wait.rules, now);
            desk.admission.next_advance_at(now).unwrap_or(now)
        };
        let sleep = next.since(now).max(MIN_SLEEP);
        if let Ok(decision) = tokio::time::timeout(sleep, &mut wait.receiver).await {
            return decision.unwrap_or(SlotDecision::Wait);
        }
    }
}

/// Takes a free slot for a request that another host has handed over.
///
/// # Errors
///
/// Returns the time after which the other host may ask again.
pub fn take_free_slot(
    state: &Arc<HostState>,
    service: &ServiceRule,
    class: RequestClass,
    deadline: MonotonicTime,
) -> Result<SlotGuard, Duration> {
    let rules = admission_rules(service);
    let mut desk = lock(&state.slots);
    let now = state.node.clock.now();
    let request = SlotRequest {
        key: desk.next_key(),
        class,
        deadline,
    };
    match desk.admission.admit_relayed(request, &rules, now) {
        SlotDecision::Run => {
            drop(desk);
            Ok(SlotGuard::new(state, &rules))
        }
        SlotDecision::Refuse { retry_after } => Err(retry_after),
        SlotDecision::Wait => Err(Duration::ZERO),
    }
}

/// Returns the load of a host, in percent of what can run at once.
pub fn load_percent(state: &HostState, service: &ServiceRule) -> u16 {
    let now = state.node.clock.now();
    lock(&state.slots)
        .admission
        .load_percent(&admission_rules(service), now)
}
