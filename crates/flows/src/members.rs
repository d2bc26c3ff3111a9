//! The processes that a process knows, from their own hellos.

use std::net::Ipv4Addr;
use std::time::Duration;

use hyssopstair_wire::carried::CarryLoad;
use hyssopstair_wire::carried::HelloMessage;
use hyssopstair_wire::carried::HelloRole;
use hyssopstair_wire::carried::HostHello;
use hyssopstair_wire::carried::ServerState;
use hyssopstair_wire::time::MonotonicTime;

/// Shortest time between two hellos to the same peer. It bounds how old a load
/// report is; a quarter of a second costs a balancer 40 datagrams a second for
/// ten hosts.
pub const MIN_HELLO_INTERVAL: Duration = Duration::from_millis(250);

/// Hellos that a process sends in a second at most, so that the cost of
/// membership stays the same as the fleet grows.
const HELLOS_PER_SECOND: u32 = 100;

/// Hellos in a row that a peer may miss before new flows avoid it.
const MISSED_HELLOS: u32 = 4;

/// Time after which a silent peer is forgotten. It is longer than any cut that
/// the users' machines go through, so that a peer is found again after one.
pub const PEER_EVICTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Silence after which a host does not keep flows from being reset. A planned
/// restart takes less, and callers have given up by then.
pub const HOST_UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which a host that did not answer an opening packet is avoided, unless
/// it is heard before.
const UNANSWERED_PENALTY: Duration = Duration::from_secs(2);

/// What every peer has.
#[derive(Debug, Clone)]
pub struct PeerRecord {
    /// Its address.
    pub address: Ipv4Addr,
    /// The start of its process.
    pub started: u64,
    /// The number of its last hello.
    pub number: u32,
    /// Its availability zone.
    pub zone: String,
    /// The version of its routes.
    pub routes: u64,
    /// When it was heard last.
    pub heard: MonotonicTime,
}

/// A host, as its hellos describe it.
#[derive(Debug, Clone)]
pub struct HostRecord {
    /// What every peer has.
    pub peer: PeerRecord,
    /// Name of its service.
    pub service: String,
    /// What its server does.
    pub server: ServerState,
    /// How busy it was.
    pub load: CarryLoad,
    /// When it told so.
    pub reported: MonotonicTime,
    /// New flows sent there since then.
    pub sent_since: u16,
    /// Until when it is avoided, as it did not answer.
    pub avoided_until: MonotonicTime,
    /// Whether it may hold flows that it does not know.
    pub is_relearning: bool,
    /// Whether its server has started a short while ago.
    pub is_server_new: bool,
    /// Whether the process is about to stop.
    pub is_stopping: bool,
}

impl HostRecord {
    /// Returns whether new flows may go there.
    pub fn accepts_new_flows(&self, timeouts: &MemberTimeouts, now: MonotonicTime) -> bool {
        self.server == ServerState::Ready
            && !self.is_stopping
            && now >= self.avoided_until
            && now.since(self.peer.heard) < timeouts.suspect_after
    }

    /// Returns whether the host may hold flows that balancers look for. One that has
    /// been silent for long does not count: its callers are better off with another
    /// server, whether it lives or not.
    pub fn may_hold_flows(&self, now: MonotonicTime) -> bool {
        now.since(self.peer.heard) < HOST_UNREACHABLE_TIMEOUT
    }

    /// Returns whether a flow may go there when no host takes new ones for sure.
    pub fn is_fallback(&self) -> bool {
        !self.is_stopping && matches!(self.server, ServerState::Ready | ServerState::Unknown)
    }
}

/// A balancer, as its hellos describe it.
#[derive(Debug, Clone)]
pub struct BalancerRecord {
    /// What every peer has.
    pub peer: PeerRecord,
    /// Whether it is about to stop.
    pub is_stopping: bool,
    /// How many hosts it hears.
    pub hosts: u16,
}

/// Times that depend on how many peers there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberTimeouts {
    /// Time between two hellos to the same peer.
    pub hello_interval: Duration,
    /// Silence after which new flows avoid a peer.
    pub suspect_after: Duration,
}

impl MemberTimeouts {
    /// Returns the times for a fleet in which a process greets `peers` others.
    pub fn for_peers(peers: usize) -> Self {
        let spread = Duration::from_secs(1) * peers as u32 / HELLOS_PER_SECOND;
        let hello_interval = MIN_HELLO_INTERVAL.max(spread);
        Self {
            hello_interval,
            suspect_after: hello_interval * MISSED_HELLOS,
        }
    }

    /// Returns the silence after which a hello of a peer is late.
    pub fn late_after(&self) -> Duration {
        self.hello_interval * 2
    }
}

/// What a hello changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HelloOutcome {
    /// The sender was not known, or has started again.
    Joined,
    /// It repeats or updates what was known.
    Updated,
    /// It was overtaken by a later one.
    Stale,
}

/// All peers that a process knows, sorted by address.
#[derive(Debug, Default)]
pub struct MemberTable {
    hosts: Vec<HostRecord>,
    balancers: Vec<BalancerRecord>,
}

impl MemberTable {
    /// Returns the hosts.
    pub fn hosts(&self) -> &[HostRecord] {
        &self.hosts
    }

    /// Returns the balancers.
    pub fn balancers(&self) -> &[BalancerRecord] {
        &self.balancers
    }

    /// Returns the hosts, to be changed.
    pub fn hosts_mut(&mut self) -> &mut [HostRecord] {
        &mut self.hosts
    }

    /// Returns the host at an address.
    pub fn host(&self, address: Ipv4Addr) -> Option<&HostRecord> {
        let index = self.find_host(address).ok()?;
        Some(&self.hosts[index])
    }

    /// Returns the host at an address, to be changed.
    pub fn host_mut(&mut self, address: Ipv4Addr) -> Option<&mut HostRecord> {
        let index = self.find_host(address).ok()?;
        Some(&mut self.hosts[index])
    }

    /// Returns how many hosts with a server were heard lately.
    pub fn reachable_host_count(&self, now: MonotonicTime) -> usize {
        let limit = self.timeouts().suspect_after;
        self.hosts_with_server()
            .filter(|record| now.since(record.peer.heard) < limit)
            .count()
    }

    /// Visits the hosts that have not said that their server has ended.
    pub fn hosts_with_server(&self) -> impl Iterator<Item = &HostRecord> {
        self.hosts
            .iter()
            .filter(|record| record.server != ServerState::Down)
    }

    /// Returns the addresses of the balancers.
    pub fn balancer_addresses(&self) -> Vec<Ipv4Addr> {
        self.balancers
            .iter()
            .map(|record| record.peer.address)
            .collect()
    }

    /// Returns whether a balancer is known.
    pub fn has_balancer(&self, address: Ipv4Addr) -> bool {
        self.find_balancer(address).is_ok()
    }

    /// Returns the times for the present number of peers.
    pub fn timeouts(&self) -> MemberTimeouts {
        MemberTimeouts::for_peers(self.hosts.len().max(self.balancers.len()))
    }

    /// Returns the highest version of routes that a peer has, and who.
    pub fn newest_routes(&self) -> Option<(u64, Ipv4Addr)> {
        let hosts = self.hosts.iter().map(|record| &record.peer);
        let balancers = self.balancers.iter().map(|record| &record.peer);
        balancers
            .chain(hosts)
            .map(|peer| (peer.routes, peer.address))
            .max()
    }

    /// Notes a hello.
    pub fn record_hello(
        &mut self,
        from: Ipv4Addr,
        hello: &HelloMessage,
        now: MonotonicTime,
    ) -> HelloOutcome {
        let peer = PeerRecord {
            address: from,
            started: hello.started,
            number: hello.number,
            zone: hello.zone.clone(),
            routes: hello.routes,
            heard: now,
        };
        match &hello.role {
            HelloRole::Host(host) => self.record_host(peer, host, now),
            HelloRole::Balancer(balancer) => self.record_balancer(BalancerRecord {
                peer,
                is_stopping: balancer.is_stopping,
                hosts: balancer.hosts,
            }),
        }
    }

    /// Forgets the peers that were silent for too long, and returns them with
    /// their silence.
    pub fn evict_silent(&mut self, now: MonotonicTime) -> Vec<(Ipv4Addr, Duration)> {
        let mut lost = Vec::new();
        let mut keep = |peer: &PeerRecord| {
            let silence = now.since(peer.heard);
            if silence >= PEER_EVICTION_TIMEOUT {
                lost.push((peer.address, silence));
            }
            silence < PEER_EVICTION_TIMEOUT
        };
        self.hosts.retain(|record| keep(&record.peer));
        self.balancers.retain(|record| keep(&record.peer));
        lost
    }

    /// Notes that a host did not answer in time.
    pub fn avoid_host(&mut self, address: Ipv4Addr, now: MonotonicTime) {
        if let Some(record) = self.host_mut(address) {
            record.avoided_until = now + UNANSWERED_PENALTY;
        }
    }

    /// Notes the load that a host told with another message.
    pub fn record_load(&mut self, address: Ipv4Addr, load: CarryLoad, now: MonotonicTime) {
        if let Some(record) = self.host_mut(address) {
            record.load = load;
            record.reported = now;
            record.sent_since = 0;
            record.peer.heard = now;
            record.avoided_until = MonotonicTime::default();
        }
    }

    /// Forgets a balancer that has stopped.
    pub fn remove_balancer(&mut self, address: Ipv4Addr) {
        if let Ok(index) = self.find_balancer(address) {
            self.balancers.remove(index);
        }
    }

    /// Forgets a host that has ended with its server.
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
            reported: now,
            sent_since: 0,
            avoided_until: MonotonicTime::default(),
            is_relearning: hello.is_relearning,
            is_server_new: hello.is_server_new,
            is_stopping: hello.is_stopping,
            peer,
        };
        match self.find_host(record.peer.address) {
            Ok(index) => {
                let outcome = compare(&self.hosts[index].peer, &record.peer);
                if outcome != HelloOutcome::Stale {
                    self.hosts[index] = record;
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
                let outcome = compare(&self.balancers[index].peer, &record.peer);
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

/// A process that has started again is told by another start, not by a later
/// one, because the time of day may have been set back in between.
fn compare(known: &PeerRecord, told: &PeerRecord) -> HelloOutcome {
    if known.started != told.started {
        HelloOutcome::Joined
    } else if told.number > known.number {
        HelloOutcome::Updated
    } else {
        HelloOutcome::Stale
    }
}
