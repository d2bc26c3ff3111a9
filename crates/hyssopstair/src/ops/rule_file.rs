//! Reads rule files.

use std::fs;
use std::path::Path;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_rules::rule_set::RuleSet;

use crate::error::CommandError;
use crate::error::FailureKind;
use crate::ops::apply::EditedRules;

/// Reads the text of a file.
///
/// # Errors
///
/// Returns an error when it cannot be read or is no text.
pub fn read_rule_file(path: &Path) -> Result<String, Report<CommandError>> {
    fs::read_to_string(path).change_context_lazy(|| {
        CommandError::new(
            FailureKind::InvalidInput,
            format!("failed to read {}", path.display()),
        )
    })
}

/// Checks the rules of a file.
///
/// # Errors
///
/// Returns an error that names every mistake, with lines as in the file.
pub fn parse_rules(path: &Path, edited: &EditedRules) -> Result<RuleSet, Report<CommandError>> {
    let skipped = usize::from(edited.base_version.is_some());
    RuleSet::parse(&edited.text).map_err(|mistakes| {
        let list: Vec<String> = mistakes
            .into_iter()
            .map(|mut mistake| {
                mistake.line += skipped;
                format!("{}: {mistake}", path.display())
            })
            .collect();
        Report::new(CommandError::new(
            FailureKind::InvalidInput,
            list.join("\n"),
        ))
    })
}
