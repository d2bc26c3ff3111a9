//! Requests between two processes, over nng.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_wire::peer::PeerAnswer;
use hyssopstair_wire::peer::PeerRequest;
use nng::Aio;
use nng::AioResult;
use nng::Context;
use nng::Message;
use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::RecvTimeout;
use nng::options::SendTimeout;
use tokio::runtime::Handle;

use crate::control::node::ControlNode;
use crate::error::DaemonError;

/// Requests that are worked on at once.
const WORKERS: usize = 8;

/// Longest wait for a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers requests of peers as long as it is kept.
#[derive(Debug)]
pub struct PeerServer {
    // A socket that is dropped stops listening, and an operation that is
    // dropped is cancelled.
    _socket: Socket,
    _workers: Vec<Aio>,
}

/// Answers requests of peers until the server that it returns is dropped.
///
/// # Errors
///
/// Returns an error when the address is in use.
pub fn serve(
    address: SocketAddrV4,
    node: Arc<ControlNode>,
) -> Result<PeerServer, Report<DaemonError>> {
    let context = || {
        DaemonError::new(format!(
            "failed to listen for peers on the address of the field \"inner\", {address}"
        ))
    };
    let socket = Socket::new(Protocol::Rep0).change_context_lazy(context)?;
    let handle = Handle::current();
    let mut workers = Vec::new();
    for _ in 0..WORKERS {
        let worker = Context::new(&socket).change_context_lazy(context)?;
        let receiver = worker.clone();
        let node = node.clone();
        let handle = handle.clone();
        let aio = Aio::new(move |aio, result| {
            step(&worker, &aio, result, &node, &handle);
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

fn step(worker: &Context, aio: &Aio, result: AioResult, node: &Arc<ControlNode>, handle: &Handle) {
    match result {
        AioResult::Recv(Ok(message)) => {
            let worker = worker.clone();
            let aio = aio.clone();
            let node = node.clone();
            handle.spawn(async move {
                let answer = answer_message(&node, &message);
                if worker.send(&aio, answer).is_err() {
                    log::warn!("peer: an answer could not be sent");
                }
            });
        }
        AioResult::Send(_) | AioResult::Recv(Err(_)) => {
            let _ = worker.recv(aio);
        }
        AioResult::Sleep(_) => {}
    }
}

fn answer_message(node: &ControlNode, message: &Message) -> Message {
    let answer = match postcard_request(message) {
        Some(request) => answer_request(node, &request),
        None => PeerAnswer::UpToDate,
    };
    Message::from(hyssopstair_wire::peer::encode_answer(&answer).as_slice())
}

fn postcard_request(message: &Message) -> Option<PeerRequest> {
    hyssopstair_wire::peer::decode_request(message.as_slice())
}

fn answer_request(node: &ControlNode, request: &PeerRequest) -> PeerAnswer {
    match request {
        PeerRequest::Configuration { above } => {
            let config = node.config();
            if config.version() <= *above {
                return PeerAnswer::UpToDate;
            }
            PeerAnswer::Configuration {
                version: config.version(),
                text: config.text().to_string(),
            }
        }
        PeerRequest::Version => PeerAnswer::Version(node.view().version),
    }
}

/// Asks the process at `address`.
///
/// # Errors
///
/// Returns an error when no answer comes in time.
pub async fn ask(
    address: SocketAddrV4,
    request: PeerRequest,
) -> Result<PeerAnswer, Report<DaemonError>> {
    tokio::task::spawn_blocking(move || ask_blocking(address, &request))
        .await
        .change_context_lazy(|| DaemonError::new("failed to ask a peer"))?
}

fn ask_blocking(
    address: SocketAddrV4,
    request: &PeerRequest,
) -> Result<PeerAnswer, Report<DaemonError>> {
    let context = || DaemonError::new(format!("failed to ask the peer at {address}"));
    let socket = Socket::new(Protocol::Req0).change_context_lazy(context)?;
    socket
        .set_opt::<RecvTimeout>(Some(PEER_TIMEOUT))
        .change_context_lazy(context)?;
    socket
        .set_opt::<SendTimeout>(Some(PEER_TIMEOUT))
        .change_context_lazy(context)?;
    socket
        .dial(&format!("tcp://{address}"))
        .change_context_lazy(context)?;
    let bytes = hyssopstair_wire::peer::encode_request(request);
    socket
        .send(bytes.as_slice())
        .map_err(|(_, error)| error)
        .change_context_lazy(context)?;
    let message = socket.recv().change_context_lazy(context)?;
    hyssopstair_wire::peer::decode_answer(message.as_slice()).ok_or_else(|| Report::new(context()))
}
