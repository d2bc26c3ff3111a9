//! Membership: the hosts and balancers that a process knows from their hellos.
//!
//! Each process keeps its own table. Timeouts grow with the number of peers, so that
//! the cost of hellos stays bounded.

use std::net::Ipv4Addr;
use std::time::Duration;

use hyssopstair_wire::carried::CarryLoad;
use hyssopstair_wire::carried::HelloExtension;
use hyssopstair_wire::carried::HelloMessage;
use hyssopstair_wire::carried::HelloRole;
use hyssopstair_wire::carried::HostHello;
use hyssopstair_wire::carried::PeerVersion;
use hyssopstair_wire::carried::ServerState;
use hyssopstair_wire::time::MonotonicTime;

use crate::room::estimated_requests;
use crate::room::full_time;
use crate::room::has_room;
use crate::room::request_limit;

/// Minimum interval between hellos to the same peer. It bounds the age of load reports;
/// a quarter of a second costs a balancer 40 datagrams a second with ten hosts.
pub const MIN_HELLO_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of hellos that a process sends per second, so that the cost of
/// membership stays constant as the fleet grows.
const MAX_HELLOS_PER_SECOND: u32 = 100;

/// Number of consecutive hellos that a peer may miss before new flows avoid it.
const MAX_MISSED_HELLOS: u32 = 4;

/// Number of intervals between hellos after which the silence of a peer is taken for a link
/// that loses packets. One lost hello is no evidence.
const OVERDUE_HELLOS: u32 = 3;

/// Silence after which a peer is evicted. Network partitions between the users' machines
/// are shorter, so that peers still know each other after one.
pub const PEER_EVICTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Silence after which balancers no longer wait for a host before they reset a flow. A
/// planned restart takes less, and callers have given up by then.
pub const HOST_UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Minimum number of hosts with a server, all of them new, that indicates a full outage.
const MIN_OUTAGE_HOSTS: usize = 3;

/// Number of hosts with a new server for each host that does not know its server, from which
/// the latter is no evidence against a full outage.
const NEW_SERVERS_PER_UNKNOWN: usize = 4;

/// Time for which new flows avoid a host that did not answer an opening packet, unless
/// a message from it arrives before.
const UNANSWERED_AVOIDANCE: Duration = Duration::from_secs(2);

/// Time since the last hello of a host of a former build from which it gets no new flows. It does
/// not compare the service of an offer, and its address may belong to another service 2 s after
/// its end.
const MAX_UNCHECKED_AGE: Duration = Duration::from_millis(1_500);

/// Properties that all peers have.
#[derive(Debug, Clone)]
pub struct PeerRecord {
    /// Address of the peer.
    pub address: Ipv4Addr,
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub started_unix_millis: u64,
    /// Number of its last hello.
    pub hello_number: u32,
    /// Name of its availability zone.
    pub zone: String,
    /// Version of its routes; 0 while it has none.
    pub routes_version: u64,
    /// Newest version of the messages that it understands.
    pub version: PeerVersion,
    /// Whether it has said that it gets no messages of this process.
    pub is_deaf: bool,
    /// Time at which its last hello arrived.
    pub hello_at: MonotonicTime,
    /// Time at which its last hello or load report arrived.
    pub last_seen_at: MonotonicTime,
}

/// A host, as described by its hellos.
#[derive(Debug, Clone)]
pub struct HostRecord {
    /// Properties that all peers have.
    pub peer: PeerRecord,
    /// Name of the service of its backend server.
    pub service: String,
    /// State of its backend server.
    pub server: ServerState,
    /// Load that it reported last.
    pub load: CarryLoad,
    /// Time at which that report arrived.
    pub reported_at: MonotonicTime,
    /// Number of new flows sent to it since that report.
    pub flows_since_report: u16,
    /// Time until which new flows avoid it because it did not answer an opening packet.
    pub avoided_until: MonotonicTime,
    /// Time until which it counts as full because it has turned a flow away.
    pub full_until: MonotonicTime,
    /// Target latency of that flow; zero if not known.
    pub full_target: Duration,
    /// Whether its server may hold flows that are missing from its table.
    pub is_relearning: bool,
    /// Whether its server started recently.
    pub is_server_new: bool,
    /// Whether the process is stopping.
    pub is_stopping: bool,
}

impl HostRecord {
    /// Returns whether new flows may be offered to the host.
    pub fn accepts_new_flows(&self, timeouts: &MemberTimeouts, now: MonotonicTime) -> bool {
        self.server == ServerState::Ready
            && !self.is_stopping
            && now >= self.avoided_until
            && now.since(self.peer.last_seen_at) < timeouts.suspect_after
    }

    /// Returns whether an offer for the host's service reaches a server of that service or none:
    /// either the host checks it, or the host's address cannot have been reused since its last
    /// hello.
    pub fn is_service_certain(&self, now: MonotonicTime) -> bool {
        self.peer.version >= PeerVersion::OFFERS
            || now.since(self.peer.hello_at) < MAX_UNCHECKED_AGE
    }

    /// Returns whether the host probably accepts another flow of this balancer, whose caller
    /// expects an answer within `target_latency`; zero if not known.
    pub fn may_accept(&self, target_latency: Duration, now: MonotonicTime) -> bool {
        let limit = f64::from(request_limit(&self.load, target_latency));
        now >= self.full_until && self.estimated_requests(now) < limit
    }

    /// Returns whether the host probably has a free slot.
    pub fn may_have_free_slot(&self, now: MonotonicTime) -> bool {
        let slots = f64::from(self.load.slots.max(1));
        now >= self.full_until && self.estimated_requests(now) < slots
    }

    fn estimated_requests(&self, now: MonotonicTime) -> f64 {
        let elapsed = now.since(self.reported_at);
        estimated_requests(&self.load, self.flows_since_report, elapsed)
    }

    /// Returns whether the host may hold flows that balancers search for. A host that
    /// has been silent for [`HOST_UNREACHABLE_TIMEOUT`] does not count: its callers are
    /// better served by another server, whether the host is running or not.
    pub fn may_hold_flows(&self, now: MonotonicTime) -> bool {
        now.since(self.peer.last_seen_at) < HOST_UNREACHABLE_TIMEOUT
    }

    /// Returns whether the host may be beside a server that ran before this balancer met it.
    /// After an outage of all servers, a host that does not know a server has none that holds
    /// flows.
    pub fn may_have_older_server(&self, is_after_full_outage: bool) -> bool {
        match self.server {
            ServerState::Down => false,
            ServerState::Unknown => !is_after_full_outage,
            ServerState::Ready | ServerState::Draining => true,
        }
    }

    /// Returns whether a new flow may be offered to the host if no other host accepts new
    /// flows. A host that has just started may learn of the service of its server within a
    /// heartbeat.
    pub fn is_fallback(&self) -> bool {
        let may_accept_soon = match self.server {
            ServerState::Ready | ServerState::Unknown => true,
            ServerState::Draining => self.is_relearning,
            ServerState::Down => false,
        };
        may_accept_soon && !self.is_stopping
    }
}

/// A balancer, as described by its hellos.
#[derive(Debug, Clone)]
pub struct BalancerRecord {
    /// Properties that all peers have.
    pub peer: PeerRecord,
    /// Whether the process is stopping.
    pub is_stopping: bool,
    /// Number of possible owners of flows from which it has recently received messages.
    pub reachable_host_count: u16,
}

/// Intervals and timeouts that depend on the number of peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberTimeouts {
    /// Interval between hellos to the same peer.
    pub hello_interval: Duration,
    /// Silence after which new flows avoid a peer.
    pub suspect_after: Duration,
}

impl MemberTimeouts {
    /// Returns the timeouts for a process that sends hellos to `peer_count` peers.
    pub fn for_peer_count(peer_count: usize) -> Self {
        let spread_interval = Duration::from_secs(1) * peer_count as u32 / MAX_HELLOS_PER_SECOND;
        let hello_interval = MIN_HELLO_INTERVAL.max(spread_interval);
        Self {
            hello_interval,
            suspect_after: hello_interval * MAX_MISSED_HELLOS,
        }
    }

    /// Returns the silence after which a hello of a peer is overdue.
    pub fn overdue_after(&self) -> Duration {
        self.hello_interval * 2
    }
}

/// Effect of a hello on the member table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HelloOutcome {
    /// The sender was not known, or has restarted.
    Joined,
    /// The hello updates the record of a known sender.
    Updated,
    /// The hello is not newer than the last one of its sender, and was ignored.
    Stale,
}

/// The peers that a process knows, sorted by address.
#[derive(Debug, Default)]
pub struct MemberTable {
    hosts: Vec<HostRecord>,
    balancers: Vec<BalancerRecord>,
}

impl MemberTable {
    /// Returns the known hosts, sorted by address.
    pub fn hosts(&self) -> &[HostRecord] {
        &self.hosts
    }

    /// Returns the known balancers, sorted by address.
    pub fn balancers(&self) -> &[BalancerRecord] {
        &self.balancers
    }

    /// Returns the known hosts as a mutable slice.
    pub fn hosts_mut(&mut self) -> &mut [HostRecord] {
        &mut self.hosts
    }

    /// Returns the host at `address`, if it is known.
    pub fn host(&self, address: Ipv4Addr) -> Option<&HostRecord> {
        let index = self.find_host(address).ok()?;
        Some(&self.hosts[index])
    }

    /// Returns a mutable reference to the host at `address`, if it is known.
    pub fn host_mut(&mut self, address: Ipv4Addr) -> Option<&mut HostRecord> {
        let index = self.find_host(address).ok()?;
        Some(&mut self.hosts[index])
    }

    /// Returns the number of possible owners of flows that are not suspect.
    pub fn reachable_host_count(&self, now: MonotonicTime) -> usize {
        let limit = self.timeouts().suspect_after;
        self.possible_owners()
            .filter(|record| now.since(record.peer.last_seen_at) < limit)
            .count()
    }

    /// Returns the number of balancers that are not suspect.
    pub fn reachable_balancer_count(&self, now: MonotonicTime) -> usize {
        let limit = self.timeouts().suspect_after;
        self.balancers
            .iter()
            .filter(|record| now.since(record.peer.last_seen_at) < limit)
            .count()
    }

    /// Iterates over the hosts whose servers may hold flows.
    pub fn possible_owners(&self) -> impl Iterator<Item = &HostRecord> {
        let is_after_outage = self.is_after_full_outage();
        self.hosts
            .iter()
            .filter(move |record| record.may_have_older_server(is_after_outage))
    }

    /// Returns whether all servers have just started, so that no older flow exists. A few
    /// hosts that do not know their server do not count: when power returns, hosts of servers
    /// that have left may run for a moment.
    pub fn is_after_full_outage(&self) -> bool {
        let mut new_count = 0;
        let mut unknown_count = 0;
        for record in &self.hosts {
            match record.server {
                ServerState::Down => {}
                ServerState::Unknown => unknown_count += 1,
                ServerState::Ready | ServerState::Draining if record.is_server_new => {
                    new_count += 1;
                }
                ServerState::Ready | ServerState::Draining => return false,
            }
        }
        new_count >= MIN_OUTAGE_HOSTS && unknown_count * NEW_SERVERS_PER_UNKNOWN <= new_count
    }

    /// Returns the addresses of the known balancers.
    pub fn balancer_addresses(&self) -> Vec<Ipv4Addr> {
        self.balancers
            .iter()
            .map(|record| record.peer.address)
            .collect()
    }

    /// Returns whether a balancer at `address` is known.
    pub fn has_balancer(&self, address: Ipv4Addr) -> bool {
        self.find_balancer(address).is_ok()
    }

    /// Returns the timeouts for the current number of peers.
    pub fn timeouts(&self) -> MemberTimeouts {
        MemberTimeouts::for_peer_count(self.hosts.len().max(self.balancers.len()))
    }

    /// Returns the highest version of the routes that a peer has, and the address of that
    /// peer, or `None` if no peer is known.
    pub fn newest_routes(&self) -> Option<(u64, Ipv4Addr)> {
        let hosts = self.hosts.iter().map(|record| &record.peer);
        let balancers = self.balancers.iter().map(|record| &record.peer);
        balancers
            .chain(hosts)
            .map(|peer| (peer.routes_version, peer.address))
            .max()
    }

    /// Returns the properties of the peer at `address`, if it is known.
    pub fn peer(&self, address: Ipv4Addr) -> Option<&PeerRecord> {
        match self.host(address) {
            Some(record) => Some(&record.peer),
            None => self.balancer(address).map(|record| &record.peer),
        }
    }

    fn balancer(&self, address: Ipv4Addr) -> Option<&BalancerRecord> {
        let index = self.find_balancer(address).ok()?;
        Some(&self.balancers[index])
    }

    /// Returns whether messages to or from a known peer get lost: it has sent nothing for
    /// [`OVERDUE_HELLOS`] of the intervals at which it sends hellos, or has said that it gets
    /// nothing.
    pub fn is_cut_off(&self, address: Ipv4Addr, now: MonotonicTime) -> bool {
        let (peer, receiver_count) = if let Some(record) = self.host(address) {
            (&record.peer, self.balancers.len() + 1)
        } else if let Some(record) = self.balancer(address) {
            let host_count = usize::from(record.reachable_host_count).max(self.hosts.len());
            (&record.peer, host_count.max(self.balancers.len()))
        } else {
            return false;
        };
        let interval = MemberTimeouts::for_peer_count(receiver_count).hello_interval;
        peer.is_deaf || now.since(peer.last_seen_at) >= interval * OVERDUE_HELLOS
    }

    /// Returns the time since the last message of a peer, in milliseconds, if it is known.
    pub fn silence_millis(&self, address: Ipv4Addr, now: MonotonicTime) -> Option<u32> {
        let silence = now.since(self.peer(address)?.last_seen_at);
        Some(silence.as_millis().min(u128::from(u32::MAX)) as u32)
    }

    /// Records a hello of the peer at `from`, and returns its effect.
    pub fn record_hello(
        &mut self,
        from: Ipv4Addr,
        hello: &HelloMessage,
        extension: &HelloExtension,
        now: MonotonicTime,
    ) -> HelloOutcome {
        let overdue_after = self.timeouts().hello_interval * OVERDUE_HELLOS;
        let silence = extension.silence_millis.unwrap_or_default();
        let peer = PeerRecord {
            address: from,
            started_unix_millis: hello.started,
            hello_number: hello.number,
            zone: hello.zone.clone(),
            routes_version: hello.routes,
            version: extension.version,
            is_deaf: Duration::from_millis(u64::from(silence)) >= overdue_after,
            hello_at: now,
            last_seen_at: now,
        };
        match &hello.role {
            HelloRole::Host(host) => self.record_host(peer, host, now),
            HelloRole::Balancer(balancer) => self.record_balancer(BalancerRecord {
                peer,
                is_stopping: balancer.is_stopping,
                reachable_host_count: balancer.hosts,
            }),
        }
    }

    /// Removes the peers that have been silent for [`PEER_EVICTION_TIMEOUT`], and
    /// returns their addresses with the time since their last message.
    pub fn evict_silent(&mut self, now: MonotonicTime) -> Vec<(Ipv4Addr, Duration)> {
        let mut evicted = Vec::new();
        let mut keep = |peer: &PeerRecord| {
            let silence = now.since(peer.last_seen_at);
            if silence >= PEER_EVICTION_TIMEOUT {
                evicted.push((peer.address, silence));
            }
            silence < PEER_EVICTION_TIMEOUT
        };
        self.hosts.retain(|record| keep(&record.peer));
        self.balancers.retain(|record| keep(&record.peer));
        evicted
    }

    /// Makes new flows avoid a host that did not answer in time.
    pub fn avoid_host(&mut self, address: Ipv4Addr, now: MonotonicTime) {
        if let Some(record) = self.host_mut(address) {
            record.avoided_until = now + UNANSWERED_AVOIDANCE;
        }
    }

    /// Records that a host has turned a flow away, because its server has no room for requests
    /// that are to be answered within `target_latency`; zero if not known.
    pub fn record_full(&mut self, address: Ipv4Addr, target_latency: Duration, now: MonotonicTime) {
        let balancer_count = self.balancers.len() + 1;
        if let Some(record) = self.host_mut(address) {
            record.full_target = target_latency;
            record.full_until = now + full_time(&record.load, balancer_count);
        }
    }

    /// Records the load that a host reported in a message other than a hello.
    pub fn record_load(&mut self, address: Ipv4Addr, load: CarryLoad, now: MonotonicTime) {
        if let Some(record) = self.host_mut(address) {
            record.load = load;
            record.reported_at = now;
            record.flows_since_report = 0;
            record.peer.last_seen_at = now;
            if has_room(&load, record.full_target) {
                record.full_until = MonotonicTime::default();
            }
            record.avoided_until = MonotonicTime::default();
        }
    }

    /// Removes a balancer that has stopped.
    pub fn remove_balancer(&mut self, address: Ipv4Addr) {
        if let Ok(index) = self.find_balancer(address) {
            self.balancers.remove(index);
        }
    }

    /// Removes a host that has stopped along with its server.
    pub fn remove_host(&mut self, address: Ipv4Addr) {
        if let Ok(index) = self.find_host(address) {
            self.hosts.remove(index);
        }
    }

    fn record_host(
        &mut self,
        peer: PeerRecord,
        hello: &HostHello,
        now: MonotonicTime,
    ) -> HelloOutcome {
        let record = HostRecord {
            service: hello.service.clone(),
            server: hello.server,
            load: hello.load,
            reported_at: now,
            flows_since_report: 0,
            avoided_until: MonotonicTime::default(),
            full_until: MonotonicTime::default(),
            full_target: Duration::ZERO,
            is_relearning: hello.is_relearning,
            is_server_new: hello.is_server_new,
            is_stopping: hello.is_stopping,
            peer,
        };
        match self.find_host(record.peer.address) {
            Ok(index) => {
                let outcome = compare_hellos(&self.hosts[index].peer, &record.peer);
                if outcome != HelloOutcome::Stale {
                    let former = std::mem::replace(&mut self.hosts[index], record);
                    let is_full = !has_room(&hello.load, former.full_target);
                    if outcome == HelloOutcome::Updated && is_full {
                        self.hosts[index].full_until = former.full_until;
                        self.hosts[index].full_target = former.full_target;
                    }
                }
                outcome
            }
            Err(index) => {
                self.hosts.insert(index, record);
                HelloOutcome::Joined
            }
        }
    }

    fn record_balancer(&mut self, record: BalancerRecord) -> HelloOutcome {
        match self.find_balancer(record.peer.address) {
            Ok(index) => {
                let outcome = compare_hellos(&self.balancers[index].peer, &record.peer);
                if outcome != HelloOutcome::Stale {
                    self.balancers[index] = record;
                }
                outcome
            }
            Err(index) => {
                self.balancers.insert(index, record);
                HelloOutcome::Joined
            }
        }
    }

    fn find_host(&self, address: Ipv4Addr) -> Result<usize, usize> {
        self.hosts
            .binary_search_by_key(&address, |record| record.peer.address)
    }

    fn find_balancer(&self, address: Ipv4Addr) -> Result<usize, usize> {
        self.balancers
            .binary_search_by_key(&address, |record| record.peer.address)
    }
}

/// Compares the last recorded hello of a peer with a received one. Any different start
/// time, not only a later one, indicates a restart, because the system clock may have
/// been set back in between.
fn compare_hellos(known: &PeerRecord, received: &PeerRecord) -> HelloOutcome {
    if known.started_unix_millis != received.started_unix_millis {
        HelloOutcome::Joined
    } else if received.hello_number > known.hello_number {
        HelloOutcome::Updated
    } else {
        HelloOutcome::Stale
    }
}
