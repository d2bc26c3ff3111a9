//! Finds what an operator's edit started from.

use error_stack::Report;
use hyssopstair_platform::change::ChangeIntent;
use hyssopstair_rules::drain::normalize;

use crate::error::CommandError;
use crate::error::FailureKind;
use crate::ops::record::read_configuration;
use crate::ops::record::read_version;

/// Start of the line that says which version a file was edited from.
const VERSION_LINE_PREFIX: &str = "# version ";

/// Returns the line that `show` prints before the rules.
pub fn format_version_line(version: u64) -> String {
    format!("{VERSION_LINE_PREFIX}{version}")
}

/// A rule file and the version that it was edited from, if it says so.
#[derive(Debug, PartialEq, Eq)]
pub struct EditedRules {
    /// The version.
    pub base_version: Option<u64>,
    /// The rules, without the line that names the version.
    pub text: String,
}

/// Takes the first line off if it names a version.
pub fn split_version_line(text: &str) -> EditedRules {
    let (first, rest) = text.split_once('\n').unwrap_or((text, ""));
    let base_version = first
        .strip_prefix(VERSION_LINE_PREFIX)
        .and_then(|word| word.trim().parse().ok());
    match base_version {
        Some(_) => EditedRules {
            base_version,
            text: rest.to_owned(),
        },
        None => EditedRules {
            base_version,
            text: text.to_owned(),
        },
    }
}

/// Returns what an edited file is to change. `base`, if given, goes before the
/// version that the file names.
///
/// # Errors
///
/// Returns an error when the version that the edit started from is not known or
/// no longer kept.
pub async fn build_intent(
    platform: &[String],
    edited: EditedRules,
    base_version: Option<u64>,
) -> Result<ChangeIntent, Report<CommandError>> {
    let text = normalize(&edited.text);
    let base = match base_version.or(edited.base_version) {
        Some(0) => String::new(),
        Some(version) => read_version(platform, version).await?.text,
        None => find_unversioned_base(platform, &text).await?,
    };
    Ok(ChangeIntent::Text { base, text })
}

/// A file that names no version can only be the first, or what is in force.
async fn find_unversioned_base(
    platform: &[String],
    text: &str,
) -> Result<String, Report<CommandError>> {
    match read_configuration(platform).await? {
        None => Ok(String::new()),
        Some(found) if normalize(&found.record.text) == text => Ok(text.to_owned()),
        Some(found) => Err(Report::new(CommandError::new(
            FailureKind::InvalidInput,
            format!(
                "nothing is written: the file does not say which version it was edited from; \
                 edit what \"hyssopstair show\" prints, which is version {}, or give \
                 --base VERSION",
                found.record.version
            ),
        ))),
    }
}
