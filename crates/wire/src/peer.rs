//! Requests between two processes, carried by nng.

use serde::Deserialize;
use serde::Serialize;

/// A question to another process of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks for the configuration if its version is higher than `above`.
    Configuration {
        /// The version that the asking process has.
        above: u64,
    },
    /// Asks for the version of the configuration in force.
    Version,
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The configuration.
    Configuration {
        /// Its version.
        version: u64,
        /// The text of the rule file.
        text: String,
    },
    /// There is nothing newer.
    UpToDate,
    /// The version of the configuration in force.
    Version(u64),
}

/// Writes a question.
pub fn encode_request(request: &PeerRequest) -> Vec<u8> {
    postcard::to_stdvec(request).unwrap_or_default()
}

/// Reads a question, or nothing when it is malformed.
pub fn decode_request(bytes: &[u8]) -> Option<PeerRequest> {
    postcard::from_bytes(bytes).ok()
}

/// Writes an answer.
pub fn encode_answer(answer: &PeerAnswer) -> Vec<u8> {
    postcard::to_stdvec(answer).unwrap_or_default()
}

/// Reads an answer, or nothing when it is malformed.
pub fn decode_answer(bytes: &[u8]) -> Option<PeerAnswer> {
    postcard::from_bytes(bytes).ok()
}
