//! Decides how an operator's change gets into the platform.
//!
//! [`ChangeState`] says what to do next, and is told what came of it. It knows
//! no sockets and no clock; the loop around it is in the operators' command.
//!
//! A write compares the platform's revision, so of two racing writes one fails.
//! An answer that is lost, or a refusal that may stem from a second attempt, is
//! settled by reading back: each record names the latest changes. While the
//! revision is still the one that a lost write compared, that write may yet
//! arrive, so the very same write is sent again. Once the revision is higher,
//! it can never take effect.

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

use crate::record::ChangeId;
use crate::record::ConfigurationRecord;

/// Time before a failed call is tried again, at first.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Time before a failed call is tried again, at most.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// What an operator wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeIntent {
    /// A new text, edited from an older one.
    Text {
        /// The text that the edit started from.
        base: String,
        /// The new text.
        text: String,
    },
    /// A drain rule for a host.
    Drain {
        /// The inner address of the host.
        host: SocketAddrV4,
        /// Who asked.
        asked_by: String,
    },
    /// No drain rule for a host.
    Undrain {
        /// The inner address of the host.
        host: SocketAddrV4,
    },
}

/// A configuration and the platform's revision of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// The configuration; empty when the platform holds none.
    pub record: ConfigurationRecord,
    /// The revision of its last change, 0 when there is none.
    pub revision: u64,
}

/// What came of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeEvent {
    /// The configuration was read.
    Read(StoredRecord),
    /// The read gave no answer.
    ReadFailed,
    /// The platform says that the write took effect.
    Written,
    /// The platform says that the compared revision is no longer the present one.
    WriteRejected,
    /// The write gave no answer; it may have taken effect, or may yet.
    WriteResultUnknown,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeStep {
    /// Read the configuration after a pause.
    Read {
        /// The pause.
        delay: Duration,
    },
    /// Write a record if the configuration is still at a revision.
    Write {
        /// The expected revision.
        revision: u64,
        /// What to write.
        record: ConfigurationRecord,
    },
    /// Nothing more; this came of the change.
    Done(ChangeOutcome),
}

/// What came of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It is in the platform.
    Written {
        /// The version that it made.
        version: u64,
    },
    /// The platform held what was wanted already; nothing was written.
    Unchanged {
        /// The version that holds it.
        version: u64,
    },
    /// Another operator changed the same lines; nothing was written.
    Conflict {
        /// The version with the other change.
        version: u64,
        /// The lines.
        lines: Vec<LineConflict>,
    },
    /// The text has mistakes, maybe only together with another operator's
    /// change; nothing was written.
    Invalid {
        /// The version that it was merged with.
        version: u64,
        /// The text with the mistakes.
        text: String,
        /// The mistakes.
        errors: Vec<RuleError>,
    },
    /// The platform did not answer in time; nothing was written.
    NotWritten,
    /// The platform did not answer in time; the change may be or get in force.
    MayBeWritten {
        /// The version that it would make.
        version: u64,
    },
}

/// A write whose result is not known.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PendingWrite {
    revision: u64,
    record: ConfigurationRecord,
}

/// One change on its way into the platform.
#[derive(Debug, Clone)]
pub struct ChangeState {
    id: ChangeId,
    intent: ChangeIntent,
    floor: u64,
    deadline: MonotonicTime,
    backoff: Duration,
    seen_revision: u64,
    pending: Option<PendingWrite>,
}

impl ChangeState {
    /// Prepares a change. `floor` is the highest version that any daemon has,
    /// so that the change gets a higher one even if the platform lost its own.
    pub fn new(id: ChangeId, intent: ChangeIntent, floor: u64, deadline: MonotonicTime) -> Self {
        Self {
            id,
            intent,
            floor,
            deadline,
            backoff: MIN_BACKOFF,
            seen_revision: 0,
            pending: None,
        }
    }

    /// Returns the first step.
    pub fn first_step(&self) -> ChangeStep {
        ChangeStep::Read {
            delay: Duration::ZERO,
        }
    }

    /// Returns the step that follows from an event.
    pub fn handle_event(&mut self, event: ChangeEvent, now: MonotonicTime) -> ChangeStep {
        match event {
            ChangeEvent::Read(found) if found.revision < self.seen_revision => self.retry(now),
            ChangeEvent::Read(found) => self.decide(&found, now),
            ChangeEvent::ReadFailed | ChangeEvent::WriteResultUnknown => self.retry(now),
            // The client may have tried twice, and the first attempt may be the
            // very change that the second one was refused for.
            ChangeEvent::WriteRejected => self.read_again(now),
            ChangeEvent::Written => ChangeStep::Done(self.written()),
        }
    }

    fn written(&self) -> ChangeOutcome {
        let version = self
            .pending
            .as_ref()
            .map_or(0, |write| write.record.version);
        ChangeOutcome::Written { version }
    }

    fn retry(&mut self, now: MonotonicTime) -> ChangeStep {
        let delay = self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.read_after(delay, now)
    }

    fn read_again(&mut self, now: MonotonicTime) -> ChangeStep {
        self.read_after(Duration::ZERO, now)
    }

    fn read_after(&self, delay: Duration, now: MonotonicTime) -> ChangeStep {
        if now + delay < self.deadline {
            return ChangeStep::Read { delay };
        }
        self.give_up()
    }

    /// Ends a change that is out of time. A write that was sent and not settled
    /// may have taken effect, or may yet.
    fn give_up(&self) -> ChangeStep {
        ChangeStep::Done(match &self.pending {
            Some(write) => ChangeOutcome::MayBeWritten {
                version: write.record.version,
            },
            None => ChangeOutcome::NotWritten,
        })
    }

    fn decide(&mut self, found: &StoredRecord, now: MonotonicTime) -> ChangeStep {
        self.backoff = MIN_BACKOFF;
        self.seen_revision = found.revision;
        if let Some(version) = found.record.find_change_version(self.id) {
            return ChangeStep::Done(ChangeOutcome::Written { version });
        }
        if let Some(write) = &self.pending {
            let version = write.record.version;
            if write.revision == found.revision {
                return self.write(write.clone(), now);
            }
            if !found.record.covers_version(version) {
                return ChangeStep::Done(ChangeOutcome::MayBeWritten { version });
            }
            self.pending = None;
        }
        match self.new_text(found) {
            Ok(text) => self.write_text(found, text, now),
            Err(outcome) => ChangeStep::Done(outcome),
        }
    }

    fn new_text(&self, found: &StoredRecord) -> Result<String, ChangeOutcome> {
        let old = &found.record.text;
        let version = found.record.version;
        let text = match &self.intent {
            ChangeIntent::Text { base, text } => merge_lines(base, text, old)
                .map_err(|lines| ChangeOutcome::Conflict { version, lines })?,
            ChangeIntent::Drain { host, asked_by } => add_drain(old, *host, asked_by),
            ChangeIntent::Undrain { host } => remove_drain(old, *host),
        };
        if version > 0 && text == normalize_line_breaks(old) {
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

    fn write_text(&mut self, found: &StoredRecord, text: String, now: MonotonicTime) -> ChangeStep {
        let version = found.record.version.max(self.floor) + 1;
        let write = PendingWrite {
            revision: found.revision,
            record: found.record.with_change(self.id, version, text),
        };
        self.write(write, now)
    }

    fn write(&mut self, write: PendingWrite, now: MonotonicTime) -> ChangeStep {
        if now >= self.deadline {
            return self.give_up();
        }
        self.pending = Some(write.clone());
        ChangeStep::Write {
            revision: write.revision,
            record: write.record,
        }
    }
}
