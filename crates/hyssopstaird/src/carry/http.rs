//! The HTTP server of a process: readiness probes, metrics, and the heartbeats and
//! deregistrations of the backend server beside a host.

use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyssopstair_adapter::calls;
use hyssopstair_adapter::calls::InboundCall;
use hyssopstair_adapter::heartbeat::decode_heartbeat;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::carry::command::CarryCommand;
use crate::carry::command::ProcessStatus;
use crate::carry::metrics::CarryMetrics;
use crate::error::DaemonError;

/// Maximum size of a request body, in bytes; a heartbeat has about 300.
const MAX_BODY_BYTES: usize = 16 * 1024;

/// Time after which a connection is closed, so that idle connections do not use up
/// the file descriptors.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay after a failed accept: accepting keeps failing while the file descriptors
/// are used up, and would otherwise be retried in a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest time for which a starting process keeps a readiness probe waiting. Routers probe
/// twice a second, so an answer in the negative costs callers up to half a second more.
const MAX_PROBE_WAIT: Duration = Duration::from_millis(200);

const METRICS_PATH: &str = "/metrics";

/// Answers HTTP calls. A clone is started for each address.
#[derive(Debug, Clone)]
pub struct CallServer {
    command_sender: mpsc::Sender<CarryCommand>,
    status: ProcessStatus,
    metrics: CarryMetrics,
}

impl CallServer {
    /// Creates a server that reads the status of the event loop and sends commands to
    /// it.
    pub fn new(
        command_sender: mpsc::Sender<CarryCommand>,
        status: ProcessStatus,
        metrics: CarryMetrics,
    ) -> Self {
        Self {
            command_sender,
            status,
            metrics,
        }
    }

    /// Binds an address and answers calls there in the background.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound, for example because it is in
    /// use.
    pub async fn start(self, address: SocketAddrV4) -> Result<(), Report<DaemonError>> {
        let listener = TcpListener::bind(address).await.change_context_lazy(|| {
            DaemonError::new(format!("failed to bind TCP address {address}"))
        })?;
        tokio::spawn(self.accept_connections(listener));
        Ok(())
    }

    async fn accept_connections(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let server = self.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| server.answer_request(request));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                // A failure is ignored here, because the client sees it too.
                let _ = tokio::time::timeout(CONNECTION_TIMEOUT, connection).await;
            });
        }
    }

    async fn answer_request(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        if request.uri().path() == METRICS_PATH {
            return Ok(Response::new(Full::from(self.metrics.encode_text())));
        }
        let call = calls::decode_call(request.method().as_str(), request.uri().path());
        let status = match call {
            Some(InboundCall::Readiness) => self.answer_probe().await,
            Some(InboundCall::Heartbeat { id }) => self.handle_heartbeat(id, request).await,
            Some(InboundCall::Deregistration { id }) => self.handle_deregistration(id).await,
            None => StatusCode::NOT_FOUND,
        };
        let mut response = Response::new(Full::from(calls::RESPONSE_BODY));
        *response.status_mut() = status;
        response.headers_mut().insert(
            http::header::CONTENT_TYPE,
            http::HeaderValue::from_static("application/json"),
        );
        Ok(response)
    }

    async fn answer_probe(&self) -> StatusCode {
        if self.status.wait_while_starting(MAX_PROBE_WAIT).await {
            StatusCode::OK
        } else {
            self.status.record_refused_probe();
            StatusCode::SERVICE_UNAVAILABLE
        }
    }

    async fn handle_heartbeat(&self, id: String, request: Request<Incoming>) -> StatusCode {
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES)
            .collect()
            .await;
        let heartbeat = body
            .ok()
            .and_then(|body| decode_heartbeat(&id, &body.to_bytes()));
        let Some(heartbeat) = heartbeat else {
            let command = CarryCommand::IgnoreMalformedHeartbeat { server_id: id };
            // Sending fails only when the event loop has ended, and with it the process.
            let _ = self.command_sender.send(command).await;
            return StatusCode::BAD_REQUEST;
        };
        let (applied_sender, applied_receiver) = oneshot::channel();
        self.apply_command(
            CarryCommand::Heartbeat {
                heartbeat,
                applied_sender,
            },
            applied_receiver,
        )
        .await
    }

    async fn handle_deregistration(&self, id: String) -> StatusCode {
        let (applied_sender, applied_receiver) = oneshot::channel();
        self.apply_command(
            CarryCommand::Deregistration { id, applied_sender },
            applied_receiver,
        )
        .await
    }

    /// Sends a command to the event loop and waits until it is applied. Returns status
    /// 503 if the loop rejects the command or has ended, because only what is in force may
    /// be confirmed.
    async fn apply_command(
        &self,
        command: CarryCommand,
        applied_receiver: oneshot::Receiver<()>,
    ) -> StatusCode {
        if self.command_sender.send(command).await.is_err() || applied_receiver.await.is_err() {
            return StatusCode::SERVICE_UNAVAILABLE;
        }
        StatusCode::OK
    }
}
