//! The validated rules of a file, indexed for look-ups.

use std::net::SocketAddrV4;

use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::token::KeyNumber;

use crate::builder::RuleBuilder;
use crate::error::RuleError;
use crate::service_rule::ServiceRule;

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRule {
    /// The name of the zone.
    pub name: String,
    /// The number of the zone on the wire.
    pub id: u8,
}

/// Maps a key to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
struct IndexEntry<K> {
    key: K,
    /// The index in [`RuleSet::services`].
    service_index: usize,
}

/// The validated rules of a file.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RuleSet {
    /// The services, sorted by number.
    pub services: Vec<ServiceRule>,
    /// The availability zones, sorted by name.
    pub zones: Vec<ZoneRule>,
    /// Addresses of the hosts that accept no new flows, sorted.
    pub drained_hosts: Vec<SocketAddrV4>,
    /// Numbers of the zones whose hosts accept no new flows, sorted.
    pub evacuated_zones: Vec<u8>,
    /// Numbers of the valid route keys, sorted. The last one seals new tokens.
    pub keys: Vec<KeyNumber>,
    services_by_name: Vec<IndexEntry<String>>,
    services_by_address: Vec<IndexEntry<SocketAddrV4>>,
}

impl RuleSet {
    /// Parses a rule file.
    ///
    /// # Errors
    ///
    /// Returns all errors in the file, sorted by line.
    pub fn parse(text: &str) -> Result<Self, Vec<RuleError>> {
        RuleBuilder::parse(text)
    }

    /// Sorts and indexes rules that are already validated.
    pub(crate) fn from_valid_rules(
        mut services: Vec<ServiceRule>,
        mut zones: Vec<ZoneRule>,
        mut drained_hosts: Vec<SocketAddrV4>,
        mut evacuated_zones: Vec<u8>,
        mut keys: Vec<KeyNumber>,
    ) -> Self {
        services.sort_by_key(|service| service.id);
        zones.sort_by(|left, right| left.name.cmp(&right.name));
        drained_hosts.sort_unstable();
        drained_hosts.dedup();
        evacuated_zones.sort_unstable();
        evacuated_zones.dedup();
        keys.sort_unstable();
        keys.dedup();
        Self {
            services_by_name: build_index(&services, |service| service.name.clone()),
            services_by_address: build_index(&services, |service| service.address),
            services,
            zones,
            drained_hosts,
            evacuated_zones,
            keys,
        }
    }

    /// Returns the rules of the service with this number.
    pub fn find_service(&self, id: ServiceId) -> Option<&ServiceRule> {
        let index = self
            .services
            .binary_search_by_key(&id, |service| service.id)
            .ok()?;
        Some(&self.services[index])
    }

    /// Returns the rules of the service to which callers send at this address.
    pub fn find_service_by_address(&self, address: SocketAddrV4) -> Option<&ServiceRule> {
        let index = self
            .services_by_address
            .binary_search_by_key(&address, |entry| entry.key)
            .ok()?;
        Some(&self.services[self.services_by_address[index].service_index])
    }

    /// Returns the rules of the service with this name.
    pub fn find_service_by_name(&self, name: &str) -> Option<&ServiceRule> {
        let index = self
            .services_by_name
            .binary_search_by(|entry| entry.key.as_str().cmp(name))
            .ok()?;
        Some(&self.services[self.services_by_name[index].service_index])
    }

    /// Returns the number of the zone with this name.
    pub fn find_zone_id(&self, name: &str) -> Option<u8> {
        let index = self
            .zones
            .binary_search_by(|zone| zone.name.as_str().cmp(name))
            .ok()?;
        Some(self.zones[index].id)
    }

    /// Returns whether a drain rule applies to the host at this inner address.
    pub fn is_drained(&self, host: SocketAddrV4) -> bool {
        self.drained_hosts.binary_search(&host).is_ok()
    }

    /// Returns whether an evacuate rule applies to the zone with this number.
    pub fn is_evacuated(&self, zone: u8) -> bool {
        self.evacuated_zones.binary_search(&zone).is_ok()
    }

    /// Returns whether the rules allow the host at this inner address, in the zone with
    /// this number, to accept new flows to a service.
    pub fn accepts_new_flows(&self, service: ServiceId, host: SocketAddrV4, zone: u8) -> bool {
        let is_withdrawn = self
            .find_service(service)
            .is_some_and(|rule| rule.is_withdrawn);
        !is_withdrawn && !self.is_drained(host) && !self.is_evacuated(zone)
    }

    /// Returns the number of the key that seals new tokens, or `None` if the file
    /// has no key rule.
    pub fn sealing_key(&self) -> Option<KeyNumber> {
        self.keys.last().copied()
    }
}

fn build_index<K: Ord>(
    services: &[ServiceRule],
    key: impl Fn(&ServiceRule) -> K,
) -> Vec<IndexEntry<K>> {
    let mut index: Vec<IndexEntry<K>> = services
        .iter()
        .enumerate()
        .map(|(position, service)| IndexEntry {
            key: key(service),
            service_index: position,
        })
        .collect();
    index.sort_by(|left, right| left.key.cmp(&right.key));
    index
}
