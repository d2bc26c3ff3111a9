//! The virtual UDP socket of the QUIC endpoint.
//!
//! The endpoint reads the callers' datagrams that [`crate::host::ingress`] has accepted.
//! Each datagram that it sends to a caller is wrapped in a return header and sent to a
//! balancer.

use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::io::IoSliceMut;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use hyssopstair_telemetry::callers::CALLER_TRACES;
use hyssopstair_wire::entry::to_ipv4;
use hyssopstair_wire::packet::MAX_PACKET_LENGTH;
use hyssopstair_wire::packet::PacketKind;
use hyssopstair_wire::packet::ReturnHeader;
use hyssopstair_wire::packet::write_packet;
use quinn::AsyncUdpSocket;
use quinn::UdpPoller;
use quinn::udp::RecvMeta;
use quinn::udp::Transmit;

use crate::control::node::lock;
use crate::host::state::HostState;

/// Maximum number of datagrams in the queue. When it is full, new datagrams are dropped,
/// as a kernel does when a receive buffer is full.
const MAX_QUEUED_DATAGRAMS: usize = 8_192;

/// Accepted datagrams that the QUIC endpoint has not read yet.
#[derive(Debug, Default)]
pub struct PacketQueue {
    state: Mutex<QueueState>,
}

/// Each datagram with its caller, and the task that waits for the next one.
#[derive(Debug, Default)]
struct QueueState {
    datagrams: VecDeque<(SocketAddrV4, Vec<u8>)>,
    waker: Option<Waker>,
}

impl PacketQueue {
    /// Appends a caller's datagram and wakes the QUIC endpoint. Drops the datagram if the
    /// queue is full.
    pub fn push(&self, caller: SocketAddrV4, datagram: Vec<u8>) {
        let mut state = lock(&self.state);
        if state.datagrams.len() >= MAX_QUEUED_DATAGRAMS {
            return;
        }
        state.datagrams.push_back((caller, datagram));
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }

    /// Removes and returns the first datagram, or registers the task to be woken.
    fn poll_pop(&self, context: &mut Context<'_>) -> Poll<(SocketAddrV4, Vec<u8>)> {
        let mut state = lock(&self.state);
        match state.datagrams.pop_front() {
            Some(packet) => Poll::Ready(packet),
            None => {
                state.waker = Some(context.waker().clone());
                Poll::Pending
            }
        }
    }
}

/// The virtual UDP socket of the QUIC endpoint.
pub struct FlowSocket {
    state: Arc<HostState>,
}

impl FlowSocket {
    /// Creates a socket that reads from the packet queue of `state`.
    pub fn new(state: Arc<HostState>) -> Self {
        Self { state }
    }
}

impl fmt::Debug for FlowSocket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FlowSocket")
    }
}

impl AsyncUdpSocket for FlowSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(ReadyPoller)
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let Some(caller) = to_ipv4(transmit.destination) else {
            return Ok(());
        };
        let now = self.state.node.clock.now();
        let Some(route) = self.state.return_table.find_route(caller, now) else {
            return Ok(());
        };
        let Some(service) = self.state.service_id() else {
            return Ok(());
        };
        let header = ReturnHeader {
            service,
            host: self.state.node.process_id(),
            load: self.state.load().report(),
            caller,
            target: route.target,
            version: self.state.node.view().version,
            trace: CALLER_TRACES.find_trace(caller, now),
        };
        let mut buffer = [0; MAX_PACKET_LENGTH];
        let result = write_packet(&mut buffer, PacketKind::Return, &header, transmit.contents);
        let Ok(length) = result else {
            return Ok(());
        };
        let balancer = SocketAddr::V4(route.balancer);
        match self
            .state
            .node
            .socket
            .try_send_to(&buffer[..length], balancer)
        {
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                self.state.return_table.remove_balancer(route.balancer);
                Ok(())
            }
            // A datagram that does not fit into the send buffer is lost, as on a network;
            // QUIC retransmits its content.
            _ => Ok(()),
        }
    }

    fn poll_recv(
        &self,
        context: &mut Context<'_>,
        buffers: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let (caller, datagram) = match self.state.packet_queue.poll_pop(context) {
            Poll::Ready(packet) => packet,
            Poll::Pending => return Poll::Pending,
        };
        let length = datagram.len().min(buffers[0].len());
        buffers[0][..length].copy_from_slice(&datagram[..length]);
        meta[0] = RecvMeta::default();
        meta[0].addr = SocketAddr::V4(caller);
        meta[0].len = length;
        meta[0].stride = length;
        Poll::Ready(Ok(1))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.state.node.socket.local_addr()
    }

    fn may_fragment(&self) -> bool {
        false
    }
}

/// A poller that always reports the socket as writable, because a datagram that cannot be
/// sent is dropped.
#[derive(Debug)]
struct ReadyPoller;

impl UdpPoller for ReadyPoller {
    fn poll_writable(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
