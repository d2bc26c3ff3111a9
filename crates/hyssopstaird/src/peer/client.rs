//! Asks other processes.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_wire::peer::PeerAnswer;
use hyssopstair_wire::peer::PeerRequest;
use hyssopstair_wire::peer::decode_answer;
use hyssopstair_wire::peer::encode_request;
use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::ReconnectMinTime;
use nng::options::RecvTimeout;
use nng::options::SendTimeout;
use nng::options::protocol::reqrep::ResendTime;

use crate::control::node::lock;
use crate::error::DaemonError;

/// Longest wait for an answer about the configuration.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(1);

/// Links that are kept open.
const MAX_IDLE_CONNECTIONS: usize = 64;

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

/// Time after which nng would connect again by itself: never, for a question
/// that went out on the new connection could be acted upon twice.
const RECONNECT_DELAY: Duration = Duration::from_secs(24 * 60 * 60);

/// A connection to one peer that nobody uses at the moment.
#[derive(Debug)]
struct IdleConnection {
    address: SocketAddrV4,
    socket: Socket,
}

/// Connections to peers, kept until a peer is silent. A connection carries one
/// question at a time.
#[derive(Debug, Default)]
pub struct PeerPool {
    idle: Mutex<Vec<IdleConnection>>,
}

/// Settles whether a question was sent, between the one that waits for the
/// answer and the thread that sends.
#[derive(Debug, Default)]
struct SendLatch {
    state: Mutex<SendState>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum SendState {
    #[default]
    Open,
    Sent,
    Abandoned,
}

impl SendLatch {
    /// Returns whether the question may be sent.
    fn try_start(&self) -> bool {
        let mut state = lock(&self.state);
        if *state == SendState::Abandoned {
            return false;
        }
        *state = SendState::Sent;
        true
    }

    /// Returns what is known of the question once nobody waits for its answer.
    fn abandon(&self) -> PeerError {
        let mut state = lock(&self.state);
        if *state == SendState::Sent {
            return PeerError::NoAnswer;
        }
        *state = SendState::Abandoned;
        PeerError::NotSent
    }
}

impl PeerPool {
    /// Asks the process at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the question was sent.
    pub async fn send_request(
        &self,
        address: SocketAddrV4,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let idle_socket = self.take_idle(address);
        let bytes = encode_request(request);
        // The blocking calls of nng are used, because its asynchronous
        // operations wait for their own end when the last handle goes in one.
        let latch = Arc::new(SendLatch::default());
        let sender_latch = latch.clone();
        let task = tokio::task::spawn_blocking(move || {
            let socket = match idle_socket {
                Some(socket) => socket,
                None => open_socket(address)?,
            };
            if !sender_latch.try_start() {
                return Err(PeerError::NotSent);
            }
            let answer = exchange_blocking(&socket, &bytes, timeout)?;
            Ok((socket, answer))
        });
        // A connection to a frozen process opens only after nng's own limit of
        // 10 seconds, for which nobody waits here.
        let Ok(result) = tokio::time::timeout(timeout, task).await else {
            return Err(latch.abandon());
        };
        let (socket, answer) = result.map_err(|_| PeerError::NoAnswer)??;
        self.store_idle(IdleConnection { address, socket });
        Ok(answer)
    }

    fn take_idle(&self, address: SocketAddrV4) -> Option<Socket> {
        let mut idle = lock(&self.idle);
        let index = idle
            .binary_search_by_key(&address, |connection| connection.address)
            .ok()?;
        Some(idle.remove(index).socket)
    }

    fn store_idle(&self, connection: IdleConnection) {
        let mut idle = lock(&self.idle);
        if idle.len() >= MAX_IDLE_CONNECTIONS {
            return;
        }
        let index = idle.partition_point(|other| other.address < connection.address);
        idle.insert(index, connection);
    }
}

fn open_socket(address: SocketAddrV4) -> Result<Socket, PeerError> {
    let connect = || -> Result<Socket, nng::Error> {
        let socket = Socket::new(Protocol::Req0)?;
        // A question that was sent again could be acted upon twice.
        socket.set_opt::<ResendTime>(None)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_DELAY))?;
        socket.dial(&format!("tcp://{address}"))?;
        Ok(socket)
    };
    connect().map_err(|_| PeerError::NotSent)
}

fn exchange_blocking(
    socket: &Socket,
    request: &[u8],
    timeout: Duration,
) -> Result<PeerAnswer, PeerError> {
    socket
        .set_opt::<SendTimeout>(Some(timeout))
        .map_err(|_| PeerError::NotSent)?;
    socket
        .set_opt::<RecvTimeout>(Some(timeout))
        .map_err(|_| PeerError::NotSent)?;
    socket.send(request).map_err(|_| PeerError::NotSent)?;
    let message = socket.recv().map_err(|_| PeerError::NoAnswer)?;
    decode_answer(message.as_slice()).ok_or(PeerError::NoAnswer)
}

/// Asks the process at `address` over a connection of its own.
///
/// # Errors
///
/// Returns an error when no answer comes in time.
pub async fn send_request(
    address: SocketAddrV4,
    request: PeerRequest,
) -> Result<PeerAnswer, Report<DaemonError>> {
    let context = || DaemonError::new(format!("failed to ask the peer at {address}"));
    PeerPool::default()
        .send_request(address, &request, CONFIGURATION_TIMEOUT)
        .await
        .change_context_lazy(context)
}
