//! Answers the questions of other processes.

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

/// Questions that are worked on at once.
const WORKER_COUNT: usize = 64;

/// What answers are taken from.
#[derive(Debug, Clone)]
pub struct PeerResponder {
    node: Arc<ControlNode>,
    host: Arc<OnceLock<Arc<HostState>>>,
}

impl PeerResponder {
    /// Creates the desk of a process that is not a host yet.
    pub fn new(node: Arc<ControlNode>) -> Self {
        Self {
            node,
            host: Arc::default(),
        }
    }

    /// Lets peers ask about requests from now on.
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

    fn answer_configuration(&self, above: u64) -> PeerAnswer {
        let version = self.node.config().version();
        if version <= above {
            return PeerAnswer::UpToDate;
        }
        // The lock must be free again before the whole text is packed.
        let steps = lock(&self.node.updates).steps(above, version);
        match steps {
            Some(steps) => PeerAnswer::ConfigurationSteps(steps),
            None => self.answer_whole_configuration(above),
        }
    }

    fn answer_whole_configuration(&self, above: u64) -> PeerAnswer {
        let config = self.node.config();
        let version = config.version();
        if version <= above {
            return PeerAnswer::UpToDate;
        }
        match self.compressed_text(&config) {
            Ok(packed) => PeerAnswer::Configuration {
                version,
                deflated_text: packed.to_vec(),
            },
            Err(error) => {
                log::warn!(error:% = error; "config: the text cannot be packed");
                PeerAnswer::Refused
            }
        }
    }

    fn compressed_text(&self, config: &ConfigState) -> std::io::Result<Arc<[u8]>> {
        let version = config.version();
        if let Some(packed) = lock(&self.node.updates).packed(version) {
            return Ok(packed);
        }
        // The lock is not held meanwhile; at worst two questions do it twice.
        let packed: Arc<[u8]> = deflate_text(config.text())?.into();
        lock(&self.node.updates).keep_packed(version, Arc::clone(&packed));
        Ok(packed)
    }
}

/// What must live for as long as peers are answered: nng gives up whatever has
/// no handle left.
#[derive(Debug)]
pub struct PeerServer {
    _socket: Socket,
    _workers: Vec<Aio>,
}

/// Answers questions of peers until the server that it returns is dropped.
///
/// # Errors
///
/// Returns an error when the address is in use.
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
                    log::warn!("peer: an answer could not be sent");
                }
            });
        }
        // The process stops: another wait would keep nng from letting go.
        AioResult::Recv(Err(nng::Error::Closed | nng::Error::Canceled)) => {}
        AioResult::Send(_) | AioResult::Recv(Err(_)) => {
            let _ = worker.recv(aio);
        }
        AioResult::Sleep(_) => {}
    }
}

async fn answer_message(responder: &PeerResponder, message: &Message) -> Message {
    let answer = match decode_request(message.as_slice()) {
        Some(request) => responder.answer_request(request).await,
        None => PeerAnswer::Refused,
    };
    Message::from(encode_answer(&answer).as_slice())
}
