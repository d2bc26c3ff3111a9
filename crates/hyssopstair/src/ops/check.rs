//! Checks a rule file or a configuration of the users' platform before it is sent.

use std::path::Path;

use error_stack::Report;
use hyssopstair_adapter::review::review_configuration;
use hyssopstair_rules::review::review_rules;
use serde::Serialize;
use serde_json::Value;

use crate::error::CommandError;
use crate::error::FailureKind;
use crate::ops::apply::split_version_line;
use crate::ops::diff::diff_text;
use crate::ops::rule_file::parse_rules;

/// An entry that is valid and probably a mistake.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub struct CheckFinding {
    /// Where it is: a line of a rule file, or a path into a configuration.
    pub place: String,
    /// What is wrong with it.
    pub kind: String,
    /// The reason in words.
    pub reason: String,
}

/// The result of a check.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub struct CheckReport {
    /// A short description of what the file contains.
    pub summary: String,
    /// Entries that are probably mistakes.
    pub findings: Vec<CheckFinding>,
    /// Differences from the version in force, line by line; empty if there is none to
    /// compare with.
    pub differences: Vec<String>,
}

/// Returns whether a text is a configuration of the users' platform, and not a rule file.
pub fn is_configuration(text: &str) -> bool {
    text.trim_start().starts_with('{')
}

/// Checks a file with this text, and compares it with the version in force, if one is given.
/// `path` only appears in error messages.
///
/// # Errors
///
/// Returns an error that lists all errors in the file.
pub fn check_text(
    path: &Path,
    text: &str,
    in_force: Option<&str>,
) -> Result<CheckReport, Report<CommandError>> {
    if is_configuration(text) {
        check_configuration(path, text, in_force)
    } else {
        check_rules(path, text, in_force)
    }
}

fn check_rules(
    path: &Path,
    text: &str,
    in_force: Option<&str>,
) -> Result<CheckReport, Report<CommandError>> {
    let edited = split_version_line(text);
    let rules = parse_rules(path, &edited)?;
    let skipped_lines = usize::from(edited.base_version.is_some());
    let findings = review_rules(&edited.text)
        .into_iter()
        .map(|remark| CheckFinding {
            place: format!("line {}", remark.line + skipped_lines),
            kind: format!("{:?}", remark.kind),
            reason: remark.reason,
        })
        .collect();
    let old = in_force.map(|text| split_version_line(text).text);
    Ok(CheckReport {
        summary: format!(
            "{} services, {} drained hosts, {} evacuated zones, {} keys",
            rules.services.len(),
            rules.drained_hosts.len(),
            rules.evacuated_zones.len(),
            rules.keys.len()
        ),
        findings,
        differences: old.map_or_else(Vec::new, |old| diff_text(&old, &edited.text)),
    })
}

fn check_configuration(
    path: &Path,
    text: &str,
    in_force: Option<&str>,
) -> Result<CheckReport, Report<CommandError>> {
    let invalid = |error: &dyn std::fmt::Display| {
        let message = format!("{}: {error}", path.display());
        Report::new(CommandError::new(FailureKind::InvalidInput, message))
    };
    let findings = review_configuration(text.as_bytes()).map_err(|error| invalid(&error))?;
    let body: Value = serde_json::from_str(text).map_err(|error| invalid(&error))?;
    let count = |name: &str| body[name].as_array().map_or(0, Vec::len);
    let differences = match in_force {
        Some(old) => {
            let old: Value = serde_json::from_str(old).map_err(|error| invalid(&error))?;
            diff_text(&format!("{old:#}"), &format!("{body:#}"))
        }
        None => Vec::new(),
    };
    Ok(CheckReport {
        summary: format!(
            "version {}, {} routes, {} services",
            body["version"],
            count("routes"),
            count("services")
        ),
        findings: findings
            .into_iter()
            .map(|finding| CheckFinding {
                place: finding.place,
                kind: format!("{:?}", finding.kind),
                reason: finding.reason,
            })
            .collect(),
        differences,
    })
}
