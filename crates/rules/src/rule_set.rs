//! The rules of a whole file, checked and ordered for look-up.

use std::net::SocketAddrV4;

use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::token::KeyNumber;

use crate::error::RuleError;
use crate::line::RuleLine;
use crate::rule::Rule;

/// Weight of a host where no rule gives one.
pub const DEFAULT_WEIGHT: u16 = 100;

/// Longest time of a request where no rule gives one, in milliseconds.
pub const DEFAULT_DEADLINE_MILLIS: u32 = 10_000;

/// A request that may be run more than once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotentPattern {
    /// The method of the request.
    pub method: String,
    /// The start of its path.
    pub prefix: String,
}

/// The weight of the hosts of a service in one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneWeight {
    /// The number of the zone.
    pub zone: u8,
    /// The share relative to other hosts.
    pub weight: u16,
}

/// All that is ruled about one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRule {
    /// The number on the wire.
    pub id: ServiceId,
    /// The name.
    pub name: String,
    /// Where callers send to.
    pub address: SocketAddrV4,
    /// Requests that run at once on a host.
    pub slots: u16,
    /// Open flows of a host.
    pub connections: u32,
    /// Requests that wait for a slot of a host.
    pub queue: u16,
    /// Longest time of a request, in milliseconds.
    pub deadline_millis: u32,
    /// Requests that may be run more than once.
    pub idempotent: Vec<IdempotentPattern>,
    /// Starts of the paths whose answers last for hours.
    pub streams: Vec<String>,
    /// Weights by zone, sorted by zone.
    pub weights: Vec<ZoneWeight>,
}

impl ServiceRule {
    fn new(id: ServiceId, name: String, address: SocketAddrV4) -> Self {
        Self {
            id,
            name,
            address,
            slots: 1,
            connections: 2_000,
            queue: 2,
            deadline_millis: DEFAULT_DEADLINE_MILLIS,
            idempotent: Vec::new(),
            streams: Vec::new(),
            weights: Vec::new(),
        }
    }

    /// Returns whether a request may be run more than once.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.idempotent
            .iter()
            .any(|pattern| pattern.method == method && path.starts_with(&pattern.prefix))
    }

    /// Returns whether the answer to a request lasts for hours.
    pub fn is_stream(&self, path: &str) -> bool {
        self.streams.iter().any(|prefix| path.starts_with(prefix))
    }

    /// Returns the weight of a host in a zone.
    pub fn weight(&self, zone: u8) -> u16 {
        match self.weights.binary_search_by_key(&zone, |item| item.zone) {
            Ok(index) => self.weights[index].weight,
            Err(_) => DEFAULT_WEIGHT,
        }
    }
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRule {
    /// The name.
    pub name: String,
    /// The number on the wire.
    pub id: u8,
}

/// The rules of a whole file.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RuleSet {
    /// The services, sorted by number.
    pub services: Vec<ServiceRule>,
    /// The availability zones, sorted by name.
    pub zones: Vec<ZoneRule>,
    /// Hosts that take nothing new, sorted.
    pub drained: Vec<SocketAddrV4>,
    /// Route keys that are honoured, sorted; the last one seals.
    pub keys: Vec<KeyNumber>,
}

impl RuleSet {
    /// Reads a rule file.
    ///
    /// # Errors
    ///
    /// Returns every mistake in the file, by line.
    pub fn parse(text: &str) -> Result<Self, Vec<RuleError>> {
        let mut set = Self::default();
        let mut errors = Vec::new();
        let mut pending = Vec::new();
        for (index, text) in text.lines().enumerate() {
            let mut line = RuleLine::split(index + 1, text);
            if line.is_blank() {
                continue;
            }
            match read_line(&mut line) {
                Ok(rule) => pending.push((line, rule)),
                Err(error) => errors.push(error),
            }
        }
        pending.sort_by_key(|(_, rule)| rank(rule));
        for (line, rule) in pending {
            if let Err(error) = set.add(&line, rule) {
                errors.push(error);
            }
        }
        errors.sort_by_key(|error| (error.line, error.column));
        if errors.is_empty() {
            set.finish();
            return Ok(set);
        }
        Err(errors)
    }

    /// Returns the rules of a service by its number.
    pub fn service(&self, id: ServiceId) -> Option<&ServiceRule> {
        let index = self
            .services
            .binary_search_by_key(&id, |service| service.id)
            .ok()?;
        Some(&self.services[index])
    }

    /// Returns the rules of a service by the address that callers send to.
    pub fn service_at(&self, address: SocketAddrV4) -> Option<&ServiceRule> {
        self.services
            .iter()
            .find(|service| service.address == address)
    }

    /// Returns the rules of a service by its name.
    pub fn service_named(&self, name: &str) -> Option<&ServiceRule> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the number of a zone by its name.
    pub fn zone(&self, name: &str) -> Option<u8> {
        let index = self
            .zones
            .binary_search_by(|zone| zone.name.as_str().cmp(name))
            .ok()?;
        Some(self.zones[index].id)
    }

    /// Returns whether a host is to take nothing new.
    pub fn is_drained(&self, host: SocketAddrV4) -> bool {
        self.drained.binary_search(&host).is_ok()
    }

    /// Returns the number of the key that seals.
    pub fn sealing_key(&self) -> Option<KeyNumber> {
        self.keys.last().copied()
    }

    fn add(&mut self, line: &RuleLine<'_>, rule: Rule) -> Result<(), RuleError> {
        match rule {
            Rule::Service { name, id, address } => self.add_service(line, name, id, address),
            Rule::Zone { name, id } => self.add_zone(line, name, id),
            Rule::Weight {
                service,
                zone,
                weight,
            } => self.add_weight(line, &service, &zone, weight),
            Rule::Limit {
                service,
                slots,
                connections,
                queue,
            } => {
                let service = self.expect_service(line, &service)?;
                service.slots = slots;
                service.connections = connections;
                service.queue = queue;
                Ok(())
            }
            Rule::Deadline { service, millis } => {
                self.expect_service(line, &service)?.deadline_millis = millis;
                Ok(())
            }
            Rule::Idempotent {
                service,
                method,
                prefix,
            } => {
                let pattern = IdempotentPattern { method, prefix };
                self.expect_service(line, &service)?
                    .idempotent
                    .push(pattern);
                Ok(())
            }
            Rule::Stream { service, prefix } => {
                self.expect_service(line, &service)?.streams.push(prefix);
                Ok(())
            }
            Rule::Drain { host } => {
                self.drained.push(host);
                Ok(())
            }
            Rule::Key { number } => {
                self.keys.push(number);
                Ok(())
            }
        }
    }

    fn add_service(
        &mut self,
        line: &RuleLine<'_>,
        name: String,
        id: ServiceId,
        address: SocketAddrV4,
    ) -> Result<(), RuleError> {
        let taken = self
            .services
            .iter()
            .find(|other| other.name == name || other.id == id || other.address == address);
        if let Some(other) = taken {
            let message = format!("service \"{name}\" clashes with \"{}\"", other.name);
            return Err(line.error_at(1, message, "give it a name, id and address of its own"));
        }
        self.services.push(ServiceRule::new(id, name, address));
        Ok(())
    }

    fn add_zone(&mut self, line: &RuleLine<'_>, name: String, id: u8) -> Result<(), RuleError> {
        if self
            .zones
            .iter()
            .any(|other| other.name == name || other.id == id)
        {
            let message = format!("zone \"{name}\" or its id is declared twice");
            return Err(line.error_at(1, message, "give it a name and id of its own"));
        }
        self.zones.push(ZoneRule { name, id });
        Ok(())
    }

    fn add_weight(
        &mut self,
        line: &RuleLine<'_>,
        service: &str,
        zone: &str,
        weight: u16,
    ) -> Result<(), RuleError> {
        let Some(zone) = self.zones.iter().find(|other| other.name == zone) else {
            let message = format!("zone \"{zone}\" is not declared");
            return Err(line.error_at(1, message, "add a zone rule"));
        };
        let zone = zone.id;
        let service = self.expect_service(line, service)?;
        service.weights.push(ZoneWeight { zone, weight });
        Ok(())
    }

    fn expect_service(
        &mut self,
        line: &RuleLine<'_>,
        name: &str,
    ) -> Result<&mut ServiceRule, RuleError> {
        self.services
            .iter_mut()
            .find(|service| service.name == name)
            .ok_or_else(|| {
                let message = format!("service \"{name}\" is not declared");
                line.error_at(1, message, "add a service rule")
            })
    }

    fn finish(&mut self) {
        self.services.sort_by_key(|service| service.id);
        for service in &mut self.services {
            service.weights.sort_by_key(|item| item.zone);
        }
        self.zones.sort_by(|left, right| left.name.cmp(&right.name));
        self.drained.sort_unstable();
        self.drained.dedup();
        self.keys.sort_unstable();
        self.keys.dedup();
    }
}

fn read_line(line: &mut RuleLine<'_>) -> Result<Rule, RuleError> {
    let rule = Rule::parse(line)?;
    if line.comment.is_none_or(str::is_empty) {
        let message = "the comment that names who asked is missing";
        return Err(line.error_at_end(message, "end the line with # and a name"));
    }
    Ok(rule)
}

/// Declarations come before the rules that refer to them.
fn rank(rule: &Rule) -> u8 {
    match rule {
        Rule::Service { .. } | Rule::Zone { .. } => 0,
        _ => 1,
    }
}
