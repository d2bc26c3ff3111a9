//! Makes a change of the configuration and waits until it is confirmed.

use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_platform::change::ChangeEvent;
use hyssopstair_platform::change::ChangeIntent;
use hyssopstair_platform::change::ChangeOutcome;
use hyssopstair_platform::change::ChangeState;
use hyssopstair_platform::change::ChangeStep;
use hyssopstair_platform::change::FoundRecord;
use hyssopstair_platform::client::KeyWrite;
use hyssopstair_platform::client::PlatformClient;
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
use crate::ops::record::decode_record;

/// What is to be changed, where, and who must confirm it.
#[derive(Debug)]
pub struct ChangePlan {
    /// URLs of the platform's key-value service.
    pub platform: Vec<String>,
    /// Admin addresses of daemons that must confirm.
    pub confirm: Vec<String>,
    /// Admin addresses of daemons whose balancers must confirm, where no daemon
    /// is named.
    pub daemons: Vec<String>,
    /// Longest wait for the platform, and for the confirmations after it.
    pub wait: Duration,
}

/// A change that is in force.
#[derive(Debug)]
pub struct AcceptedChange {
    /// The version that holds it.
    pub version: u64,
    /// Whether it was in the platform already.
    pub unchanged: bool,
    /// The number of daemons that confirmed it.
    pub confirmed_count: usize,
}

/// Makes a change.
///
/// # Errors
///
/// Returns an error that says what is known about the change when it is not
/// written, may be written, or is not confirmed in time.
pub async fn apply_change(
    plan: &ChangePlan,
    intent: ChangeIntent,
) -> Result<AcceptedChange, Report<CommandError>> {
    let confirm = ConfirmationPlan::resolve(&plan.confirm, &plan.daemons).await?;
    let client = PlatformClient::new(&plan.platform);
    let outcome = write_change(&client, intent, confirm.highest_version, plan.wait).await?;
    let (version, unchanged) = match outcome {
        ChangeOutcome::Written { version } => (version, false),
        ChangeOutcome::Unchanged { version } => (version, true),
        other => return Err(Report::new(describe_outcome(&other))),
    };
    let missing = confirm.wait_until_confirmed(version, plan.wait).await;
    if missing.is_empty() {
        return Ok(AcceptedChange {
            version,
            unchanged,
            confirmed_count: confirm.expected_count(),
        });
    }
    Err(Report::new(CommandError::new(
        FailureKind::Unconfirmed,
        format!(
            "written as version {version}, but {} of {} have not confirmed it: {}; it stays \
             written and will be in force there as soon as they hear of it",
            missing.len(),
            confirm.expected_count(),
            missing.join(", ")
        ),
    )))
}

/// Carries out the steps of a change until it ends.
async fn write_change(
    client: &PlatformClient,
    intent: ChangeIntent,
    floor: u64,
    wait: Duration,
) -> Result<ChangeOutcome, Report<CommandError>> {
    let origin = Instant::now();
    let now = || MonotonicTime(origin.elapsed().as_micros() as u64);
    let id = ChangeId(rand::random());
    let mut change = ChangeState::new(id, intent, floor, now() + wait);
    let mut step = change.start();
    loop {
        let event = match step {
            ChangeStep::Read { after } => {
                tokio::time::sleep(after).await;
                execute_read(client).await?
            }
            ChangeStep::Write { revision, record } => {
                execute_write(client, revision, &record).await?
            }
            ChangeStep::Done(outcome) => return Ok(outcome),
        };
        step = change.next(event, now());
    }
}

async fn execute_read(client: &PlatformClient) -> Result<ChangeEvent, Report<CommandError>> {
    let Ok(stored) = client.get(CONFIGURATION_KEY).await else {
        return Ok(ChangeEvent::ReadLost);
    };
    let found = decode_record(stored)?;
    Ok(ChangeEvent::Read(found.unwrap_or(FoundRecord {
        record: ConfigurationRecord::empty(),
        revision: 0,
    })))
}

async fn execute_write(
    client: &PlatformClient,
    revision: u64,
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
        .write_if_unchanged(CONFIGURATION_KEY, revision, &writes)
        .await;
    Ok(match written {
        Ok(true) => ChangeEvent::Written,
        Ok(false) => ChangeEvent::Refused,
        Err(_) => ChangeEvent::WriteLost,
    })
}

fn encode_record(record: &ConfigurationRecord) -> Result<Vec<u8>, Report<CommandError>> {
    let value = record.encode().change_context_lazy(|| {
        CommandError::new(FailureKind::InvalidInput, "failed to pack the rule file")
    })?;
    if value.len() <= MAX_VALUE_BYTES {
        return Ok(value);
    }
    Err(Report::new(CommandError::new(
        FailureKind::InvalidInput,
        format!(
            "the rule file takes {} bytes packed, and the platform takes {MAX_VALUE_BYTES}; \
             shorten comments or remove rules",
            value.len()
        ),
    )))
}
