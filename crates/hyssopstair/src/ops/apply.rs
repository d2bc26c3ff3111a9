//! Puts a rule file in force.

use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_platform::client::PlatformClient;
use hyssopstair_platform::record::CONFIGURATION_KEY;
use hyssopstair_platform::record::ConfigurationRecord;
use serde::Deserialize;

use crate::error::CommandError;
use crate::error::FailureKind;

/// Time between two questions to a daemon that has not confirmed.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);

/// What is to be put in force.
#[derive(Debug)]
pub struct ApplyPlan {
    /// URLs of the platform's key-value service.
    pub platform: Vec<String>,
    /// Admin addresses of daemons that must confirm.
    pub confirm: Vec<String>,
    /// Longest wait for confirmations.
    pub wait: Duration,
    /// The text of the rule file.
    pub text: String,
}

/// The configuration in the platform.
#[derive(Debug)]
pub struct FoundRecord {
    /// The configuration.
    pub record: ConfigurationRecord,
    /// The platform's revision of it.
    pub revision: u64,
}

/// Reads the configuration from the platform.
///
/// # Errors
///
/// Returns an error when the platform does not answer or holds no record.
pub async fn read_record(platform: &[String]) -> Result<Option<FoundRecord>, Report<CommandError>> {
    let context = || CommandError::new(FailureKind::Service, "failed to read the configuration");
    let client = PlatformClient::new(platform);
    let Some(stored) = client
        .get(CONFIGURATION_KEY)
        .await
        .change_context_lazy(context)?
    else {
        return Ok(None);
    };
    let record = ConfigurationRecord::decode(&stored.value).change_context_lazy(context)?;
    Ok(Some(FoundRecord {
        record,
        revision: stored.revision,
    }))
}

/// Writes a rule file to the platform, waits for confirmations, and returns
/// its version.
///
/// # Errors
///
/// Returns an error when the platform does not take it or a daemon does not
/// confirm it in time.
pub async fn apply_rules(plan: &ApplyPlan) -> Result<u64, Report<CommandError>> {
    let found = read_record(&plan.platform).await?;
    let (version, revision) = found.map_or((0, 0), |found| (found.record.version, found.revision));
    let record = ConfigurationRecord {
        version: version + 1,
        change: format!("{:032x}", rand::random::<u128>()),
        text: plan.text.clone(),
    };
    let written = PlatformClient::new(&plan.platform)
        .compare_and_swap(CONFIGURATION_KEY, revision, &record.encode())
        .await
        .change_context_lazy(|| {
            CommandError::new(FailureKind::Service, "failed to write the configuration")
        })?;
    if !written {
        return Err(Report::new(CommandError::new(
            FailureKind::Finding,
            "another operator changed the rules at the same time; read them and try again",
        )));
    }
    confirm(plan, record.version).await?;
    Ok(record.version)
}

#[derive(Debug, Deserialize)]
struct VersionReport {
    version: u64,
}

async fn confirm(plan: &ApplyPlan, version: u64) -> Result<(), Report<CommandError>> {
    let http = reqwest::Client::new();
    let wait = async {
        for address in &plan.confirm {
            while !has_version(&http, address, version).await {
                tokio::time::sleep(CONFIRM_INTERVAL).await;
            }
        }
    };
    tokio::time::timeout(plan.wait, wait)
        .await
        .change_context_lazy(|| {
            CommandError::new(
                FailureKind::Service,
                format!("version {version} is written but not confirmed by every daemon"),
            )
        })
}

async fn has_version(http: &reqwest::Client, address: &str, version: u64) -> bool {
    let Ok(answer) = http.get(format!("http://{address}/status")).send().await else {
        return false;
    };
    answer
        .json::<VersionReport>()
        .await
        .is_ok_and(|report| report.version >= version)
}
