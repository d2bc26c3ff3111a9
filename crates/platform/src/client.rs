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
pub struct StoredKey {
    /// The key.
    pub key: String,
    /// The value.
    pub stored: StoredValue,
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
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        Ok(response.kvs.first().map(stored_value))
    }

    /// Reads all keys that start with `prefix`, in order.
    ///
    /// # Errors
    ///
    /// Returns an error when no address answers.
    pub async fn get_prefix(&self, prefix: &str) -> Result<Vec<StoredKey>, PlatformError> {
        let request = RangeRequest {
            key: encode_bytes(prefix.as_bytes()),
            range_end: Some(encode_bytes(&prefix_end(prefix))),
        };
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
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
        let key = encode_bytes(key.as_bytes());
        let request = TxnRequest {
            compare: vec![Compare {
                key: key.clone(),
                target: "MOD".to_owned(),
                result: "EQUAL".to_owned(),
                mod_revision: revision.to_string(),
            }],
            success: vec![RequestOp {
                request_put: Some(PutRequest {
                    key,
                    value: encode_bytes(value),
                    lease: None,
                }),
                request_range: None,
            }],
            failure: Vec::new(),
        };
        let response: TxnResponse = self.call("/v3/kv/txn", &request).await?;
        Ok(response.succeeded)
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<A, PlatformError> {
        let mut last = PlatformError::NoAnswer {
            url: String::new(),
            reason: "no address is configured".to_owned(),
        };
        for url in &self.urls {
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

fn stored_key(item: &KeyValue) -> StoredKey {
    StoredKey {
        key: String::from_utf8_lossy(&decode_bytes(&item.key)).into_owned(),
        stored: stored_value(item),
    }
}
