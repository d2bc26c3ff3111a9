//! Asks other processes.

use std::net::SocketAddrV4;
use std::sync::Mutex;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_wire::peer::PeerAnswer;
use hyssopstair_wire::peer::PeerRequest;
use hyssopstair_wire::peer::decode_answer;
use hyssopstair_wire::peer::encode_request;
use nng::Aio;
use nng::AioResult;
use nng::Context;
use nng::Message;
use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::protocol::reqrep::ResendTime;
use tokio::sync::oneshot;

use crate::control::node::lock;
use crate::error::DaemonError;

/// Longest wait for an answer about the configuration.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Links that are kept open.
const MAX_LINKS: usize = 64;

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The question was not sent.
    #[error("the peer cannot be reached")]
    NotSent,
    /// The question was sent, and may have been acted upon.
    #[error("the peer does not answer")]
    NoAnswer,
}

/// A connection to one peer.
#[derive(Debug, Clone)]
struct PeerLink {
    address: SocketAddrV4,
    socket: Socket,
}

/// Connections to peers, kept until a peer is silent.
#[derive(Debug, Default)]
pub struct PeerPool {
    links: Mutex<Vec<PeerLink>>,
}

impl PeerPool {
    /// Asks the process at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the question was sent.
    pub async fn ask(
        &self,
        address: SocketAddrV4,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let link = self.link(address)?;
        let answer = link.ask(request, timeout).await;
        if answer.is_err() {
            // Something between the two ends may have lost the connection.
            self.drop_link(&link);
        }
        answer
    }

    fn link(&self, address: SocketAddrV4) -> Result<PeerLink, PeerError> {
        let mut links = lock(&self.links);
        match links.binary_search_by_key(&address, |link| link.address) {
            Ok(index) => Ok(links[index].clone()),
            Err(index) => {
                let link = PeerLink::open(address).map_err(|_| PeerError::NotSent)?;
                links.insert(index, link.clone());
                if links.len() > MAX_LINKS {
                    let other = if index == 0 { links.len() - 1 } else { 0 };
                    links.remove(other);
                }
                Ok(link)
            }
        }
    }

    fn drop_link(&self, link: &PeerLink) {
        lock(&self.links).retain(|other| other.socket != link.socket);
    }
}

impl PeerLink {
    fn open(address: SocketAddrV4) -> Result<Self, nng::Error> {
        let socket = Socket::new(Protocol::Req0)?;
        // A question that was sent again could be acted upon twice.
        socket.set_opt::<ResendTime>(None)?;
        socket.dial_async(&format!("tcp://{address}"))?;
        Ok(Self { address, socket })
    }

    async fn ask(&self, request: &PeerRequest, timeout: Duration) -> Result<PeerAnswer, PeerError> {
        let (sender, receiver) = oneshot::channel();
        let context = Context::new(&self.socket).map_err(|_| PeerError::NotSent)?;
        let aio = answer_aio(context.clone(), sender).map_err(|_| PeerError::NotSent)?;
        let aio = AioGuard { aio };
        aio.aio
            .set_timeout(Some(timeout))
            .map_err(|_| PeerError::NotSent)?;
        context
            .send(&aio.aio, encode_request(request).as_slice())
            .map_err(|_| PeerError::NotSent)?;
        let message = tokio::time::timeout(timeout, receiver)
            .await
            .map_err(|_| PeerError::NoAnswer)?
            .map_err(|_| PeerError::NoAnswer)??;
        decode_answer(message.as_slice()).ok_or(PeerError::NoAnswer)
    }
}

/// Ends an operation before its handle is dropped. A handle whose last owner is
/// its own callback would wait for itself.
struct AioGuard {
    aio: Aio,
}

impl Drop for AioGuard {
    fn drop(&mut self) {
        let aio = self.aio.clone();
        tokio::task::spawn_blocking(move || {
            aio.cancel();
            aio.wait();
        });
    }
}

type AnswerSender = oneshot::Sender<Result<Message, PeerError>>;

/// Returns a handle that receives the answer once the question is sent.
fn answer_aio(context: Context, sender: AnswerSender) -> Result<Aio, nng::Error> {
    let sender = Mutex::new(Some(sender));
    let give = move |answer| {
        if let Some(sender) = lock(&sender).take() {
            let _ = sender.send(answer);
        }
    };
    Aio::new(move |aio, result| match result {
        AioResult::Send(Ok(())) => {
            if context.recv(&aio).is_err() {
                give(Err(PeerError::NoAnswer));
            }
        }
        AioResult::Send(Err(_)) => give(Err(PeerError::NotSent)),
        AioResult::Recv(Ok(message)) => give(Ok(message)),
        AioResult::Recv(Err(_)) => give(Err(PeerError::NoAnswer)),
        AioResult::Sleep(_) => {}
    })
}

/// Asks the process at `address` over a connection of its own.
///
/// # Errors
///
/// Returns an error when no answer comes in time.
pub async fn ask(
    address: SocketAddrV4,
    request: PeerRequest,
) -> Result<PeerAnswer, Report<DaemonError>> {
    let context = || DaemonError::new(format!("failed to ask the peer at {address}"));
    let link = PeerLink::open(address).change_context_lazy(context)?;
    link.ask(&request, PEER_TIMEOUT)
        .await
        .change_context_lazy(context)
}
