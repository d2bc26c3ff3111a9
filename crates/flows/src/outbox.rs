//! The output of a decision: datagrams, resets and events, each in the order in
//! which they were added.
//!
//! The process sends and logs the contents, then clears the outbox, whose buffers are
//! reused for the next decision.

use std::net::Ipv4Addr;
use std::ops::Range;

use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::FlowKey;

use crate::event::FlowEvent;

/// The receiver of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// The backend server on the same instance.
    Server,
    /// The caller with this address.
    Caller(Ipv4Addr),
    /// The balancer or host with this address.
    Peer(Ipv4Addr),
}

/// A reset that the system itself sends to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowReset {
    /// The flow.
    pub flow: FlowKey,
    /// Position in the server's stream that the caller acknowledged last, at which it
    /// accepts the reset; 0 if the flow has not opened or the position is not known.
    pub sequence: u32,
}

/// Datagrams and resets to send, and events to log.
#[derive(Debug, Default)]
pub struct FlowOutbox {
    buffer: Vec<u8>,
    datagrams: Vec<(Destination, Range<usize>)>,
    resets: Vec<FlowReset>,
    events: Vec<FlowEvent>,
}

impl FlowOutbox {
    /// Adds an unmodified packet for a caller or the backend server.
    pub fn enqueue_packet(&mut self, destination: Destination, bytes: &[u8]) {
        let start = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        self.datagrams.push((destination, start..self.buffer.len()));
    }

    /// Adds a message for a peer, followed by `payload`.
    pub fn enqueue_message(&mut self, peer: Ipv4Addr, message: &CarryMessage, payload: &[u8]) {
        self.enqueue_messages(peer, &[message], payload);
    }

    /// Adds a message for a peer in the envelope of another message, which asks `relay` to pass
    /// it on.
    pub fn enqueue_enveloped(
        &mut self,
        relay: Ipv4Addr,
        envelope: &CarryMessage,
        message: &CarryMessage,
        payload: &[u8],
    ) {
        self.enqueue_messages(relay, &[envelope, message], payload);
    }

    fn enqueue_messages(&mut self, peer: Ipv4Addr, messages: &[&CarryMessage], payload: &[u8]) {
        let start = self.buffer.len();
        for message in messages {
            message.encode(&mut self.buffer);
        }
        self.buffer.extend_from_slice(payload);
        self.datagrams
            .push((Destination::Peer(peer), start..self.buffer.len()));
    }

    /// Adds a reset of a flow at a position in the server's stream.
    pub fn enqueue_reset(&mut self, flow: FlowKey, sequence: u32) {
        self.resets.push(FlowReset { flow, sequence });
    }

    /// Adds an event for logs and metrics.
    pub fn record_event(&mut self, event: FlowEvent) {
        self.events.push(event);
    }

    /// Returns the datagrams to send with their receivers, in the order in which they were
    /// added.
    pub fn datagrams(&self) -> impl Iterator<Item = (Destination, &[u8])> {
        self.datagrams
            .iter()
            .map(|(destination, range)| (*destination, &self.buffer[range.clone()]))
    }

    /// Returns the resets to send, in the order in which they were added.
    pub fn resets(&self) -> &[FlowReset] {
        &self.resets
    }

    /// Returns the events to log, in the order in which they were added.
    pub fn events(&self) -> &[FlowEvent] {
        &self.events
    }

    /// Removes all contents and keeps the allocated memory.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.datagrams.clear();
        self.resets.clear();
        self.events.clear();
    }
}
