//! What decisions want sent, in the order in which they asked for it.

use std::net::Ipv4Addr;
use std::ops::Range;

use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::FlowKey;

use crate::event::FlowEvent;

/// Where a datagram goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// The backend server on the same instance.
    Server,
    /// The caller at an address.
    Caller(Ipv4Addr),
    /// Another process of the system.
    Peer(Ipv4Addr),
}

/// A reset that the system itself sends to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowReset {
    /// The flow.
    pub flow: FlowKey,
    /// The position in the server's stream that the caller acknowledged last.
    pub sequence: u32,
}

/// Datagrams, resets and events that wait to be sent and logged.
#[derive(Debug, Default)]
pub struct FlowOutbox {
    buffer: Vec<u8>,
    datagrams: Vec<(Destination, Range<usize>)>,
    resets: Vec<FlowReset>,
    events: Vec<FlowEvent>,
}

impl FlowOutbox {
    /// Adds a packet for a caller or the server, as it was written.
    pub fn enqueue_packet(&mut self, destination: Destination, bytes: &[u8]) {
        let start = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        self.datagrams.push((destination, start..self.buffer.len()));
    }

    /// Adds a message for a peer, with the bytes that go behind it.
    pub fn enqueue_message(&mut self, peer: Ipv4Addr, message: &CarryMessage, behind: &[u8]) {
        let start = self.buffer.len();
        message.encode(&mut self.buffer);
        self.buffer.extend_from_slice(behind);
        self.datagrams
            .push((Destination::Peer(peer), start..self.buffer.len()));
    }

    /// Adds a reset.
    pub fn enqueue_reset(&mut self, flow: FlowKey, sequence: u32) {
        self.resets.push(FlowReset { flow, sequence });
    }

    /// Adds an event for the logs and metrics.
    pub fn record_event(&mut self, event: FlowEvent) {
        self.events.push(event);
    }

    /// Returns the datagrams.
    pub fn datagrams(&self) -> impl Iterator<Item = (Destination, &[u8])> {
        self.datagrams
            .iter()
            .map(|(destination, range)| (*destination, &self.buffer[range.clone()]))
    }

    /// Returns the resets.
    pub fn resets(&self) -> &[FlowReset] {
        &self.resets
    }

    /// Returns the events.
    pub fn events(&self) -> &[FlowEvent] {
        &self.events
    }

    /// Forgets everything and keeps the memory.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.datagrams.clear();
        self.resets.clear();
        self.events.clear();
    }
}
