//! Determines the version from which an operator edited a rule file.
//!
//! `apply` needs this base to merge the edit with changes that other operators
//! made in the meantime. The output of `show` therefore starts with a line that
//! names the version, and `apply` reads that line.

use error_stack::Report;
use hyssopstair_platform::change::ChangeIntent;
use hyssopstair_rules::drain::normalize_line_breaks;

use crate::error::CommandError;
use crate::error::FailureKind;
use crate::ops::record::read_configuration;
use crate::ops::record::read_version;

/// Prefix of the first line of a rule file, which names the version that the file
/// was edited from.
const VERSION_LINE_PREFIX: &str = "# version ";

/// Returns the line that names a version; `show` prints it before the rules.
pub fn format_version_line(version: u64) -> String {
    format!("{VERSION_LINE_PREFIX}{version}")
}

/// The rules of a file and the version that they were edited from.
#[derive(Debug, PartialEq, Eq)]
pub struct EditedRules {
    /// The version that the first line of the file names, if any.
    pub base_version: Option<u64>,
    /// The text of the rules, without the line that names the version.
    pub text: String,
}

/// Splits the text of a rule file into the version that its first line names and
/// the rules. If the first line names no version, it is part of the rules.
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

/// Returns the change that an edited file makes. `base_version`, if given, overrides
/// the version that the file names.
///
/// # Errors
///
/// Returns an error if the base version is unknown or no longer stored, or the
/// platform does not answer.
pub async fn build_intent(
    platform_urls: &[String],
    edited: EditedRules,
    base_version: Option<u64>,
) -> Result<ChangeIntent, Report<CommandError>> {
    let text = normalize_line_breaks(&edited.text);
    let base = match base_version.or(edited.base_version) {
        Some(0) => String::new(),
        Some(version) => read_version(platform_urls, version).await?.text,
        None => find_unversioned_base(platform_urls, &text).await?,
    };
    Ok(ChangeIntent::Text { base, text })
}

/// Returns the base text of a file that names no version: empty if the platform
/// holds no configuration yet, or the text itself if it equals the configuration.
///
/// Any other file is rejected: without a base, applying it could revert changes of
/// other operators.
async fn find_unversioned_base(
    platform_urls: &[String],
    text: &str,
) -> Result<String, Report<CommandError>> {
    match read_configuration(platform_urls).await? {
        None => Ok(String::new()),
        Some(record) if normalize_line_breaks(&record.text) == text => Ok(text.to_owned()),
        Some(record) => Err(Report::new(CommandError::new(
            FailureKind::InvalidInput,
            format!(
                "nothing was written: the file does not name the version it was edited from; \
                 edit the output of \"hyssopstair show\", now version {}, or pass \
                 --base VERSION",
                record.version
            ),
        ))),
    }
}
