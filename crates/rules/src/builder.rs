//! Builds the rules of a file from its lines.

use std::net::SocketAddrV4;

use hyssopstair_wire::token::KeyNumber;

use crate::error::RuleError;
use crate::hint::nearest_word;
use crate::line::RuleLine;
use crate::rule::Rule;
use crate::rule_set::RuleSet;
use crate::rule_set::ZoneRule;
use crate::service_rule::IdempotentPattern;
use crate::service_rule::ServiceRule;
use crate::service_rule::ZoneWeight;

/// What a file may say only once for each service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OnceKind {
    Limit,
    Deadline,
    Weight(u8),
}

/// A line that was read, with its rule.
#[derive(Debug)]
struct ReadLine<'a> {
    line: RuleLine<'a>,
    rule: Rule,
}

/// A declared service and the line that declares it.
#[derive(Debug)]
struct DeclaredService<'a> {
    line: RuleLine<'a>,
    rule: ServiceRule,
    given: Vec<OnceKind>,
}

/// Collects the rules of a file.
#[derive(Debug, Default)]
pub(crate) struct RuleBuilder<'a> {
    // Sorted by name once all declarations are read.
    services: Vec<DeclaredService<'a>>,
    zones: Vec<ZoneRule>,
    drained_hosts: Vec<SocketAddrV4>,
    keys: Vec<KeyNumber>,
    errors: Vec<RuleError>,
}

impl<'a> RuleBuilder<'a> {
    /// Reads a rule file; of mistakes, returns all, by line.
    pub(crate) fn read(text: &'a str) -> Result<RuleSet, Vec<RuleError>> {
        let mut builder = Self::default();
        let uses = builder.read_declarations(text);
        builder.check_services();
        for used in uses {
            if let Err(error) = builder.add_use(&used.line, used.rule) {
                builder.errors.push(error);
            }
        }
        builder.check_weights();
        builder.finish()
    }

    /// Reads all lines, keeps declarations, and returns the other rules.
    fn read_declarations(&mut self, text: &'a str) -> Vec<ReadLine<'a>> {
        let mut uses = Vec::new();
        for (index, text) in text.lines().enumerate() {
            let mut line = RuleLine::split(index + 1, text);
            if line.is_blank() {
                continue;
            }
            match read_line(&mut line) {
                Ok(Rule::Service { name, id, address }) => {
                    let rule = ServiceRule::new(id, name, address);
                    self.services.push(DeclaredService {
                        line,
                        rule,
                        given: Vec::new(),
                    });
                }
                Ok(Rule::Zone { name, id }) => {
                    if let Err(error) = self.add_zone(&line, name, id) {
                        self.errors.push(error);
                    }
                }
                Ok(rule) => uses.push(ReadLine { line, rule }),
                Err(error) => self.errors.push(error),
            }
        }
        uses
    }

    /// Finds services that share a name, number or address, and leaves the
    /// services sorted by name.
    fn check_services(&mut self) {
        self.find_clash("address", |service| service.address);
        self.find_clash("id", |service| service.id);
        self.find_clash("name", |service| service.name.clone());
        self.services
            .dedup_by(|left, right| left.rule.name == right.rule.name);
    }

    fn find_clash<K: Ord>(&mut self, what: &str, key: impl Fn(&ServiceRule) -> K) {
        // The sort is stable, so the later line of two is the one that errs.
        self.services.sort_by(|left, right| {
            let order = key(&left.rule).cmp(&key(&right.rule));
            order.then(left.line.number().cmp(&right.line.number()))
        });
        for pair in self.services.windows(2) {
            let [first, second] = pair else { continue };
            if key(&first.rule) != key(&second.rule) {
                continue;
            }
            let message = format!(
                "service \"{}\" has the {what} of service \"{}\" on line {}",
                second.rule.name,
                first.rule.name,
                first.line.number()
            );
            let hint = format!("choose another {what}");
            self.errors.push(second.line.error_at(1, message, &hint));
        }
    }

    fn add_zone(&mut self, line: &RuleLine<'_>, name: String, id: u8) -> Result<(), RuleError> {
        let clash = self
            .zones
            .iter()
            .find(|other| other.name == name || other.id == id);
        if let Some(other) = clash {
            let message = format!("zone \"{name}\" clashes with zone \"{}\"", other.name);
            return Err(line.error_at(1, message, "give it a name and id of its own"));
        }
        self.zones.push(ZoneRule { name, id });
        Ok(())
    }

    fn add_use(&mut self, line: &RuleLine<'_>, rule: Rule) -> Result<(), RuleError> {
        match rule {
            Rule::Service { .. } | Rule::Zone { .. } => {}
            Rule::Weight {
                service,
                zone,
                weight,
            } => self.add_weight(line, &service, &zone, weight)?,
            Rule::Limit {
                service,
                slots,
                connections,
                queue,
            } => {
                let service = self.once(line, &service, OnceKind::Limit)?;
                service.slots = slots;
                service.connections = connections;
                service.queue = queue;
            }
            Rule::Deadline { service, millis } => {
                self.once(line, &service, OnceKind::Deadline)?
                    .deadline_millis = millis;
            }
            Rule::Idempotent {
                service,
                method,
                prefix,
            } => {
                let pattern = IdempotentPattern { method, prefix };
                self.service(line, &service)?
                    .idempotent_patterns
                    .push(pattern);
            }
            Rule::Stream { service, prefix } => {
                self.service(line, &service)?.stream_prefixes.push(prefix);
            }
            Rule::Withdraw { service } => self.service(line, &service)?.is_withdrawn = true,
            Rule::Drain { host } => self.drained_hosts.push(host),
            Rule::Key { number } => self.keys.push(number),
        }
        Ok(())
    }

    fn add_weight(
        &mut self,
        line: &RuleLine<'_>,
        service: &str,
        zone: &str,
        weight: u16,
    ) -> Result<(), RuleError> {
        let Some(found) = self.zones.iter().find(|other| other.name == zone) else {
            let names = self.zones.iter().map(|other| other.name.as_str());
            return Err(undeclared(line, "zone", zone, names, 2));
        };
        let zone = found.id;
        let service = self.once(line, service, OnceKind::Weight(zone))?;
        service.zone_weights.push(ZoneWeight { zone, weight });
        Ok(())
    }

    fn service_index(&self, line: &RuleLine<'_>, name: &str) -> Result<usize, RuleError> {
        self.services
            .binary_search_by(|service| service.rule.name.as_str().cmp(name))
            .map_err(|_| {
                let names = self.services.iter().map(|other| other.rule.name.as_str());
                undeclared(line, "service", name, names, 1)
            })
    }

    fn service(&mut self, line: &RuleLine<'_>, name: &str) -> Result<&mut ServiceRule, RuleError> {
        let index = self.service_index(line, name)?;
        Ok(&mut self.services[index].rule)
    }

    /// Returns a service for a rule that may be given once. Of two such rules
    /// one would be lost without a word, when two operators add one each.
    fn once(
        &mut self,
        line: &RuleLine<'_>,
        name: &str,
        kind: OnceKind,
    ) -> Result<&mut ServiceRule, RuleError> {
        let index = self.service_index(line, name)?;
        let service = &mut self.services[index];
        if service.given.contains(&kind) {
            let message = format!("this rule is given twice for service \"{name}\"");
            return Err(line.error_at(1, message, "keep one of the two lines"));
        }
        service.given.push(kind);
        Ok(&mut service.rule)
    }

    fn check_weights(&mut self) {
        for service in &self.services {
            let rule = &service.rule;
            let zeros = rule
                .zone_weights
                .iter()
                .filter(|item| item.weight == 0)
                .count();
            if zeros == 0 || zeros < self.zones.len() {
                continue;
            }
            let message = format!("service \"{}\" has weight 0 in every zone", rule.name);
            let hint = format!(
                "write \"withdraw {}\" if it is to take nothing new",
                rule.name
            );
            self.errors.push(service.line.error_at(1, message, &hint));
        }
    }

    fn finish(mut self) -> Result<RuleSet, Vec<RuleError>> {
        if !self.errors.is_empty() {
            self.errors.sort_by_key(|error| (error.line, error.column));
            return Err(self.errors);
        }
        let mut services: Vec<ServiceRule> =
            self.services.into_iter().map(|item| item.rule).collect();
        for service in &mut services {
            service.zone_weights.sort_by_key(|item| item.zone);
        }
        Ok(RuleSet::order(
            services,
            self.zones,
            self.drained_hosts,
            self.keys,
        ))
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

/// Returns the error of a name, the word at `position`, that nothing declares.
fn undeclared<'n>(
    line: &RuleLine<'_>,
    what: &str,
    name: &str,
    names: impl Iterator<Item = &'n str>,
    position: usize,
) -> RuleError {
    let message = format!("{what} \"{name}\" is not declared");
    let hint = match nearest_word(name, names) {
        Some(near) => format!("did you mean \"{near}\"? Otherwise add a {what} rule"),
        None => format!("add a {what} rule"),
    };
    line.error_at(line.column(position), message, &hint)
}
