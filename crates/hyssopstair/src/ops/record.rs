//! Reads the configuration and its past versions from the platform.

use std::cmp::Reverse;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_platform::change::FoundRecord;
use hyssopstair_platform::client::PlatformClient;
use hyssopstair_platform::client::StoredValue;
use hyssopstair_platform::record::CONFIGURATION_KEY;
use hyssopstair_platform::record::ConfigurationRecord;
use hyssopstair_platform::record::HISTORY_PREFIX;
use hyssopstair_platform::record::history_key;

use crate::error::CommandError;
use crate::error::FailureKind;

/// Reads the present configuration, or nothing when there is none.
///
/// # Errors
///
/// Returns an error when the platform does not answer or holds no record.
pub async fn read_configuration(
    platform: &[String],
) -> Result<Option<FoundRecord>, Report<CommandError>> {
    let stored = PlatformClient::new(platform)
        .get(CONFIGURATION_KEY)
        .await
        .change_context_lazy(read_failure)?;
    decode_record(stored)
}

/// Reads one version.
///
/// # Errors
///
/// Returns an error when the platform does not answer or no longer keeps it.
pub async fn read_version(
    platform: &[String],
    version: u64,
) -> Result<ConfigurationRecord, Report<CommandError>> {
    let stored = PlatformClient::new(platform)
        .get(&history_key(version))
        .await
        .change_context_lazy(read_failure)?;
    match decode_record(stored)? {
        Some(found) if found.record.version == version => Ok(found.record),
        _ => Err(Report::new(CommandError::new(
            FailureKind::InvalidInput,
            format!(
                "the platform does not keep version {version}; \"hyssopstair history\" lists \
                 the versions that it keeps"
            ),
        ))),
    }
}

/// Reads all versions that are kept, the newest first.
///
/// # Errors
///
/// Returns an error when the platform does not answer or holds no records.
pub async fn read_history(
    platform: &[String],
) -> Result<Vec<ConfigurationRecord>, Report<CommandError>> {
    let stored = PlatformClient::new(platform)
        .get_prefix(HISTORY_PREFIX)
        .await
        .change_context_lazy(read_failure)?;
    let mut records = Vec::new();
    for item in stored {
        records.extend(decode_record(Some(item.stored))?.map(|found| found.record));
    }
    records.sort_by_key(|record| Reverse(record.version));
    Ok(records)
}

/// Decodes a record.
///
/// # Errors
///
/// Returns an error when the value is no record.
pub fn decode_record(
    stored: Option<StoredValue>,
) -> Result<Option<FoundRecord>, Report<CommandError>> {
    let Some(stored) = stored else {
        return Ok(None);
    };
    let record = ConfigurationRecord::decode(&stored.value).change_context_lazy(|| {
        CommandError::new(
            FailureKind::Unavailable,
            "the platform holds something else under the configuration's key",
        )
    })?;
    Ok(Some(FoundRecord {
        record,
        revision: stored.revision,
    }))
}

fn read_failure() -> CommandError {
    CommandError::new(
        FailureKind::Unavailable,
        "failed to read the configuration; check --platform, or try again when it answers",
    )
}
