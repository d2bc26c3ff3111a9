//! Waits until daemons confirm a version of the configuration.
//!
//! A daemon confirms a version once it reports that this version, or a higher one,
//! is in force.

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

/// Interval between two queries of the versions.
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Number of daemons that are queried at the same time.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// The daemons that must confirm a version.
#[derive(Debug)]
pub enum ConfirmTargets {
    /// Daemons that are queried directly, by their admin addresses.
    Daemons(Vec<String>),
    /// Balancers whose versions are queried through another daemon.
    Balancers {
        /// Admin addresses of daemons that report the versions of the balancers.
        /// They are tried in order until one answers.
        sources: Vec<String>,
        /// Inner addresses of the balancers.
        balancers: Vec<SocketAddrV4>,
    },
}

/// The daemons that must confirm a version, and the highest version among them.
#[derive(Debug)]
pub struct ConfirmationPlan {
    /// The daemons that must confirm.
    pub targets: ConfirmTargets,
    /// The highest version that was in force on any of them when the plan was made;
    /// 0 if none reported a version.
    pub highest_version: u64,
}

impl ConfirmationPlan {
    /// Determines who must confirm: `daemons`, or if there are none, all balancers
    /// known to the first daemon of `sources` that answers.
    ///
    /// # Errors
    ///
    /// Returns an error if both lists are empty, no daemon of `sources` answers, or
    /// the one that answers knows no balancer.
    pub async fn resolve(
        daemons: &[String],
        sources: &[String],
    ) -> Result<Self, Report<CommandError>> {
        if !daemons.is_empty() {
            let versions = query_daemons(daemons).await;
            return Ok(Self {
                targets: ConfirmTargets::Daemons(daemons.to_vec()),
                highest_version: highest_version(&versions),
            });
        }
        if sources.is_empty() {
            return Err(Report::new(CommandError::new(
                FailureKind::InvalidInput,
                "no daemon given that must confirm the change; pass --confirm ADDRESS for each, \
                 or --daemon ADDRESS for all balancers that this daemon knows",
            )));
        }
        let Some(versions) = query_balancers(sources).await else {
            return Err(Report::new(CommandError::new(
                FailureKind::Unavailable,
                format!(
                    "nothing was written: no daemon answers at {}; pass another --daemon",
                    sources.join(", ")
                ),
            )));
        };
        if versions.is_empty() {
            return Err(Report::new(CommandError::new(
                FailureKind::Unavailable,
                "nothing was written: the daemon knows no balancer that could confirm the change",
            )));
        }
        let balancers = versions.iter().map(|item| item.address).collect();
        Ok(Self {
            highest_version: versions
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

    /// Returns the number of daemons that must confirm.
    pub fn expected_count(&self) -> usize {
        match &self.targets {
            ConfirmTargets::Daemons(addresses) => addresses.len(),
            ConfirmTargets::Balancers { balancers, .. } => balancers.len(),
        }
    }

    /// Waits until all daemons report `version` or a higher one, but at most for
    /// `timeout`. Returns a description of each daemon that has not confirmed by then.
    pub async fn wait_until_confirmed(&self, version: u64, timeout: Duration) -> Vec<String> {
        let deadline = Instant::now() + timeout;
        loop {
            let unconfirmed = self.find_unconfirmed(version).await;
            if unconfirmed.is_empty() || Instant::now() >= deadline {
                return unconfirmed;
            }
            tokio::time::sleep(CONFIRM_POLL_INTERVAL).await;
        }
    }

    async fn find_unconfirmed(&self, version: u64) -> Vec<String> {
        match &self.targets {
            ConfirmTargets::Daemons(addresses) => query_daemons(addresses)
                .await
                .into_iter()
                .filter(|item| {
                    item.version
                        .is_none_or(|reported_version| reported_version < version)
                })
                .map(|item| describe_version(&item.address, item.version))
                .collect(),
            ConfirmTargets::Balancers { sources, balancers } => {
                let versions = query_balancers(sources).await.unwrap_or_default();
                balancers
                    .iter()
                    .filter_map(|address| {
                        describe_unconfirmed_balancer(*address, &versions, version)
                    })
                    .collect()
            }
        }
    }
}

/// The version in force on a daemon; `None` if the daemon does not answer.
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

/// Returns the versions of all balancers known to the first daemon that answers, or
/// `None` if no daemon answers.
async fn query_balancers(sources: &[String]) -> Option<Vec<BalancerVersion>> {
    let client = DaemonClient::new();
    for address in sources {
        if let Ok(versions) = client.fetch_versions(address).await {
            return Some(versions);
        }
    }
    None
}

fn highest_version(versions: &[DaemonVersion]) -> u64 {
    versions
        .iter()
        .filter_map(|item| item.version)
        .max()
        .unwrap_or(0)
}

fn describe_unconfirmed_balancer(
    address: SocketAddrV4,
    versions: &[BalancerVersion],
    version: u64,
) -> Option<String> {
    let reported_version = versions
        .iter()
        .find(|item| item.address == address)
        .and_then(|item| item.version);
    match reported_version {
        Some(reported_version) if reported_version >= version => None,
        _ => Some(describe_version(&address.to_string(), reported_version)),
    }
}

fn describe_version(address: &str, version: Option<u64>) -> String {
    match version {
        Some(version) => format!("{address} (has version {version})"),
        None => format!("{address} (no answer)"),
    }
}
