//! Reads rule files.

use std::fs;
use std::path::Path;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_rules::rule_set::RuleSet;

use crate::error::CommandError;
use crate::error::FailureKind;

/// A rule file that was read and checked.
#[derive(Debug)]
pub struct RuleFile {
    /// The text as it stands in the file.
    pub text: String,
    /// The rules.
    pub rules: RuleSet,
}

/// Reads and checks a rule file.
///
/// # Errors
///
/// Returns an error that names every mistake.
pub fn read_rules(path: &Path) -> Result<RuleFile, Report<CommandError>> {
    let text = fs::read_to_string(path).change_context_lazy(|| {
        CommandError::new(
            FailureKind::Input,
            format!("failed to read {}", path.display()),
        )
    })?;
    match RuleSet::parse(&text) {
        Ok(rules) => Ok(RuleFile { text, rules }),
        Err(mistakes) => {
            let list: Vec<String> = mistakes
                .iter()
                .map(|mistake| format!("{}: {mistake}", path.display()))
                .collect();
            Err(Report::new(CommandError::new(
                FailureKind::Input,
                list.join("\n"),
            )))
        }
    }
}
