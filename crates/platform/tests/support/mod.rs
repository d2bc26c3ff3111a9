//! A store in memory and operators who change it, step by step.

use std::time::Duration;

use hyssopstair_platform::change::ChangeEvent;
use hyssopstair_platform::change::ChangeIntent;
use hyssopstair_platform::change::ChangeOutcome;
use hyssopstair_platform::change::ChangeState;
use hyssopstair_platform::change::ChangeStep;
use hyssopstair_platform::change::StoredRecord;
use hyssopstair_platform::record::ChangeId;
use hyssopstair_platform::record::ConfigurationRecord;
use hyssopstair_rules::edit::diff_lines;
use hyssopstair_wire::time::MonotonicTime;

/// Time that an operator gives a change.
const PATIENCE: Duration = Duration::from_secs(8);

/// Lines that the first configuration has.
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

/// What happens to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFate {
    /// It is carried out and answered.
    Answered,
    /// It never arrives.
    LostBefore,
    /// It is carried out; the answer is lost.
    LostAfter,
    /// It is carried out later; there is no answer.
    Late,
    /// It is carried out, the answer is lost, and it is sent once more.
    TriedTwice,
}

/// What an operator does to the text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EditKind {
    /// Adds a line at the end of a text that may be old.
    AddLine,
    /// Replaces a line that the others replace too.
    ReplaceLine,
    /// Removes a line.
    RemoveLine,
    /// Drains a host, by command.
    Drain,
    /// Ends the drain of a host, by command.
    Undrain,
}

/// A write on its way.
#[derive(Debug, Clone)]
struct StoreWrite {
    revision: u64,
    record: ConfigurationRecord,
}

/// The store, and all records that it ever took.
#[derive(Debug)]
pub struct FakeStore {
    /// The records, the present one last.
    pub log: Vec<ConfigurationRecord>,
}

impl FakeStore {
    fn found(&self) -> StoredRecord {
        StoredRecord {
            record: self
                .log
                .last()
                .cloned()
                .unwrap_or_else(ConfigurationRecord::empty),
            revision: self.log.len() as u64,
        }
    }

    fn write(&mut self, write: &StoreWrite) -> bool {
        let holds = write.revision == self.log.len() as u64;
        if holds {
            self.log.push(write.record.clone());
        }
        holds
    }

    /// Returns how often a change took effect.
    pub fn times_applied(&self, id: ChangeId) -> usize {
        let last_is_own = |record: &&ConfigurationRecord| {
            record.changes.last().is_some_and(|change| change.id == id)
        };
        self.log.iter().filter(last_is_own).count()
    }

    /// Returns the version that a change made.
    pub fn version_made_by(&self, id: ChangeId) -> Option<u64> {
        let own = |record: &&ConfigurationRecord| {
            record.changes.last().is_some_and(|change| change.id == id)
        };
        self.log.iter().find(own).map(|record| record.version)
    }
}

#[derive(Debug)]
struct RunningChange {
    id: ChangeId,
    state: ChangeState,
    step: ChangeStep,
}

/// The operators and their store.
#[derive(Debug)]
pub struct OperatorFleet {
    /// The store.
    pub store: FakeStore,
    /// What each change is to do.
    pub intents: Vec<(ChangeId, ChangeIntent)>,
    /// What came of the changes that ended.
    pub outcomes: Vec<(ChangeId, ChangeOutcome)>,
    running: Vec<Option<RunningChange>>,
    late: Vec<StoreWrite>,
    now: MonotonicTime,
}

impl OperatorFleet {
    /// Creates `count` operators and a store with a first configuration.
    pub fn new(count: usize) -> Self {
        let first = ConfigurationRecord::empty().with_change(ChangeId(0), 1, FIRST_TEXT.to_owned());
        Self {
            store: FakeStore { log: vec![first] },
            intents: Vec::new(),
            outcomes: Vec::new(),
            running: (0..count).map(|_| None).collect(),
            late: Vec::new(),
            now: MonotonicTime::default(),
        }
    }

    /// Lets an operator who has nothing to do start a change, edited from the
    /// text `age` versions ago.
    pub fn start(&mut self, operator: usize, kind: EditKind, age: usize) {
        if self.running[operator].is_some() {
            return;
        }
        let number = self.intents.len() + 1;
        let id = ChangeId(number as u128);
        let position = (self.store.log.len() - 1).saturating_sub(age);
        let intent = intent(kind, number, &self.store.log[position].text);
        self.intents.push((id, intent.clone()));
        let state = ChangeState::new(id, intent, 0, self.now + PATIENCE);
        let step = state.first_step();
        self.running[operator] = Some(RunningChange { id, state, step });
    }

    /// Lets an operator make the call that is next.
    pub fn call(&mut self, operator: usize, fate: CallFate) {
        let Some(mut change) = self.running[operator].take() else {
            return;
        };
        let event = match &change.step {
            ChangeStep::Read { delay } => {
                self.now = self.now + *delay;
                self.read(fate)
            }
            ChangeStep::Write { revision, record } => {
                let write = StoreWrite {
                    revision: *revision,
                    record: record.clone(),
                };
                self.write(write, fate)
            }
            ChangeStep::Done(_) => return,
        };
        change.step = change.state.handle_event(event, self.now);
        if let ChangeStep::Done(outcome) = change.step {
            self.outcomes.push((change.id, outcome));
            return;
        }
        self.running[operator] = Some(change);
    }

    fn read(&self, fate: CallFate) -> ChangeEvent {
        match fate {
            CallFate::Answered | CallFate::TriedTwice => ChangeEvent::Read(self.store.found()),
            CallFate::LostBefore | CallFate::LostAfter | CallFate::Late => ChangeEvent::ReadFailed,
        }
    }

    fn write(&mut self, write: StoreWrite, fate: CallFate) -> ChangeEvent {
        match fate {
            CallFate::LostBefore => return ChangeEvent::WriteResultUnknown,
            CallFate::Late => {
                self.late.push(write);
                return ChangeEvent::WriteResultUnknown;
            }
            CallFate::LostAfter => {
                self.store.write(&write);
                return ChangeEvent::WriteResultUnknown;
            }
            CallFate::TriedTwice => {
                self.store.write(&write);
            }
            CallFate::Answered => {}
        }
        match self.store.write(&write) {
            true => ChangeEvent::Written,
            false => ChangeEvent::WriteRejected,
        }
    }

    /// Carries out a write that was under way.
    pub fn deliver_late(&mut self, pick: usize) {
        if self.late.is_empty() {
            return;
        }
        let write = self.late.remove(pick % self.late.len());
        self.store.write(&write);
    }

    /// Returns whether a write is under way.
    pub fn has_late(&self) -> bool {
        !self.late.is_empty()
    }

    /// Lets time pass.
    pub fn wait(&mut self, time: Duration) {
        self.now = self.now + time;
    }

    /// Checks that a record differs from the one before only by what its change
    /// is to do.
    pub fn check_edit(&self, before: &ConfigurationRecord, after: &ConfigurationRecord) {
        let id = after
            .changes
            .last()
            .expect("each record names its change")
            .id;
        let (_, intent) = self
            .intents
            .iter()
            .find(|(other, _)| *other == id)
            .expect("each change was asked for");
        let (removed, added) = wanted_lines(intent, &before.text);
        for line in before.text.lines() {
            let kept = after.text.lines().any(|other| other == line);
            assert!(
                kept || removed.iter().any(|other| other == line),
                "lost: {line}"
            );
        }
        for line in after.text.lines() {
            let known = before.text.lines().any(|other| other == line);
            assert!(
                known || added.iter().any(|other| other == line),
                "came up: {line}"
            );
        }
        for line in &added {
            assert!(
                after.text.lines().any(|other| other == line),
                "not done: {line}"
            );
        }
    }
}

fn intent(kind: EditKind, number: usize, base: &str) -> ChangeIntent {
    let edited = |text: String| ChangeIntent::Text {
        base: base.to_owned(),
        text,
    };
    let host = |count: usize| format!("127.1.2.{}:7000", 1 + number % count);
    match kind {
        EditKind::AddLine => edited(format!("{base}idempotent leerplein GET /{number}  # K\n")),
        EditKind::ReplaceLine => edited(replace_deadline(base, number)),
        EditKind::RemoveLine => {
            let victim = number % base.lines().count().max(1);
            let lines = base.lines().enumerate();
            let kept = lines.filter(|(index, line)| *index != victim || !line.starts_with("drain"));
            edited(kept.flat_map(|(_, line)| [line, "\n"]).collect())
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
    let service = ["deadline leerplein", "deadline diplomakluis"][number % 2];
    let replace = |line: &str| match line.starts_with(service) {
        true => format!("{service} {}  # K\n", 1_000 + number),
        false => format!("{line}\n"),
    };
    base.lines().map(replace).collect()
}

/// Returns the lines that a change may remove and those that it must add.
fn wanted_lines(intent: &ChangeIntent, before: &str) -> (Vec<String>, Vec<String>) {
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
            let word = format!("drain {host} ");
            let lines = before.lines().filter(|line| line.starts_with(&word));
            (lines.map(str::to_owned).collect(), Vec::new())
        }
    }
}
