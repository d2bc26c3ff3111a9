//! Sends the requests of one group over its flows.

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
use crate::ops::load::requests::ask_one;
use crate::ops::load::tally::LoadTally;
use crate::ops::load::workload::RequestLoad;
use crate::ops::load::workload::ServiceLoad;

/// Time between two looks at whether a flow has ended.
const FLOW_LOOK: Duration = Duration::from_millis(100);

/// What all groups of a load share.
#[derive(Debug, Clone)]
pub struct LoadRun {
    /// Opens flows.
    pub connector: CallerConnector,
    /// Counts what comes of it.
    pub tally: Arc<LoadTally>,
    /// When the load starts.
    pub start: Instant,
    /// How long it lasts.
    pub time: Duration,
    /// Time until the full rates are reached, in seconds.
    pub ramp_seconds: f64,
    /// Share of the requests that carry a sampled trace context.
    pub traced: f64,
    /// Tells the requests of this load from those of an earlier one.
    pub name: String,
}

/// A place for a flow, which is opened again when it ends.
type FlowPlace = Arc<Mutex<Option<TicketFlow>>>;

/// Sends the requests of one group.
pub async fn run_group(run: LoadRun, service: ServiceLoad, group: RequestLoad, seed: u64) {
    let places: Vec<FlowPlace> = (0..group.flows).map(|_| FlowPlace::default()).collect();
    let openings = places
        .iter()
        .map(|place| open_flow(&run, &service, place.clone()));
    futures::future::join_all(openings).await;
    let keepers: Vec<_> = places
        .iter()
        .map(|place| {
            tokio::spawn(keep_flow(
                run.clone(),
                service.clone(),
                group.clone(),
                place.clone(),
            ))
        })
        .collect();
    let tasks = send_requests(&run, &group, &places, seed).await;
    for task in tasks {
        let _ = task.await;
    }
    for keeper in keepers {
        keeper.abort();
    }
}

async fn send_requests(
    run: &LoadRun,
    group: &RequestLoad,
    places: &[FlowPlace],
    seed: u64,
) -> Vec<tokio::task::JoinHandle<()>> {
    let mut process = ArrivalProcess::new(seed, group.rate, run.ramp_seconds);
    let mut random = StdRng::seed_from_u64(seed.wrapping_add(1));
    let mut tasks = Vec::new();
    for number in 0.. {
        let arrival = process.draw();
        if arrival >= run.time {
            break;
        }
        let due = run.start + arrival;
        tokio::time::sleep_until(due.into()).await;
        let is_traced = random.random_bool(run.traced);
        let trace = is_traced.then(|| trace_header(&mut random));
        let plan = RequestPlan {
            group: group.clone(),
            name: format!("{number}-{}-{seed:x}", run.name),
            due,
            trace,
        };
        let flow = flow_at(places, number);
        let other = flow_at(places, number + 1);
        match flow.or_else(|| other.clone()) {
            Some(flow) => {
                let other = other.unwrap_or_else(|| flow.clone());
                tasks.push(tokio::spawn(ask_one(flow, other, plan, run.tally.clone())));
            }
            None => run.tally.unsent(due, "no flow is open"),
        }
    }
    tasks
}

fn flow_at(places: &[FlowPlace], number: usize) -> Option<TicketFlow> {
    lock(&places[number % places.len()]).clone()
}

async fn open_flow(run: &LoadRun, service: &ServiceLoad, place: FlowPlace) {
    match run.connector.connect(&service.name, service.address).await {
        Ok(flow) => {
            run.tally.flow_opened();
            *lock(&place) = Some(TicketFlow::new(flow));
        }
        Err(error) => run.tally.flow_refused(&error),
    }
}

/// Opens a flow again when it has broken, or when its time is over.
async fn keep_flow(run: LoadRun, service: ServiceLoad, group: RequestLoad, place: FlowPlace) {
    let life = group.reconnect_seconds.map(Duration::from_secs_f64);
    let mut opened = Instant::now();
    loop {
        tokio::time::sleep(FLOW_LOOK).await;
        let broken = lock(&place).as_ref().and_then(TicketFlow::end_reason);
        let is_leaving = lock(&place).as_ref().is_some_and(TicketFlow::is_leaving);
        let is_over = is_leaving || life.is_some_and(|life| opened.elapsed() >= life);
        if let Some(reason) = broken {
            run.tally.flow_broken("flow", &reason);
            *lock(&place) = None;
        } else if !is_over && lock(&place).is_some() {
            continue;
        }
        open_flow(&run, &service, place.clone()).await;
        opened = Instant::now();
    }
}

/// Returns a W3C trace context that is sampled.
fn trace_header(random: &mut StdRng) -> String {
    let trace: u128 = random.random_range(1..u128::MAX);
    let span: u64 = random.random_range(1..u64::MAX);
    format!("00-{trace:032x}-{span:016x}-01")
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
