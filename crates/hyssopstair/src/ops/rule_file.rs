//! Reads and validates rule files.

use std::fs;
use std::path::Path;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_rules::rule_set::RuleSet;

use crate::error::CommandError;
use crate::error::FailureKind;
use crate::ops::apply::EditedRules;

/// Returns the text of a rule file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is not valid UTF-8.
pub fn read_rule_file(path: &Path) -> Result<String, Report<CommandError>> {
    fs::read_to_string(path).change_context_lazy(|| {
        CommandError::new(
            FailureKind::InvalidInput,
            format!("failed to read rule file {}", path.display()),
        )
    })
}

/// Parses the rules of a file. `path` only appears in error messages.
///
/// # Errors
///
/// Returns an error that lists all errors in the file. Their line numbers count the
/// line that names the version, if there is one.
pub fn parse_rules(path: &Path, edited: &EditedRules) -> Result<RuleSet, Report<CommandError>> {
    let skipped_lines = usize::from(edited.base_version.is_some());
    RuleSet::parse(&edited.text).map_err(|errors| {
        let list: Vec<String> = errors
            .into_iter()
            .map(|mut error| {
                error.line += skipped_lines;
                format!("{}: {error}", path.display())
            })
            .collect();
        Report::new(CommandError::new(
            FailureKind::InvalidInput,
            list.join("\n"),
        ))
    })
}
