//! Collects the state of daemons and reports the differences between them.

use futures::StreamExt;
use futures::stream;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;
use serde::Serialize;
use serde_json::Value;

use crate::ops::daemon::DaemonClient;
use crate::ops::daemon::DaemonStatus;

/// Number of daemons that are queried at the same time.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// Maximum number of daemons that a finding lists by address; the others are only
/// counted.
const MAX_LISTED_DAEMONS: usize = 5;

/// The state of one daemon.
#[derive(Debug, Serialize)]
pub struct DaemonReport {
    /// The admin address of the daemon.
    pub address: String,
    /// The state that the daemon reports, or `None` if it does not answer.
    pub status: Option<DaemonStatus>,
}

/// The states of several daemons and the differences between them.
#[derive(Debug, Serialize)]
pub struct FleetStatus {
    /// The states, in the order of the given addresses.
    pub daemons: Vec<DaemonReport>,
    /// Describes daemons that do not answer or have an outdated version, and
    /// members that the daemons see differently.
    pub findings: Vec<String>,
}

/// Queries daemons at their admin addresses and compares their states.
pub async fn fetch_fleet_status(addresses: &[String]) -> FleetStatus {
    let client = DaemonClient::new();
    let daemons = stream::iter(addresses.to_vec())
        .map(|address| {
            let client = client.clone();
            async move {
                let status = client.fetch_status(&address).await.ok();
                DaemonReport { address, status }
            }
        })
        .buffered(MAX_CONCURRENT_QUERIES)
        .collect()
        .await;
    FleetStatus::from_reports(daemons)
}

impl FleetStatus {
    /// Compares the states of daemons.
    pub fn from_reports(daemons: Vec<DaemonReport>) -> Self {
        let mut findings = find_unreachable_daemons(&daemons);
        findings.extend(find_outdated_daemons(&daemons));
        findings.extend(find_member_conflicts(&daemons));
        Self { daemons, findings }
    }

    /// Returns the rows of a text table with one row per daemon.
    pub fn table(&self) -> Vec<String> {
        let header = [
            "daemon", "role", "version", "alive", "draining", "suspect", "gone", "more",
        ];
        let mut rows = vec![header.map(str::to_owned).to_vec()];
        rows.extend(self.daemons.iter().map(format_row));
        align_columns(&rows)
    }
}

fn format_row(report: &DaemonReport) -> Vec<String> {
    let Some(status) = &report.status else {
        return vec![report.address.clone(), "no answer".to_owned()];
    };
    let count = |state| {
        let members = status.members.iter();
        members
            .filter(|entry| entry.state == state)
            .count()
            .to_string()
    };
    vec![
        report.address.clone(),
        format_role(status),
        status.version.to_string(),
        count(MemberState::Alive),
        count(MemberState::Draining),
        count(MemberState::Suspect),
        count(MemberState::Gone),
        format_extra_values(status),
    ]
}

fn format_role(status: &DaemonStatus) -> String {
    let own_entry = status
        .members
        .iter()
        .find(|entry| entry.process.to_string() == status.process);
    match own_entry.map(|entry| entry.role) {
        Some(MemberRole::Balancer) => "balancer".to_owned(),
        Some(MemberRole::Host { service, .. }) => format!("host of service {service}"),
        None => "unknown".to_owned(),
    }
}

/// Returns the other figures that a daemon reports, as `name=value`. Lists and
/// objects are left out.
fn format_extra_values(status: &DaemonStatus) -> String {
    let values = status.more.iter().filter_map(|(name, value)| match value {
        Value::Number(_) | Value::Bool(_) | Value::String(_) => Some(format!("{name}={value}")),
        _ => None,
    });
    values.collect::<Vec<_>>().join(" ")
}

fn align_columns(rows: &[Vec<String>]) -> Vec<String> {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths);
        let padded: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        padded.join("  ").trim_end().to_owned()
    };
    rows.iter().map(line).collect()
}

fn find_unreachable_daemons(daemons: &[DaemonReport]) -> Vec<String> {
    daemons
        .iter()
        .filter(|report| report.status.is_none())
        .map(|report| format!("{} does not answer", report.address))
        .collect()
}

fn find_outdated_daemons(daemons: &[DaemonReport]) -> Option<String> {
    let versions = daemons.iter().filter_map(|report| {
        let version = report.status.as_ref()?.version;
        Some((version, report.address.as_str()))
    });
    let highest = versions.clone().map(|(version, _)| version).max()?;
    let outdated: Vec<String> = versions
        .filter(|(version, _)| *version < highest)
        .map(|(version, address)| format!("{address} has version {version}"))
        .collect();
    if outdated.is_empty() {
        return None;
    }
    Some(format!(
        "the highest version is {highest}, but {}",
        join_limited(&outdated)
    ))
}

/// Returns a finding for each member that daemons report in different states, and for
/// each that only some daemons know, unless its state is gone.
fn find_member_conflicts(daemons: &[DaemonReport]) -> Vec<String> {
    let statuses = daemons.iter().filter_map(|report| report.status.as_ref());
    let mut distinct_entries: Vec<&MemberEntry> =
        statuses.clone().flat_map(|item| &item.members).collect();
    distinct_entries.sort_by_key(|entry| (entry.process.address, entry.state));
    distinct_entries.dedup_by_key(|entry| (entry.process.address, entry.state));
    let mut findings = Vec::new();
    for group in
        distinct_entries.chunk_by(|left, right| left.process.address == right.process.address)
    {
        let address = group[0].process.address;
        let known_count = statuses
            .clone()
            .filter(|status| has_member(status, group[0]))
            .count();
        let states: Vec<String> = group
            .iter()
            .map(|entry| format_state(entry.state))
            .collect();
        if group.len() > 1 {
            findings.push(format!(
                "daemons disagree on the state of {address}: {}",
                states.join(", ")
            ));
        } else if known_count < statuses.clone().count() && group[0].state != MemberState::Gone {
            findings.push(format!(
                "{address} is known to {known_count} of {} daemons",
                statuses.clone().count()
            ));
        }
    }
    findings
}

fn has_member(status: &DaemonStatus, member: &MemberEntry) -> bool {
    let address = member.process.address;
    let members = &status.members;
    members.iter().any(|entry| entry.process.address == address)
}

fn format_state(state: MemberState) -> String {
    format!("{state:?}").to_lowercase()
}

fn join_limited(items: &[String]) -> String {
    let listed = items[..items.len().min(MAX_LISTED_DAEMONS)].join(", ");
    match items.len().saturating_sub(MAX_LISTED_DAEMONS) {
        0 => listed,
        more => format!("{listed} and {more} more"),
    }
}
