//! What a process knows at one moment: rules, keys and members, ordered for
//! the decisions about packets.

use std::net::SocketAddrV4;
use std::sync::Arc;

use hyssopstair_rules::rule_set::RuleSet;
use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::token::FleetSecret;
use hyssopstair_wire::token::KeyRing;
use hyssopstair_wire::token::SECRET_LENGTH;

use crate::placement::PlacementCandidate;

/// The hosts of one service that may take new flows.
#[derive(Debug, Clone)]
struct ServiceHosts {
    service: ServiceId,
    candidates: Vec<PlacementCandidate>,
}

/// The life of the process at one address.
#[derive(Debug, Clone, Copy)]
struct KnownProcess {
    address: SocketAddrV4,
    incarnation: HostIncarnation,
    gone: bool,
}

/// The service that callers reach at one address.
#[derive(Debug, Clone, Copy)]
struct ServiceAddress {
    address: SocketAddrV4,
    service: ServiceId,
}

/// What the rules say about one host, looked up once for each view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostRule {
    /// The service of the host.
    pub service: ServiceId,
    /// Most flows that the host takes.
    pub connections: u32,
    /// Whether the host may take new flows.
    pub takes_new: bool,
}

impl HostRule {
    /// Looks up a host by the name of its service.
    pub fn find(rules: &RuleSet, service_name: &str, host: SocketAddrV4) -> Option<Self> {
        let service = rules.service_named(service_name)?;
        Some(Self {
            service: service.id,
            connections: service.connections,
            takes_new: rules.takes_new(service.id, host),
        })
    }
}

/// Rules, keys and members at one moment.
#[derive(Debug, Clone)]
pub struct RoutingView {
    /// Version of the rules.
    pub version: u64,
    /// The rules.
    pub rules: Arc<RuleSet>,
    /// The route keys that are honoured.
    pub ring: KeyRing,
    /// What the rules say about the process itself, when it is a host of a
    /// service that they name.
    pub own_rule: Option<HostRule>,
    placement_secret: [u8; SECRET_LENGTH],
    reset_secret: [u8; SECRET_LENGTH],
    addresses: Vec<ServiceAddress>,
    hosts: Vec<ServiceHosts>,
    processes: Vec<KnownProcess>,
}

impl RoutingView {
    /// Orders rules and members for look-up. `members` is sorted by address.
    pub fn build(
        version: u64,
        rules: Arc<RuleSet>,
        secret: &FleetSecret,
        members: &[MemberEntry],
    ) -> Self {
        let ring = KeyRing::derive(secret, &rules.keys);
        let placement_secret = secret.derive(b"placement");
        let hosts = group_hosts(&rules, members, &placement_secret);
        let processes = members.iter().map(known_process).collect();
        let addresses = sort_addresses(&rules);
        Self {
            version,
            rules,
            ring,
            own_rule: None,
            placement_secret,
            reset_secret: secret.derive(b"reset"),
            addresses,
            hosts,
            processes,
        }
    }

    /// Adds what the rules say about the host at `address`.
    pub fn with_host(self, service_name: &str, address: SocketAddrV4) -> Self {
        let own_rule = HostRule::find(&self.rules, service_name, address);
        Self { own_rule, ..self }
    }

    /// Returns the service that callers reach at an address.
    pub fn service_at(&self, address: SocketAddrV4) -> Option<ServiceId> {
        let index = self
            .addresses
            .binary_search_by_key(&address, |item| item.address)
            .ok()?;
        Some(self.addresses[index].service)
    }

    /// Returns the number of hosts, of all services, that may take new flows.
    pub fn candidate_count(&self) -> usize {
        self.hosts.iter().map(|item| item.candidates.len()).sum()
    }

    /// Returns the hosts of a service that may take new flows.
    pub fn candidates(&self, service: ServiceId) -> &[PlacementCandidate] {
        match self
            .hosts
            .binary_search_by_key(&service, |item| item.service)
        {
            Ok(index) => &self.hosts[index].candidates,
            Err(_) => &[],
        }
    }

    /// Returns the secret that goes into the placement of flows.
    pub fn placement_secret(&self) -> &[u8; SECRET_LENGTH] {
        &self.placement_secret
    }

    /// Returns the secret of reset tokens.
    pub fn reset_secret(&self) -> &[u8; SECRET_LENGTH] {
        &self.reset_secret
    }

    /// Returns whether a process is known to be there no longer.
    pub fn is_gone(&self, process: ProcessId) -> bool {
        let found = self
            .processes
            .binary_search_by_key(&process.address, |known| known.address);
        let Ok(index) = found else {
            return false;
        };
        let known = &self.processes[index];
        known.incarnation > process.incarnation
            || (known.incarnation == process.incarnation && known.gone)
    }
}

fn sort_addresses(rules: &RuleSet) -> Vec<ServiceAddress> {
    let mut addresses: Vec<_> = rules
        .services
        .iter()
        .map(|service| ServiceAddress {
            address: service.address,
            service: service.id,
        })
        .collect();
    addresses.sort_unstable_by_key(|item| item.address);
    addresses
}

fn known_process(entry: &MemberEntry) -> KnownProcess {
    KnownProcess {
        address: entry.process.address,
        incarnation: entry.process.incarnation,
        gone: entry.state == MemberState::Gone,
    }
}

fn group_hosts(
    rules: &RuleSet,
    members: &[MemberEntry],
    secret: &[u8; SECRET_LENGTH],
) -> Vec<ServiceHosts> {
    let mut hosts: Vec<ServiceHosts> = rules
        .services
        .iter()
        .map(|service| ServiceHosts {
            service: service.id,
            candidates: Vec::new(),
        })
        .collect();
    for entry in members {
        let Some((service, candidate)) = candidate(rules, entry, secret) else {
            continue;
        };
        if let Ok(index) = hosts.binary_search_by_key(&service, |item| item.service) {
            hosts[index].candidates.push(candidate);
        }
    }
    hosts
}

fn candidate(
    rules: &RuleSet,
    entry: &MemberEntry,
    secret: &[u8; SECRET_LENGTH],
) -> Option<(ServiceId, PlacementCandidate)> {
    let MemberRole::Host {
        service,
        zone,
        weight,
    } = entry.role
    else {
        return None;
    };
    // A suspect was given up by its watchers; only its open flows wait for it.
    if entry.state != MemberState::Alive || !rules.takes_new(service, entry.process.address) {
        return None;
    }
    let zone_weight = rules.service(service)?.weight(zone);
    let weight = zone_weight.saturating_mul(weight.max(1));
    let candidate = PlacementCandidate::new(entry.process, weight, secret);
    Some((service, candidate))
}
