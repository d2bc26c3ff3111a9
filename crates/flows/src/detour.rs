//! Ways around links that lose packets while both of their ends run.
//!
//! Two availability zones may be unable to reach each other while a third one reaches both.
//! An open flow stays with its host, so a balancer that does not reach the host sends the
//! flow's packets through a process of a third zone. All packets of a flow take the same way,
//! and a process passes on only what the sender of a datagram itself has written, so that no
//! message can circle. Hellos never take a detour: they show whether the direct way works.
//!
//! New flows take no detours. They are offered to hosts that can be reached.

use std::net::Ipv4Addr;
use std::time::Duration;

use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::DatagramVerdict;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::PeerVersion;
use hyssopstair_wire::time::MonotonicTime;

use crate::event::DropReason;
use crate::event::FlowEvent;
use crate::members::MemberTable;
use crate::outbox::FlowOutbox;
use crate::ranking::first_ranked;
use crate::ranking::hash_flow;

/// Time for which a process answers a peer by the way that the peer's last message took.
const RETURN_WAY_LIFETIME: Duration = Duration::from_secs(1);

/// Maximum number of ways back that a process remembers, so that messages that name origins at
/// random do not fill its memory. A zone of the largest fleet has fewer balancers.
const MAX_RETURN_WAYS: usize = 2_048;

/// Maximum number of messages that a process passes on in a second. It bounds what a
/// partition of other zones costs the process, and a host of 0.15 of a core bears it.
const MAX_RELAYED_PER_SECOND: u32 = 500;

/// How a message reaches a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerWay {
    /// In a datagram to the peer.
    Direct,
    /// Through the process with this address.
    Via(Ipv4Addr),
}

/// A message of a peer, and the way by which it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedMessage<'a> {
    /// The process that has written the message.
    pub from: Ipv4Addr,
    /// How it came.
    pub way: PeerWay,
    /// The message.
    pub message: CarryMessage,
    /// The bytes that follow the message.
    pub payload: &'a [u8],
}

/// Reads a datagram that the process at `own_address` has received from `sender`.
///
/// # Errors
///
/// Returns why the datagram is dropped if it holds no message that a peer may send.
pub fn read_datagram(
    datagram: &[u8],
    sender: Ipv4Addr,
    own_address: Ipv4Addr,
) -> Result<ReceivedMessage<'_>, DropReason> {
    let (message, payload) = read_message(datagram)?;
    let origin = match message {
        CarryMessage::Detour { origin, target } if target == own_address => origin,
        message => {
            return Ok(ReceivedMessage {
                from: sender,
                way: PeerWay::Direct,
                message,
                payload,
            });
        }
    };
    let (message, payload) = read_message(payload)?;
    if !may_take_detour(&message) {
        return Err(DropReason::Malformed);
    }
    Ok(ReceivedMessage {
        from: origin,
        way: PeerWay::Via(sender),
        message,
        payload,
    })
}

fn read_message(bytes: &[u8]) -> Result<(CarryMessage, &[u8]), DropReason> {
    match CarryMessage::classify(bytes) {
        DatagramVerdict::Message(message, payload) => Ok((message, payload)),
        DatagramVerdict::UnknownKind(_) => Err(DropReason::UnknownKind),
        DatagramVerdict::Malformed => Err(DropReason::Malformed),
    }
}

/// Returns whether a message is about an open flow, or answers one that was.
fn may_take_detour(message: &CarryMessage) -> bool {
    match message {
        CarryMessage::Forward(header) => {
            matches!(
                header.purpose,
                ForwardPurpose::Owner | ForwardPurpose::Probe
            )
        }
        CarryMessage::Owned { .. }
        | CarryMessage::Returned { .. }
        | CarryMessage::Locate { .. }
        | CarryMessage::NotHeld { .. } => true,
        CarryMessage::Hello(_)
        | CarryMessage::Flows { .. }
        | CarryMessage::RoutesWanted { .. }
        | CarryMessage::RoutesPart { .. }
        | CarryMessage::SaveFlows { .. }
        | CarryMessage::FlowsSaved { .. }
        | CarryMessage::Detour { .. }
        | CarryMessage::Offer { .. } => false,
    }
}

/// The way by which the last message of a peer came that did not come directly.
#[derive(Debug, Clone, Copy)]
struct ReturnWay {
    peer: Ipv4Addr,
    relay: Ipv4Addr,
    received_at: MonotonicTime,
}

/// What a process knows about ways around links, and how much it passes on for others.
#[derive(Debug)]
pub struct DetourTable {
    address: Ipv4Addr,
    zone: String,
    /// Sorted by peer, at most [`MAX_RETURN_WAYS`].
    return_ways: Vec<ReturnWay>,
    relayed_since: MonotonicTime,
    /// Messages passed on in the second that began at `relayed_since`.
    relayed_count: u32,
}

impl DetourTable {
    /// Creates the table of the process at `address` in `zone`.
    pub fn new(address: Ipv4Addr, zone: &str, now: MonotonicTime) -> Self {
        Self {
            address,
            zone: zone.to_owned(),
            return_ways: Vec::new(),
            relayed_since: now,
            relayed_count: 0,
        }
    }

    /// Records the way by which a message of a peer came.
    pub fn record_arrival(&mut self, peer: Ipv4Addr, way: PeerWay, now: MonotonicTime) {
        match way {
            PeerWay::Direct => {
                if let Ok(index) = self.find_return_way(peer) {
                    self.return_ways.remove(index);
                }
            }
            PeerWay::Via(relay) => self.record_return_way(ReturnWay {
                peer,
                relay,
                received_at: now,
            }),
        }
    }

    fn record_return_way(&mut self, return_way: ReturnWay) {
        if let Ok(index) = self.find_return_way(return_way.peer) {
            self.return_ways[index] = return_way;
            return;
        }
        let now = return_way.received_at;
        self.return_ways
            .retain(|known| now.since(known.received_at) < RETURN_WAY_LIFETIME);
        if self.return_ways.len() >= MAX_RETURN_WAYS {
            return;
        }
        let index = self
            .return_ways
            .partition_point(|known| known.peer < return_way.peer);
        self.return_ways.insert(index, return_way);
    }

    /// Returns the way to a peer for a message about a flow:
    /// the way by which the peer has written last, or one around the direct way if that loses
    /// messages.
    pub fn way_to(
        &self,
        peer: Ipv4Addr,
        flow: &FlowKey,
        members: &MemberTable,
        now: MonotonicTime,
    ) -> PeerWay {
        if let Ok(index) = self.find_return_way(peer) {
            let return_way = self.return_ways[index];
            if now.since(return_way.received_at) < RETURN_WAY_LIFETIME {
                return PeerWay::Via(return_way.relay);
            }
        }
        if members.is_cut_off(peer, now) {
            self.way_around(peer, flow, members, now)
        } else {
            PeerWay::Direct
        }
    }

    /// Returns a way to a peer through a third zone, or the direct way if no process there is
    /// known to run and to understand detours.
    pub fn way_around(
        &self,
        peer: Ipv4Addr,
        flow: &FlowKey,
        members: &MemberTable,
        now: MonotonicTime,
    ) -> PeerWay {
        let Some(target) = members.peer(peer) else {
            return PeerWay::Direct;
        };
        if target.zone == self.zone || target.version < PeerVersion::DETOURS {
            return PeerWay::Direct;
        }
        let is_relay = |address: Ipv4Addr| {
            members.peer(address).is_some_and(|record| {
                record.zone != self.zone
                    && record.zone != target.zone
                    && record.version >= PeerVersion::DETOURS
            }) && !members.is_cut_off(address, now)
        };
        let flow_hash = hash_flow(flow);
        // Balancers have small links, which callers share.
        let hosts = members.hosts().iter().map(|record| record.peer.address);
        let balancers = members.balancers().iter().map(|record| record.peer.address);
        let relay = first_ranked(flow_hash, hosts.filter(|address| is_relay(*address)))
            .or_else(|| first_ranked(flow_hash, balancers.filter(|address| is_relay(*address))));
        relay.map_or(PeerWay::Direct, PeerWay::Via)
    }

    /// Sends a message to a peer by the given way.
    pub fn send(
        &self,
        way: PeerWay,
        peer: Ipv4Addr,
        message: &CarryMessage,
        payload: &[u8],
        outbox: &mut FlowOutbox,
    ) {
        match way {
            PeerWay::Direct => outbox.enqueue_message(peer, message, payload),
            PeerWay::Via(relay) => {
                let envelope = CarryMessage::Detour {
                    origin: self.address,
                    target: peer,
                };
                outbox.enqueue_enveloped(relay, &envelope, message, payload);
                outbox.record_event(FlowEvent::Detoured { peer, relay });
            }
        }
    }

    /// Passes on a message that `sender` has written for another process.
    pub fn relay(
        &mut self,
        sender: Ipv4Addr,
        origin: Ipv4Addr,
        target: Ipv4Addr,
        payload: &[u8],
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        if sender != origin || target == origin {
            outbox.record_event(FlowEvent::Dropped {
                reason: DropReason::Malformed,
            });
            return;
        }
        if now.since(self.relayed_since) >= Duration::from_secs(1) {
            self.relayed_since = now;
            self.relayed_count = 0;
        }
        if self.relayed_count >= MAX_RELAYED_PER_SECOND {
            outbox.record_event(FlowEvent::Dropped {
                reason: DropReason::RelayLimit,
            });
            return;
        }
        self.relayed_count += 1;
        let envelope = CarryMessage::Detour { origin, target };
        outbox.enqueue_message(target, &envelope, payload);
        outbox.record_event(FlowEvent::Relayed { origin, target });
    }

    fn find_return_way(&self, peer: Ipv4Addr) -> Result<usize, usize> {
        self.return_ways
            .binary_search_by_key(&peer, |return_way| return_way.peer)
    }
}
