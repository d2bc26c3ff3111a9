//! Routing of packets that a host receives from balancers and other hosts.
//!
//! The host accepts a packet of an open flow if its route names the current
//! incarnation of the host. Based on its current load, the host accepts a packet
//! that opens a flow, hands the flow over to the second host named in the header,
//! or drops the packet if neither host accepts new flows.

use std::sync::Mutex;
use std::time::Duration;

use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::packet::ForwardHeader;
use hyssopstair_wire::packet::LoadReport;
use hyssopstair_wire::packet::MAX_HOPS;
use hyssopstair_wire::packet::SecondHost;
use hyssopstair_wire::time::MonotonicTime;

use crate::balancer::DropReason;
use crate::pending::PendingCount;
use crate::quic::QuicForm;
use crate::quic::parse_header;
use crate::shard::ShardSet;
use crate::shard::TableFootprint;
use crate::shard::lock;

/// The action that a host must take for a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostAction<'a> {
    /// Process the packet on this host.
    Accept,
    /// Forward the packet to another host.
    PassOn {
        /// The other host.
        host: ProcessId,
        /// The header to prepend to the packet.
        header: ForwardHeader,
    },
    /// Send a stateless reset to the caller, because the flow no longer exists.
    Reset {
        /// The connection ID of the packet.
        connection_id: &'a [u8],
    },
    /// Drop the packet.
    Drop(DropReason),
}

/// Time for which the decision about a new flow is stored.
pub const OPENING_LIFETIME: Duration = Duration::from_secs(30);

/// Number of shards of the decisions about new flows, each with its own lock.
const OPENING_SHARDS: usize = 256;

/// Maximum length of a connection ID in QUIC version 1, in bytes.
const MAX_CONNECTION_ID_LENGTH: usize = 20;

/// The current load of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLoad {
    /// Number of open flows.
    pub flows: u32,
    /// Number of flows whose handshake is in progress. They count when hosts are
    /// compared, but not against the limit, because some of them never open.
    pub pending: u32,
    /// Maximum number of open flows that the rules allow.
    pub limit: u32,
    /// Whether the host is draining and accepts no new flows.
    pub draining: bool,
}

impl HostLoad {
    /// Returns whether the host accepts new flows.
    pub fn accepts_new_flows(&self) -> bool {
        !self.draining && self.flows < self.limit
    }

    /// Returns the number of open and pending flows, by which hosts are compared.
    pub fn expected_flows(&self) -> u32 {
        self.flows.saturating_add(self.pending)
    }

    /// Returns the report that the host sends to balancers.
    pub fn report(&self) -> LoadReport {
        LoadReport {
            flows: self.expected_flows(),
            takes_new: self.accepts_new_flows(),
        }
    }
}

/// The load difference above which a host hands a new flow over to the second
/// host. With the default, one flow more than the second host is enough.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HandoverMargin {
    /// Absolute part of the margin, in flows.
    pub flows: u32,
    /// Relative part of the margin, in percent of the second host's flows. It is
    /// added to the absolute part.
    pub percent: u32,
}

/// Identifies a new flow by the connection ID that the caller chose for its first
/// packets, truncated to the maximum length of QUIC version 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct OpeningKey {
    length: u8,
    bytes: [u8; MAX_CONNECTION_ID_LENGTH],
}

impl OpeningKey {
    fn new(connection_id: &[u8]) -> Self {
        let length = connection_id.len().min(MAX_CONNECTION_ID_LENGTH);
        let mut bytes = [0; MAX_CONNECTION_ID_LENGTH];
        bytes[..length].copy_from_slice(&connection_id[..length]);
        Self {
            length: length as u8,
            bytes,
        }
    }
}

/// The decision about a new flow. It applies to all packets of the handshake.
#[derive(Debug, Clone, Copy)]
struct OpeningRecord {
    key: OpeningKey,
    /// The host to which the flow was handed over; `None` if it was accepted here.
    passed_to: Option<ProcessId>,
    decided_at: MonotonicTime,
    /// Whether the handshake is counted as pending on this host.
    is_pending: bool,
}

/// Decisions about new flows, sorted by key.
#[derive(Debug, Default)]
struct OpeningShard {
    records: Vec<OpeningRecord>,
    pruned_at: MonotonicTime,
}

/// Decides which packets a host accepts, passes on, resets or drops.
#[derive(Debug)]
pub struct HostRouter {
    service: ServiceId,
    margin: HandoverMargin,
    openings: ShardSet<OpeningShard>,
    pending: Mutex<PendingCount>,
}

impl HostRouter {
    /// Creates a router for a host of `service` with the default margin.
    pub fn new(service: ServiceId) -> Self {
        Self::with_margin(service, HandoverMargin::default())
    }

    /// Creates a router for a host of `service` with the given margin.
    pub fn with_margin(service: ServiceId, margin: HandoverMargin) -> Self {
        Self {
            service,
            margin,
            openings: ShardSet::new(OPENING_SHARDS),
            pending: Mutex::default(),
        }
    }

    /// Returns the action for a packet.
    ///
    /// `own_incarnation` is the current incarnation of the host. It is passed with each call
    /// because it may increase: the host raises it on learning that an earlier
    /// process at its address had a higher one.
    pub fn receive<'a>(
        &self,
        own_incarnation: HostIncarnation,
        header: &ForwardHeader,
        datagram: &'a [u8],
        load: &HostLoad,
        now: MonotonicTime,
    ) -> HostAction<'a> {
        if header.service != self.service {
            return HostAction::Drop(DropReason::WrongService);
        }
        let Some(packet) = parse_header(datagram) else {
            return HostAction::Drop(DropReason::Malformed);
        };
        match header.incarnation {
            Some(incarnation) if incarnation == own_incarnation => HostAction::Accept,
            // The flow belonged to an earlier process at this address and ended
            // with it.
            Some(incarnation)
                if incarnation < own_incarnation && packet.form == QuicForm::Short =>
            {
                HostAction::Reset {
                    connection_id: packet.destination_id,
                }
            }
            Some(_) => HostAction::Drop(DropReason::WrongIncarnation),
            None if header.hops > MAX_HOPS => HostAction::Drop(DropReason::TooManyHops),
            None => self.receive_opening(header, packet.destination_id, load, now),
        }
    }

    /// Returns the number of accepted flows whose handshake is in progress.
    pub fn pending_count(&self, now: MonotonicTime) -> u32 {
        lock(&self.pending).count(now)
    }

    /// Stops counting a handshake as pending after it has succeeded or failed.
    /// `connection_id` is the ID that the caller chose for its first packets.
    pub fn end_handshake(&self, connection_id: &[u8]) {
        let key = OpeningKey::new(connection_id);
        let mut shard = self.openings.lock(&key.bytes);
        let Ok(index) = shard.find(&key) else {
            return;
        };
        let record = &mut shard.records[index];
        if record.is_pending {
            record.is_pending = false;
            lock(&self.pending).end(record.decided_at);
        }
    }

    /// Returns the size of the table of decisions.
    pub fn footprint(&self) -> TableFootprint {
        let mut footprint = TableFootprint::default();
        self.openings.for_each(|shard| {
            footprint.records += shard.records.len();
            footprint.bytes += shard.records.capacity() * size_of::<OpeningRecord>();
        });
        footprint
    }

    fn receive_opening<'a>(
        &self,
        header: &ForwardHeader,
        connection_id: &[u8],
        load: &HostLoad,
        now: MonotonicTime,
    ) -> HostAction<'a> {
        let key = OpeningKey::new(connection_id);
        let mut shard = self.openings.lock(&key.bytes);
        shard.prune(now);
        let position = shard.find(&key);
        // A packet that has reached the hop limit was sent back by the host to which
        // the flow was handed over, so this host accepts it despite its earlier
        // decision.
        if header.hops >= MAX_HOPS
            && load.accepts_new_flows()
            && shard.cancel_handover(position, key, now)
        {
            lock(&self.pending).begin(now);
        }
        let index = match shard.find(&key) {
            Ok(index) => index,
            Err(index) => {
                let passed_to = match decide_opening(header, load, self.margin) {
                    OpeningDecision::Accept => None,
                    OpeningDecision::HandOver(host) => Some(host),
                    OpeningDecision::Refuse => return HostAction::Drop(DropReason::Full),
                };
                let is_pending = passed_to.is_none();
                if is_pending {
                    lock(&self.pending).begin(now);
                }
                let record = OpeningRecord {
                    key,
                    passed_to,
                    decided_at: now,
                    is_pending,
                };
                shard.records.insert(index, record);
                index
            }
        };
        apply_decision(header, shard.records[index].passed_to)
    }
}

impl OpeningShard {
    fn find(&self, key: &OpeningKey) -> Result<usize, usize> {
        self.records.binary_search_by_key(key, |record| record.key)
    }

    /// Replaces a decision to hand a flow over with one to accept it, and returns
    /// whether there was such a decision.
    fn cancel_handover(
        &mut self,
        position: Result<usize, usize>,
        key: OpeningKey,
        now: MonotonicTime,
    ) -> bool {
        let Ok(index) = position else {
            return false;
        };
        if self.records[index].passed_to.is_none() {
            return false;
        }
        self.records[index] = OpeningRecord {
            key,
            passed_to: None,
            decided_at: now,
            is_pending: true,
        };
        true
    }

    /// Removes expired decisions, at most once per `OPENING_LIFETIME / 8`.
    fn prune(&mut self, now: MonotonicTime) {
        if now.since(self.pruned_at) < OPENING_LIFETIME / 8 {
            return;
        }
        self.pruned_at = now;
        self.records
            .retain(|record| now.since(record.decided_at) < OPENING_LIFETIME);
    }
}

/// The decision about a packet that opens a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OpeningDecision {
    Accept,
    HandOver(ProcessId),
    Refuse,
}

fn decide_opening(
    header: &ForwardHeader,
    load: &HostLoad,
    margin: HandoverMargin,
) -> OpeningDecision {
    let second = header.second.filter(may_accept_flow);
    match second {
        Some(second) if !load.accepts_new_flows() => OpeningDecision::HandOver(second.process),
        // A flow that was already handed over is sent back only if this host accepts
        // no new flows.
        Some(second) if header.hops == 0 && exceeds_margin(load, &second, margin) => {
            OpeningDecision::HandOver(second.process)
        }
        _ if load.accepts_new_flows() => OpeningDecision::Accept,
        _ => OpeningDecision::Refuse,
    }
}

/// Returns whether the second host may accept a flow. A host without a recent load
/// report is assumed to.
fn may_accept_flow(second: &SecondHost) -> bool {
    second.load.is_none_or(|report| report.takes_new)
}

/// Returns whether the load of this host exceeds that of the second host by more
/// than the margin, in relation to their weights. Returns false if the load of the
/// second host is unknown.
fn exceeds_margin(load: &HostLoad, second: &SecondHost, margin: HandoverMargin) -> bool {
    let Some(report) = second.load else {
        return false;
    };
    let allowed = u64::from(report.flows) * u64::from(100 + margin.percent) / 100;
    let allowed = allowed + u64::from(margin.flows);
    let weighted_flows = u64::from(load.expected_flows()) * u64::from(second.weight);
    weighted_flows > allowed * u64::from(second.first_weight)
}

/// Returns the action that follows from a stored decision.
fn apply_decision<'a>(header: &ForwardHeader, passed_to: Option<ProcessId>) -> HostAction<'a> {
    let Some(host) = passed_to else {
        return HostAction::Accept;
    };
    HostAction::PassOn {
        host,
        header: ForwardHeader {
            second: None,
            hops: header.hops + 1,
            ..*header
        },
    }
}
