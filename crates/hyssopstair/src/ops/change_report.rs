//! Says what came of a change that is not in force.

use hyssopstair_platform::change::ChangeOutcome;
use hyssopstair_rules::edit::LineConflict;
use hyssopstair_rules::error::RuleError;

use crate::error::CommandError;
use crate::error::FailureKind;

/// Returns the error of a change that was not written, or may not have been.
pub fn describe_outcome(outcome: &ChangeOutcome) -> CommandError {
    match outcome {
        ChangeOutcome::Conflict { version, lines } => CommandError::new(
            FailureKind::Finding,
            format!(
                "nothing is written: version {version} changes the same lines; edit what \
                 \"hyssopstair show\" prints and apply that\n{}",
                format_conflicts(lines)
            ),
        ),
        ChangeOutcome::Invalid {
            version,
            text,
            mistakes,
        } => CommandError::new(
            FailureKind::Finding,
            format!(
                "nothing is written: merged with version {version}, the rules have mistakes\n{}",
                format_mistakes(text, mistakes)
            ),
        ),
        ChangeOutcome::NotWritten => CommandError::new(
            FailureKind::Unavailable,
            "nothing is written: the platform does not answer; check --platform, or try again \
             when it does",
        ),
        ChangeOutcome::MayBeWritten { version } => CommandError::new(
            FailureKind::UnknownOutcome,
            format!(
                "version {version} may have been written: the platform gives no answer; apply \
                 the same again when it does, which does nothing if it was"
            ),
        ),
        ChangeOutcome::Written { version } | ChangeOutcome::Unchanged { version } => {
            CommandError::new(
                FailureKind::Unconfirmed,
                format!("written as version {version}"),
            )
        }
    }
}

fn format_conflicts(conflicts: &[LineConflict]) -> String {
    let mut lines = Vec::new();
    for conflict in conflicts {
        lines.push(format!("line {}:", conflict.line));
        lines.push(format!("  before: {}", conflict.base));
        lines.push(format!("  yours:  {}", format_side(&conflict.ours)));
        lines.push(format!("  theirs: {}", format_side(&conflict.theirs)));
    }
    lines.join("\n")
}

fn format_side(lines: &[String]) -> String {
    if lines.is_empty() {
        return "(removed)".to_owned();
    }
    lines.join("\n          ")
}

fn format_mistakes(text: &str, mistakes: &[RuleError]) -> String {
    let describe = |mistake: &RuleError| {
        let line = text.lines().nth(mistake.line - 1).unwrap_or_default();
        format!("{mistake}\n  {line}")
    };
    mistakes.iter().map(describe).collect::<Vec<_>>().join("\n")
}
