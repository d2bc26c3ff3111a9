//! What a host does with a packet that it is sent.
//!
//! A packet of an open flow is taken if it names this life of this host. A
//! packet that opens a flow is taken, or handed over once to the second host on
//! the list, by the present load of the first.

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

/// What a host does with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostAction<'a> {
    /// Hands it to its own flows.
    Accept,
    /// Sends it to another host.
    PassOn {
        /// The other host.
        host: ProcessId,
        /// The header to put before the packet.
        header: ForwardHeader,
    },
    /// Tells the caller that the flow is gone.
    Reset {
        /// The connection ID of the packet.
        connection_id: &'a [u8],
    },
    /// Does nothing.
    Drop(DropReason),
}

/// How long a decision about a new flow is remembered.
pub const OPENING_MEMORY: Duration = Duration::from_secs(30);

/// Locks that the decisions about new flows are spread over.
const OPENING_SHARDS: usize = 256;

/// Longest connection ID of QUIC version 1, in bytes.
const MAX_CONNECTION_LENGTH: usize = 20;

/// The load of a host at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLoad {
    /// Open flows.
    pub flows: u32,
    /// Flows whose handshake is under way. They count when hosts are compared,
    /// and not against the limit, because some of them never open.
    pub pending: u32,
    /// Most flows that the rules allow.
    pub limit: u32,
    /// Whether the host takes nothing new.
    pub draining: bool,
}

impl HostLoad {
    /// Returns whether the host takes new flows.
    pub fn takes_new(&self) -> bool {
        !self.draining && self.flows < self.limit
    }

    /// Returns the flows that count when hosts are compared.
    pub fn expected_flows(&self) -> u32 {
        self.flows.saturating_add(self.pending)
    }

    /// Returns what the host tells balancers.
    pub fn report(&self) -> LoadReport {
        LoadReport {
            flows: self.expected_flows(),
            takes_new: self.takes_new(),
        }
    }
}

/// How much busier than the second a host must be to hand a flow over. By
/// default one flow more is enough.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HandoverMargin {
    /// Flows more than the second has.
    pub flows: u32,
    /// And percent more than the second has.
    pub percent: u32,
}

/// The start of the connection ID that a caller chose for its first packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct OpeningKey {
    length: u8,
    bytes: [u8; MAX_CONNECTION_LENGTH],
}

impl OpeningKey {
    fn new(connection_id: &[u8]) -> Self {
        let length = connection_id.len().min(MAX_CONNECTION_LENGTH);
        let mut bytes = [0; MAX_CONNECTION_LENGTH];
        bytes[..length].copy_from_slice(&connection_id[..length]);
        Self {
            length: length as u8,
            bytes,
        }
    }
}

/// A decision about a new flow, kept for the length of its handshake.
#[derive(Debug, Clone, Copy)]
struct OpeningRecord {
    key: OpeningKey,
    passed_to: Option<ProcessId>,
    decided: MonotonicTime,
    is_pending: bool,
}

#[derive(Debug, Default)]
struct OpeningShard {
    records: Vec<OpeningRecord>,
    pruned: MonotonicTime,
}

/// The decisions of one host about packets.
#[derive(Debug)]
pub struct HostRouter {
    service: ServiceId,
    margin: HandoverMargin,
    openings: ShardSet<OpeningShard>,
    pending: Mutex<PendingCount>,
}

impl HostRouter {
    /// Creates the gate of a host of the service.
    pub fn new(service: ServiceId) -> Self {
        Self::with_margin(service, HandoverMargin::default())
    }

    /// Creates a gate that hands over by another margin.
    pub fn with_margin(service: ServiceId, margin: HandoverMargin) -> Self {
        Self {
            service,
            margin,
            openings: ShardSet::new(OPENING_SHARDS),
            pending: Mutex::default(),
        }
    }

    /// Decides about one packet. `me` is the incarnation of the host: it grows
    /// when the host hears that an earlier process at its address had a higher
    /// one.
    pub fn receive<'a>(
        &self,
        me: HostIncarnation,
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
            Some(incarnation) if incarnation == me => HostAction::Accept,
            // The address had an earlier process: its flows died with it.
            Some(incarnation) if incarnation < me && packet.form == QuicForm::Short => {
                HostAction::Reset {
                    connection_id: packet.destination_id,
                }
            }
            Some(_) => HostAction::Drop(DropReason::WrongIncarnation),
            None if header.hops > MAX_HOPS => HostAction::Drop(DropReason::TooManyHops),
            None => self.receive_opening(header, packet.destination_id, load, now),
        }
    }

    /// Returns the flows that the host took and whose handshake is under way.
    pub fn pending(&self, now: MonotonicTime) -> u32 {
        lock(&self.pending).count(now)
    }

    /// Notes that a handshake has ended, well or not. `connection_id` is the
    /// connection ID that the caller chose for its first packets.
    pub fn end_handshake(&self, connection_id: &[u8]) {
        let key = OpeningKey::new(connection_id);
        let mut shard = self.openings.lock(&key.bytes);
        let Ok(index) = shard.find(&key) else {
            return;
        };
        let record = &mut shard.records[index];
        if record.is_pending {
            record.is_pending = false;
            lock(&self.pending).leave(record.decided);
        }
    }

    /// Returns what the remembered decisions take.
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
        let found = shard.find(&key);
        // A packet that may go no further stays, whatever was decided before:
        // the host that the flow was handed over to has sent it back.
        if header.hops >= MAX_HOPS && load.takes_new() && shard.gives_up(found, key, now) {
            lock(&self.pending).enter(now);
        }
        let index = match shard.find(&key) {
            Ok(index) => index,
            Err(index) => {
                let passed_to = match decide_opening(header, load, self.margin) {
                    OpeningVerdict::Take => None,
                    OpeningVerdict::HandOver(host) => Some(host),
                    OpeningVerdict::Refuse => return HostAction::Drop(DropReason::Full),
                };
                let is_pending = passed_to.is_none();
                if is_pending {
                    lock(&self.pending).enter(now);
                }
                let record = OpeningRecord {
                    key,
                    passed_to,
                    decided: now,
                    is_pending,
                };
                shard.records.insert(index, record);
                index
            }
        };
        pass_or_accept(header, shard.records[index].passed_to)
    }
}

impl OpeningShard {
    fn find(&self, key: &OpeningKey) -> Result<usize, usize> {
        self.records.binary_search_by_key(key, |record| record.key)
    }

    /// Replaces the decision to hand a flow over by the one to take it, and
    /// returns whether there was one.
    fn gives_up(
        &mut self,
        found: Result<usize, usize>,
        key: OpeningKey,
        now: MonotonicTime,
    ) -> bool {
        let Ok(index) = found else {
            return false;
        };
        if self.records[index].passed_to.is_none() {
            return false;
        }
        self.records[index] = OpeningRecord {
            key,
            passed_to: None,
            decided: now,
            is_pending: true,
        };
        true
    }

    fn prune(&mut self, now: MonotonicTime) {
        if now.since(self.pruned) < OPENING_MEMORY / 8 {
            return;
        }
        self.pruned = now;
        self.records
            .retain(|record| now.since(record.decided) < OPENING_MEMORY);
    }
}

/// What becomes of a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OpeningVerdict {
    Take,
    HandOver(ProcessId),
    Refuse,
}

fn decide_opening(
    header: &ForwardHeader,
    load: &HostLoad,
    margin: HandoverMargin,
) -> OpeningVerdict {
    let second = header.second.filter(may_take_new);
    match second {
        Some(second) if !load.takes_new() => OpeningVerdict::HandOver(second.process),
        // A flow that was handed over once is sent back only if it cannot stay.
        Some(second) if header.hops == 0 && is_busier(load, &second, margin) => {
            OpeningVerdict::HandOver(second.process)
        }
        _ if load.takes_new() => OpeningVerdict::Take,
        _ => OpeningVerdict::Refuse,
    }
}

/// Returns whether nothing is known that speaks against a host.
fn may_take_new(second: &SecondHost) -> bool {
    second.load.is_none_or(|report| report.takes_new)
}

/// Compares flows by weight. A second of unknown load is left alone.
fn is_busier(load: &HostLoad, second: &SecondHost, margin: HandoverMargin) -> bool {
    let Some(report) = second.load else {
        return false;
    };
    let allowed = u64::from(report.flows) * u64::from(100 + margin.percent) / 100;
    let allowed = allowed + u64::from(margin.flows);
    let own = u64::from(load.expected_flows()) * u64::from(second.weight);
    own > allowed * u64::from(second.first_weight)
}

fn pass_or_accept<'a>(header: &ForwardHeader, passed_to: Option<ProcessId>) -> HostAction<'a> {
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
