//! Waits until balancers confirm a version.

use std::net::SocketAddrV4;
use std::time::Duration;

use error_stack::Report;
use futures::StreamExt;
use futures::stream;
use tokio::time::Instant;

use crate::error::CommandError;
use crate::error::FailureKind;
use crate::ops::daemon::BalancerVersion;
use crate::ops::daemon::DaemonClient;

/// Time between two questions to those that have not confirmed.
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Daemons that are asked at once.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// Who must confirm a version.
#[derive(Debug)]
pub enum ConfirmTargets {
    /// Daemons, by their admin addresses.
    Daemons(Vec<String>),
    /// Balancers, by their inner addresses, asked through other daemons.
    Balancers {
        /// Admin addresses of the daemons that ask for us.
        sources: Vec<String>,
        /// The balancers.
        balancers: Vec<SocketAddrV4>,
    },
}

/// A set and the highest version that any of it has.
#[derive(Debug)]
pub struct ConfirmationPlan {
    /// Who must confirm.
    pub targets: ConfirmTargets,
    /// The highest version in force now.
    pub highest_version: u64,
}

impl ConfirmationPlan {
    /// Settles who must confirm: the named daemons, or else all balancers that
    /// one of the daemons in `sources` knows.
    ///
    /// # Errors
    ///
    /// Returns an error when the set is empty or no daemon answers.
    pub async fn resolve(
        daemons: &[String],
        sources: &[String],
    ) -> Result<Self, Report<CommandError>> {
        if !daemons.is_empty() {
            let known = query_daemons(daemons).await;
            return Ok(Self {
                targets: ConfirmTargets::Daemons(daemons.to_vec()),
                highest_version: highest_version(&known),
            });
        }
        if sources.is_empty() {
            return Err(Report::new(CommandError::new(
                FailureKind::InvalidInput,
                "no balancer is named that must confirm; give --confirm ADDRESS for each, \
                 or --daemon ADDRESS for all balancers that this daemon knows",
            )));
        }
        let Some(known) = query_balancers(sources).await else {
            return Err(Report::new(CommandError::new(
                FailureKind::Unavailable,
                format!(
                    "nothing is written: no daemon at {} answers; give another --daemon",
                    sources.join(", ")
                ),
            )));
        };
        if known.is_empty() {
            return Err(Report::new(CommandError::new(
                FailureKind::Unavailable,
                "nothing is written: the daemon knows no balancer that could confirm",
            )));
        }
        let balancers = known.iter().map(|item| item.address).collect();
        Ok(Self {
            highest_version: known
                .iter()
                .filter_map(|item| item.version)
                .max()
                .unwrap_or(0),
            targets: ConfirmTargets::Balancers {
                sources: sources.to_vec(),
                balancers,
            },
        })
    }

    /// Returns how many must confirm.
    pub fn expected_count(&self) -> usize {
        match &self.targets {
            ConfirmTargets::Daemons(addresses) => addresses.len(),
            ConfirmTargets::Balancers { balancers, .. } => balancers.len(),
        }
    }

    /// Waits until all have `version` or a higher one, and returns those that
    /// do not have it after `wait`.
    pub async fn wait_until_confirmed(&self, version: u64, wait: Duration) -> Vec<String> {
        let deadline = Instant::now() + wait;
        loop {
            let missing = self.missing(version).await;
            if missing.is_empty() || Instant::now() >= deadline {
                return missing;
            }
            tokio::time::sleep(CONFIRM_POLL_INTERVAL).await;
        }
    }

    async fn missing(&self, version: u64) -> Vec<String> {
        match &self.targets {
            ConfirmTargets::Daemons(addresses) => query_daemons(addresses)
                .await
                .into_iter()
                .filter(|item| item.version.is_none_or(|found| found < version))
                .map(|item| describe_version(&item.address, item.version))
                .collect(),
            ConfirmTargets::Balancers { sources, balancers } => {
                let known = query_balancers(sources).await.unwrap_or_default();
                balancers
                    .iter()
                    .filter_map(|address| describe_unconfirmed_balancer(*address, &known, version))
                    .collect()
            }
        }
    }
}

/// The version in force on a daemon that was named.
#[derive(Debug)]
struct DaemonVersion {
    address: String,
    version: Option<u64>,
}

async fn query_daemons(addresses: &[String]) -> Vec<DaemonVersion> {
    let client = DaemonClient::new();
    stream::iter(addresses.to_vec())
        .map(|address| {
            let client = client.clone();
            async move {
                let status = client.fetch_status(&address).await;
                let version = status.ok().map(|status| status.version);
                DaemonVersion { address, version }
            }
        })
        .buffered(MAX_CONCURRENT_QUERIES)
        .collect()
        .await
}

async fn query_balancers(sources: &[String]) -> Option<Vec<BalancerVersion>> {
    let client = DaemonClient::new();
    for address in sources {
        if let Ok(versions) = client.fetch_versions(address).await {
            return Some(versions);
        }
    }
    None
}

fn highest_version(known: &[DaemonVersion]) -> u64 {
    known
        .iter()
        .filter_map(|item| item.version)
        .max()
        .unwrap_or(0)
}

fn describe_unconfirmed_balancer(
    address: SocketAddrV4,
    known: &[BalancerVersion],
    version: u64,
) -> Option<String> {
    let found = known
        .iter()
        .find(|item| item.address == address)
        .and_then(|item| item.version);
    match found {
        Some(found) if found >= version => None,
        _ => Some(describe_version(&address.to_string(), found)),
    }
}

fn describe_version(address: &str, version: Option<u64>) -> String {
    match version {
        Some(version) => format!("{address} (has version {version})"),
        None => format!("{address} (no answer)"),
    }
}
