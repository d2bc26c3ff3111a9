//! What a host does with a packet that it is sent.

use std::net::SocketAddrV4;

use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::packet::ForwardHeader;
use hyssopstair_wire::packet::MAX_HOPS;
use hyssopstair_wire::time::MonotonicTime;
use std::time::Duration;

use crate::balancer::DropReason;
use crate::quic::QuicForm;
use crate::quic::parse_header;

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
        connection: &'a [u8],
    },
    /// Does nothing.
    Drop(DropReason),
}

/// How long a decision about a new flow is remembered.
pub const OPENING_MEMORY: Duration = Duration::from_secs(30);

/// The load of a host at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLoad {
    /// Open flows.
    pub flows: u32,
    /// Most flows that the rules allow.
    pub limit: u32,
    /// Whether the host takes nothing new.
    pub draining: bool,
}

/// A decision about a new flow, kept for the length of its handshake.
#[derive(Debug, Clone)]
struct OpeningRecord {
    connection: Vec<u8>,
    passed_to: Option<ProcessId>,
    decided: MonotonicTime,
}

/// The decisions of one host about packets.
#[derive(Debug)]
pub struct HostGate {
    me: ProcessId,
    service: ServiceId,
    openings: Vec<OpeningRecord>,
    pruned: MonotonicTime,
}

impl HostGate {
    /// Creates the gate of the host `me`.
    pub fn new(me: ProcessId, service: ServiceId) -> Self {
        Self {
            me,
            service,
            openings: Vec::new(),
            pruned: MonotonicTime::default(),
        }
    }

    /// Decides about one packet.
    pub fn receive<'a>(
        &mut self,
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
            Some(incarnation) if incarnation == self.me.incarnation => HostAction::Accept,
            // The address had an earlier process: its flows died with it.
            Some(incarnation)
                if incarnation < self.me.incarnation && packet.form == QuicForm::Short =>
            {
                HostAction::Reset {
                    connection: packet.destination,
                }
            }
            Some(_) => HostAction::Drop(DropReason::WrongIncarnation),
            None => self.receive_opening(header, packet.destination, load, now),
        }
    }

    fn receive_opening<'a>(
        &mut self,
        header: &ForwardHeader,
        connection: &[u8],
        load: &HostLoad,
        now: MonotonicTime,
    ) -> HostAction<'a> {
        self.prune(now);
        let found = self
            .openings
            .binary_search_by(|record| record.connection.as_slice().cmp(connection));
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                let Some(passed_to) = decide_opening(header, load) else {
                    return HostAction::Drop(DropReason::Full);
                };
                let record = OpeningRecord {
                    connection: connection.to_vec(),
                    passed_to,
                    decided: now,
                };
                self.openings.insert(index, record);
                index
            }
        };
        pass_or_accept(header, self.openings[index].passed_to)
    }

    fn prune(&mut self, now: MonotonicTime) {
        if now.since(self.pruned) < OPENING_MEMORY / 8 {
            return;
        }
        self.pruned = now;
        self.openings
            .retain(|record| now.since(record.decided) < OPENING_MEMORY);
    }
}

/// Returns the host that takes the flow, none for this one, or nothing when
/// the flow is refused.
fn decide_opening(header: &ForwardHeader, load: &HostLoad) -> Option<Option<ProcessId>> {
    if !load.draining && load.flows < load.limit {
        return Some(None);
    }
    match header.second {
        Some(second) if header.hops + 1 < MAX_HOPS => Some(Some(second)),
        _ => None,
    }
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

/// The balancer that a caller was last heard through.
#[derive(Debug, Clone, Copy)]
struct ReturnPath {
    caller: SocketAddrV4,
    target: SocketAddrV4,
    balancer: SocketAddrV4,
    heard: MonotonicTime,
}

/// A balancer that packets were received from.
#[derive(Debug, Clone, Copy)]
struct HeardBalancer {
    address: SocketAddrV4,
    heard: MonotonicTime,
}

/// How a host reaches its callers: through the balancer that each was last
/// heard through, or another one when that one is quiet.
#[derive(Debug, Default)]
pub struct ReturnTable {
    paths: Vec<ReturnPath>,
    balancers: Vec<HeardBalancer>,
    pruned: MonotonicTime,
}

/// Where an answer to a caller is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReturnRoute {
    /// The balancer.
    pub balancer: SocketAddrV4,
    /// The address that the caller sent to.
    pub target: SocketAddrV4,
}

/// A balancer that was not heard for this long is passed over when another was.
pub const BALANCER_QUIET: Duration = Duration::from_millis(300);

/// A caller that was not heard for this long is forgotten.
pub const CALLER_FORGOTTEN: Duration = Duration::from_secs(120);

impl ReturnTable {
    /// Notes that a caller was heard through a balancer.
    pub fn hear(&mut self, header: &ForwardHeader, now: MonotonicTime) {
        let path = ReturnPath {
            caller: header.caller,
            target: header.target,
            balancer: header.balancer,
            heard: now,
        };
        match self.find(header.caller) {
            Ok(index) => self.paths[index] = path,
            Err(index) => self.paths.insert(index, path),
        }
        self.hear_balancer(header.balancer, now);
        self.prune(now);
    }

    /// Notes that a balancer does not answer.
    pub fn lose_balancer(&mut self, address: SocketAddrV4) {
        self.balancers
            .retain(|balancer| balancer.address != address);
    }

    /// Returns where an answer to a caller is sent, or nothing when the caller
    /// was never heard.
    pub fn route(&self, caller: SocketAddrV4, now: MonotonicTime) -> Option<ReturnRoute> {
        let path = &self.paths[self.find(caller).ok()?];
        let balancer = self.live_balancer(path.balancer, now);
        Some(ReturnRoute {
            balancer,
            target: path.target,
        })
    }

    fn live_balancer(&self, preferred: SocketAddrV4, now: MonotonicTime) -> SocketAddrV4 {
        let quiet = |item: &HeardBalancer| now.since(item.heard) > BALANCER_QUIET;
        let known = self.balancers.iter().find(|item| item.address == preferred);
        if known.is_some_and(|item| !quiet(item)) {
            return preferred;
        }
        let latest = self.balancers.iter().max_by_key(|item| item.heard);
        latest.map_or(preferred, |item| item.address)
    }

    fn hear_balancer(&mut self, address: SocketAddrV4, now: MonotonicTime) {
        let heard = HeardBalancer {
            address,
            heard: now,
        };
        let found = self
            .balancers
            .binary_search_by_key(&address, |item| item.address);
        match found {
            Ok(index) => self.balancers[index] = heard,
            Err(index) => self.balancers.insert(index, heard),
        }
    }

    fn find(&self, caller: SocketAddrV4) -> Result<usize, usize> {
        self.paths.binary_search_by_key(&caller, |path| path.caller)
    }

    fn prune(&mut self, now: MonotonicTime) {
        if now.since(self.pruned) < CALLER_FORGOTTEN / 8 {
            return;
        }
        self.pruned = now;
        self.paths
            .retain(|path| now.since(path.heard) < CALLER_FORGOTTEN);
        self.balancers
            .retain(|balancer| now.since(balancer.heard) < CALLER_FORGOTTEN);
    }
}
