//! Writes a change of the configuration to the platform and waits until daemons
//! confirm it.
//!
//! [`ChangeState`] decides on each step; this module executes the steps.

use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_platform::change::ChangeEvent;
use hyssopstair_platform::change::ChangeIntent;
use hyssopstair_platform::change::ChangeOutcome;
use hyssopstair_platform::change::ChangeState;
use hyssopstair_platform::change::ChangeStep;
use hyssopstair_platform::change::StoredRecord;
use hyssopstair_platform::client::KeyWrite;
use hyssopstair_platform::client::PlatformClient;
use hyssopstair_platform::client::StoredValue;
use hyssopstair_platform::record::CONFIGURATION_KEY;
use hyssopstair_platform::record::ChangeId;
use hyssopstair_platform::record::ConfigurationRecord;
use hyssopstair_platform::record::MAX_VALUE_BYTES;
use hyssopstair_platform::record::VERSION_KEY;
use hyssopstair_platform::record::history_key;
use hyssopstair_wire::time::MonotonicTime;

use crate::error::CommandError;
use crate::error::FailureKind;
use crate::ops::change_report::describe_outcome;
use crate::ops::confirm::ConfirmationPlan;
use crate::ops::daemon::DaemonClient;
use crate::ops::record::decode_record;

/// Where a change is written and which daemons must confirm it.
#[derive(Debug)]
pub struct ChangePlan {
    /// URLs of the platform's key-value service.
    pub platform_urls: Vec<String>,
    /// Admin addresses of daemons that must confirm the new version.
    pub confirm_daemons: Vec<String>,
    /// Admin addresses of daemons. Used if `confirm_daemons` is empty: all balancers
    /// known to the first of these daemons that answers must confirm.
    pub source_daemons: Vec<String>,
    /// Timeout of the write, and again of the confirmations that follow.
    pub timeout: Duration,
}

/// A change that all expected daemons confirmed.
#[derive(Debug)]
pub struct AcceptedChange {
    /// The version that contains the change.
    pub version: u64,
    /// Whether the platform already contained the change, so that nothing was
    /// written.
    pub unchanged: bool,
    /// The number of daemons that confirmed the version.
    pub confirmed_count: usize,
}

/// Writes a change to the platform and waits until all expected daemons confirm it.
///
/// # Errors
///
/// Returns an error if the change was not written, may have been written, or was
/// written but not confirmed in time; the error says which.
pub async fn apply_change(
    plan: &ChangePlan,
    intent: ChangeIntent,
) -> Result<AcceptedChange, Report<CommandError>> {
    let confirmation =
        ConfirmationPlan::resolve(&plan.confirm_daemons, &plan.source_daemons).await?;
    let client = PlatformClient::new(&plan.platform_urls);
    let outcome = write_change(&client, plan, intent, confirmation.highest_version).await?;
    let (version, unchanged) = match outcome {
        ChangeOutcome::Written { version } => (version, false),
        ChangeOutcome::Unchanged { version } => (version, true),
        other => return Err(Report::new(describe_outcome(&other))),
    };
    let unconfirmed = confirmation
        .wait_until_confirmed(version, plan.timeout)
        .await;
    if unconfirmed.is_empty() {
        return Ok(AcceptedChange {
            version,
            unchanged,
            confirmed_count: confirmation.expected_count(),
        });
    }
    let consequence = match has_lost_version(&client, version).await {
        true => "the platform has come back from a copy without the change; apply the change again",
        false => "the change stays written and takes effect on these daemons once they receive it",
    };
    Err(Report::new(CommandError::new(
        FailureKind::Unconfirmed,
        format!(
            "written as version {version}, but {} of {} daemons have not confirmed it: {}; \
             {consequence}",
            unconfirmed.len(),
            confirmation.expected_count(),
            unconfirmed.join(", ")
        ),
    )))
}

/// Returns whether the platform answers and holds an older version than one that it has
/// accepted.
async fn has_lost_version(client: &PlatformClient, accepted_version: u64) -> bool {
    match execute_read(client).await {
        Ok(ChangeEvent::Read(stored)) => stored.record.version < accepted_version,
        _ => false,
    }
}

/// Executes the steps of a change until its outcome is decided. A new version is higher
/// than `highest_version`, the highest among the daemons that must confirm it, even if
/// the platform has lost its configuration.
async fn write_change(
    client: &PlatformClient,
    plan: &ChangePlan,
    intent: ChangeIntent,
    highest_version: u64,
) -> Result<ChangeOutcome, Report<CommandError>> {
    let origin = Instant::now();
    let now = || MonotonicTime(origin.elapsed().as_micros() as u64);
    let id = ChangeId(rand::random());
    let mut change = ChangeState::new(id, intent, highest_version, now() + plan.timeout);
    let mut step = change.first_step();
    loop {
        let event = match step {
            ChangeStep::Read { delay } => {
                tokio::time::sleep(delay).await;
                execute_read(client).await?
            }
            ChangeStep::Write { expected, record } => {
                execute_write(client, expected.as_ref(), &record).await?
            }
            ChangeStep::ReadFleet { version } => {
                ChangeEvent::FleetRead(read_fleet_rules(plan, version).await)
            }
            ChangeStep::Done(outcome) => return Ok(outcome),
        };
        step = change.handle_event(event, now());
    }
}

async fn execute_read(client: &PlatformClient) -> Result<ChangeEvent, Report<CommandError>> {
    let Ok((stored, era)) = client.get_with_era(CONFIGURATION_KEY).await else {
        return Ok(ChangeEvent::ReadFailed);
    };
    Ok(ChangeEvent::Read(match stored {
        Some(stored) => StoredRecord {
            record: decode_record(&stored)?,
            stored: Some(stored),
            era,
        },
        None => StoredRecord::empty(era),
    }))
}

/// Returns the rules of a version from one of the given daemons that has it in force.
async fn read_fleet_rules(plan: &ChangePlan, version: u64) -> Option<String> {
    let client = DaemonClient::new();
    for address in plan.confirm_daemons.iter().chain(&plan.source_daemons) {
        if let Some(text) = client.fetch_rules_of(address, version).await {
            return Some(text);
        }
    }
    None
}

async fn execute_write(
    client: &PlatformClient,
    expected: Option<&StoredValue>,
    record: &ConfigurationRecord,
) -> Result<ChangeEvent, Report<CommandError>> {
    let value = encode_record(record)?;
    let version = record.version.to_string();
    let history = history_key(record.version);
    let writes = [
        KeyWrite {
            key: CONFIGURATION_KEY,
            value: &value,
        },
        KeyWrite {
            key: VERSION_KEY,
            value: version.as_bytes(),
        },
        KeyWrite {
            key: &history,
            value: &value,
        },
    ];
    let written = client
        .write_if_unchanged(CONFIGURATION_KEY, expected, &writes)
        .await;
    Ok(match written {
        Ok(true) => ChangeEvent::Written,
        Ok(false) => ChangeEvent::WriteRejected,
        Err(_) => ChangeEvent::WriteResultUnknown,
    })
}

fn encode_record(record: &ConfigurationRecord) -> Result<Vec<u8>, Report<CommandError>> {
    let value = record.encode().change_context_lazy(|| {
        CommandError::new(
            FailureKind::InvalidInput,
            "failed to compress the rule file",
        )
    })?;
    if value.len() <= MAX_VALUE_BYTES {
        return Ok(value);
    }
    Err(Report::new(CommandError::new(
        FailureKind::InvalidInput,
        format!(
            "the compressed rule file has {} bytes, more than the {MAX_VALUE_BYTES} that the \
             platform accepts; shorten comments or remove rules",
            value.len()
        ),
    )))
}
