//! Asks requests at a fixed rate.
//!
//! A request that changes something carries a ticket. Tickets come with
//! answers, belong to the flow that they came on, and are used once; after a
//! lost answer the same ticket is shown again on another flow.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::StatusCode;

use crate::ops::load::caller::CallerError;
use crate::ops::load::caller::CallerFlow;
use crate::ops::load::caller::CallerPool;
use crate::ops::load::caller::WholeAnswer;
use crate::ops::load::report::LoadTally;
use crate::ops::load::workload::RequestLoad;
use crate::ops::load::workload::ServiceLoad;

/// Body of a request that changes something.
const BODY: &[u8] = b"one registration";

/// Response header that carries a ticket.
const TICKET_HEADER: &str = "hyssopstair-ticket";

/// Tries of one request, the first one included.
const MAX_TRIES: usize = 4;

/// A flow and the tickets that came on it.
#[derive(Clone)]
struct TicketFlow {
    flow: CallerFlow,
    tickets: Arc<Mutex<Vec<String>>>,
}

impl TicketFlow {
    fn new(flow: CallerFlow) -> Self {
        Self {
            flow,
            tickets: Arc::default(),
        }
    }

    /// Returns a ticket, or an empty text when there is none yet.
    fn take_ticket(&self) -> String {
        let mut tickets = self.tickets.lock().unwrap_or_else(PoisonError::into_inner);
        tickets.pop().unwrap_or_default()
    }

    fn keep_tickets(&self, answer: &WholeAnswer) {
        let mut tickets = self.tickets.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = answer.head.headers().get_all(TICKET_HEADER).iter();
        tickets.extend(fresh.filter_map(|value| value.to_str().ok().map(str::to_owned)));
    }
}

/// One request of a caller.
struct LoadRequest {
    method: String,
    path: String,
    key: String,
    body: Bytes,
}

/// Asks the requests of one kind for `time`.
pub async fn run_group(
    pool: CallerPool,
    service: ServiceLoad,
    group: RequestLoad,
    time: Duration,
    tally: Arc<LoadTally>,
) {
    let mut flows = Vec::new();
    for _ in 0..group.flows {
        match pool.connect(&service.name, service.address).await {
            Ok(flow) => {
                tally.flow_opened();
                flows.push(TicketFlow::new(flow));
            }
            Err(error) => tally.flow_refused(&error),
        }
    }
    if flows.is_empty() {
        return;
    }
    let mut interval = tokio::time::interval(Duration::from_secs_f64(1.0 / group.rate));
    let end = Instant::now() + time;
    let mut tasks = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        interval.tick().await;
        let flow = flows[number % flows.len()].clone();
        let other = flows[(number + 1) % flows.len()].clone();
        let task = ask_one(flow, other, group.clone(), number, tally.clone());
        tasks.push(tokio::spawn(task));
        number += 1;
    }
    for task in tasks {
        let _ = task.await;
    }
}

async fn ask_one(
    flow: TicketFlow,
    other: TicketFlow,
    group: RequestLoad,
    number: usize,
    tally: Arc<LoadTally>,
) {
    let changes = group.method == "POST";
    // The name is unlike that of any other request, so that the run logs of
    // the backend servers show whether it ran twice.
    let mut request = LoadRequest {
        path: format!("{}/{number}-{:016x}", group.path, rand::random::<u64>()),
        method: group.method,
        key: String::new(),
        body: Bytes::from_static(if changes { BODY } else { b"" }),
    };
    let start = Instant::now();
    let answer = if changes {
        ask_with_ticket(&flow, &other, &mut request).await
    } else {
        flow.flow
            .ask_whole(&request.method, &request.path, "", Bytes::new())
            .await
    };
    match answer {
        Ok(answer) => tally.answered(&answer, start.elapsed(), is_right(&request, &answer)),
        Err(error) => tally.unanswered(&error),
    }
}

/// Asks until the request has run, was refused, or nobody knows.
async fn ask_with_ticket(
    flow: &TicketFlow,
    other: &TicketFlow,
    request: &mut LoadRequest,
) -> Result<WholeAnswer, CallerError> {
    let mut flow = flow;
    request.key = flow.take_ticket();
    let mut last = Err(CallerError("the request was not sent".to_owned()));
    for _ in 0..MAX_TRIES {
        let body = request.body.clone();
        last = flow
            .flow
            .ask_whole(&request.method, &request.path, &request.key, body)
            .await;
        match &last {
            Ok(answer) => {
                flow.keep_tickets(answer);
                if answer.head.status() != StatusCode::PRECONDITION_REQUIRED {
                    return last;
                }
                request.key = flow.take_ticket();
            }
            // The answer is lost: another host asks the issuer of the ticket.
            Err(_) => flow = other,
        }
    }
    last
}

fn is_right(request: &LoadRequest, answer: &WholeAnswer) -> bool {
    if answer.head.status() != StatusCode::OK {
        return true;
    }
    let name = request.path.trim_start_matches("/work/");
    if request.method == "POST" {
        let expected = format!("done {name} {} {}", request.key, BODY.len());
        return answer.body == expected.as_bytes();
    }
    !answer.body.is_empty()
        && answer
            .body
            .iter()
            .zip(name.bytes().cycle())
            .all(|(left, right)| *left == right)
}
