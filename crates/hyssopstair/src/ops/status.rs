//! Asks daemons what they see, and compares their answers.

use futures::StreamExt;
use futures::stream;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;
use serde::Serialize;
use serde_json::Value;

use crate::ops::daemon::DaemonClient;
use crate::ops::daemon::DaemonStatus;

/// Daemons that are asked at once.
const QUESTIONS: usize = 32;

/// Members that a line about disagreement names at most.
const MAX_NAMED: usize = 5;

/// What one daemon answered.
#[derive(Debug, Serialize)]
pub struct DaemonAnswer {
    /// The admin address of the daemon.
    pub address: String,
    /// Its state, or nothing when it does not answer.
    pub status: Option<DaemonStatus>,
}

/// What all daemons answered.
#[derive(Debug, Serialize)]
pub struct FleetStatus {
    /// The answers, in the order of the questions.
    pub daemons: Vec<DaemonAnswer>,
    /// In what the daemons disagree, and who does not answer.
    pub findings: Vec<String>,
}

/// Asks daemons for their state.
pub async fn ask_status(addresses: &[String]) -> FleetStatus {
    let client = DaemonClient::new();
    let daemons = stream::iter(addresses.to_vec())
        .map(|address| {
            let client = client.clone();
            async move {
                let status = client.status(&address).await.ok();
                DaemonAnswer { address, status }
            }
        })
        .buffered(QUESTIONS)
        .collect()
        .await;
    FleetStatus::compare(daemons)
}

impl FleetStatus {
    /// Compares the answers of daemons.
    pub fn compare(daemons: Vec<DaemonAnswer>) -> Self {
        let mut findings = silent_daemons(&daemons);
        findings.extend(version_finding(&daemons));
        findings.extend(member_findings(&daemons));
        Self { daemons, findings }
    }

    /// Returns a table for people.
    pub fn table(&self) -> Vec<String> {
        let head = [
            "daemon", "role", "version", "alive", "draining", "suspect", "gone", "more",
        ];
        let mut rows = vec![head.map(str::to_owned).to_vec()];
        rows.extend(self.daemons.iter().map(table_row));
        align(&rows)
    }
}

fn table_row(answer: &DaemonAnswer) -> Vec<String> {
    let Some(status) = &answer.status else {
        return vec![answer.address.clone(), "no answer".to_owned()];
    };
    let count = |state| {
        let members = status.members.iter();
        members
            .filter(|entry| entry.state == state)
            .count()
            .to_string()
    };
    vec![
        answer.address.clone(),
        role_name(status),
        status.version.to_string(),
        count(MemberState::Alive),
        count(MemberState::Draining),
        count(MemberState::Suspect),
        count(MemberState::Gone),
        more_values(status),
    ]
}

fn role_name(status: &DaemonStatus) -> String {
    let own = status
        .members
        .iter()
        .find(|entry| entry.process.to_string() == status.process);
    match own.map(|entry| entry.role) {
        Some(MemberRole::Balancer) => "balancer".to_owned(),
        Some(MemberRole::Host { service, .. }) => format!("host of service {service}"),
        None => "unknown".to_owned(),
    }
}

/// Returns the numbers that a daemon reports besides, such as flows and load.
fn more_values(status: &DaemonStatus) -> String {
    let values = status.more.iter().filter_map(|(name, value)| match value {
        Value::Number(_) | Value::Bool(_) | Value::String(_) => Some(format!("{name}={value}")),
        _ => None,
    });
    values.collect::<Vec<_>>().join(" ")
}

fn align(rows: &[Vec<String>]) -> Vec<String> {
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

fn silent_daemons(daemons: &[DaemonAnswer]) -> Vec<String> {
    daemons
        .iter()
        .filter(|answer| answer.status.is_none())
        .map(|answer| format!("{} does not answer", answer.address))
        .collect()
}

fn version_finding(daemons: &[DaemonAnswer]) -> Option<String> {
    let versions = daemons.iter().filter_map(|answer| {
        let version = answer.status.as_ref()?.version;
        Some((version, answer.address.as_str()))
    });
    let highest = versions.clone().map(|(version, _)| version).max()?;
    let behind: Vec<String> = versions
        .filter(|(version, _)| *version < highest)
        .map(|(version, address)| format!("{address} has version {version}"))
        .collect();
    if behind.is_empty() {
        return None;
    }
    Some(format!(
        "version {highest} is in force, but {}",
        name_some(&behind)
    ))
}

/// Names the members that not all daemons see in the same state.
fn member_findings(daemons: &[DaemonAnswer]) -> Vec<String> {
    let statuses = daemons.iter().filter_map(|answer| answer.status.as_ref());
    let mut seen: Vec<&MemberEntry> = statuses.clone().flat_map(|item| &item.members).collect();
    seen.sort_by_key(|entry| (entry.process.address, entry.state));
    seen.dedup_by_key(|entry| (entry.process.address, entry.state));
    let mut findings = Vec::new();
    for group in seen.chunk_by(|left, right| left.process.address == right.process.address) {
        let address = group[0].process.address;
        let knowing = statuses
            .clone()
            .filter(|status| knows(status, group[0]))
            .count();
        let states: Vec<String> = group.iter().map(|entry| state_name(entry.state)).collect();
        if group.len() > 1 {
            findings.push(format!(
                "{address} is {} to different daemons",
                states.join(" and ")
            ));
        } else if knowing < statuses.clone().count() && group[0].state != MemberState::Gone {
            findings.push(format!(
                "{address} is known to {knowing} of {} daemons",
                statuses.clone().count()
            ));
        }
    }
    findings
}

fn knows(status: &DaemonStatus, member: &MemberEntry) -> bool {
    let address = member.process.address;
    let members = &status.members;
    members.iter().any(|entry| entry.process.address == address)
}

fn state_name(state: MemberState) -> String {
    format!("{state:?}").to_lowercase()
}

fn name_some(items: &[String]) -> String {
    let named = items[..items.len().min(MAX_NAMED)].join(", ");
    match items.len().saturating_sub(MAX_NAMED) {
        0 => named,
        more => format!("{named} and {more} more"),
    }
}
