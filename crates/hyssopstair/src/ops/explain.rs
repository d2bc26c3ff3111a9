//! Explains which hosts may get a new flow to a service, and why others may not.

use std::net::SocketAddrV4;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_rules::rule_set::RuleSet;
use hyssopstair_rules::service_rule::ServiceRule;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;

use crate::error::CommandError;
use crate::error::FailureKind;
use crate::ops::daemon::DaemonClient;

/// Queries a daemon and returns lines of text that explain where the daemon places
/// a new flow to `address`.
///
/// # Errors
///
/// Returns an error if the daemon does not answer, its rules are invalid, or no
/// service has the address.
pub async fn fetch_explanation(
    daemon: &str,
    address: SocketAddrV4,
) -> Result<Vec<String>, Report<CommandError>> {
    let context = || {
        CommandError::new(
            FailureKind::Unavailable,
            format!("failed to query the daemon at {daemon}; check --daemon"),
        )
    };
    let client = DaemonClient::new();
    let status = client
        .fetch_status(daemon)
        .await
        .change_context_lazy(context)?;
    let rules_text = client
        .fetch_rules(daemon)
        .await
        .change_context_lazy(context)?;
    let rules = RuleSet::parse(&rules_text).map_err(|_| Report::new(context()))?;
    explain_flow(
        &rules,
        &rules_text,
        &status.members,
        status.version,
        address,
    )
    .map_err(Report::new)
}

/// Returns lines of text that explain where a process with these rules and members
/// places a new flow to `address`. `rules_text` is the source of `rules`; `version`
/// is their version.
///
/// # Errors
///
/// Returns an error if no service has the address.
pub fn explain_flow(
    rules: &RuleSet,
    rules_text: &str,
    members: &[MemberEntry],
    version: u64,
    address: SocketAddrV4,
) -> Result<Vec<String>, CommandError> {
    let Some(service) = rules.find_service_by_address(address) else {
        let known: Vec<String> = rules
            .services
            .iter()
            .map(|service| format!("{} ({})", service.address, service.name))
            .collect();
        return Err(CommandError::new(
            FailureKind::InvalidInput,
            format!(
                "no service has the address {address}; known addresses: {}",
                known.join(", ")
            ),
        ));
    };
    let hosts: Vec<HostPlacement> = members
        .iter()
        .filter_map(|entry| HostPlacement::from_member(rules, service, entry))
        .collect();
    let total_weight: u32 = hosts.iter().map(|host| u32::from(host.weight)).sum();
    let mut lines = vec![format!(
        "{address} is service {} (number {}) in version {version}",
        service.name, service.id
    )];
    lines.extend(hosts.iter().map(|host| host.describe(total_weight)));
    lines.extend(format_related_rules(rules_text, &service.name, &hosts));
    lines.push(describe_selection(total_weight, hosts.len()));
    Ok(lines)
}

/// A host of the service and its weight in the placement of new flows; the weight is
/// 0 if the host is excluded.
#[derive(Debug)]
struct HostPlacement {
    address: SocketAddrV4,
    state: MemberState,
    weight: u16,
    zone: String,
    exclusion_reason: Option<&'static str>,
}

impl HostPlacement {
    fn from_member(rules: &RuleSet, service: &ServiceRule, entry: &MemberEntry) -> Option<Self> {
        let MemberRole::Host {
            service: id,
            zone,
            weight,
        } = entry.role
        else {
            return None;
        };
        if id != service.id {
            return None;
        }
        let zone_weight = service.weight_in_zone(zone);
        let exclusion_reason = find_exclusion_reason(rules, service, entry, zone_weight).or(rules
            .is_evacuated(zone)
            .then_some("its zone is evacuated by a rule"));
        let weight = match exclusion_reason {
            Some(_) => 0,
            None => zone_weight.saturating_mul(weight.max(1)),
        };
        Some(Self {
            address: entry.process.address,
            state: entry.state,
            weight,
            zone: format_zone(rules, zone),
            exclusion_reason,
        })
    }

    fn describe(&self, total_weight: u32) -> String {
        let host = format!("{} in {}", self.address, self.zone);
        let state = format!("{:?}", self.state).to_lowercase();
        match self.exclusion_reason {
            Some(reason) => {
                format!("  {host}: {state}, accepts no new flows: {reason}")
            }
            None => {
                let share = 100.0 * f64::from(self.weight) / f64::from(total_weight.max(1));
                let weight = self.weight;
                format!("  {host}: {state}, weight {weight}, {share:.1} % of new flows")
            }
        }
    }
}

/// Returns why the host gets no new flows, or `None` if it may get some.
fn find_exclusion_reason(
    rules: &RuleSet,
    service: &ServiceRule,
    entry: &MemberEntry,
    zone_weight: u16,
) -> Option<&'static str> {
    match entry.state {
        MemberState::Gone => return Some("it has left or failed"),
        MemberState::Draining => return Some("its process is draining"),
        MemberState::Suspect => return Some("it does not answer other members"),
        MemberState::Alive => {}
    }
    if service.is_withdrawn {
        return Some("the service is withdrawn by a rule");
    }
    if rules.is_drained(entry.process.address) {
        return Some("it is drained by a rule");
    }
    (zone_weight == 0).then_some("its zone has weight 0")
}

fn format_zone(rules: &RuleSet, id: u8) -> String {
    let zone = rules.zones.iter().find(|zone| zone.id == id);
    zone.map_or_else(|| format!("zone {id}"), |zone| zone.name.clone())
}

/// Returns the lines of the rule file that affect the placement, with their comments,
/// which name the requesters.
fn format_related_rules(rules_text: &str, service: &str, hosts: &[HostPlacement]) -> Vec<String> {
    let is_related = |line: &&str| {
        let mut words = line.split_whitespace();
        match (words.next(), words.next()) {
            (Some("weight" | "withdraw" | "limit"), Some(name)) => name == service,
            (Some("drain"), Some(word)) => {
                hosts.iter().any(|host| word == host.address.to_string())
            }
            (Some("evacuate"), Some(zone)) => hosts.iter().any(|host| host.zone == zone),
            _ => false,
        }
    };
    let lines = rules_text.lines().filter(is_related);
    lines.map(|line| format!("  rule: {line}")).collect()
}

/// Returns how a host is selected from the candidates.
fn describe_selection(total_weight: u32, host_count: usize) -> String {
    if host_count == 0 {
        return "the service has no known hosts: new flows are dropped".to_owned();
    }
    if total_weight == 0 {
        return "no host accepts new flows: new flows are dropped".to_owned();
    }
    "all balancers select the same host for a flow, by rendezvous hashing of its first packet; \
     a host without capacity passes the packet on to the next"
        .to_owned()
}
