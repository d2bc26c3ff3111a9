//! The rules of a whole file, checked and ordered for look-up.

use std::net::SocketAddrV4;

use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::token::KeyNumber;

use crate::builder::RuleBuilder;
use crate::error::RuleError;
use crate::service_rule::ServiceRule;

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRule {
    /// The name.
    pub name: String,
    /// The number on the wire.
    pub id: u8,
}

/// Where a service stands in the list of services.
#[derive(Debug, Clone, PartialEq, Eq)]
struct IndexEntry<K> {
    key: K,
    service: usize,
}

/// The rules of a whole file.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RuleSet {
    /// The services, sorted by number.
    pub services: Vec<ServiceRule>,
    /// The availability zones, sorted by name.
    pub zones: Vec<ZoneRule>,
    /// Hosts that take nothing new, sorted.
    pub drained_hosts: Vec<SocketAddrV4>,
    /// Route keys that are honoured, sorted; the last one seals.
    pub keys: Vec<KeyNumber>,
    by_name: Vec<IndexEntry<String>>,
    by_address: Vec<IndexEntry<SocketAddrV4>>,
}

impl RuleSet {
    /// Reads a rule file.
    ///
    /// # Errors
    ///
    /// Returns every mistake in the file, by line.
    pub fn parse(text: &str) -> Result<Self, Vec<RuleError>> {
        RuleBuilder::read(text)
    }

    /// Orders rules that were checked.
    pub(crate) fn order(
        mut services: Vec<ServiceRule>,
        mut zones: Vec<ZoneRule>,
        mut drained_hosts: Vec<SocketAddrV4>,
        mut keys: Vec<KeyNumber>,
    ) -> Self {
        services.sort_by_key(|service| service.id);
        zones.sort_by(|left, right| left.name.cmp(&right.name));
        drained_hosts.sort_unstable();
        drained_hosts.dedup();
        keys.sort_unstable();
        keys.dedup();
        Self {
            by_name: index_by(&services, |service| service.name.clone()),
            by_address: index_by(&services, |service| service.address),
            services,
            zones,
            drained_hosts,
            keys,
        }
    }

    /// Returns the rules of a service by its number.
    pub fn find_service(&self, id: ServiceId) -> Option<&ServiceRule> {
        let index = self
            .services
            .binary_search_by_key(&id, |service| service.id)
            .ok()?;
        Some(&self.services[index])
    }

    /// Returns the rules of a service by the address that callers send to.
    pub fn find_service_by_address(&self, address: SocketAddrV4) -> Option<&ServiceRule> {
        let index = self
            .by_address
            .binary_search_by_key(&address, |entry| entry.key)
            .ok()?;
        Some(&self.services[self.by_address[index].service])
    }

    /// Returns the rules of a service by its name.
    pub fn find_service_by_name(&self, name: &str) -> Option<&ServiceRule> {
        let index = self
            .by_name
            .binary_search_by(|entry| entry.key.as_str().cmp(name))
            .ok()?;
        Some(&self.services[self.by_name[index].service])
    }

    /// Returns the number of a zone by its name.
    pub fn find_zone_id(&self, name: &str) -> Option<u8> {
        let index = self
            .zones
            .binary_search_by(|zone| zone.name.as_str().cmp(name))
            .ok()?;
        Some(self.zones[index].id)
    }

    /// Returns whether a host is to take nothing new.
    pub fn is_drained(&self, host: SocketAddrV4) -> bool {
        self.drained_hosts.binary_search(&host).is_ok()
    }

    /// Returns whether a host of a service may take new work by the rules.
    pub fn accepts_new_flows(&self, service: ServiceId, host: SocketAddrV4) -> bool {
        let is_withdrawn = self
            .find_service(service)
            .is_some_and(|rule| rule.is_withdrawn);
        !is_withdrawn && !self.is_drained(host)
    }

    /// Returns the number of the key that seals.
    pub fn sealing_key(&self) -> Option<KeyNumber> {
        self.keys.last().copied()
    }
}

fn index_by<K: Ord>(
    services: &[ServiceRule],
    key: impl Fn(&ServiceRule) -> K,
) -> Vec<IndexEntry<K>> {
    let mut index: Vec<IndexEntry<K>> = services
        .iter()
        .enumerate()
        .map(|(position, service)| IndexEntry {
            key: key(service),
            service: position,
        })
        .collect();
    index.sort_by(|left, right| left.key.cmp(&right.key));
    index
}
