//! The client of the key-value service.

use std::time::Duration;

use hyssopstair_telemetry::counts::COUNTS;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::protocol::Compare;
use crate::protocol::KeyValue;
use crate::protocol::PutRequest;
use crate::protocol::RangeRequest;
use crate::protocol::RangeResponse;
use crate::protocol::RequestOp;
use crate::protocol::TxnRequest;
use crate::protocol::TxnResponse;
use crate::protocol::decode_bytes;
use crate::protocol::encode_bytes;

/// Longest wait for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time that a connection is kept without a call. An idle connection
/// may have gone silent; a call on one waits in vain for the whole timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a call to the key-value service gave no result.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No answer came; a write may have taken effect.
    #[error("platform at {url} gave no answer: {reason}")]
    NoAnswer {
        /// The URL that was called.
        url: String,
        /// What the HTTP client reports.
        reason: String,
    },
}

/// A value and the revision that it was written at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// The bytes.
    pub value: Vec<u8>,
    /// The revision of the last change.
    pub revision: u64,
}

/// A key and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredEntry {
    /// The key.
    pub key: String,
    /// The value.
    pub stored: StoredValue,
}

/// A key and the value that is to be written.
#[derive(Debug, Clone, Copy)]
pub struct KeyWrite<'a> {
    /// The key.
    pub key: &'a str,
    /// The value.
    pub value: &'a [u8],
}

/// Kinds of call, which the platform's rates bound.
#[derive(Debug, Clone, Copy)]
enum CallKind {
    /// Reads keys.
    Read,
    /// Writes keys if a comparison holds.
    Write,
}

/// A client that tries each address of the service in turn.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    urls: Vec<String>,
    http: reqwest::Client,
}

impl PlatformClient {
    /// Creates a client of the service at `urls`.
    pub fn new(urls: &[String]) -> Self {
        let http = reqwest::Client::builder()
            .timeout(CALL_TIMEOUT)
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build()
            .unwrap_or_default();
        Self {
            urls: urls.to_vec(),
            http,
        }
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Returns an error when no address answers.
    pub async fn get(&self, key: &str) -> Result<Option<StoredValue>, PlatformError> {
        let request = RangeRequest {
            key: encode_bytes(key.as_bytes()),
            range_end: None,
        };
        let response: RangeResponse = self.call(CallKind::Read, "/v3/kv/range", &request).await?;
        Ok(response.kvs.first().map(stored_value))
    }

    /// Reads all keys that start with `prefix`, in order.
    ///
    /// # Errors
    ///
    /// Returns an error when no address answers.
    pub async fn get_prefix(&self, prefix: &str) -> Result<Vec<StoredEntry>, PlatformError> {
        let request = RangeRequest {
            key: encode_bytes(prefix.as_bytes()),
            range_end: Some(encode_bytes(&prefix_end(prefix))),
        };
        let response: RangeResponse = self.call(CallKind::Read, "/v3/kv/range", &request).await?;
        Ok(response.kvs.iter().map(stored_key).collect())
    }

    /// Writes one key if it was last changed at `revision`, 0 for a key that
    /// does not exist, and returns whether it was written.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came; the write may have taken effect.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        revision: u64,
        value: &[u8],
    ) -> Result<bool, PlatformError> {
        let write = KeyWrite { key, value };
        self.write_if_unchanged(key, revision, &[write]).await
    }

    /// Makes all `writes` if `key` was last changed at `revision`, 0 for a key
    /// that does not exist, and returns whether they were made.
    ///
    /// A second URL is tried when the first gives no answer. So "not written" is
    /// no proof: the first attempt may have taken effect and moved the revision.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came; the writes may have taken effect.
    pub async fn write_if_unchanged(
        &self,
        key: &str,
        revision: u64,
        writes: &[KeyWrite<'_>],
    ) -> Result<bool, PlatformError> {
        let request = TxnRequest {
            compare: vec![Compare {
                key: encode_bytes(key.as_bytes()),
                target: "MOD".to_owned(),
                result: "EQUAL".to_owned(),
                mod_revision: revision.to_string(),
            }],
            success: writes.iter().map(put_operation).collect(),
            failure: Vec::new(),
        };
        let response: TxnResponse = self.call(CallKind::Write, "/v3/kv/txn", &request).await?;
        Ok(response.succeeded)
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        request: &Q,
    ) -> Result<A, PlatformError> {
        let mut last = PlatformError::NoAnswer {
            url: String::new(),
            reason: "no address is configured".to_owned(),
        };
        for url in &self.urls {
            if let CallKind::Write = kind {
                COUNTS.platform_writes.increment();
            }
            match self.call_one(url, path, request).await {
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    COUNTS.platform_errors.increment();
                    last = PlatformError::NoAnswer {
                        url: url.clone(),
                        reason: error.to_string(),
                    };
                }
            }
        }
        Err(last)
    }

    async fn call_one<Q: Serialize, A: DeserializeOwned>(
        &self,
        url: &str,
        path: &str,
        request: &Q,
    ) -> Result<A, reqwest::Error> {
        COUNTS.platform_calls.increment();
        self.http
            .post(format!("{url}{path}"))
            .json(request)
            .send()
            .await?
            .error_for_status()?
            .json()
            .await
    }
}

fn put_operation(write: &KeyWrite<'_>) -> RequestOp {
    RequestOp {
        request_put: Some(PutRequest {
            key: encode_bytes(write.key.as_bytes()),
            value: encode_bytes(write.value),
            lease: None,
        }),
        request_range: None,
    }
}

/// Returns the end of the range of keys that start with `prefix`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last = last.saturating_add(1);
    }
    end
}

fn stored_value(item: &KeyValue) -> StoredValue {
    StoredValue {
        value: decode_bytes(&item.value),
        revision: item.mod_revision.parse().unwrap_or(0),
    }
}

fn stored_key(item: &KeyValue) -> StoredEntry {
    StoredEntry {
        key: String::from_utf8_lossy(&decode_bytes(&item.key)).into_owned(),
        stored: stored_value(item),
    }
}
