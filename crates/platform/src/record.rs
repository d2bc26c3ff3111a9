//! The keys and values that the fleet stores in the platform.

use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Deserialize;
use serde::Serialize;

/// Key of the current configuration.
pub const CONFIGURATION_KEY: &str = "/hyssopstair/configuration";

/// Key of the current configuration version, in decimal digits. It is written in the
/// same transaction as the configuration and is small enough to be polled.
pub const VERSION_KEY: &str = "/hyssopstair/version";

/// Prefix of the keys of past configurations.
pub const HISTORY_PREFIX: &str = "/hyssopstair/history/";

/// Number of past configurations that are stored.
pub const HISTORY_SLOTS: u64 = 32;

/// Prefix of the keys of the entry addresses, which processes contact to find members of
/// the fleet.
pub const ENTRY_PREFIX: &str = "/hyssopstair/entry/";

/// Maximum number of stored entry addresses.
pub const ENTRY_SLOTS: u32 = 16;

/// Maximum size of a value that the platform accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Number of recent changes that a record lists. A writer that received no answer
/// finds its change in the list unless this many other changes followed it.
pub const MAX_RECORDED_CHANGES: usize = 64;

/// Maximum size of a decompressed text, in bytes; a longer text is truncated.
const MAX_TEXT_BYTES: u64 = 64 * 1024 * 1024;

/// Returns the key of the entry address in a slot.
pub fn entry_key(slot: u32) -> String {
    format!("{ENTRY_PREFIX}{slot:02}")
}

/// Returns the key of a past configuration. Versions share [`HISTORY_SLOTS`] keys, so
/// a new version overwrites an old one.
pub fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{:02}", version % HISTORY_SLOTS)
}

/// The random identifier of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeId(pub u128);

/// A change that was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedChange {
    /// The identifier of the change.
    pub id: ChangeId,
    /// The version that the change created.
    pub version: u64,
}

/// A configuration as stored in the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationRecord {
    /// The version, which increases with each change.
    pub version: u64,
    /// The latest changes, oldest first.
    pub changes: Vec<RecordedChange>,
    /// The text of the rule file.
    pub text: String,
}

/// An error in a stored configuration record.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The value is not an encoded record.
    #[error("failed to decode the configuration record")]
    Malformed(#[from] postcard::Error),
    /// The text of the record is not valid DEFLATE data or not UTF-8.
    #[error("failed to decompress the text of the configuration record")]
    InvalidText(#[from] std::io::Error),
}

/// The encoded form of a [`ConfigurationRecord`].
#[derive(Debug, Serialize, Deserialize)]
struct EncodedRecord {
    version: u64,
    changes: Vec<RecordedChange>,
    deflated_text: Vec<u8>,
}

impl ConfigurationRecord {
    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid record.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        let encoded: EncodedRecord = postcard::from_bytes(bytes)?;
        Ok(Self {
            version: encoded.version,
            changes: encoded.changes,
            text: inflate_text(&encoded.deflated_text)?,
        })
    }

    /// Encodes the record and compresses its text.
    ///
    /// # Errors
    ///
    /// Returns an error if the encoding or the compression fails.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        let encoded = EncodedRecord {
            version: self.version,
            changes: self.changes.clone(),
            deflated_text: deflate_text(&self.text)?,
        };
        Ok(postcard::to_stdvec(&encoded)?)
    }

    /// Returns the version that a change created, or `None` if the record does not
    /// list the change.
    pub fn find_change_version(&self, id: ChangeId) -> Option<u64> {
        let change = self.changes.iter().find(|change| change.id == id)?;
        Some(change.version)
    }

    /// Returns whether the record lists all changes from `version` on. If it does, a change
    /// that would have created this version and is not listed was never written.
    pub fn covers_version(&self, version: u64) -> bool {
        let oldest_version = self.changes.first().map_or(0, |change| change.version);
        self.changes.len() < MAX_RECORDED_CHANGES || oldest_version <= version
    }

    /// Returns the record that results from a change of this one. The oldest listed
    /// change is dropped if there are more than [`MAX_RECORDED_CHANGES`].
    pub fn with_change(&self, id: ChangeId, version: u64, text: String) -> Self {
        let excess_count = (self.changes.len() + 1).saturating_sub(MAX_RECORDED_CHANGES);
        let mut changes = self.changes[excess_count..].to_vec();
        changes.push(RecordedChange { id, version });
        Self {
            version,
            changes,
            text,
        }
    }

    /// Returns the record of an empty configuration, before the first change.
    pub fn empty() -> Self {
        Self {
            version: 0,
            changes: Vec::new(),
            text: String::new(),
        }
    }
}

/// Compresses the text of a rule file with DEFLATE.
///
/// # Errors
///
/// Returns an error if the compression fails.
pub fn deflate_text(text: &str) -> std::io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(text.as_bytes())?;
    encoder.finish()
}

/// Decompresses the text of a rule file.
///
/// # Errors
///
/// Returns an error if the bytes are not valid DEFLATE data or the text is not UTF-8.
pub fn inflate_text(bytes: &[u8]) -> std::io::Result<String> {
    let mut text = String::new();
    DeflateDecoder::new(bytes)
        .take(MAX_TEXT_BYTES)
        .read_to_string(&mut text)?;
    Ok(text)
}
