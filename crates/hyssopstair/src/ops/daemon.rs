//! Client of the HTTP interface that daemons offer on their admin addresses.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::control::MemberEntry;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;

/// Timeout of one request to a daemon.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The state that a daemon reports.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct DaemonStatus {
    /// The identity of the daemon's process: its inner address and incarnation.
    pub process: String,
    /// The version of the configuration in force on the daemon.
    pub version: u64,
    /// The members that the daemon knows.
    pub members: Vec<MemberEntry>,
    /// All other values that the daemon reports, such as flows and load, by name.
    #[serde(flatten)]
    pub more: Map<String, Value>,
}

/// The version in force on a balancer, as reported by another daemon.
#[derive(Debug, Clone, Deserialize)]
pub struct BalancerVersion {
    /// The inner address of the balancer.
    pub address: SocketAddrV4,
    /// The version, or `None` if the balancer does not answer.
    pub version: Option<u64>,
}

/// Sends requests to the admin addresses of daemons.
#[derive(Debug, Clone)]
pub struct DaemonClient {
    http: reqwest::Client,
}

impl DaemonClient {
    /// Creates a client whose requests time out after `REQUEST_TIMEOUT`.
    pub fn new() -> Self {
        let http = reqwest::Client::builder()
            .timeout(REQUEST_TIMEOUT)
            .build()
            .unwrap_or_default();
        Self { http }
    }

    /// Returns the state of the daemon at an admin address.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not answer in time, or its response is an
    /// error or malformed.
    pub async fn fetch_status(&self, address: &str) -> Result<DaemonStatus, reqwest::Error> {
        self.fetch_json(address, "status").await
    }

    /// Returns the versions of all balancers that the daemon at an admin address
    /// knows.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not answer in time, or its response is an
    /// error or malformed.
    pub async fn fetch_versions(
        &self,
        address: &str,
    ) -> Result<Vec<BalancerVersion>, reqwest::Error> {
        self.fetch_json(address, "versions").await
    }

    /// Returns the text of the rules in force on the daemon at an admin address.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not answer in time, or its response is an
    /// error.
    pub async fn fetch_rules(&self, address: &str) -> Result<String, reqwest::Error> {
        let response = self.get(address, "rules").await?;
        response.text().await
    }

    /// Returns the text of the rules of a version, or `None` if the daemon at an admin address
    /// does not have this version in force.
    pub async fn fetch_rules_of(&self, address: &str, version: u64) -> Option<String> {
        let has_version = async || {
            let status = self.fetch_status(address).await;
            status.is_ok_and(|status| status.version == version)
        };
        if !has_version().await {
            return None;
        }
        let text = self.fetch_rules(address).await.ok()?;
        // The version may have changed before the text was read.
        has_version().await.then_some(text)
    }

    async fn fetch_json<A: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
    ) -> Result<A, reqwest::Error> {
        self.get(address, path).await?.json().await
    }

    async fn get(&self, address: &str, path: &str) -> Result<reqwest::Response, reqwest::Error> {
        let request = self.http.get(format!("http://{address}/{path}"));
        request.send().await?.error_for_status()
    }
}

impl Default for DaemonClient {
    fn default() -> Self {
        Self::new()
    }
}
