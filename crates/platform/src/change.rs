//! Decides how a change by an operator is written to the platform.
//!
//! [`ChangeState`] returns the next step and receives its result as an event. It does
//! no input or output and reads no clock; the command line program executes the steps.
//!
//! Each write is conditional on the revision and the value of the stored configuration, so
//! at most one of several concurrent writes succeeds, also if the store has come back from
//! a copy in between and has given out the revision again. A missing answer does not tell
//! whether the write took effect, and a rejection may be the result of a second attempt
//! after a first one that succeeded. In both cases the configuration is read again, because
//! each record lists its latest changes:
//!
//! - If it lists the change, the change is written.
//! - If the configuration is still the one that the write expected, the write may be
//!   delayed and still take effect, so exactly the same write is sent again.
//! - If it is another one, the write can no longer take effect, and the change is merged
//!   into the new configuration.
//! - If daemons have a higher version in force than the platform holds, the platform has come
//!   back from a copy. The change is then merged into the rules of the daemons, so that the
//!   changes that the platform has lost stay in force.
//! - If so many other changes followed that the record no longer lists changes of that
//!   age, the outcome remains unknown.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_rules::drain::add_drain;
use hyssopstair_rules::drain::normalize_line_breaks;
use hyssopstair_rules::drain::remove_drain;
use hyssopstair_rules::edit::LineConflict;
use hyssopstair_rules::edit::merge_lines;
use hyssopstair_rules::error::RuleError;
use hyssopstair_rules::rule_set::RuleSet;
use hyssopstair_wire::time::MonotonicTime;

use crate::client::StoredValue;
use crate::record::ChangeId;
use crate::record::ConfigurationRecord;

/// Delay before the first retry of a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum delay before a retry.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// A change that an operator requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeIntent {
    /// Applies an edit of the rule file.
    Text {
        /// The text before the edit, possibly of an older version.
        base: String,
        /// The text after the edit.
        text: String,
    },
    /// Adds a drain rule for a host.
    Drain {
        /// The inner address of the host.
        host: SocketAddrV4,
        /// The name of the requester, for the comment of the rule.
        asked_by: String,
    },
    /// Removes the drain rules for a host.
    Undrain {
        /// The inner address of the host.
        host: SocketAddrV4,
    },
}

/// A configuration and its revision in the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// The configuration; empty if the platform has none.
    pub record: ConfigurationRecord,
    /// The configuration as it is stored; `None` if the platform has none.
    pub stored: Option<StoredValue>,
    /// The era of the store; 0 if it names none.
    pub era: u64,
}

impl StoredRecord {
    /// Returns the state of a platform that has no configuration.
    pub fn empty(era: u64) -> Self {
        Self {
            record: ConfigurationRecord::empty(),
            stored: None,
            era,
        }
    }

    /// Returns the position of the configuration in the history of the store: its era and
    /// the revision of the last change, 0 if there is none.
    fn position(&self) -> (u64, u64) {
        let revision = self.stored.as_ref().map_or(0, |stored| stored.revision);
        (self.era, revision)
    }
}

/// The result of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeEvent {
    /// The configuration was read.
    Read(StoredRecord),
    /// The read was not answered.
    ReadFailed,
    /// The platform confirmed the write.
    Written,
    /// The platform rejected the write because the revision had changed.
    WriteRejected,
    /// The write was not answered. It may have taken effect, or may still do so.
    WriteResultUnknown,
    /// The rules of the daemons were read; `None` if none of them sent the wanted version.
    FleetRead(Option<String>),
}

/// The next action to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeStep {
    /// Read the configuration after a delay.
    Read {
        /// The delay.
        delay: Duration,
    },
    /// Write a record if the configuration is still the expected one.
    Write {
        /// The expected configuration; `None` if there must be none.
        expected: Option<StoredValue>,
        /// The record to write.
        record: ConfigurationRecord,
    },
    /// Read the text of this version from a daemon that has it in force.
    ReadFleet {
        /// The version.
        version: u64,
    },
    /// The change has ended with this outcome.
    Done(ChangeOutcome),
}

/// The outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change was written.
    Written {
        /// The version that the change created.
        version: u64,
    },
    /// The configuration already contained the change; nothing was written.
    Unchanged {
        /// The version that contains the change.
        version: u64,
    },
    /// Another operator changed the same lines differently; nothing was written.
    Conflict {
        /// The version that contains the other change.
        version: u64,
        /// The conflicting lines.
        lines: Vec<LineConflict>,
    },
    /// The merged text has errors, possibly only in combination with the change of
    /// another operator; nothing was written.
    Invalid {
        /// The version that the change was merged with.
        version: u64,
        /// The merged text.
        text: String,
        /// The errors in it.
        errors: Vec<RuleError>,
    },
    /// Daemons have a higher version in force than the platform holds, and none of them sent
    /// its text; nothing was written.
    PlatformBehind {
        /// The version that the platform holds; 0 if it holds none.
        stored_version: u64,
        /// The highest version in force.
        fleet_version: u64,
    },
    /// The platform did not answer before the deadline; nothing was written.
    NotWritten,
    /// The platform did not answer before the deadline. The change may have been
    /// written, or may still be.
    MayBeWritten {
        /// The version that the change creates if it is written.
        version: u64,
    },
}

/// A write with an unknown result.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PendingWrite {
    /// The era of the store in which it was first sent.
    era: u64,
    expected: Option<StoredValue>,
    record: ConfigurationRecord,
}

/// The latest write with an unknown result that was given up, because the configuration is
/// another one than it expects. If the store comes back from a copy, the expected one may
/// exist again.
#[derive(Debug, Clone, Copy)]
struct AbandonedWrite {
    /// The era of the store in which it was first sent.
    era: u64,
    /// The version that it creates.
    version: u64,
}

/// The state of a change that is being written to the platform.
#[derive(Debug, Clone)]
pub struct ChangeState {
    id: ChangeId,
    intent: ChangeIntent,
    highest_known_version: u64,
    deadline: MonotonicTime,
    backoff: Duration,
    /// The position of the latest read. A read that returns a lower one is stale.
    latest_position: (u64, u64),
    pending: Option<PendingWrite>,
    abandoned: Option<AbandonedWrite>,
    /// The text of the highest version of any daemon, once it was read.
    fleet_text: Option<String>,
    /// The configuration that was read before the text of the daemons is.
    awaiting_fleet: Option<StoredRecord>,
}

impl ChangeState {
    /// Creates the state of a change. `highest_known_version` is the highest version of
    /// any daemon. The change creates a higher one, even if the platform has lost its
    /// configuration.
    pub fn new(
        id: ChangeId,
        intent: ChangeIntent,
        highest_known_version: u64,
        deadline: MonotonicTime,
    ) -> Self {
        Self {
            id,
            intent,
            highest_known_version,
            deadline,
            backoff: MIN_BACKOFF,
            latest_position: (0, 0),
            pending: None,
            abandoned: None,
            fleet_text: None,
            awaiting_fleet: None,
        }
    }

    /// Returns the first step.
    pub fn first_step(&self) -> ChangeStep {
        ChangeStep::Read {
            delay: Duration::ZERO,
        }
    }

    /// Returns the step that follows an event. If that step would start at the deadline or
    /// later, the change ends instead.
    pub fn handle_event(&mut self, event: ChangeEvent, now: MonotonicTime) -> ChangeStep {
        match event {
            ChangeEvent::Read(stored) if stored.position() < self.latest_position => {
                self.read_after_backoff(now)
            }
            ChangeEvent::Read(stored) => self.handle_record(&stored, now),
            ChangeEvent::ReadFailed | ChangeEvent::WriteResultUnknown => {
                self.read_after_backoff(now)
            }
            // The client may have sent the write twice. If the first attempt took
            // effect, it changed the revision, and the second one was rejected.
            ChangeEvent::WriteRejected => self.read_immediately(now),
            ChangeEvent::FleetRead(text) => self.handle_fleet_text(text, now),
            ChangeEvent::Written => ChangeStep::Done(self.written_outcome()),
        }
    }

    fn written_outcome(&self) -> ChangeOutcome {
        let version = self
            .pending
            .as_ref()
            .map_or(0, |write| write.record.version);
        ChangeOutcome::Written { version }
    }

    fn read_after_backoff(&mut self, now: MonotonicTime) -> ChangeStep {
        let delay = self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.read_after(delay, now)
    }

    fn read_immediately(&mut self, now: MonotonicTime) -> ChangeStep {
        self.read_after(Duration::ZERO, now)
    }

    fn read_after(&self, delay: Duration, now: MonotonicTime) -> ChangeStep {
        if now + delay < self.deadline {
            return ChangeStep::Read { delay };
        }
        self.time_out()
    }

    /// Ends the change at its deadline. A write with an unknown result may have taken
    /// effect, or may still do so.
    fn time_out(&self) -> ChangeStep {
        match &self.pending {
            Some(write) => ChangeStep::Done(ChangeOutcome::MayBeWritten {
                version: write.record.version,
            }),
            None => self.end_unwritten(ChangeOutcome::NotWritten),
        }
    }

    /// Ends the change with an outcome by which nothing was written, unless an abandoned write
    /// may still take effect, since the store has come back from a copy.
    fn end_unwritten(&self, outcome: ChangeOutcome) -> ChangeStep {
        let (latest_era, _) = self.latest_position;
        ChangeStep::Done(match self.abandoned {
            Some(write) if write.era < latest_era => ChangeOutcome::MayBeWritten {
                version: write.version,
            },
            _ => outcome,
        })
    }

    /// Returns the step that follows from the current configuration.
    fn handle_record(&mut self, stored: &StoredRecord, now: MonotonicTime) -> ChangeStep {
        self.backoff = MIN_BACKOFF;
        self.latest_position = stored.position();
        if let Some(version) = stored.record.find_change_version(self.id) {
            return ChangeStep::Done(ChangeOutcome::Written { version });
        }
        if let Some(write) = &self.pending {
            let version = write.record.version;
            if write.expected == stored.stored {
                return self.send_write(write.clone(), now);
            }
            if !stored.record.covers_version(version) {
                return ChangeStep::Done(ChangeOutcome::MayBeWritten { version });
            }
            self.abandoned = Some(AbandonedWrite {
                era: write.era,
                version,
            });
            self.pending = None;
        }
        if self.is_platform_behind(stored) && self.fleet_text.is_none() {
            self.awaiting_fleet = Some(stored.clone());
            return ChangeStep::ReadFleet {
                version: self.highest_known_version,
            };
        }
        self.merge_change(stored, now)
    }

    /// Returns whether a daemon has a higher version in force than the platform holds.
    fn is_platform_behind(&self, stored: &StoredRecord) -> bool {
        stored.record.version < self.highest_known_version
    }

    /// Goes on with the change once the text of the daemons was read.
    fn handle_fleet_text(&mut self, text: Option<String>, now: MonotonicTime) -> ChangeStep {
        let Some(stored) = self.awaiting_fleet.take() else {
            return self.read_immediately(now);
        };
        if text.is_none() {
            return self.end_unwritten(ChangeOutcome::PlatformBehind {
                stored_version: stored.record.version,
                fleet_version: self.highest_known_version,
            });
        }
        self.fleet_text = text;
        self.merge_change(&stored, now)
    }

    /// Merges the change into the newest configuration: the stored one, or that of the
    /// daemons if the platform has lost it.
    fn merge_change(&mut self, stored: &StoredRecord, now: MonotonicTime) -> ChangeStep {
        let merged = match &self.fleet_text {
            Some(text) if self.is_platform_behind(stored) => {
                self.build_text(self.highest_known_version, text, stored)
            }
            _ => self.build_text(stored.record.version, &stored.record.text, stored),
        };
        match merged {
            Ok(text) => self.write_text(stored, text, now),
            Err(outcome) => self.end_unwritten(outcome),
        }
    }

    /// Returns the text that results from the change of `old_text`, the rules of `version`, or
    /// the outcome of the change if there is nothing to write.
    fn build_text(
        &self,
        version: u64,
        old_text: &str,
        stored: &StoredRecord,
    ) -> Result<String, ChangeOutcome> {
        let text = match &self.intent {
            // Without a base, operators write the rules anew to a platform that is empty.
            ChangeIntent::Text { base, text } if base.is_empty() && stored.stored.is_none() => {
                text.clone()
            }
            ChangeIntent::Text { base, text } => merge_lines(base, text, old_text)
                .map_err(|lines| ChangeOutcome::Conflict { version, lines })?,
            ChangeIntent::Drain { host, asked_by } => add_drain(old_text, *host, asked_by),
            ChangeIntent::Undrain { host } => remove_drain(old_text, *host),
        };
        let is_stored = !self.is_platform_behind(stored);
        if is_stored && version > 0 && text == normalize_line_breaks(old_text) {
            return Err(ChangeOutcome::Unchanged { version });
        }
        match RuleSet::parse(&text) {
            Ok(_) => Ok(text),
            Err(errors) => Err(ChangeOutcome::Invalid {
                version,
                text,
                errors,
            }),
        }
    }

    fn write_text(
        &mut self,
        stored: &StoredRecord,
        text: String,
        now: MonotonicTime,
    ) -> ChangeStep {
        let version = stored.record.version.max(self.highest_known_version) + 1;
        let write = PendingWrite {
            era: stored.era,
            expected: stored.stored.clone(),
            record: stored.record.with_change(self.id, version, text),
        };
        self.send_write(write, now)
    }

    fn send_write(&mut self, write: PendingWrite, now: MonotonicTime) -> ChangeStep {
        if now >= self.deadline {
            return self.time_out();
        }
        self.pending = Some(write.clone());
        ChangeStep::Write {
            expected: write.expected,
            record: write.record,
        }
    }
}
