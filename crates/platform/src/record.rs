//! What the platform keeps for the fleet.

use serde::Deserialize;
use serde::Serialize;

/// Key of the configuration.
pub const CONFIGURATION_KEY: &str = "/hyssopstair/configuration";

/// Start of the keys of the entry addresses.
pub const ENTRY_PREFIX: &str = "/hyssopstair/entry/";

/// Entry addresses that the platform keeps at most.
pub const ENTRY_SLOTS: u32 = 16;

/// Returns the key of an entry address.
pub fn entry_key(slot: u32) -> String {
    format!("{ENTRY_PREFIX}{slot:02}")
}

/// The configuration as it is kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationRecord {
    /// Grows by one with each change.
    pub version: u64,
    /// Names the change, so that a writer that got no answer can tell whether
    /// the write was its own.
    pub change: String,
    /// The text of the rule file.
    pub text: String,
}

impl ConfigurationRecord {
    /// Reads a record.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are no record.
    pub fn decode(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Writes the record as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}
