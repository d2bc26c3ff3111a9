//! Asks one request.
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
use hyssopstair_requests::verdict::TICKET_HEADER;

use crate::ops::load::caller::CallerError;
use crate::ops::load::caller::CallerFlow;
use crate::ops::load::caller::FullResponse;
use crate::ops::load::caller::read_response;
use crate::ops::load::tally::LoadTally;
use crate::ops::load::workload::RequestLoad;

/// Body of a request that changes something.
const BODY: &[u8] = b"one registration";

/// Request header that gives the time that a caller waits, in milliseconds.
const DEADLINE_HEADER: &str = "hyssopstair-deadline";

/// Request header that carries the W3C trace context.
const TRACE_HEADER: &str = "traceparent";

/// Time after the deadline in which a final answer may still arrive.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// Tries of one request, the first one included.
const MAX_TRIES: usize = 4;

/// A flow and the tickets that came on it.
#[derive(Clone)]
pub struct TicketFlow {
    flow: CallerFlow,
    tickets: Arc<Mutex<Vec<String>>>,
}

impl TicketFlow {
    /// Wraps a flow that has no tickets yet.
    pub fn new(flow: CallerFlow) -> Self {
        Self {
            flow,
            tickets: Arc::default(),
        }
    }

    /// Returns why the flow has ended, if it has.
    pub fn end_reason(&self) -> Option<CallerError> {
        self.flow.end_reason()
    }

    /// Returns whether the service has told the caller to go elsewhere.
    pub fn is_leaving(&self) -> bool {
        self.flow.is_leaving()
    }

    /// Sends a request with its deadline and trace, and waits for the answer.
    async fn ask(&self, request: &LoadRequest) -> Result<FullResponse, CallerError> {
        let mut builder = self
            .flow
            .request(&request.method, &request.path, &request.key);
        if let Some(millis) = request.deadline_millis {
            builder = builder.header(DEADLINE_HEADER, millis);
        }
        if let Some(trace) = &request.trace {
            builder = builder.header(TRACE_HEADER, trace);
        }
        let head = builder
            .body(())
            .map_err(|error| CallerError::Lost(error.to_string()))?;
        let (head, stream) = self.flow.send(head, request.body.clone()).await?;
        read_response(head, stream).await
    }

    /// Returns a ticket, or an empty text when there is none yet.
    fn take_ticket(&self) -> String {
        let mut tickets = self.tickets.lock().unwrap_or_else(PoisonError::into_inner);
        tickets.pop().unwrap_or_default()
    }

    fn keep_tickets(&self, answer: &FullResponse) {
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
    deadline_millis: Option<u64>,
    trace: Option<String>,
}

/// A request that is due.
#[derive(Debug)]
pub struct RequestPlan {
    /// The group that it belongs to.
    pub group: RequestLoad,
    /// A name unlike that of any other request, so that the run logs of the
    /// backend servers show whether it ran twice.
    pub name: String,
    /// When it is sent.
    pub due: Instant,
    /// Its trace context.
    pub trace: Option<String>,
}

/// Asks one request and counts what comes of it; its latency counts from the
/// time when it was due.
pub async fn ask_one(
    flow: TicketFlow,
    other: TicketFlow,
    plan: RequestPlan,
    tally: Arc<LoadTally>,
) {
    let has_body = plan.group.method == "POST";
    let mut request = LoadRequest {
        path: format!("{}/{}", plan.group.path, plan.name),
        method: plan.group.method.clone(),
        key: String::new(),
        body: Bytes::from_static(if has_body { BODY } else { b"" }),
        deadline_millis: plan.group.deadline_millis,
        trace: plan.trace,
    };
    let is_once = !plan.group.is_idempotent();
    let asking = async {
        if is_once {
            ask_with_ticket(&flow, &other, &mut request).await
        } else {
            match flow.ask(&request).await {
                Ok(answer) => Ok(answer),
                // Asking again changes nothing.
                Err(_) => other.ask(&request).await,
            }
        }
    };
    let answer = match plan.group.deadline_millis {
        Some(millis) => {
            let wait = Duration::from_millis(millis) + DEADLINE_GRACE;
            let late = Err(CallerError::Lost("no answer at the deadline".to_owned()));
            tokio::time::timeout(wait, asking).await.unwrap_or(late)
        }
        None => asking.await,
    };
    match answer {
        Ok(answer) => {
            let is_right = is_right(&request, &answer);
            tally.answered(&answer, plan.due, is_once, is_right);
        }
        Err(error) => tally.unanswered(&error, plan.due),
    }
}

/// Asks until the request has run, was refused, or nobody knows.
async fn ask_with_ticket(
    flow: &TicketFlow,
    other: &TicketFlow,
    request: &mut LoadRequest,
) -> Result<FullResponse, CallerError> {
    let mut flow = flow;
    request.key = flow.take_ticket();
    let mut last = Err(CallerError::Lost("the request was not sent".to_owned()));
    for _ in 0..MAX_TRIES {
        last = flow.ask(request).await;
        match &last {
            Ok(answer) => {
                flow.keep_tickets(answer);
                if answer.head.status() != StatusCode::PRECONDITION_REQUIRED {
                    return last;
                }
                request.key = flow.take_ticket();
            }
            // The ticket is unused, and its issuer leaves: take another.
            Err(CallerError::Unsent(_)) => {
                flow = other;
                request.key = flow.take_ticket();
            }
            // The answer is lost: another host asks the issuer of the ticket.
            Err(CallerError::Lost(_)) => flow = other,
        }
    }
    last
}

fn is_right(request: &LoadRequest, answer: &FullResponse) -> bool {
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
