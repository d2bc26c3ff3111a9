//! A backend server of the simulation.

use std::collections::BTreeMap;

use hyssopstair_wire::carried::FlowKey;

use crate::model::packet::ModelPacket;

/// Returns the initial position of a server's stream, which is different for each host
/// and incarnation.
pub fn stream_start(host: u8, incarnation: u64) -> u32 {
    (u32::from(host) << 26) + (incarnation as u32) * 100_003 + 1_000
}

/// Returns the number of the host whose server's stream starts at `start`.
pub fn host_of_stream(start: u32) -> u8 {
    (start >> 26) as u8
}

/// The reaction of a server to a packet.
pub enum ServerReaction {
    /// The server sends a packet back at once.
    Reply(ModelPacket),
    /// The server starts a request, which it answers when the work is done.
    Run,
    /// The server does nothing.
    Ignore,
}

/// State of one incarnation of a server.
#[derive(Debug, Default)]
pub struct ModelServer {
    /// Number of earlier incarnations.
    pub incarnation: u64,
    /// Time at which this incarnation started, in milliseconds since the Unix epoch.
    pub started_unix_millis: u64,
    /// Whether the server is running.
    pub is_alive: bool,
    /// Whether the server reports that it is draining.
    pub is_draining: bool,
    /// Time at which the host acknowledged that the server is draining, in milliseconds.
    pub drain_confirmed_at: Option<u64>,
    /// Sequence number of the next heartbeat.
    pub next_sequence: u64,
    /// Offset by which the server's clock is behind, in milliseconds.
    pub clock_offset: u64,
    /// Offset by which the server's clock was ahead at its start, in milliseconds.
    pub clock_lead: u64,
    /// Open flows, with the position up to which the caller's stream was answered.
    pub flows: BTreeMap<FlowKey, u32>,
    /// Requests in progress.
    pub running_requests: u16,
}

impl ModelServer {
    /// Returns the start time of this incarnation by the server's clock, in milliseconds.
    pub fn start_time(&self) -> u64 {
        self.started_unix_millis + self.clock_lead - self.clock_offset
    }

    /// Handles a packet that is delivered by the host with the number `host`.
    pub fn receive_packet(&mut self, host: u8, packet: &ModelPacket) -> ServerReaction {
        if !self.is_alive {
            return ServerReaction::Ignore;
        }
        let flow = packet.caller_flow();
        let start = stream_start(host, self.incarnation);
        if packet.is_open {
            self.flows.entry(flow).or_insert(0);
            return ServerReaction::Reply(self.build_opening_answer(host, &flow));
        }
        // A flow opens only at the server whose stream the caller acknowledges.
        let is_accepted = packet.acknowledged == start + 1;
        let Some(answered_position) = self.flows.get_mut(&flow).filter(|_| is_accepted) else {
            return ServerReaction::Reply(ModelPacket {
                is_bounced: true,
                ..*packet
            });
        };
        let end = packet.sequence + u32::from(packet.data_length);
        if packet.data_length == 0 || end <= *answered_position {
            return ServerReaction::Ignore;
        }
        *answered_position = end;
        self.running_requests += 1;
        ServerReaction::Run
    }

    /// Returns whether the server has answered the opening packet of a flow, and has got no
    /// request on it.
    pub fn is_unopened(&self, flow: &FlowKey) -> bool {
        self.flows.get(flow) == Some(&0)
    }

    /// Returns the answer to the opening packet of a flow.
    pub fn build_opening_answer(&self, host: u8, flow: &FlowKey) -> ModelPacket {
        ModelPacket {
            is_open: true,
            has_ack: true,
            sequence: stream_start(host, self.incarnation),
            ..ModelPacket::new(flow.target, flow.caller)
        }
    }

    /// Returns the answer to the last request of a flow, or `None` if the server does not
    /// hold the flow.
    pub fn build_answer(&self, host: u8, flow: &FlowKey) -> Option<ModelPacket> {
        let answered_position = self.flows.get(flow)?;
        Some(ModelPacket {
            has_ack: true,
            sequence: stream_start(host, self.incarnation) + 1,
            acknowledged: *answered_position,
            data_length: 600,
            ..ModelPacket::new(flow.target, flow.caller)
        })
    }

    /// Ends this incarnation. The next one starts without its flows.
    pub fn crash(&mut self) {
        *self = Self {
            incarnation: self.incarnation + 1,
            ..Self::default()
        };
    }
}
