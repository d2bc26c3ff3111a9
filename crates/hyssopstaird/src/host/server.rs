//! The HTTP/3 server for callers.

use std::fs;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_rules::settings::HostSettings;
use hyssopstair_telemetry::counts::COUNTERS;
use hyssopstair_telemetry::requests::RequestScope;
use hyssopstair_wire::time::MonotonicTime;
use quinn::EndpointConfig;
use quinn::IdleTimeout;
use quinn::ServerConfig;
use quinn::TransportConfig;
use quinn::VarInt;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;

use crate::control::node::lock;
use crate::error::DaemonError;
use crate::host::connection::ResetKey;
use crate::host::connection::TokenIssuer;
use crate::host::proxy;
use crate::host::socket::FlowSocket;
use crate::host::state::HostState;
use crate::telemetry::TracedRequest;

/// Time without packets from the caller after which a flow is closed.
const IDLE_TIMEOUT_MILLIS: u32 = 30_000;

/// Interval between two keep-alive packets of an idle flow.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of concurrent requests of a flow.
const MAX_STREAMS_PER_FLOW: u32 = 256;

/// Time for which an idle flow stays open after a GOAWAY frame was sent. Requests that the
/// caller sent before it received the frame still arrive in this time and are rejected as
/// not run; on a closed connection they would be lost, and their outcome unknown.
const GOAWAY_GRACE: Duration = Duration::from_secs(5);

/// Interval at which flows check whether the host is draining, and a draining host checks
/// whether it has finished.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A running host.
#[derive(Debug)]
pub struct HostHandle {
    endpoint: quinn::Endpoint,
    state: Arc<HostState>,
}

impl HostHandle {
    /// Creates the handle of a host with the given endpoint and state.
    pub fn new(endpoint: quinn::Endpoint, state: Arc<HostState>) -> Self {
        Self { endpoint, state }
    }

    /// Stops accepting new flows and requests, and waits until all flows and all requests
    /// with tickets have ended.
    pub async fn drain(&self) {
        self.state.start_draining();
        loop {
            let flows = self.state.flow_count();
            let requests = lock(&self.state.ledger).unfinished_count();
            if flows == 0 && requests == 0 {
                break;
            }
            log::info!(flows, requests; "host: draining, waiting for flows and requests");
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
        self.endpoint.wait_idle().await;
    }
}

/// Opens the QUIC endpoint on top of the inner socket.
///
/// # Errors
///
/// Returns an error if the certificate or its key cannot be loaded, or if the endpoint
/// cannot be created.
pub fn open_endpoint(
    settings: &HostSettings,
    state: &Arc<HostState>,
) -> Result<quinn::Endpoint, Report<DaemonError>> {
    let socket = Arc::new(FlowSocket::new(state.clone()));
    let config = server_config(settings)?;
    let runtime = Arc::new(quinn::TokioRuntime);
    quinn::Endpoint::new_with_abstract_socket(endpoint_config(state), Some(config), socket, runtime)
        .change_context_lazy(|| DaemonError::new("failed to open the QUIC endpoint"))
}

/// Returns the configuration of connection IDs and stateless resets.
fn endpoint_config(state: &Arc<HostState>) -> EndpointConfig {
    let reset_key = ResetKey::new(state.node.secret.derive(b"reset"));
    let mut config = EndpointConfig::new(Arc::new(reset_key));
    let state = state.clone();
    let nonce = Arc::new(AtomicU32::new(rand::random()));
    config.cid_generator(move || Box::new(TokenIssuer::new(state.clone(), nonce.clone())));
    config
}

/// Loads the certificate and returns the TLS and transport configuration.
fn server_config(settings: &HostSettings) -> Result<ServerConfig, Report<DaemonError>> {
    let context = || {
        DaemonError::new(format!(
            "failed to load certificate {} and key {}",
            settings.certificate.display(),
            settings.private_key.display()
        ))
    };
    let certificate = fs::read(&settings.certificate).change_context_lazy(context)?;
    let chain = CertificateDer::pem_slice_iter(&certificate)
        .collect::<Result<Vec<_>, _>>()
        .change_context_lazy(context)?;
    let key = fs::read(&settings.private_key).change_context_lazy(context)?;
    let key = PrivateKeyDer::from_pem_slice(&key).change_context_lazy(context)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context_lazy(context)?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .change_context_lazy(context)?;
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let crypto = QuicServerConfig::try_from(tls).change_context_lazy(context)?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(Arc::new(transport_config()));
    Ok(config)
}

fn transport_config() -> TransportConfig {
    let mut config = TransportConfig::default();
    config.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(
        IDLE_TIMEOUT_MILLIS,
    ))));
    config.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    config.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS_PER_FLOW));
    // Without discovery, datagrams stay small enough that the inner header can be
    // prepended to each of them.
    config.mtu_discovery_config(None);
    config
}

/// Accepts flows and serves their requests until the endpoint is closed.
pub async fn accept_flows(endpoint: quinn::Endpoint, state: Arc<HostState>) {
    while let Some(incoming) = endpoint.accept().await {
        let state = state.clone();
        tokio::spawn(async move {
            let connection_id = incoming.orig_dst_cid();
            let Ok(connection) = incoming.await else {
                state.end_handshake(&connection_id);
                return;
            };
            state.add_flow();
            state.end_handshake(&connection_id);
            COUNTERS.flows_opened.increment();
            let _open = COUNTERS.flows_open.enter();
            serve_flow(connection, &state).await;
            state.remove_flow();
        });
    }
}

/// Serves the requests of a flow until it ends. When the host drains, sends a GOAWAY frame
/// and returns once all requests have ended and [`GOAWAY_GRACE`] has passed.
async fn serve_flow(connection: quinn::Connection, state: &Arc<HostState>) {
    let caller = connection.remote_address();
    let wrapped = h3_quinn::Connection::new(connection.clone());
    let server = h3::server::Connection::<_, Bytes>::new(wrapped).await;
    let Ok(mut server) = server else {
        return;
    };
    let counter = TaskCounter::default();
    let mut drain_check = tokio::time::interval(DRAIN_CHECK_INTERVAL);
    let mut goaway_sent_at: Option<MonotonicTime> = None;
    loop {
        tokio::select! {
            accepted = server.accept() => {
                let Ok(Some(resolver)) = accepted else {
                    return;
                };
                let state = state.clone();
                let connection = connection.clone();
                let task = counter.start_task();
                tokio::spawn(async move {
                    if let Ok((request, stream)) = resolver.resolve_request().await {
                        let scope = RequestScope::start(&request);
                        let traced = TracedRequest::start(&state, caller, &scope);
                        scope
                            .run(proxy::serve_request(&state, request, stream, &connection))
                            .await;
                        traced.end();
                    }
                    drop(task);
                });
            }
            _ = drain_check.tick() => {
                let now = state.node.clock.now();
                match goaway_sent_at {
                    Some(sent_at)
                        if counter.is_idle() && now.since(sent_at) >= GOAWAY_GRACE => return,
                    Some(_) => {}
                    None if state.is_draining() => {
                        goaway_sent_at = Some(now);
                        if server.shutdown(0).await.is_err() {
                            return;
                        }
                    }
                    None => {}
                }
            }
        }
    }
}

/// Counts the running requests of a flow.
#[derive(Debug, Default)]
struct TaskCounter {
    shared: Arc<()>,
}

impl TaskCounter {
    /// Returns a value that counts as a running request until it is dropped.
    fn start_task(&self) -> Arc<()> {
        self.shared.clone()
    }

    /// Returns whether no request is running.
    fn is_idle(&self) -> bool {
        Arc::strong_count(&self.shared) == 1
    }
}
