//! What the platform keeps for the fleet.

use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Deserialize;
use serde::Serialize;

/// Key of the configuration.
pub const CONFIGURATION_KEY: &str = "/hyssopstair/configuration";

/// Key of the version of the configuration, in decimal digits. It is written
/// with the configuration, and is small enough to be read often.
pub const VERSION_KEY: &str = "/hyssopstair/version";

/// Start of the keys of past configurations.
pub const HISTORY_PREFIX: &str = "/hyssopstair/history/";

/// Past configurations that the platform keeps.
pub const HISTORY_SLOTS: u64 = 32;

/// Start of the keys of the entry addresses.
pub const ENTRY_PREFIX: &str = "/hyssopstair/entry/";

/// Entry addresses that the platform keeps at most.
pub const ENTRY_SLOTS: u32 = 16;

/// Largest value that the platform takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Changes that a record names. A writer whose answer was lost finds its change
/// among them, unless this many others followed.
pub const MAX_RECORDED_CHANGES: usize = 64;

/// Longest text of a record, in bytes.
const MAX_TEXT_BYTES: u64 = 64 * 1024 * 1024;

/// Returns the key of an entry address.
pub fn entry_key(slot: u32) -> String {
    format!("{ENTRY_PREFIX}{slot:02}")
}

/// Returns the key of a past configuration.
pub fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{:02}", version % HISTORY_SLOTS)
}

/// Names a change; drawn at random for each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeId(pub u128);

/// A change that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedChange {
    /// The change.
    pub id: ChangeId,
    /// The version that it made.
    pub version: u64,
}

/// The configuration as it is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationRecord {
    /// Grows with each change.
    pub version: u64,
    /// The latest changes, the last one at the end.
    pub changes: Vec<RecordedChange>,
    /// The text of the rule file.
    pub text: String,
}

/// Why bytes are no record.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The outer structure is wrong.
    #[error("the value is not a configuration record")]
    Malformed(#[from] postcard::Error),
    /// The text cannot be unpacked.
    #[error("the text of the configuration record cannot be unpacked")]
    Text(#[from] std::io::Error),
}

#[derive(Debug, Serialize, Deserialize)]
struct PackedRecord {
    version: u64,
    changes: Vec<RecordedChange>,
    deflated_text: Vec<u8>,
}

impl ConfigurationRecord {
    /// Reads a record.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are no record.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        let packed: PackedRecord = postcard::from_bytes(bytes)?;
        Ok(Self {
            version: packed.version,
            changes: packed.changes,
            text: inflate_text(&packed.deflated_text)?,
        })
    }

    /// Writes the record in its packed form.
    ///
    /// # Errors
    ///
    /// Returns an error when the text cannot be packed.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        let packed = PackedRecord {
            version: self.version,
            changes: self.changes.clone(),
            deflated_text: deflate_text(&self.text)?,
        };
        Ok(postcard::to_stdvec(&packed)?)
    }

    /// Returns the version that a change made, if the record names it.
    pub fn find_change_version(&self, id: ChangeId) -> Option<u64> {
        let change = self.changes.iter().find(|change| change.id == id)?;
        Some(change.version)
    }

    /// Returns whether a change that made `version` would still be named here.
    pub fn covers_version(&self, version: u64) -> bool {
        let oldest = self.changes.first().map_or(0, |change| change.version);
        self.changes.len() < MAX_RECORDED_CHANGES || oldest <= version
    }

    /// Returns the record that follows this one.
    pub fn with_change(&self, id: ChangeId, version: u64, text: String) -> Self {
        let surplus = (self.changes.len() + 1).saturating_sub(MAX_RECORDED_CHANGES);
        let mut changes = self.changes[surplus..].to_vec();
        changes.push(RecordedChange { id, version });
        Self {
            version,
            changes,
            text,
        }
    }

    /// Returns the record before any change.
    pub fn empty() -> Self {
        Self {
            version: 0,
            changes: Vec::new(),
            text: String::new(),
        }
    }
}

/// Packs the text of a rule file.
///
/// # Errors
///
/// Returns an error when the text cannot be packed.
pub fn deflate_text(text: &str) -> std::io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(text.as_bytes())?;
    encoder.finish()
}

/// Unpacks the text of a rule file.
///
/// # Errors
///
/// Returns an error when the bytes are no packed text.
pub fn inflate_text(bytes: &[u8]) -> std::io::Result<String> {
    let mut text = String::new();
    DeflateDecoder::new(bytes)
        .take(MAX_TEXT_BYTES)
        .read_to_string(&mut text)?;
    Ok(text)
}
