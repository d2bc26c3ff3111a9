//! Says where a new flow to a service would go, and why.

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

/// Asks a daemon and explains where it sends a new flow to `address`.
///
/// # Errors
///
/// Returns an error when the daemon does not answer, or no service has the
/// address.
pub async fn explain(
    daemon: &str,
    address: SocketAddrV4,
) -> Result<Vec<String>, Report<CommandError>> {
    let context = || {
        CommandError::new(
            FailureKind::Service,
            format!("failed to ask the daemon at {daemon}; check --daemon"),
        )
    };
    let client = DaemonClient::new();
    let status = client.status(daemon).await.change_context_lazy(context)?;
    let text = client.rules(daemon).await.change_context_lazy(context)?;
    let rules = RuleSet::parse(&text).map_err(|_| Report::new(context()))?;
    explain_flow(&rules, &text, &status.members, status.version, address).map_err(Report::new)
}

/// Explains where a process with these rules and members sends a new flow.
///
/// # Errors
///
/// Returns an error when no service has the address.
pub fn explain_flow(
    rules: &RuleSet,
    text: &str,
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
            FailureKind::Input,
            format!(
                "no service has the address {address}; known are {}",
                known.join(", ")
            ),
        ));
    };
    let hosts: Vec<HostView> = members
        .iter()
        .filter_map(|entry| HostView::of(rules, service, entry))
        .collect();
    let total: u32 = hosts.iter().map(|host| u32::from(host.weight)).sum();
    let mut lines = vec![format!(
        "{address} is service {} (number {}) in version {version}",
        service.name, service.id
    )];
    lines.extend(hosts.iter().map(|host| host.describe(total)));
    lines.extend(asked_lines(text, &service.name, &hosts));
    lines.push(conclusion(total, hosts.len()));
    Ok(lines)
}

/// A host of the service and its part in the placement of new flows.
#[derive(Debug)]
struct HostView {
    address: SocketAddrV4,
    state: MemberState,
    weight: u16,
    zone: String,
    reason: Option<&'static str>,
}

impl HostView {
    fn of(rules: &RuleSet, service: &ServiceRule, entry: &MemberEntry) -> Option<Self> {
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
        let reason = exclusion(rules, service, entry, zone_weight);
        let weight = match reason {
            Some(_) => 0,
            None => zone_weight.saturating_mul(weight.max(1)),
        };
        Some(Self {
            address: entry.process.address,
            state: entry.state,
            weight,
            zone: zone_name(rules, zone),
            reason,
        })
    }

    fn describe(&self, total: u32) -> String {
        let place = format!("{} in {}", self.address, self.zone);
        let state = format!("{:?}", self.state).to_lowercase();
        match self.reason {
            Some(reason) => format!("  {place}: {state}, takes nothing new: {reason}"),
            None => {
                let share = 100.0 * f64::from(self.weight) / f64::from(total.max(1));
                let weight = self.weight;
                format!("  {place}: {state}, weight {weight}, {share:.1} % of new flows")
            }
        }
    }
}

fn exclusion(
    rules: &RuleSet,
    service: &ServiceRule,
    entry: &MemberEntry,
    zone_weight: u16,
) -> Option<&'static str> {
    match entry.state {
        MemberState::Gone => return Some("it is gone"),
        MemberState::Draining => return Some("it drains of its own accord"),
        MemberState::Suspect => return Some("it does not answer"),
        MemberState::Alive => {}
    }
    if service.is_withdrawn {
        return Some("a rule withdraws the service");
    }
    if rules.is_drained(entry.process.address) {
        return Some("a rule drains it");
    }
    (zone_weight == 0).then_some("its zone has weight 0")
}

fn zone_name(rules: &RuleSet, id: u8) -> String {
    let zone = rules.zones.iter().find(|zone| zone.id == id);
    zone.map_or_else(|| format!("zone {id}"), |zone| zone.name.clone())
}

/// Returns the rules that bear on the placement, each with who asked for it.
fn asked_lines(text: &str, service: &str, hosts: &[HostView]) -> Vec<String> {
    let bears = |line: &&str| {
        let mut words = line.split_whitespace();
        match (words.next(), words.next()) {
            (Some("weight" | "withdraw" | "limit"), Some(name)) => name == service,
            (Some("drain"), Some(word)) => {
                hosts.iter().any(|host| word == host.address.to_string())
            }
            _ => false,
        }
    };
    let lines = text.lines().filter(bears);
    lines.map(|line| format!("  rule: {line}")).collect()
}

fn conclusion(total: u32, hosts: usize) -> String {
    if hosts == 0 {
        return "no host has announced itself for the service: new flows are dropped".to_owned();
    }
    if total == 0 {
        return "no host may take a new flow: new flows are dropped".to_owned();
    }
    "the flow's first packet chooses among these by rendezvous hashing, alike on all balancers; \
     a host that is full hands it to the next"
        .to_owned()
}
