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
const REQUEST_BODY: &[u8] = b"one registration";

/// Request header that gives the time that a caller waits, in milliseconds.
const DEADLINE_HEADER: &str = "hyssopstair-deadline";

/// Request header that carries the W3C trace context.
const TRACE_HEADER: &str = "traceparent";

/// Time after the deadline in which a final answer may still arrive.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// Tries of one request, the first one included.
const MAX_ATTEMPTS: usize = 4;

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
    pub fn failure_reason(&self) -> Option<CallerError> {
        self.flow.failure_reason()
    }

    /// Returns whether the service has told the caller to go elsewhere.
    pub fn is_draining(&self) -> bool {
        self.flow.is_draining()
    }

    /// Sends a request with its deadline and trace, and waits for the answer.
    async fn send_request(&self, request: &LoadRequest) -> Result<FullResponse, CallerError> {
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
            .map_err(|error| CallerError::Failed(error.to_string()))?;
        let (head, stream) = self.flow.send(head, request.body.clone()).await?;
        read_response(head, stream).await
    }

    /// Returns a ticket, or an empty text when there is none yet.
    fn take_ticket(&self) -> String {
        let mut tickets = self.tickets.lock().unwrap_or_else(PoisonError::into_inner);
        tickets.pop().unwrap_or_default()
    }

    fn store_tickets(&self, response: &FullResponse) {
        let mut tickets = self.tickets.lock().unwrap_or_else(PoisonError::into_inner);
        let new_tickets = response.head.headers().get_all(TICKET_HEADER).iter();
        tickets.extend(new_tickets.filter_map(|value| value.to_str().ok().map(str::to_owned)));
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
pub async fn run_request(
    flow: TicketFlow,
    fallback: TicketFlow,
    plan: RequestPlan,
    tally: Arc<LoadTally>,
) {
    let has_body = plan.group.method == "POST";
    let mut request = LoadRequest {
        path: format!("{}/{}", plan.group.path, plan.name),
        method: plan.group.method.clone(),
        key: String::new(),
        body: Bytes::from_static(if has_body { REQUEST_BODY } else { b"" }),
        deadline_millis: plan.group.deadline_millis,
        trace: plan.trace,
    };
    let is_non_idempotent = !plan.group.is_idempotent();
    let attempts = async {
        if is_non_idempotent {
            send_with_ticket(&flow, &fallback, &mut request).await
        } else {
            match flow.send_request(&request).await {
                Ok(response) => Ok(response),
                // Asking again changes nothing.
                Err(_) => fallback.send_request(&request).await,
            }
        }
    };
    let response = match plan.group.deadline_millis {
        Some(millis) => {
            let wait = Duration::from_millis(millis) + DEADLINE_GRACE;
            let deadline_error = Err(CallerError::Failed("no answer at the deadline".to_owned()));
            tokio::time::timeout(wait, attempts)
                .await
                .unwrap_or(deadline_error)
        }
        None => attempts.await,
    };
    match response {
        Ok(response) => {
            let is_expected = is_expected(&request, &response);
            tally.record_response(&response, plan.due, is_non_idempotent, is_expected);
        }
        Err(error) => tally.record_failure(&error, plan.due),
    }
}

/// Asks until the request has run, was refused, or nobody knows.
async fn send_with_ticket(
    flow: &TicketFlow,
    fallback: &TicketFlow,
    request: &mut LoadRequest,
) -> Result<FullResponse, CallerError> {
    let mut flow = flow;
    request.key = flow.take_ticket();
    let mut result = Err(CallerError::Failed("the request was not sent".to_owned()));
    for _ in 0..MAX_ATTEMPTS {
        result = flow.send_request(request).await;
        match &result {
            Ok(response) => {
                flow.store_tickets(response);
                if response.head.status() != StatusCode::PRECONDITION_REQUIRED {
                    return result;
                }
                request.key = flow.take_ticket();
            }
            // The ticket is unused, and its issuer leaves: take another.
            Err(CallerError::Unsent(_)) => {
                flow = fallback;
                request.key = flow.take_ticket();
            }
            // The answer is lost: another host asks the issuer of the ticket.
            Err(CallerError::Failed(_)) => flow = fallback,
        }
    }
    result
}

fn is_expected(request: &LoadRequest, response: &FullResponse) -> bool {
    if response.head.status() != StatusCode::OK {
        return true;
    }
    let name = request.path.trim_start_matches("/work/");
    if request.method == "POST" {
        let expected = format!("done {name} {} {}", request.key, REQUEST_BODY.len());
        return response.body == expected.as_bytes();
    }
    !response.body.is_empty()
        && response
            .body
            .iter()
            .zip(name.bytes().cycle())
            .all(|(left, right)| *left == right)
}
