//! Sends the requests of a group in turn over its flows, and reopens flows that end.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::ops::load::arrivals::ArrivalProcess;
use crate::ops::load::caller::CallerConnector;
use crate::ops::load::requests::RequestPlan;
use crate::ops::load::requests::TicketFlow;
use crate::ops::load::requests::run_request;
use crate::ops::load::tally::LoadTally;
use crate::ops::load::workload::RequestLoad;
use crate::ops::load::workload::ServiceLoad;

/// Interval between two checks of whether a flow has ended.
const FLOW_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Data that all tasks of a load share.
#[derive(Debug, Clone)]
pub struct LoadContext {
    /// Opens flows.
    pub connector: CallerConnector,
    /// Records the outcomes of requests and flows.
    pub tally: Arc<LoadTally>,
    /// The start of the load.
    pub start: Instant,
    /// The duration of the load.
    pub duration: Duration,
    /// Time during which the rates increase linearly from 0, in seconds.
    pub ramp_seconds: f64,
    /// Share of the requests that carry a sampled trace context, from 0 to 1.
    pub traced_share: f64,
    /// Random part of the names of requests and feeds, which distinguishes them from
    /// those of earlier loads in the reports of the backend servers.
    pub run_id: String,
}

/// Holds a flow of a group, or `None` while it is not open.
type FlowSlot = Arc<Mutex<Option<TicketFlow>>>;

/// Opens the flows of a group, sends its requests, and waits for all outcomes.
pub async fn run_group(context: LoadContext, service: ServiceLoad, group: RequestLoad, seed: u64) {
    let slots: Vec<FlowSlot> = (0..group.flows).map(|_| FlowSlot::default()).collect();
    let pending_flows = slots
        .iter()
        .map(|slot| open_flow(&context, &service, slot.clone()));
    futures::future::join_all(pending_flows).await;
    let maintainers: Vec<_> = slots
        .iter()
        .map(|slot| {
            tokio::spawn(maintain_flow(
                context.clone(),
                service.clone(),
                group.clone(),
                slot.clone(),
            ))
        })
        .collect();
    let tasks = send_requests(&context, &group, &slots, seed).await;
    for task in tasks {
        let _ = task.await;
    }
    for maintainer in maintainers {
        maintainer.abort();
    }
}

/// Sends the requests of a group when they are due, each in a task of its own.
/// Returns the tasks.
async fn send_requests(
    context: &LoadContext,
    group: &RequestLoad,
    slots: &[FlowSlot],
    seed: u64,
) -> Vec<tokio::task::JoinHandle<()>> {
    let mut process = ArrivalProcess::new(seed, group.rate, context.ramp_seconds);
    let mut rng = StdRng::seed_from_u64(seed.wrapping_add(1));
    let mut tasks = Vec::new();
    for number in 0.. {
        let arrival = process.next_arrival();
        if arrival >= context.duration {
            break;
        }
        let due = context.start + arrival;
        tokio::time::sleep_until(due.into()).await;
        let is_traced = rng.random_bool(context.traced_share);
        let trace = is_traced.then(|| sampled_trace_context(&mut rng));
        let plan = RequestPlan {
            group: group.clone(),
            name: format!("{number}-{}-{seed:x}", context.run_id),
            due,
            trace,
        };
        let flow = get_flow(slots, number);
        let fallback = get_flow(slots, number + 1);
        match flow.or_else(|| fallback.clone()) {
            Some(flow) => {
                let fallback = fallback.unwrap_or_else(|| flow.clone());
                tasks.push(tokio::spawn(run_request(
                    flow,
                    fallback,
                    plan,
                    context.tally.clone(),
                )));
            }
            None => context.tally.record_unsent(due, "no flow is open"),
        }
    }
    tasks
}

/// Returns the flow for the request with this number, or `None` if it is not open. The
/// requests of a group use its flows in turn.
fn get_flow(slots: &[FlowSlot], number: usize) -> Option<TicketFlow> {
    lock(&slots[number % slots.len()]).clone()
}

async fn open_flow(context: &LoadContext, service: &ServiceLoad, slot: FlowSlot) {
    match context
        .connector
        .connect(&service.name, service.address)
        .await
    {
        Ok(flow) => {
            context.tally.record_flow_opened();
            *lock(&slot) = Some(TicketFlow::new(flow));
        }
        Err(error) => context.tally.record_flow_refused(&error),
    }
}

/// Replaces the flow of a slot whenever it breaks, the service drains it, or it
/// reaches the age at which the workload replaces it.
async fn maintain_flow(
    context: LoadContext,
    service: ServiceLoad,
    group: RequestLoad,
    slot: FlowSlot,
) {
    let max_age = group.reconnect_seconds.map(Duration::from_secs_f64);
    let mut opened_at = Instant::now();
    loop {
        tokio::time::sleep(FLOW_CHECK_INTERVAL).await;
        let failure = lock(&slot).as_ref().and_then(TicketFlow::failure_reason);
        let is_draining = lock(&slot).as_ref().is_some_and(TicketFlow::is_draining);
        let needs_replacement =
            is_draining || max_age.is_some_and(|max_age| opened_at.elapsed() >= max_age);
        if let Some(reason) = failure {
            context.tally.record_flow_broken("flow", &reason);
            *lock(&slot) = None;
        } else if !needs_replacement && lock(&slot).is_some() {
            continue;
        }
        open_flow(&context, &service, slot.clone()).await;
        opened_at = Instant::now();
    }
}

/// Returns a random W3C trace context whose sampled flag is set.
fn sampled_trace_context(rng: &mut StdRng) -> String {
    let trace: u128 = rng.random_range(1..u128::MAX);
    let span: u64 = rng.random_range(1..u64::MAX);
    format!("00-{trace:032x}-{span:016x}-01")
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
