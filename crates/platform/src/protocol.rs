//! Messages of the etcd v3 API in JSON, as far as this project uses them.
//!
//! Source: the gRPC gateway of etcd 3.5, `rpc.proto`. Keys and values are encoded in
//! base64, 64-bit integers are decimal strings, and responses omit fields that have
//! their default value.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;
use serde::Serialize;

/// Header of a response that names the era of the store: a number that rises each time that
/// the store comes back from a copy, and gives out revisions again.
pub const ERA_HEADER: &str = "store-era";

/// Encodes a key or a value.
pub fn encode_bytes(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

/// Decodes a key or a value; returns an empty vector if `text` is malformed.
pub fn decode_bytes(text: &str) -> Vec<u8> {
    BASE64_STANDARD.decode(text).unwrap_or_default()
}

/// Reads a key or a range of keys.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    pub key: String,
    /// The exclusive end of the range; if missing, only `key` is read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<String>,
}

/// A key with its value and metadata.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The store revision at which the key was last modified.
    pub mod_revision: String,
    /// The lease to which the key is attached, if any.
    pub lease: String,
}

/// The response to a [`RangeRequest`].
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct RangeResponse {
    /// Metadata of the store.
    pub header: ResponseHeader,
    /// The keys in the range that exist.
    pub kvs: Vec<KeyValue>,
}

/// Metadata of the store, contained in each response.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct ResponseHeader {
    /// The revision of the store.
    pub revision: String,
}

/// Writes a key.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The lease to which the key is attached.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lease: Option<String>,
}

/// A condition of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct Compare {
    /// The key.
    pub key: String,
    /// The compared property: `MOD` for the revision of the last modification, or `VALUE`.
    pub target: String,
    /// The comparison operator; `EQUAL`.
    pub result: String,
    /// The expected revision, with `MOD`; 0 for a key that does not exist.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub mod_revision: String,
    /// The expected value, with `VALUE`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
}

/// An operation of a transaction. One of the fields is set.
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

/// A transaction, which is executed atomically.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct TxnRequest {
    /// The conditions.
    pub compare: Vec<Compare>,
    /// The operations to execute if all conditions hold.
    pub success: Vec<RequestOp>,
    /// The operations to execute otherwise.
    pub failure: Vec<RequestOp>,
}

/// The response to a [`TxnRequest`].
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
#[serde(default)]
pub struct TxnResponse {
    /// Metadata of the store.
    pub header: ResponseHeader,
    /// Whether all conditions held.
    pub succeeded: bool,
}
