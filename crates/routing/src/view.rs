//! A snapshot of rules, keys and members, indexed for routing decisions.
//!
//! A [`RoutingView`] is immutable. A process builds a new one after the
//! configuration or the roster has changed. Roster changes in quick succession
//! share a build, see [`crate::pace`].

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

/// The hosts of a service that may receive new flows.
#[derive(Debug, Clone)]
struct ServiceHosts {
    service: ServiceId,
    candidates: Vec<PlacementCandidate>,
}

/// The latest known process at an address.
#[derive(Debug, Clone, Copy)]
struct ProcessRecord {
    address: SocketAddrV4,
    incarnation: HostIncarnation,
    is_gone: bool,
}

/// Maps an address that callers send to to its service.
#[derive(Debug, Clone, Copy)]
struct ServiceAddress {
    address: SocketAddrV4,
    service: ServiceId,
}

/// The rules for one host, looked up once per view instead of for each packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostRule {
    /// The service of the host.
    pub service: ServiceId,
    /// Maximum number of open flows on the host.
    pub connections: u32,
    /// Whether the rules allow the host to accept new flows.
    pub accepts_new_flows: bool,
}

impl HostRule {
    /// Returns the rules for the host at address `host` of the named service in the named
    /// zone, or `None` if the rules do not define the service.
    pub fn find(
        rules: &RuleSet,
        service_name: &str,
        zone_name: &str,
        host: SocketAddrV4,
    ) -> Option<Self> {
        let service = rules.find_service_by_name(service_name)?;
        let zone = rules.find_zone_id(zone_name).unwrap_or(0);
        Some(Self {
            service: service.id,
            connections: service.connections,
            accepts_new_flows: rules.accepts_new_flows(service.id, host, zone),
        })
    }
}

/// An immutable snapshot of rules, keys and members.
#[derive(Debug, Clone)]
pub struct RoutingView {
    /// Version of the rules.
    pub version: u64,
    /// The rules.
    pub rules: Arc<RuleSet>,
    /// The accepted route keys.
    pub ring: KeyRing,
    /// The rules for this process, if it is a host of a service that the rules
    /// define.
    pub own_rule: Option<HostRule>,
    placement_secret: [u8; SECRET_LENGTH],
    reset_secret: [u8; SECRET_LENGTH],
    addresses: Vec<ServiceAddress>,
    hosts: Vec<ServiceHosts>,
    processes: Vec<ProcessRecord>,
}

impl RoutingView {
    /// Builds a view from rules and members. `members` must be sorted by address.
    pub fn build(
        version: u64,
        rules: Arc<RuleSet>,
        secret: &FleetSecret,
        members: &[MemberEntry],
    ) -> Self {
        let ring = KeyRing::derive(secret, &rules.keys);
        let placement_secret = secret.derive(b"placement");
        let hosts = group_hosts(&rules, members, &placement_secret);
        let processes = members.iter().map(process_record).collect();
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

    /// Returns the view with [`Self::own_rule`] set to the rules for the host at
    /// `address` in the named zone.
    pub fn with_host(self, service_name: &str, zone_name: &str, address: SocketAddrV4) -> Self {
        let own_rule = HostRule::find(&self.rules, service_name, zone_name, address);
        Self { own_rule, ..self }
    }

    /// Returns the service that callers reach at `address`.
    pub fn service_at(&self, address: SocketAddrV4) -> Option<ServiceId> {
        let index = self
            .addresses
            .binary_search_by_key(&address, |item| item.address)
            .ok()?;
        Some(self.addresses[index].service)
    }

    /// Returns the number of hosts of all services that may receive new flows.
    pub fn candidate_count(&self) -> usize {
        self.hosts.iter().map(|item| item.candidates.len()).sum()
    }

    /// Returns the hosts of a service that may receive new flows.
    pub fn candidates(&self, service: ServiceId) -> &[PlacementCandidate] {
        match self
            .hosts
            .binary_search_by_key(&service, |item| item.service)
        {
            Ok(index) => &self.hosts[index].candidates,
            Err(_) => &[],
        }
    }

    /// Returns the secret for the placement of flows, which keeps callers from
    /// predicting the host of a flow.
    pub fn placement_secret(&self) -> &[u8; SECRET_LENGTH] {
        &self.placement_secret
    }

    /// Returns the secret for stateless reset tokens.
    pub fn reset_secret(&self) -> &[u8; SECRET_LENGTH] {
        &self.reset_secret
    }

    /// Returns whether a process is known to have ended: a later incarnation runs
    /// at its address, or its state is [`MemberState::Gone`]. Unknown processes are
    /// assumed to be running.
    pub fn is_gone(&self, process: ProcessId) -> bool {
        let position = self
            .processes
            .binary_search_by_key(&process.address, |record| record.address);
        let Ok(index) = position else {
            return false;
        };
        let record = &self.processes[index];
        record.incarnation > process.incarnation
            || (record.incarnation == process.incarnation && record.is_gone)
    }
}

/// Returns the addresses of all services, sorted for binary search.
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

fn process_record(entry: &MemberEntry) -> ProcessRecord {
    ProcessRecord {
        address: entry.process.address,
        incarnation: entry.process.incarnation,
        is_gone: entry.state == MemberState::Gone,
    }
}

/// Returns the candidates of each service, sorted by service.
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
        let Some((service, candidate)) = find_candidate(rules, entry, secret) else {
            continue;
        };
        if let Ok(index) = hosts.binary_search_by_key(&service, |item| item.service) {
            hosts[index].candidates.push(candidate);
        }
    }
    hosts
}

/// Returns the candidate for a member and its service, or `None` if the member may
/// not receive new flows.
fn find_candidate(
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
    // A suspect did not answer its probes, so it gets no new flows. Its open flows
    // stay assigned to it until it answers or is declared gone.
    let address = entry.process.address;
    if entry.state != MemberState::Alive || !rules.accepts_new_flows(service, address, zone) {
        return None;
    }
    let zone_weight = rules.find_service(service)?.weight_in_zone(zone);
    let weight = zone_weight.saturating_mul(weight.max(1));
    let candidate = PlacementCandidate::new(entry.process, weight, secret);
    Some((service, candidate))
}
