//! Describes the outcome of a change as an error for the operator.

use hyssopstair_platform::change::ChangeOutcome;
use hyssopstair_rules::edit::LineConflict;
use hyssopstair_rules::error::RuleError;

use crate::error::CommandError;
use crate::error::FailureKind;

/// Returns the error for the outcome of a change. It says whether the change was
/// written and what the operator can do.
pub fn describe_outcome(outcome: &ChangeOutcome) -> CommandError {
    match outcome {
        ChangeOutcome::Conflict { version, lines } => CommandError::new(
            FailureKind::Finding,
            format!(
                "nothing was written: version {version} changes the same lines; edit the output \
                 of \"hyssopstair show\" and apply it\n{}",
                format_conflicts(lines)
            ),
        ),
        ChangeOutcome::Invalid {
            version,
            text,
            errors,
        } => CommandError::new(
            FailureKind::Finding,
            format!(
                "nothing was written: the rules are invalid when merged with version \
                 {version}\n{}",
                format_errors(text, errors)
            ),
        ),
        ChangeOutcome::PlatformBehind {
            stored_version,
            fleet_version,
        } => CommandError::new(
            FailureKind::Unavailable,
            format!(
                "nothing was written: the platform came back from a copy; it holds version \
                 {stored_version}, and daemons have version {fleet_version} in force, but none \
                 of the given ones sent its rules; pass --daemon ADDRESS of one that has it"
            ),
        ),
        ChangeOutcome::NotWritten => CommandError::new(
            FailureKind::Unavailable,
            "nothing was written: the platform does not answer; check --platform, or try again \
             when the platform answers",
        ),
        ChangeOutcome::MayBeWritten { version } => CommandError::new(
            FailureKind::UnknownOutcome,
            format!(
                "version {version} may have been written: the platform does not answer; apply \
                 the same change again when it does (this has no effect if it was written)"
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

fn format_errors(text: &str, errors: &[RuleError]) -> String {
    let describe = |error: &RuleError| {
        let line = text.lines().nth(error.line - 1).unwrap_or_default();
        format!("{error}\n  {line}")
    };
    errors.iter().map(describe).collect::<Vec<_>>().join("\n")
}
