//! Asks daemons on their admin addresses.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::control::MemberEntry;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;

/// Longest wait for one daemon.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// What a daemon reports about itself.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct DaemonStatus {
    /// The process.
    pub process: String,
    /// The version of the configuration in force.
    pub version: u64,
    /// The members that it knows.
    pub members: Vec<MemberEntry>,
    /// What else it reports, such as flows and load.
    #[serde(flatten)]
    pub more: Map<String, Value>,
}

/// The version in force on one balancer, as another daemon was told.
#[derive(Debug, Clone, Deserialize)]
pub struct BalancerVersion {
    /// The inner address of the balancer.
    pub address: SocketAddrV4,
    /// The version, or nothing when the balancer does not answer.
    pub version: Option<u64>,
}

/// Asks daemons.
#[derive(Debug, Clone)]
pub struct DaemonClient {
    http: reqwest::Client,
}

impl DaemonClient {
    /// Creates a client.
    pub fn new() -> Self {
        let http = reqwest::Client::builder()
            .timeout(REQUEST_TIMEOUT)
            .build()
            .unwrap_or_default();
        Self { http }
    }

    /// Asks for the state of a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon does not answer as expected.
    pub async fn fetch_status(&self, address: &str) -> Result<DaemonStatus, reqwest::Error> {
        self.fetch_json(address, "status").await
    }

    /// Asks a daemon for the versions of all balancers that it knows.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon does not answer as expected.
    pub async fn fetch_versions(
        &self,
        address: &str,
    ) -> Result<Vec<BalancerVersion>, reqwest::Error> {
        self.fetch_json(address, "versions").await
    }

    /// Asks a daemon for the rule file in force.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon does not answer as expected.
    pub async fn fetch_rules(&self, address: &str) -> Result<String, reqwest::Error> {
        let response = self.get(address, "rules").await?;
        response.text().await
    }

    async fn fetch_json<A: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
    ) -> Result<A, reqwest::Error> {
        self.get(address, path).await?.json().await
    }

    async fn get(&self, address: &str, path: &str) -> Result<reqwest::Response, reqwest::Error> {
        let response = self.http.get(format!("http://{address}/{path}"));
        response.send().await?.error_for_status()
    }
}

impl Default for DaemonClient {
    fn default() -> Self {
        Self::new()
    }
}
