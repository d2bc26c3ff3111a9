//! Reads the configuration and its earlier versions from the platform.

use std::cmp::Reverse;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_platform::client::PlatformClient;
use hyssopstair_platform::client::StoredValue;
use hyssopstair_platform::record::CONFIGURATION_KEY;
use hyssopstair_platform::record::ConfigurationRecord;
use hyssopstair_platform::record::HISTORY_PREFIX;
use hyssopstair_platform::record::history_key;

use crate::error::CommandError;
use crate::error::FailureKind;

/// Returns the latest configuration, or `None` if the platform holds none yet.
///
/// # Errors
///
/// Returns an error if the platform does not answer or the stored value is invalid.
pub async fn read_configuration(
    platform_urls: &[String],
) -> Result<Option<ConfigurationRecord>, Report<CommandError>> {
    let stored = PlatformClient::new(platform_urls)
        .get(CONFIGURATION_KEY)
        .await
        .change_context_lazy(read_failure)?;
    stored.as_ref().map(decode_record).transpose()
}

/// Returns a version of the configuration.
///
/// # Errors
///
/// Returns an error if the platform does not answer or does not store the version.
pub async fn read_version(
    platform_urls: &[String],
    version: u64,
) -> Result<ConfigurationRecord, Report<CommandError>> {
    let stored = PlatformClient::new(platform_urls)
        .get(&history_key(version))
        .await
        .change_context_lazy(read_failure)?;
    match stored.as_ref().map(decode_record).transpose()? {
        Some(record) if record.version == version => Ok(record),
        _ => Err(Report::new(CommandError::new(
            FailureKind::InvalidInput,
            format!(
                "the platform does not store version {version}; \"hyssopstair history\" lists \
                 the stored versions"
            ),
        ))),
    }
}

/// Returns all stored versions of the configuration, newest first.
///
/// # Errors
///
/// Returns an error if the platform does not answer or a stored value is invalid.
pub async fn read_history(
    platform_urls: &[String],
) -> Result<Vec<ConfigurationRecord>, Report<CommandError>> {
    let stored = PlatformClient::new(platform_urls)
        .get_prefix(HISTORY_PREFIX)
        .await
        .change_context_lazy(read_failure)?;
    let mut records = Vec::new();
    for item in stored {
        records.push(decode_record(&item.stored)?);
    }
    records.sort_by_key(|record| Reverse(record.version));
    Ok(records)
}

/// Decodes the value of a key that holds a configuration.
///
/// # Errors
///
/// Returns an error if the value is not a configuration record.
pub fn decode_record(stored: &StoredValue) -> Result<ConfigurationRecord, Report<CommandError>> {
    ConfigurationRecord::decode(&stored.value).change_context_lazy(|| {
        CommandError::new(
            FailureKind::Unavailable,
            "the value that the platform stores is not a configuration",
        )
    })
}

fn read_failure() -> CommandError {
    CommandError::new(
        FailureKind::Unavailable,
        "failed to read the configuration from the platform; check --platform, or try again \
         when the platform answers",
    )
}
