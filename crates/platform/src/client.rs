//! The client of the platform's key-value service.
//!
//! The service has several URLs. Each call tries them in turn until one answers.

use std::time::Duration;

use hyssopstair_telemetry::counts::COUNTERS;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::protocol::Compare;
use crate::protocol::ERA_HEADER;
use crate::protocol::KeyValue;
use crate::protocol::PutRequest;
use crate::protocol::RangeRequest;
use crate::protocol::RangeResponse;
use crate::protocol::RequestOp;
use crate::protocol::TxnRequest;
use crate::protocol::TxnResponse;
use crate::protocol::decode_bytes;
use crate::protocol::encode_bytes;

/// Timeout of a call to one URL, including the connection setup.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of the connection setup.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is closed. The other end of an idle connection
/// may be gone without notice, and a call on it would wait for the whole timeout.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// An error of a call to the key-value service.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No URL returned a valid answer. A write may still have taken effect.
    #[error("failed to call the platform at {url}: {reason}")]
    NoAnswer {
        /// The last URL that was tried.
        url: String,
        /// The error of the HTTP client.
        reason: String,
    },
}

/// A value and its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// The bytes.
    pub value: Vec<u8>,
    /// The store revision at which the value was last modified.
    pub revision: u64,
}

/// A key and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredEntry {
    /// The key.
    pub key: String,
    /// The value and its revision.
    pub stored: StoredValue,
}

/// A key and the value to write.
#[derive(Debug, Clone, Copy)]
pub struct KeyWrite<'a> {
    /// The key.
    pub key: &'a str,
    /// The value.
    pub value: &'a [u8],
}

/// The kind of a call. The platform limits the rate of each kind.
#[derive(Debug, Clone, Copy)]
enum CallKind {
    /// Reads keys.
    Read,
    /// Writes keys if a condition holds.
    Write,
}

/// A client that tries each URL of the service in turn.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    urls: Vec<String>,
    http: reqwest::Client,
}

impl PlatformClient {
    /// Creates a client that tries `urls` in this order.
    pub fn new(urls: &[String]) -> Self {
        let http = reqwest::Client::builder()
            .timeout(CALL_TIMEOUT)
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .build()
            .unwrap_or_default();
        Self {
            urls: urls.to_vec(),
            http,
        }
    }

    /// Reads a key, and returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if no URL answers.
    pub async fn get(&self, key: &str) -> Result<Option<StoredValue>, PlatformError> {
        let (stored, _) = self.get_with_era(key).await?;
        Ok(stored)
    }

    /// Reads a key, which may not exist, and the era of the store; 0 if it names none.
    ///
    /// # Errors
    ///
    /// Returns an error if no URL answers.
    pub async fn get_with_era(
        &self,
        key: &str,
    ) -> Result<(Option<StoredValue>, u64), PlatformError> {
        let request = RangeRequest {
            key: encode_bytes(key.as_bytes()),
            range_end: None,
        };
        let (response, era): (RangeResponse, u64) =
            self.call(CallKind::Read, "/v3/kv/range", &request).await?;
        Ok((response.kvs.first().map(to_stored_value), era))
    }

    /// Reads all keys that start with `prefix`, in key order.
    ///
    /// # Errors
    ///
    /// Returns an error if no URL answers.
    pub async fn get_prefix(&self, prefix: &str) -> Result<Vec<StoredEntry>, PlatformError> {
        let request = RangeRequest {
            key: encode_bytes(prefix.as_bytes()),
            range_end: Some(encode_bytes(&prefix_end(prefix))),
        };
        let (response, _): (RangeResponse, u64) =
            self.call(CallKind::Read, "/v3/kv/range", &request).await?;
        Ok(response.kvs.iter().map(to_stored_entry).collect())
    }

    /// Writes a key if it is still as it was read, and returns whether it was written. See
    /// [`write_if_unchanged`](Self::write_if_unchanged).
    ///
    /// # Errors
    ///
    /// Returns an error if no URL answers. The write may still have taken effect.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected: Option<&StoredValue>,
        value: &[u8],
    ) -> Result<bool, PlatformError> {
        let write = KeyWrite { key, value };
        self.write_if_unchanged(key, expected, &[write]).await
    }

    /// Executes all `writes` atomically if `key` is still as it was read, with the same
    /// revision and value, or still does not exist. Returns whether they were executed.
    /// The revision alone does not tell: a store that has come back from a copy gives it
    /// out again.
    ///
    /// If a URL does not answer, the transaction is sent to the next one. A result of
    /// `false` therefore does not prove that nothing was written: an earlier attempt may
    /// have taken effect and changed the revision.
    ///
    /// # Errors
    ///
    /// Returns an error if no URL answers. The writes may still have taken effect.
    pub async fn write_if_unchanged(
        &self,
        key: &str,
        expected: Option<&StoredValue>,
        writes: &[KeyWrite<'_>],
    ) -> Result<bool, PlatformError> {
        let request = TxnRequest {
            compare: build_conditions(key, expected),
            success: writes.iter().map(to_put_operation).collect(),
            failure: Vec::new(),
        };
        let (response, _): (TxnResponse, u64) =
            self.call(CallKind::Write, "/v3/kv/txn", &request).await?;
        Ok(response.succeeded)
    }

    /// Sends a request to each URL in turn until one answers. Returns the response and the
    /// era of the store.
    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        request: &Q,
    ) -> Result<(A, u64), PlatformError> {
        let mut last_error = PlatformError::NoAnswer {
            url: String::new(),
            reason: "no URL is configured".to_owned(),
        };
        for url in &self.urls {
            if let CallKind::Write = kind {
                COUNTERS.platform_writes.increment();
            }
            match self.call_url(url, path, request).await {
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    COUNTERS.platform_errors.increment();
                    last_error = PlatformError::NoAnswer {
                        url: url.clone(),
                        reason: error.to_string(),
                    };
                }
            }
        }
        Err(last_error)
    }

    /// Sends a request to one URL, and decodes the response and its era.
    async fn call_url<Q: Serialize, A: DeserializeOwned>(
        &self,
        url: &str,
        path: &str,
        request: &Q,
    ) -> Result<(A, u64), reqwest::Error> {
        COUNTERS.platform_calls.increment();
        let request = self.http.post(format!("{url}{path}")).json(request);
        let response = request.send().await?.error_for_status()?;
        let era = response
            .headers()
            .get(ERA_HEADER)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .unwrap_or(0);
        Ok((response.json().await?, era))
    }
}

/// Returns the conditions that hold while a key is as it was read.
fn build_conditions(key: &str, expected: Option<&StoredValue>) -> Vec<Compare> {
    let revision = expected.map_or(0, |stored| stored.revision);
    let mut conditions = vec![Compare {
        key: encode_bytes(key.as_bytes()),
        target: "MOD".to_owned(),
        result: "EQUAL".to_owned(),
        mod_revision: revision.to_string(),
        value: None,
    }];
    conditions.extend(expected.map(|stored| Compare {
        key: encode_bytes(key.as_bytes()),
        target: "VALUE".to_owned(),
        result: "EQUAL".to_owned(),
        mod_revision: String::new(),
        value: Some(encode_bytes(&stored.value)),
    }));
    conditions
}

fn to_put_operation(write: &KeyWrite<'_>) -> RequestOp {
    RequestOp {
        request_put: Some(PutRequest {
            key: encode_bytes(write.key.as_bytes()),
            value: encode_bytes(write.value),
            lease: None,
        }),
        request_range: None,
    }
}

/// Returns the exclusive end of the range of keys that start with `prefix`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last = last.saturating_add(1);
    }
    end
}

fn to_stored_value(key_value: &KeyValue) -> StoredValue {
    StoredValue {
        value: decode_bytes(&key_value.value),
        revision: key_value.mod_revision.parse().unwrap_or(0),
    }
}

fn to_stored_entry(key_value: &KeyValue) -> StoredEntry {
    StoredEntry {
        key: String::from_utf8_lossy(&decode_bytes(&key_value.key)).into_owned(),
        stored: to_stored_value(key_value),
    }
}
