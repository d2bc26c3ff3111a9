//! Builds a [`RuleSet`] from the lines of a rule file.
//!
//! Services and zones may be declared after the rules that refer to them. All
//! declarations are therefore collected first, and the other rules are added to
//! them in a second pass.

use std::net::SocketAddrV4;

use hyssopstair_wire::token::KeyNumber;

use crate::error::RuleError;
use crate::hint::find_nearest_word;
use crate::line::RuleLine;
use crate::rule::Rule;
use crate::rule_set::RuleSet;
use crate::rule_set::ZoneRule;
use crate::service_rule::IdempotentPattern;
use crate::service_rule::ServiceRule;
use crate::service_rule::ZoneWeight;

/// A kind of rule that a file may contain only once for each service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UniqueRule {
    Limit,
    Deadline,
    /// The weight in the zone with this number.
    Weight(u8),
}

/// A line and the rule on it.
#[derive(Debug)]
struct ParsedLine<'a> {
    line: RuleLine<'a>,
    rule: Rule,
}

/// A service and the line that declares it.
#[derive(Debug)]
struct DeclaredService<'a> {
    line: RuleLine<'a>,
    rule: ServiceRule,
    /// The unique rules that were found so far.
    unique_rules: Vec<UniqueRule>,
}

/// Collects the rules and errors of a file.
#[derive(Debug, Default)]
pub(crate) struct RuleBuilder<'a> {
    /// Sorted by name once all declarations are read.
    services: Vec<DeclaredService<'a>>,
    zones: Vec<ZoneRule>,
    drained_hosts: Vec<SocketAddrV4>,
    evacuated_zones: Vec<u8>,
    keys: Vec<KeyNumber>,
    errors: Vec<RuleError>,
}

impl<'a> RuleBuilder<'a> {
    /// Parses a rule file.
    ///
    /// # Errors
    ///
    /// Returns all errors in the file, sorted by line.
    pub(crate) fn parse(text: &'a str) -> Result<RuleSet, Vec<RuleError>> {
        let mut builder = Self::default();
        let other_rules = builder.parse_declarations(text);
        builder.check_duplicate_services();
        for parsed in other_rules {
            if let Err(error) = builder.add_rule(&parsed.line, parsed.rule) {
                builder.errors.push(error);
            }
        }
        builder.check_zero_weights();
        builder.build()
    }

    /// Parses all lines, stores the declarations, and returns the other rules.
    fn parse_declarations(&mut self, text: &'a str) -> Vec<ParsedLine<'a>> {
        let mut other_rules = Vec::new();
        for (index, text) in text.lines().enumerate() {
            let mut line = RuleLine::split(index + 1, text);
            if line.is_blank() {
                continue;
            }
            match parse_line(&mut line) {
                Ok(Rule::Service { name, id, address }) => {
                    let rule = ServiceRule::new(id, name, address);
                    self.services.push(DeclaredService {
                        line,
                        rule,
                        unique_rules: Vec::new(),
                    });
                }
                Ok(Rule::Zone { name, id }) => {
                    if let Err(error) = self.add_zone(&line, name, id) {
                        self.errors.push(error);
                    }
                }
                Ok(rule) => other_rules.push(ParsedLine { line, rule }),
                Err(error) => self.errors.push(error),
            }
        }
        other_rules
    }

    /// Adds errors for services with the same name, number or address, and leaves
    /// the services sorted by name.
    fn check_duplicate_services(&mut self) {
        self.check_duplicates("address", |service| service.address);
        self.check_duplicates("id", |service| service.id);
        self.check_duplicates("name", |service| service.name.clone());
        self.services
            .dedup_by(|left, right| left.rule.name == right.rule.name);
    }

    fn check_duplicates<K: Ord>(&mut self, property: &str, key: impl Fn(&ServiceRule) -> K) {
        // Services with equal keys are sorted by line, so that the error is reported
        // on the later line.
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
                "service \"{}\" has the same {property} as service \"{}\" on line {}",
                second.rule.name,
                first.rule.name,
                first.line.number()
            );
            let hint = format!("choose another {property}");
            self.errors
                .push(second.line.error_at_column(1, message, &hint));
        }
    }

    fn add_zone(&mut self, line: &RuleLine<'_>, name: String, id: u8) -> Result<(), RuleError> {
        let duplicate = self
            .zones
            .iter()
            .find(|other| other.name == name || other.id == id);
        if let Some(other) = duplicate {
            let message = format!(
                "zone \"{name}\" has the same name or id as zone \"{}\"",
                other.name
            );
            return Err(line.error_at_column(1, message, "use a unique name and a unique id"));
        }
        self.zones.push(ZoneRule { name, id });
        Ok(())
    }

    /// Adds a rule that is not a declaration.
    fn add_rule(&mut self, line: &RuleLine<'_>, rule: Rule) -> Result<(), RuleError> {
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
                let service = self.add_unique_rule(line, &service, UniqueRule::Limit)?;
                service.slots = slots;
                service.connections = connections;
                service.queue = queue;
            }
            Rule::Deadline { service, millis } => {
                self.add_unique_rule(line, &service, UniqueRule::Deadline)?
                    .deadline_millis = millis;
            }
            Rule::Idempotent {
                service,
                method,
                prefix,
            } => {
                let pattern = IdempotentPattern { method, prefix };
                self.find_service(line, &service)?
                    .idempotent_patterns
                    .push(pattern);
            }
            Rule::Stream { service, prefix } => {
                self.find_service(line, &service)?
                    .stream_prefixes
                    .push(prefix);
            }
            Rule::Withdraw { service } => self.find_service(line, &service)?.is_withdrawn = true,
            Rule::Drain { host } => self.drained_hosts.push(host),
            Rule::Evacuate { zone } => {
                let zone = self.find_zone(line, &zone, 1)?;
                self.evacuated_zones.push(zone);
            }
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
        let zone = self.find_zone(line, zone, 2)?;
        let service = self.add_unique_rule(line, service, UniqueRule::Weight(zone))?;
        service.zone_weights.push(ZoneWeight { zone, weight });
        Ok(())
    }

    /// Returns the number of a zone. `index` is the position of its name among the words of
    /// the line.
    fn find_zone(&self, line: &RuleLine<'_>, name: &str, index: usize) -> Result<u8, RuleError> {
        let zone = self.zones.iter().find(|other| other.name == name);
        zone.map(|zone| zone.id).ok_or_else(|| {
            let names = self.zones.iter().map(|other| other.name.as_str());
            undeclared_error(line, "zone", name, names, index)
        })
    }

    fn find_service_index(&self, line: &RuleLine<'_>, name: &str) -> Result<usize, RuleError> {
        self.services
            .binary_search_by(|service| service.rule.name.as_str().cmp(name))
            .map_err(|_| {
                let names = self.services.iter().map(|other| other.rule.name.as_str());
                undeclared_error(line, "service", name, names, 1)
            })
    }

    fn find_service(
        &mut self,
        line: &RuleLine<'_>,
        name: &str,
    ) -> Result<&mut ServiceRule, RuleError> {
        let index = self.find_service_index(line, name)?;
        Ok(&mut self.services[index].rule)
    }

    /// Records a rule that a file may contain only once for each service, and returns
    /// the service. If two operators could each add such a rule, one of the two rules
    /// would silently override the other.
    ///
    /// # Errors
    ///
    /// Returns an error if the service is not declared or already has such a rule.
    fn add_unique_rule(
        &mut self,
        line: &RuleLine<'_>,
        name: &str,
        unique_rule: UniqueRule,
    ) -> Result<&mut ServiceRule, RuleError> {
        let index = self.find_service_index(line, name)?;
        let service = &mut self.services[index];
        if service.unique_rules.contains(&unique_rule) {
            let message = format!("duplicate rule for service \"{name}\"");
            return Err(line.error_at_column(1, message, "keep only one of the two lines"));
        }
        service.unique_rules.push(unique_rule);
        Ok(&mut service.rule)
    }

    /// Adds errors for services that have weight 0 in all zones.
    fn check_zero_weights(&mut self) {
        for service in &self.services {
            let rule = &service.rule;
            let zero_count = rule
                .zone_weights
                .iter()
                .filter(|zone_weight| zone_weight.weight == 0)
                .count();
            if zero_count == 0 || zero_count < self.zones.len() {
                continue;
            }
            let message = format!("service \"{}\" has weight 0 in every zone", rule.name);
            let hint = format!(
                "write \"withdraw {}\" if the service must not receive new flows",
                rule.name
            );
            self.errors
                .push(service.line.error_at_column(1, message, &hint));
        }
    }

    fn build(mut self) -> Result<RuleSet, Vec<RuleError>> {
        if !self.errors.is_empty() {
            self.errors.sort_by_key(|error| (error.line, error.column));
            return Err(self.errors);
        }
        let mut services: Vec<ServiceRule> = self
            .services
            .into_iter()
            .map(|service| service.rule)
            .collect();
        for service in &mut services {
            service
                .zone_weights
                .sort_by_key(|zone_weight| zone_weight.zone);
        }
        Ok(RuleSet::from_valid_rules(
            services,
            self.zones,
            self.drained_hosts,
            self.evacuated_zones,
            self.keys,
        ))
    }
}

fn parse_line(line: &mut RuleLine<'_>) -> Result<Rule, RuleError> {
    let rule = Rule::parse(line)?;
    if line.comment.is_none_or(str::is_empty) {
        let message = "missing comment that names who asked for the rule";
        return Err(line.error_at_end(message, "end the line with # and a name"));
    }
    Ok(rule)
}

/// Creates the error for a name that is not declared. `index` is the position of
/// the name among the words of the line.
fn undeclared_error<'n>(
    line: &RuleLine<'_>,
    kind: &str,
    name: &str,
    names: impl Iterator<Item = &'n str>,
    index: usize,
) -> RuleError {
    let message = format!("{kind} \"{name}\" is not declared");
    let hint = match find_nearest_word(name, names) {
        Some(nearest) => format!("did you mean \"{nearest}\"? Otherwise add a {kind} rule"),
        None => format!("add a {kind} rule"),
    };
    line.error_at_column(line.word_column(index), message, &hint)
}
