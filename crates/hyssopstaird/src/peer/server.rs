//! Answers to requests from other processes.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::OnceLock;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_platform::record::deflate_text;
use hyssopstair_roster::versions::ConfigState;
use hyssopstair_wire::peer::PeerAnswer;
use hyssopstair_wire::peer::PeerRequest;
use hyssopstair_wire::peer::decode_request;
use hyssopstair_wire::peer::encode_answer;
use nng::Aio;
use nng::AioResult;
use nng::Context;
use nng::Message;
use nng::Protocol;
use nng::Socket;
use tokio::runtime::Handle;

use crate::control::node::ControlNode;
use crate::control::node::lock;
use crate::error::DaemonError;
use crate::host::relay;
use crate::host::settle;
use crate::host::state::HostState;

/// Number of requests that are processed concurrently.
const WORKER_COUNT: usize = 64;

/// Answers requests from the state of this process.
#[derive(Debug, Clone)]
pub struct PeerResponder {
    node: Arc<ControlNode>,
    host: Arc<OnceLock<Arc<HostState>>>,
}

impl PeerResponder {
    /// Creates a responder that refuses requests to hosts until
    /// [`Self::set_host_state`] is called.
    pub fn new(node: Arc<ControlNode>) -> Self {
        Self {
            node,
            host: Arc::default(),
        }
    }

    /// Sets the state of the host, from which requests to hosts are answered from now on.
    pub fn set_host_state(&self, state: Arc<HostState>) {
        let _ = self.host.set(state);
    }

    async fn answer_request(&self, request: PeerRequest) -> PeerAnswer {
        match (request, self.host.get()) {
            (PeerRequest::Configuration { above }, _) => self.answer_configuration(above),
            (PeerRequest::WholeConfiguration { above }, _) => {
                self.answer_whole_configuration(above)
            }
            (PeerRequest::Version, _) => PeerAnswer::Version(self.node.view().version),
            (PeerRequest::Settle(request), Some(host)) => {
                PeerAnswer::Settled(settle::answer_settle_request(host, &request))
            }
            (PeerRequest::Relay(request), Some(host)) => {
                PeerAnswer::Relayed(relay::answer_relay_request(host, *request).await)
            }
            (PeerRequest::Settle(_) | PeerRequest::Relay(_), None) => PeerAnswer::Refused,
        }
    }

    /// Returns the steps from the version `above` to the one in force, or the complete
    /// configuration if not all of these steps are stored.
    fn answer_configuration(&self, above: u64) -> PeerAnswer {
        let version = self.node.config().version();
        if version <= above {
            return PeerAnswer::UpToDate;
        }
        // The lock must be released before the complete text is compressed, which locks
        // the updates again.
        let steps = lock(&self.node.updates).find_steps(above, version);
        match steps {
            Some(steps) => PeerAnswer::ConfigurationSteps(steps),
            None => self.answer_whole_configuration(above),
        }
    }

    /// Returns the complete configuration if its version is higher than `above`.
    fn answer_whole_configuration(&self, above: u64) -> PeerAnswer {
        let config = self.node.config();
        let version = config.version();
        if version <= above {
            return PeerAnswer::UpToDate;
        }
        match self.deflated_text(&config) {
            Ok(deflated_text) => PeerAnswer::Configuration {
                version,
                deflated_text: deflated_text.to_vec(),
            },
            Err(error) => {
                log::warn!(error:% = error; "config: failed to compress the text");
                PeerAnswer::Refused
            }
        }
    }

    /// Returns the text of the configuration, compressed with DEFLATE, and stores the result
    /// for later requests.
    fn deflated_text(&self, config: &ConfigState) -> std::io::Result<Arc<[u8]>> {
        let version = config.version();
        if let Some(deflated_text) = lock(&self.node.updates).find_deflated_text(version) {
            return Ok(deflated_text);
        }
        // The lock is not held during compression; concurrent requests may compress the
        // same text more than once.
        let deflated_text: Arc<[u8]> = deflate_text(config.text())?.into();
        lock(&self.node.updates).store_deflated_text(version, Arc::clone(&deflated_text));
        Ok(deflated_text)
    }
}

/// The handles of a running server. nng closes an object when its last handle is dropped.
#[derive(Debug)]
pub struct PeerServer {
    _socket: Socket,
    _workers: Vec<Aio>,
}

/// Starts to answer requests from peers at `address`. The server runs until the returned
/// handle is dropped.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start_server(
    address: SocketAddrV4,
    responder: &PeerResponder,
) -> Result<PeerServer, Report<DaemonError>> {
    let context = || {
        DaemonError::new(format!(
            "failed to listen for peers on the address of the field \"inner\", {address}"
        ))
    };
    let socket = Socket::new(Protocol::Rep0).change_context_lazy(context)?;
    let handle = Handle::current();
    let mut workers = Vec::new();
    for _ in 0..WORKER_COUNT {
        let worker = Context::new(&socket).change_context_lazy(context)?;
        let receiver = worker.clone();
        let responder = responder.clone();
        let handle = handle.clone();
        let aio = Aio::new(move |aio, result| {
            handle_event(&worker, &aio, result, &responder, &handle);
        })
        .change_context_lazy(context)?;
        receiver.recv(&aio).change_context_lazy(context)?;
        workers.push(aio);
    }
    socket
        .listen(&format!("tcp://{address}"))
        .change_context_lazy(context)?;
    Ok(PeerServer {
        _socket: socket,
        _workers: workers,
    })
}

/// Handles the completion of an asynchronous nng operation of a worker: starts to answer
/// a received request, or waits for the next request after an answer was sent.
fn handle_event(
    worker: &Context,
    aio: &Aio,
    result: AioResult,
    responder: &PeerResponder,
    handle: &Handle,
) {
    match result {
        AioResult::Recv(Ok(message)) => {
            let worker = worker.clone();
            let aio = aio.clone();
            let responder = responder.clone();
            handle.spawn(async move {
                let answer = answer_message(&responder, &message).await;
                if worker.send(&aio, answer).is_err() {
                    log::warn!("peer: failed to send an answer");
                }
            });
        }
        // The socket is being closed. Another receive operation would block its closing.
        AioResult::Recv(Err(nng::Error::Closed | nng::Error::Canceled)) => {}
        AioResult::Send(_) | AioResult::Recv(Err(_)) => {
            let _ = worker.recv(aio);
        }
        AioResult::Sleep(_) => {}
    }
}

/// Decodes a request and returns the encoded answer. Malformed requests are refused.
async fn answer_message(responder: &PeerResponder, message: &Message) -> Message {
    let answer = match decode_request(message.as_slice()) {
        Some(request) => responder.answer_request(request).await,
        None => PeerAnswer::Refused,
    };
    Message::from(encode_answer(&answer).as_slice())
}
