//! Answers calls over HTTP: readiness, and the heartbeats of the server.

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

/// Longest body of a call, in bytes. A heartbeat has 300.
const MAX_BODY_BYTES: usize = 16 * 1024;

/// Time after which a connection without a call is closed, so that silent ones
/// do not use up descriptors.
const IDLE_CONNECTION: Duration = Duration::from_secs(30);

/// Pause after a failure to accept, which lasts while descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Answers calls at one address.
#[derive(Debug, Clone)]
pub struct CallServer {
    commands: mpsc::Sender<CarryCommand>,
    status: ProcessStatus,
    metrics: CarryMetrics,
}

impl CallServer {
    /// Creates a server that asks and tells the loop of the process.
    pub fn new(
        commands: mpsc::Sender<CarryCommand>,
        status: ProcessStatus,
        metrics: CarryMetrics,
    ) -> Self {
        Self {
            commands,
            status,
            metrics,
        }
    }

    /// Binds an address and answers calls there from now on.
    ///
    /// # Errors
    ///
    /// Returns an error when the address is in use.
    pub async fn start(self, address: SocketAddrV4) -> Result<(), Report<DaemonError>> {
        let listener = TcpListener::bind(address)
            .await
            .change_context_lazy(|| DaemonError::new(format!("failed to bind {address}")))?;
        tokio::spawn(self.accept(listener));
        Ok(())
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let server = self.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| server.answer(request));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                // The caller sees why its connection ended.
                let _ = tokio::time::timeout(IDLE_CONNECTION, connection).await;
            });
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        if request.uri().path() == METRICS_PATH {
            return Ok(Response::new(Full::from(self.metrics.text())));
        }
        let call = calls::decode_call(request.method().as_str(), request.uri().path());
        let status = match call {
            Some(InboundCall::Readiness) if self.status.is_ready() => StatusCode::OK,
            Some(InboundCall::Readiness) => StatusCode::SERVICE_UNAVAILABLE,
            Some(InboundCall::Heartbeat { id }) => self.take_heartbeat(&id, request).await,
            Some(InboundCall::Deregistration { id }) => self.take_deregistration(id).await,
            None => StatusCode::NOT_FOUND,
        };
        let mut response = Response::new(Full::from(calls::HEARTBEAT_ANSWER));
        *response.status_mut() = status;
        response.headers_mut().insert(
            http::header::CONTENT_TYPE,
            http::HeaderValue::from_static("application/json"),
        );
        Ok(response)
    }

    async fn take_heartbeat(&self, id: &str, request: Request<Incoming>) -> StatusCode {
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES)
            .collect()
            .await;
        let Ok(body) = body else {
            return StatusCode::BAD_REQUEST;
        };
        let Some(beat) = decode_heartbeat(id, &body.to_bytes()) else {
            return StatusCode::BAD_REQUEST;
        };
        let (done, wait) = oneshot::channel();
        self.confirm(CarryCommand::Heartbeat { beat, done }, wait)
            .await
    }

    async fn take_deregistration(&self, id: String) -> StatusCode {
        let (done, wait) = oneshot::channel();
        self.confirm(CarryCommand::Deregistration { id, done }, wait)
            .await
    }

    /// Confirms only what the loop has put in force.
    async fn confirm(&self, command: CarryCommand, wait: oneshot::Receiver<()>) -> StatusCode {
        if self.commands.send(command).await.is_err() || wait.await.is_err() {
            return StatusCode::SERVICE_UNAVAILABLE;
        }
        StatusCode::OK
    }
}
