//! Sends one request, retries it and records its outcome.
//!
//! A non-idempotent request carries a ticket, which lets it run at most once.
//! Tickets arrive in headers of responses, belong to the flow on which they arrived,
//! and are used for one request. If a response is lost, the request is retried with
//! the same ticket on another flow: the host there asks the issuer of the ticket
//! whether the request has run.

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

/// Body of a `POST` request.
const REQUEST_BODY: &[u8] = b"one registration";

/// Request header with the time that a caller waits, in milliseconds.
const DEADLINE_HEADER: &str = "hyssopstair-deadline";

/// Request header with the W3C trace context.
const TRACE_HEADER: &str = "traceparent";

/// How long a caller waits beyond the deadline, so that a response that is sent at
/// the deadline still arrives.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// Maximum number of times that a non-idempotent request is sent.
const MAX_ATTEMPTS: usize = 4;

/// A flow and the unused tickets that arrived on it.
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

    /// Returns why the flow broke, or `None` if it is open or was closed gracefully.
    pub fn failure_reason(&self) -> Option<CallerError> {
        self.flow.failure_reason()
    }

    /// Returns whether the service is draining the flow, so that new requests need
    /// another flow.
    pub fn is_draining(&self) -> bool {
        self.flow.is_draining()
    }

    /// Sends a request with its deadline and trace context, and returns the complete
    /// response.
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

    /// Returns an unused ticket, or an empty string if there is none. The service
    /// rejects a request without a ticket with status 428 and issues a ticket.
    fn take_ticket(&self) -> String {
        let mut tickets = self.tickets.lock().unwrap_or_else(PoisonError::into_inner);
        tickets.pop().unwrap_or_default()
    }

    /// Stores the tickets that a response carries.
    fn store_tickets(&self, response: &FullResponse) {
        let mut tickets = self.tickets.lock().unwrap_or_else(PoisonError::into_inner);
        let new_tickets = response.head.headers().get_all(TICKET_HEADER).iter();
        tickets.extend(new_tickets.filter_map(|value| value.to_str().ok().map(str::to_owned)));
    }
}

/// The content of a request.
struct LoadRequest {
    method: String,
    path: String,
    key: String,
    body: Bytes,
    deadline_millis: Option<u64>,
    trace: Option<String>,
}

/// A request to send, and when it is due.
#[derive(Debug)]
pub struct RequestPlan {
    /// The group that the request belongs to.
    pub group: RequestLoad,
    /// A unique name, by which the reports of the backend servers show whether the
    /// request ran twice.
    pub name: String,
    /// When the request is due; latency is measured from this time.
    pub due: Instant,
    /// The trace context, if the request is traced.
    pub trace: Option<String>,
}

/// Sends a request over `flow`, retries it over `fallback` if needed, and records its
/// outcome in `tally`.
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
                // An idempotent request may be sent again without a ticket.
                Err(_) => fallback.send_request(&request).await,
            }
        }
    };
    let response = match plan.group.deadline_millis {
        Some(millis) => {
            let wait = Duration::from_millis(millis) + DEADLINE_GRACE;
            let deadline_error = Err(CallerError::Failed(
                "no response before the deadline".to_owned(),
            ));
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

/// Sends a non-idempotent request with a ticket, up to [`MAX_ATTEMPTS`] times.
/// Returns the first response whose status is not 428 (a ticket is required), or else
/// the result of the last attempt.
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
            // The request was not sent, for example because the flow is draining. Its
            // ticket belongs to this flow; the other flow needs a ticket of its own.
            Err(CallerError::Unsent(_)) => {
                flow = fallback;
                request.key = flow.take_ticket();
            }
            // The request may have run: the host of the other flow asks the issuer
            // of the ticket.
            Err(CallerError::Failed(_)) => flow = fallback,
        }
    }
    result
}

/// Returns whether a response is the expected one for the request. Responses with a
/// status other than 200 have no content that could be compared and are accepted.
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
