//! Changes while the platform holds an older configuration than the daemons.

use std::time::Duration;

use expect_test::expect;
use hyssopstair_platform::change::ChangeEvent;
use hyssopstair_platform::change::ChangeIntent;
use hyssopstair_platform::change::ChangeState;
use hyssopstair_platform::change::ChangeStep;
use hyssopstair_platform::change::StoredRecord;
use hyssopstair_platform::client::StoredValue;
use hyssopstair_platform::record::ChangeId;
use hyssopstair_platform::record::ConfigurationRecord;
use hyssopstair_wire::time::MonotonicTime;

const RULES: &str = "\
zone utr-a id 1  # A. Visser
service leerplein id 1 address 127.1.0.10:4433  # A. Visser
deadline leerplein 5000  # A. Visser
";

const LOST_LINE: &str = "key 2  # A. Visser\n";

/// Returns what a platform holds whose configuration has this version.
fn stored_record(version: u64, revision: u64, era: u64) -> StoredRecord {
    let record = ConfigurationRecord::empty().with_change(ChangeId(1), version, RULES.to_owned());
    let value = record.encode().expect("the record can be encoded");
    StoredRecord {
        record,
        stored: Some(StoredValue { value, revision }),
        era,
    }
}

/// Returns a change that drains a host while daemons have version 12 in force.
fn drain_change() -> ChangeState {
    let intent = ChangeIntent::Drain {
        host: "127.1.2.1:7000".parse().expect("an address"),
        asked_by: "A. Visser".to_owned(),
    };
    let deadline = MonotonicTime::default() + Duration::from_secs(8);
    ChangeState::new(ChangeId(2), intent, 12, deadline)
}

fn describe_step(step: &ChangeStep) -> String {
    match step {
        ChangeStep::Write { record, .. } => {
            format!("write version {}:\n{}", record.version, record.text)
        }
        other => format!("{other:?}"),
    }
}

#[test]
fn a_change_is_merged_into_the_rules_of_the_daemons_if_the_platform_has_lost_them() {
    let mut change = drain_change();
    let now = MonotonicTime::default();
    let read = ChangeEvent::Read(stored_record(10, 40, 2));
    let mut steps = vec![describe_step(&change.handle_event(read, now))];
    let fleet_rules = Some(format!("{RULES}{LOST_LINE}"));
    let step = change.handle_event(ChangeEvent::FleetRead(fleet_rules), now);
    steps.push(describe_step(&step));
    expect![[r#"
        ReadFleet { version: 12 }
        write version 13:
        zone utr-a id 1  # A. Visser
        service leerplein id 1 address 127.1.0.10:4433  # A. Visser
        deadline leerplein 5000  # A. Visser
        key 2  # A. Visser
        drain 127.1.2.1:7000  # A. Visser
    "#]]
    .assert_eq(&steps.join("\n"));
}

#[test]
fn nothing_is_written_if_the_rules_of_the_daemons_are_not_known() {
    let mut change = drain_change();
    let now = MonotonicTime::default();
    change.handle_event(ChangeEvent::Read(stored_record(10, 40, 2)), now);
    let step = change.handle_event(ChangeEvent::FleetRead(None), now);
    expect!["Done(PlatformBehind { stored_version: 10, fleet_version: 12 })"]
        .assert_eq(&describe_step(&step));
}

#[test]
fn a_lower_revision_is_stale_in_the_same_era_and_new_in_a_later_one() {
    let mut change = drain_change();
    let now = MonotonicTime::default();
    let read = |version, revision, era| ChangeEvent::Read(stored_record(version, revision, era));
    change.handle_event(read(12, 50, 2), now);
    change.handle_event(ChangeEvent::WriteResultUnknown, now);
    let same_era = change.handle_event(read(12, 40, 2), now);
    let next_era = change.handle_event(read(13, 40, 3), now);
    let steps = [describe_step(&same_era), describe_step(&next_era)];
    expect![[r#"
        Read { delay: 200ms }
        write version 14:
        zone utr-a id 1  # A. Visser
        service leerplein id 1 address 127.1.0.10:4433  # A. Visser
        deadline leerplein 5000  # A. Visser
        drain 127.1.2.1:7000  # A. Visser
    "#]]
    .assert_eq(&steps.join("\n"));
}
