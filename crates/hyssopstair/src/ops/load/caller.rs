//! Opens the flows of callers, which are HTTP/3 connections, and sends requests over
//! them.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use h3::client::RequestStream;
use h3::client::SendRequest;
use h3_quinn::OpenStreams;
use http::Request;
use http::Response;
use quinn::ClientConfig;
use quinn::ConnectionError;
use quinn::Endpoint;
use quinn::TransportConfig;
use quinn::crypto::rustls::QuicClientConfig;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;

use crate::error::CommandError;
use crate::error::FailureKind;

/// Interval of QUIC keep-alive packets on a flow.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Timeout of the handshake of a flow.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);

/// Opens flows to services.
#[derive(Debug, Clone)]
pub struct CallerConnector {
    config: ClientConfig,
}

/// The cause of a failed request or flow.
#[derive(Debug, thiserror::Error)]
pub enum CallerError {
    /// The request was not sent, so it has not run.
    #[error("{0}")]
    Unsent(String),
    /// The request was sent at least in part, or the flow failed.
    #[error("{0}")]
    Failed(String),
}

/// The stream from which the response to a request is read.
pub type ResponseStream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// A flow to a service.
#[derive(Clone)]
pub struct CallerFlow {
    sender: SendRequest<OpenStreams, Bytes>,
    service: String,
    connection: quinn::Connection,
    draining: Arc<AtomicBool>,
    _endpoint: Endpoint,
}

/// A complete response.
#[derive(Debug)]
pub struct FullResponse {
    /// The status and headers.
    pub head: Response<()>,
    /// The body.
    pub body: Vec<u8>,
}

impl CallerConnector {
    /// Creates a connector whose callers trust the certificates of a PEM file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or a certificate is invalid.
    pub fn with_root_certificate(certificate: &Path) -> Result<Self, Report<CommandError>> {
        let context = || {
            CommandError::new(
                FailureKind::InvalidInput,
                format!("failed to use certificate {}", certificate.display()),
            )
        };
        let pem = fs::read(certificate).change_context_lazy(context)?;
        let mut roots = RootCertStore::empty();
        for item in CertificateDer::pem_slice_iter(&pem) {
            roots
                .add(item.change_context_lazy(context)?)
                .change_context_lazy(context)?;
        }
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .change_context_lazy(context)?
            .with_root_certificates(roots)
            .with_no_client_auth();
        tls.alpn_protocols = vec![b"h3".to_vec()];
        let crypto = QuicClientConfig::try_from(tls).change_context_lazy(context)?;
        let mut config = ClientConfig::new(Arc::new(crypto));
        let mut transport = TransportConfig::default();
        transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
        transport.mtu_discovery_config(None);
        config.transport_config(Arc::new(transport));
        Ok(Self { config })
    }

    /// Opens a flow to a service, from a local port of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if the handshake fails or does not complete within
    /// `OPEN_TIMEOUT`.
    pub async fn connect(
        &self,
        service: &str,
        address: SocketAddr,
    ) -> Result<CallerFlow, CallerError> {
        let to_error = |error: &dyn std::fmt::Display| CallerError::Failed(error.to_string());
        let endpoint = Endpoint::client(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
            .map_err(|error| to_error(&error))?;
        let connecting = endpoint
            .connect_with(self.config.clone(), address, service)
            .map_err(|error| to_error(&error))?;
        let connection = tokio::time::timeout(OPEN_TIMEOUT, connecting)
            .await
            .map_err(|error| to_error(&error))?
            .map_err(|error| to_error(&error))?;
        let (mut driver, sender) = h3::client::new(h3_quinn::Connection::new(connection.clone()))
            .await
            .map_err(|error| to_error(&error))?;
        tokio::spawn(async move {
            let _ = futures::future::poll_fn(|context| driver.poll_close(context)).await;
        });
        Ok(CallerFlow {
            sender,
            service: service.to_owned(),
            connection,
            draining: Arc::default(),
            _endpoint: endpoint,
        })
    }
}

impl CallerFlow {
    /// Builds and sends a request. Returns the head of the response and the stream
    /// from which its body is read.
    ///
    /// # Errors
    ///
    /// Returns an error if the request cannot be sent, or the flow ends before the
    /// response begins.
    pub async fn start_request(
        &self,
        method: &str,
        path: &str,
        key: &str,
        body: Bytes,
    ) -> Result<(Response<()>, ResponseStream), CallerError> {
        let request = self
            .request(method, path, key)
            .body(())
            .map_err(|error| CallerError::Failed(error.to_string()))?;
        self.send(request, body).await
    }

    /// Returns why the flow broke, or `None` if it is open or was closed gracefully.
    /// A service closes a flow gracefully after it has announced the end and has
    /// answered all requests.
    pub fn failure_reason(&self) -> Option<CallerError> {
        let reason = self.connection.close_reason()?;
        if is_graceful_close(&reason) {
            return None;
        }
        Some(CallerError::Failed(reason.to_string()))
    }

    /// Returns whether the service is draining the flow, so that new requests need
    /// another flow. A request that fails for this reason was not sent.
    pub fn is_draining(&self) -> bool {
        let reason = self.connection.close_reason();
        self.draining.load(Ordering::Relaxed) || reason.as_ref().is_some_and(is_graceful_close)
    }

    /// Returns a builder of a request to the service, to which headers may be added.
    /// `key` is the ticket of the request, or empty.
    pub fn request(&self, method: &str, path: &str, key: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("https://{}{path}", self.service))
            .header("idempotency-key", key)
            .header("hyssopstair-tickets", "1")
    }

    /// Sends a request. Returns the head of the response and the stream from which
    /// its body is read.
    ///
    /// # Errors
    ///
    /// Returns an error if the request cannot be sent, or the flow ends before the
    /// response begins.
    pub async fn send(
        &self,
        request: Request<()>,
        body: Bytes,
    ) -> Result<(Response<()>, ResponseStream), CallerError> {
        let mut sender = self.sender.clone();
        let mut stream = sender.send_request(request).await.map_err(|error| {
            // The connection is open, so the service refused the request because it
            // is draining the flow.
            if self.connection.close_reason().is_none() {
                self.draining.store(true, Ordering::Relaxed);
            }
            CallerError::Unsent(error.to_string())
        })?;
        if !body.is_empty() {
            stream
                .send_data(body)
                .await
                .map_err(|error| CallerError::Failed(error.to_string()))?;
        }
        stream
            .finish()
            .await
            .map_err(|error| CallerError::Failed(error.to_string()))?;
        let head = stream
            .recv_response()
            .await
            .map_err(|error| CallerError::Failed(error.to_string()))?;
        Ok((head, stream))
    }

    /// Builds and sends a request, and returns the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if the request cannot be sent, or the flow ends before the
    /// response is complete.
    pub async fn fetch(
        &self,
        method: &str,
        path: &str,
        key: &str,
        body: Bytes,
    ) -> Result<FullResponse, CallerError> {
        let (head, stream) = self.start_request(method, path, key, body).await?;
        read_response(head, stream).await
    }
}

/// Returns whether a service closed a flow gracefully, after it announced the end.
fn is_graceful_close(reason: &ConnectionError) -> bool {
    const H3_NO_ERROR: u64 = 0x100;
    match reason {
        ConnectionError::ApplicationClosed(close) => close.error_code.into_inner() == H3_NO_ERROR,
        _ => false,
    }
}

/// Reads the body of a response and returns the complete response.
///
/// # Errors
///
/// Returns an error if the flow ends before the response is complete.
pub async fn read_response(
    head: Response<()>,
    mut stream: ResponseStream,
) -> Result<FullResponse, CallerError> {
    let mut body = Vec::new();
    while let Some(chunk) = read_chunk(&mut stream).await? {
        body.extend_from_slice(&chunk);
    }
    Ok(FullResponse { head, body })
}

/// Returns the next chunk of the body of a response, or `None` at its end.
///
/// # Errors
///
/// Returns an error if the flow ends before the response is complete.
pub async fn read_chunk(stream: &mut ResponseStream) -> Result<Option<Bytes>, CallerError> {
    let chunk = stream
        .recv_data()
        .await
        .map_err(|error| CallerError::Failed(error.to_string()))?;
    Ok(chunk.map(|mut chunk| chunk.copy_to_bytes(chunk.remaining())))
}
