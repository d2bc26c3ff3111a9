//! Messages of the etcd v3 API in its JSON form, as far as they are used here.
//!
//! Source: the gRPC gateway of etcd 3.5, `rpc.proto`. Keys and values are
//! base64, 64-bit integers are decimal strings, and fields with their default
//! value are left out of answers.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;
use serde::Serialize;

/// Encodes a key or value.
pub fn encode_bytes(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

/// Decodes a key or value; malformed text gives no bytes.
pub fn decode_bytes(text: &str) -> Vec<u8> {
    BASE64_STANDARD.decode(text).unwrap_or_default()
}

/// Asks for one key or a range of keys.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: String,
    /// The end of the range, not included.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<String>,
}

/// A key with its value and versions.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The revision of the last change.
    pub mod_revision: String,
    /// The lease, if any.
    pub lease: String,
}

/// Answers a [`RangeRequest`].
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct RangeResponse {
    /// Facts about the store.
    pub header: ResponseHeader,
    /// The keys that were found.
    pub kvs: Vec<KeyValue>,
}

/// Facts about the store that come with each answer.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct ResponseHeader {
    /// The revision of the store.
    pub revision: String,
}

/// Writes one key.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The lease that the key is bound to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lease: Option<String>,
}

/// Compares a key with an expectation.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct Compare {
    /// The key.
    pub key: String,
    /// What is compared; `MOD` for the revision of the last change.
    pub target: String,
    /// How it is compared; `EQUAL`.
    pub result: String,
    /// The expected revision; 0 for a key that does not exist.
    pub mod_revision: String,
}

/// One operation of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct RequestOp {
    /// A write.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// A read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
}

/// Operations that are carried out together, if the comparisons hold.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct TxnRequest {
    /// The comparisons.
    pub compare: Vec<Compare>,
    /// What is done when all hold.
    pub success: Vec<RequestOp>,
    /// What is done otherwise.
    pub failure: Vec<RequestOp>,
}

/// Answers a [`TxnRequest`].
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct TxnResponse {
    /// Facts about the store.
    pub header: ResponseHeader,
    /// Whether the comparisons held.
    pub succeeded: bool,
}
