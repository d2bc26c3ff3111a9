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
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);

/// Daemons that are asked at once.
const QUESTIONS: usize = 32;

/// Who must confirm a version.
#[derive(Debug)]
pub enum ConfirmSet {
    /// Daemons, by their admin addresses.
    Named(Vec<String>),
    /// Balancers, by their inner addresses, asked through other daemons.
    Listed {
        /// Admin addresses of the daemons that ask for us.
        through: Vec<String>,
        /// The balancers.
        balancers: Vec<SocketAddrV4>,
    },
}

/// A set and the highest version that any of it has.
#[derive(Debug)]
pub struct ConfirmPlan {
    /// Who must confirm.
    pub set: ConfirmSet,
    /// The highest version in force now.
    pub highest: u64,
}

impl ConfirmPlan {
    /// Settles who must confirm: the named daemons, or else all balancers that
    /// one of the daemons in `through` knows.
    ///
    /// # Errors
    ///
    /// Returns an error when the set is empty or no daemon answers.
    pub async fn settle(
        named: &[String],
        through: &[String],
    ) -> Result<Self, Report<CommandError>> {
        if !named.is_empty() {
            let known = ask_named(named).await;
            return Ok(Self {
                set: ConfirmSet::Named(named.to_vec()),
                highest: highest(&known),
            });
        }
        if through.is_empty() {
            return Err(Report::new(CommandError::new(
                FailureKind::Input,
                "no balancer is named that must confirm; give --confirm ADDRESS for each, \
                 or --daemon ADDRESS for all balancers that this daemon knows",
            )));
        }
        let Some(known) = ask_through(through).await else {
            return Err(Report::new(CommandError::new(
                FailureKind::Service,
                format!(
                    "nothing is written: no daemon at {} answers; give another --daemon",
                    through.join(", ")
                ),
            )));
        };
        if known.is_empty() {
            return Err(Report::new(CommandError::new(
                FailureKind::Service,
                "nothing is written: the daemon knows no balancer that could confirm",
            )));
        }
        let balancers = known.iter().map(|item| item.address).collect();
        Ok(Self {
            highest: known
                .iter()
                .filter_map(|item| item.version)
                .max()
                .unwrap_or(0),
            set: ConfirmSet::Listed {
                through: through.to_vec(),
                balancers,
            },
        })
    }

    /// Returns how many must confirm.
    pub fn size(&self) -> usize {
        match &self.set {
            ConfirmSet::Named(addresses) => addresses.len(),
            ConfirmSet::Listed { balancers, .. } => balancers.len(),
        }
    }

    /// Waits until all have `version` or a higher one, and returns those that
    /// do not have it after `wait`.
    pub async fn wait_for(&self, version: u64, wait: Duration) -> Vec<String> {
        let deadline = Instant::now() + wait;
        loop {
            let missing = self.missing(version).await;
            if missing.is_empty() || Instant::now() >= deadline {
                return missing;
            }
            tokio::time::sleep(CONFIRM_INTERVAL).await;
        }
    }

    async fn missing(&self, version: u64) -> Vec<String> {
        match &self.set {
            ConfirmSet::Named(addresses) => ask_named(addresses)
                .await
                .into_iter()
                .filter(|item| item.version.is_none_or(|found| found < version))
                .map(|item| describe(&item.address, item.version))
                .collect(),
            ConfirmSet::Listed { through, balancers } => {
                let known = ask_through(through).await.unwrap_or_default();
                balancers
                    .iter()
                    .filter_map(|address| missing_balancer(*address, &known, version))
                    .collect()
            }
        }
    }
}

/// The version in force on a daemon that was named.
#[derive(Debug)]
struct NamedVersion {
    address: String,
    version: Option<u64>,
}

async fn ask_named(addresses: &[String]) -> Vec<NamedVersion> {
    let client = DaemonClient::new();
    stream::iter(addresses.to_vec())
        .map(|address| {
            let client = client.clone();
            async move {
                let status = client.status(&address).await;
                let version = status.ok().map(|status| status.version);
                NamedVersion { address, version }
            }
        })
        .buffered(QUESTIONS)
        .collect()
        .await
}

async fn ask_through(through: &[String]) -> Option<Vec<BalancerVersion>> {
    let client = DaemonClient::new();
    for address in through {
        if let Ok(versions) = client.versions(address).await {
            return Some(versions);
        }
    }
    None
}

fn highest(known: &[NamedVersion]) -> u64 {
    known
        .iter()
        .filter_map(|item| item.version)
        .max()
        .unwrap_or(0)
}

fn missing_balancer(
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
        _ => Some(describe(&address.to_string(), found)),
    }
}

fn describe(address: &str, version: Option<u64>) -> String {
    match version {
        Some(version) => format!("{address} (has version {version})"),
        None => format!("{address} (no answer)"),
    }
}
