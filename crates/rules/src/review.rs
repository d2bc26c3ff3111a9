//! Finds rules that are valid but have no effect, or that contradict each other.

use crate::line::RuleLine;
use crate::rule::Rule;

/// Why a rule is probably a mistake.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemarkKind {
    /// The rule can never match anything that another rule does not match already.
    NeverMatches,
    /// The rule contradicts another one, or its values contradict each other.
    Contradiction,
}

/// A rule that is probably a mistake.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleRemark {
    /// Number of its line, from 1.
    pub line: usize,
    /// Why it is probably a mistake.
    pub kind: RemarkKind,
    /// The reason in words, with the number of the other line if there is one.
    pub reason: String,
}

/// A rule with the number of its line.
type NumberedRule = (usize, Rule);

/// Returns the remarks on a valid rule file, in the order of its lines. Lines that cannot be
/// parsed are left out.
pub fn review_rules(text: &str) -> Vec<RuleRemark> {
    let rules: Vec<NumberedRule> = text
        .lines()
        .enumerate()
        .filter_map(|(index, line)| {
            let rule = Rule::parse(&mut RuleLine::split(index + 1, line)).ok()?;
            Some((index + 1, rule))
        })
        .collect();
    let mut remarks: Vec<RuleRemark> = rules
        .iter()
        .filter_map(|(line, rule)| {
            let (kind, reason) = review_rule(*line, rule, &rules)?;
            Some(RuleRemark {
                line: *line,
                kind,
                reason,
            })
        })
        .collect();
    remarks.extend(review_evacuations(&rules));
    remarks.sort_by_key(|remark| remark.line);
    remarks
}

fn review_rule(line: usize, rule: &Rule, rules: &[NumberedRule]) -> Option<(RemarkKind, String)> {
    match rule {
        Rule::Idempotent {
            service,
            method,
            prefix,
        } => {
            let covers = |other: &Rule| {
                matches!(other, Rule::Idempotent { service: s, method: m, prefix: p }
                    if s == service && m == method && prefix.starts_with(p.as_str()))
            };
            find_covering_line(line, prefix, rules, covers, |other| match other {
                Rule::Idempotent { prefix, .. } => Some(prefix),
                _ => None,
            })
        }
        Rule::Stream { service, prefix } => {
            let covers = |other: &Rule| {
                matches!(other, Rule::Stream { service: s, prefix: p }
                    if s == service && prefix.starts_with(p.as_str()))
            };
            find_covering_line(line, prefix, rules, covers, |other| match other {
                Rule::Stream { prefix, .. } => Some(prefix),
                _ => None,
            })
        }
        Rule::Weight { service, zone, .. } => {
            let withdrawn = find_line(
                rules,
                |other| matches!(other, Rule::Withdraw { service: s } if s == service),
            );
            let evacuated = find_line(
                rules,
                |other| matches!(other, Rule::Evacuate { zone: z } if z == zone),
            );
            let other_line = withdrawn.or(evacuated)?;
            let reason = format!("no new flow is weighed here because of line {other_line}");
            Some((RemarkKind::NeverMatches, reason))
        }
        Rule::Limit {
            slots, connections, ..
        } if u32::from(*slots) > *connections => {
            let reason = format!("{slots} slots can never be used by {connections} connections");
            Some((RemarkKind::Contradiction, reason))
        }
        Rule::Drain { .. } | Rule::Withdraw { .. } | Rule::Evacuate { .. } | Rule::Key { .. } => {
            let first_line = find_line(rules, |other| other == rule)?;
            (first_line < line).then(|| {
                let reason = format!("repeats line {first_line}");
                (RemarkKind::NeverMatches, reason)
            })
        }
        _ => None,
    }
}

/// Returns the remark on a prefix that is covered by that of another line: a shorter one
/// anywhere, or the same one on an earlier line.
fn find_covering_line<'a>(
    line: usize,
    prefix: &str,
    rules: &'a [NumberedRule],
    covers: impl Fn(&Rule) -> bool,
    prefix_of: impl Fn(&'a Rule) -> Option<&'a String>,
) -> Option<(RemarkKind, String)> {
    let (other_line, _) = rules.iter().find(|(other_line, other)| {
        let is_same = prefix_of(other).is_some_and(|other_prefix| other_prefix == prefix);
        covers(other) && (!is_same || *other_line < line)
    })?;
    let reason = format!("line {other_line} already covers \"{prefix}\"");
    Some((RemarkKind::NeverMatches, reason))
}

/// Returns a remark on the last of the rules that empty all zones together.
fn review_evacuations(rules: &[NumberedRule]) -> Option<RuleRemark> {
    let mut zones = rules.iter().filter_map(|(_, rule)| match rule {
        Rule::Zone { name, .. } => Some(name),
        _ => None,
    });
    let is_evacuated = |zone: &String| {
        find_line(
            rules,
            |other| matches!(other, Rule::Evacuate { zone: z } if z == zone),
        )
        .is_some()
    };
    let last_line = rules
        .iter()
        .rev()
        .find(|(_, rule)| matches!(rule, Rule::Evacuate { .. }))?
        .0;
    zones.all(is_evacuated).then(|| RuleRemark {
        line: last_line,
        kind: RemarkKind::Contradiction,
        reason: "all zones are evacuated: no service accepts new flows".to_owned(),
    })
}

fn find_line(rules: &[NumberedRule], matches: impl Fn(&Rule) -> bool) -> Option<usize> {
    let (line, _) = rules.iter().find(|(_, rule)| matches(rule))?;
    Some(*line)
}
