//! Requests to other processes.
//!
//! Errors distinguish a request that was certainly not sent from one that the peer may
//! have processed. A request is never sent a second time, because the peer could then
//! process it twice.

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

/// Maximum time to wait for the answer to a request about the configuration.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of idle connections that a pool keeps open.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// The reason why a request has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The request was not sent.
    #[error("the peer is unreachable")]
    NotSent,
    /// The request was sent, and the peer may have processed it.
    #[error("the peer does not answer")]
    NoAnswer,
}

/// Delay before nng reconnects a broken connection, long enough that it never does. A
/// request that is sent over the new connection could be processed a second time.
const RECONNECT_DELAY: Duration = Duration::from_secs(24 * 60 * 60);

/// An open connection to a peer that no request uses.
#[derive(Debug)]
struct IdleConnection {
    address: SocketAddrV4,
    socket: Socket,
}

/// A pool of connections to peers. Each connection carries one request at a time and is
/// closed if its request fails.
#[derive(Debug, Default)]
pub struct PeerPool {
    idle: Mutex<Vec<IdleConnection>>,
}

/// Decides whether a request is sent or abandoned. The thread that sends the request and
/// the task that waits for the answer and may time out share it; the first of them wins.
#[derive(Debug, Default)]
struct SendLatch {
    state: Mutex<SendState>,
}

/// The state of a request in a [`SendLatch`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum SendState {
    #[default]
    Pending,
    Sent,
    Abandoned,
}

impl SendLatch {
    /// Records the request as sent, unless it was abandoned. Returns whether it may be
    /// sent.
    fn try_mark_sent(&self) -> bool {
        let mut state = lock(&self.state);
        if *state == SendState::Abandoned {
            return false;
        }
        *state = SendState::Sent;
        true
    }

    /// Prevents the request from being sent, and returns [`PeerError::NotSent`] if that
    /// succeeds or [`PeerError::NoAnswer`] if it was already sent.
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
    /// Sends a request to the process at `address` and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::NotSent`] if the request was certainly not sent, and
    /// [`PeerError::NoAnswer`] if it was sent but not answered within `timeout`.
    pub async fn send_request(
        &self,
        address: SocketAddrV4,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let idle_socket = self.take_idle(address);
        let bytes = encode_request(request);
        // This uses the blocking calls of nng. An asynchronous operation of nng would
        // wait for its own end if the last handle were dropped inside it.
        let latch = Arc::new(SendLatch::default());
        let sender_latch = latch.clone();
        let task = tokio::task::spawn_blocking(move || {
            let socket = match idle_socket {
                Some(socket) => socket,
                None => open_socket(address)?,
            };
            if !sender_latch.try_mark_sent() {
                return Err(PeerError::NotSent);
            }
            let answer = exchange_blocking(&socket, &bytes, timeout)?;
            Ok((socket, answer))
        });
        // Connecting to a process that does not respond fails only after nng's own
        // timeout of 10 seconds, which is too long to wait.
        let Ok(result) = tokio::time::timeout(timeout, task).await else {
            return Err(latch.abandon());
        };
        let (socket, answer) = result.map_err(|_| PeerError::NoAnswer)??;
        self.store_idle(IdleConnection { address, socket });
        Ok(answer)
    }

    /// Removes and returns an idle connection to `address`, if there is one.
    fn take_idle(&self, address: SocketAddrV4) -> Option<Socket> {
        let mut idle = lock(&self.idle);
        let index = idle
            .binary_search_by_key(&address, |connection| connection.address)
            .ok()?;
        Some(idle.remove(index).socket)
    }

    /// Adds an idle connection, or closes it if the pool is full.
    fn store_idle(&self, connection: IdleConnection) {
        let mut idle = lock(&self.idle);
        if idle.len() >= MAX_IDLE_CONNECTIONS {
            return;
        }
        let index = idle.partition_point(|other| other.address < connection.address);
        idle.insert(index, connection);
    }
}

/// Opens a connection to `address`.
fn open_socket(address: SocketAddrV4) -> Result<Socket, PeerError> {
    let connect = || -> Result<Socket, nng::Error> {
        let socket = Socket::new(Protocol::Req0)?;
        // If nng sent a request again, the peer could process it twice.
        socket.set_opt::<ResendTime>(None)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_DELAY))?;
        socket.dial(&format!("tcp://{address}"))?;
        Ok(socket)
    };
    connect().map_err(|_| PeerError::NotSent)
}

/// Sends an encoded request and waits for the answer.
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

/// Sends a request to the process at `address` over a new connection and returns the
/// answer.
///
/// # Errors
///
/// Returns an error if there is no answer within one second.
pub async fn send_request(
    address: SocketAddrV4,
    request: PeerRequest,
) -> Result<PeerAnswer, Report<DaemonError>> {
    let context = || DaemonError::new(format!("failed to send a request to the peer at {address}"));
    PeerPool::default()
        .send_request(address, &request, CONFIGURATION_TIMEOUT)
        .await
        .change_context_lazy(context)
}
