//! A simulation of operators who concurrently change the configuration in a store.

use std::time::Duration;

use hyssopstair_platform::change::ChangeEvent;
use hyssopstair_platform::change::ChangeIntent;
use hyssopstair_platform::change::ChangeOutcome;
use hyssopstair_platform::change::ChangeState;
use hyssopstair_platform::change::ChangeStep;
use hyssopstair_platform::change::StoredRecord;
use hyssopstair_platform::client::StoredValue;
use hyssopstair_platform::record::ChangeId;
use hyssopstair_platform::record::ConfigurationRecord;
use hyssopstair_rules::edit::diff_lines;
use hyssopstair_wire::time::MonotonicTime;

/// Time after which an operator gives up on a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(8);

/// The text of the first configuration.
const FIRST_TEXT: &str = "\
zone utr-a id 1  # A. Visser
service leerplein id 1 address 127.1.0.10:4433  # A. Visser
service diplomakluis id 2 address 127.1.0.11:4433  # A. Visser
deadline leerplein 5000  # A. Visser
deadline diplomakluis 5000  # A. Visser
drain 127.1.2.1:7000  # A. Visser
drain 127.1.2.2:7000  # A. Visser
drain 127.1.2.3:7000  # A. Visser
";

/// The way in which a call succeeds or fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The store executes the call and answers it.
    Answered,
    /// The request is lost.
    RequestLost,
    /// The store executes the call, and the response is lost.
    ResponseLost,
    /// The store executes the call later and does not answer it.
    Delayed,
    /// The store executes the call, the response is lost, and the client sends the
    /// request again.
    Retried,
}

/// A change by an operator, possibly based on an outdated text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EditKind {
    /// Adds a line at the end.
    AddLine,
    /// Replaces a line that other operators replace too.
    ReplaceLine,
    /// Removes a line if it is a drain rule.
    RemoveLine,
    /// Adds a drain rule with the drain command.
    Drain,
    /// Removes a drain rule with the undrain command.
    Undrain,
}

/// A write request.
#[derive(Debug, Clone)]
struct StoreWrite {
    expected: Option<StoredValue>,
    record: ConfigurationRecord,
}

/// The store and all records that were ever written to it.
#[derive(Debug)]
pub struct FakeStore {
    /// The records, the current one last.
    pub records: Vec<ConfigurationRecord>,
    /// The records that were lost when the store came back from a copy.
    pub lost_records: Vec<ConfigurationRecord>,
    /// The era of the store.
    pub era: u64,
}

impl FakeStore {
    fn current_record(&self) -> StoredRecord {
        StoredRecord {
            record: self
                .records
                .last()
                .cloned()
                .unwrap_or_else(ConfigurationRecord::empty),
            stored: self.current_value(),
            era: self.era,
        }
    }

    /// Returns the value of the configuration's key.
    fn current_value(&self) -> Option<StoredValue> {
        let record = self.records.last()?;
        Some(StoredValue {
            value: record.encode().expect("records can be encoded"),
            revision: self.records.len() as u64,
        })
    }

    fn write(&mut self, write: &StoreWrite) -> bool {
        let is_current = write.expected == self.current_value();
        if is_current {
            self.records.push(write.record.clone());
        }
        is_current
    }

    /// Brings the store back from a copy without the last `count` records, whose revisions
    /// are given out again. The first record stays.
    fn restore(&mut self, count: usize) {
        let kept_count = self.records.len().saturating_sub(count).max(1);
        self.lost_records.extend(self.records.drain(kept_count..));
        self.era += 1;
    }

    /// Returns whether a change was written as this version and then lost.
    pub fn has_lost(&self, id: ChangeId, version: u64) -> bool {
        self.lost_records.iter().any(|record| {
            record.version == version && record.changes.last().is_some_and(|last| last.id == id)
        })
    }

    /// Returns the number of times that a change was written.
    pub fn count_writes(&self, id: ChangeId) -> usize {
        let is_of_change = |record: &&ConfigurationRecord| {
            record.changes.last().is_some_and(|change| change.id == id)
        };
        self.records.iter().filter(is_of_change).count()
    }

    /// Returns the version that a change created.
    pub fn find_version_created_by(&self, id: ChangeId) -> Option<u64> {
        let is_of_change = |record: &&ConfigurationRecord| {
            record.changes.last().is_some_and(|change| change.id == id)
        };
        self.records
            .iter()
            .find(is_of_change)
            .map(|record| record.version)
    }
}

/// A change that has not ended.
#[derive(Debug)]
struct RunningChange {
    id: ChangeId,
    state: ChangeState,
    step: ChangeStep,
    /// The era in which it last read the configuration.
    last_read_era: u64,
}

/// The operators and their store.
#[derive(Debug)]
pub struct OperatorSimulation {
    /// The store.
    pub store: FakeStore,
    /// The changes that were requested.
    pub intents: Vec<(ChangeId, ChangeIntent)>,
    /// The outcomes of the changes that ended, with the era in which each last read the
    /// configuration.
    pub outcomes: Vec<(ChangeId, ChangeOutcome, u64)>,
    /// The change that each operator has running.
    running_changes: Vec<Option<RunningChange>>,
    delayed_writes: Vec<StoreWrite>,
    now: MonotonicTime,
}

impl OperatorSimulation {
    /// Creates `count` operators and a store with a first configuration.
    pub fn new(count: usize) -> Self {
        let first_record =
            ConfigurationRecord::empty().with_change(ChangeId(0), 1, FIRST_TEXT.to_owned());
        Self {
            store: FakeStore {
                records: vec![first_record],
                lost_records: Vec::new(),
                era: 1,
            },
            intents: Vec::new(),
            outcomes: Vec::new(),
            running_changes: (0..count).map(|_| None).collect(),
            delayed_writes: Vec::new(),
            now: MonotonicTime::default(),
        }
    }

    /// Starts a change by an operator, unless the operator has one running. It edits the
    /// text that was current `age` versions ago.
    pub fn start(&mut self, operator: usize, kind: EditKind, age: usize) {
        if self.running_changes[operator].is_some() {
            return;
        }
        let number = self.intents.len() + 1;
        let id = ChangeId(number as u128);
        let index = (self.store.records.len() - 1).saturating_sub(age);
        let intent = build_intent(kind, number, &self.store.records[index].text);
        self.intents.push((id, intent.clone()));
        let state = ChangeState::new(id, intent, 0, self.now + CHANGE_TIMEOUT);
        let step = state.first_step();
        self.running_changes[operator] = Some(RunningChange {
            id,
            state,
            step,
            last_read_era: 0,
        });
    }

    /// Executes the next step of the change of an operator.
    pub fn call(&mut self, operator: usize, call_outcome: CallOutcome) {
        let Some(mut change) = self.running_changes[operator].take() else {
            return;
        };
        let event = match &change.step {
            ChangeStep::Read { delay } => {
                self.now = self.now + *delay;
                self.read(call_outcome)
            }
            ChangeStep::Write { expected, record } => {
                let store_write = StoreWrite {
                    expected: expected.clone(),
                    record: record.clone(),
                };
                self.write(store_write, call_outcome)
            }
            ChangeStep::ReadFleet { .. } => ChangeEvent::FleetRead(None),
            ChangeStep::Done(_) => return,
        };
        if matches!(event, ChangeEvent::Read(_)) {
            change.last_read_era = self.store.era;
        }
        change.step = change.state.handle_event(event, self.now);
        if let ChangeStep::Done(outcome) = change.step {
            self.outcomes
                .push((change.id, outcome, change.last_read_era));
            return;
        }
        self.running_changes[operator] = Some(change);
    }

    fn read(&self, call_outcome: CallOutcome) -> ChangeEvent {
        match call_outcome {
            CallOutcome::Answered | CallOutcome::Retried => {
                ChangeEvent::Read(self.store.current_record())
            }
            CallOutcome::RequestLost | CallOutcome::ResponseLost | CallOutcome::Delayed => {
                ChangeEvent::ReadFailed
            }
        }
    }

    fn write(&mut self, write: StoreWrite, call_outcome: CallOutcome) -> ChangeEvent {
        match call_outcome {
            CallOutcome::RequestLost => return ChangeEvent::WriteResultUnknown,
            CallOutcome::Delayed => {
                self.delayed_writes.push(write);
                return ChangeEvent::WriteResultUnknown;
            }
            CallOutcome::ResponseLost => {
                self.store.write(&write);
                return ChangeEvent::WriteResultUnknown;
            }
            CallOutcome::Retried => {
                self.store.write(&write);
            }
            CallOutcome::Answered => {}
        }
        match self.store.write(&write) {
            true => ChangeEvent::Written,
            false => ChangeEvent::WriteRejected,
        }
    }

    /// Executes a delayed write. `pick` selects one of them.
    pub fn execute_delayed(&mut self, pick: usize) {
        if self.delayed_writes.is_empty() {
            return;
        }
        let write = self.delayed_writes.remove(pick % self.delayed_writes.len());
        self.store.write(&write);
    }

    /// Brings the store back from a copy without the last `count` records.
    pub fn restore(&mut self, count: usize) {
        self.store.restore(count);
    }

    /// Returns whether a delayed write is pending.
    pub fn has_delayed(&self) -> bool {
        !self.delayed_writes.is_empty()
    }

    /// Advances the clock.
    pub fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
    }

    /// Checks that two consecutive records differ only by the lines that the change of
    /// the second one adds and removes.
    pub fn check_edit(&self, before: &ConfigurationRecord, after: &ConfigurationRecord) {
        let id = after
            .changes
            .last()
            .expect("each record lists its change")
            .id;
        let (_, intent) = self
            .intents
            .iter()
            .find(|(other, _)| *other == id)
            .expect("each listed change was requested");
        let (removed, added) = changed_lines(intent, &before.text);
        for line in before.text.lines() {
            let is_kept = after.text.lines().any(|other| other == line);
            assert!(
                is_kept || removed.iter().any(|other| other == line),
                "unexpectedly removed line: {line}"
            );
        }
        for line in after.text.lines() {
            let is_old = before.text.lines().any(|other| other == line);
            assert!(
                is_old || added.iter().any(|other| other == line),
                "unexpectedly added line: {line}"
            );
        }
        for line in &added {
            assert!(
                after.text.lines().any(|other| other == line),
                "missing added line: {line}"
            );
        }
    }
}

fn build_intent(kind: EditKind, number: usize, base: &str) -> ChangeIntent {
    let edited = |text: String| ChangeIntent::Text {
        base: base.to_owned(),
        text,
    };
    let host = |host_count: usize| format!("127.1.2.{}:7000", 1 + number % host_count);
    match kind {
        EditKind::AddLine => edited(format!("{base}idempotent leerplein GET /{number}  # K\n")),
        EditKind::ReplaceLine => edited(replace_deadline(base, number)),
        EditKind::RemoveLine => {
            let removed_index = number % base.lines().count().max(1);
            let lines = base.lines().enumerate();
            let kept_lines =
                lines.filter(|(index, line)| *index != removed_index || !line.starts_with("drain"));
            edited(kept_lines.flat_map(|(_, line)| [line, "\n"]).collect())
        }
        EditKind::Drain => ChangeIntent::Drain {
            host: host(9).parse().expect("address"),
            asked_by: format!("K. {number}"),
        },
        EditKind::Undrain => ChangeIntent::Undrain {
            host: host(9).parse().expect("address"),
        },
    }
}

fn replace_deadline(base: &str, number: usize) -> String {
    let rule_prefix = ["deadline leerplein", "deadline diplomakluis"][number % 2];
    let replace = |line: &str| match line.starts_with(rule_prefix) {
        true => format!("{rule_prefix} {}  # K\n", 1_000 + number),
        false => format!("{line}\n"),
    };
    base.lines().map(replace).collect()
}

/// Returns the lines that a change may remove and those that it must add.
fn changed_lines(intent: &ChangeIntent, before: &str) -> (Vec<String>, Vec<String>) {
    match intent {
        ChangeIntent::Text { base, text } => {
            let base_lines: Vec<&str> = base.lines().collect();
            let edits = diff_lines(base, text);
            let removed = edits.iter().flat_map(|edit| {
                base_lines[edit.start..edit.start + edit.removed]
                    .iter()
                    .map(|line| (*line).to_owned())
            });
            let added = edits.iter().flat_map(|edit| edit.added.clone());
            (removed.collect(), added.collect())
        }
        ChangeIntent::Drain { host, asked_by } => {
            (Vec::new(), vec![format!("drain {host}  # {asked_by}")])
        }
        ChangeIntent::Undrain { host } => {
            let prefix = format!("drain {host} ");
            let lines = before.lines().filter(|line| line.starts_with(&prefix));
            (lines.map(str::to_owned).collect(), Vec::new())
        }
    }
}
