//! Tests of the stored configuration record.

use expect_test::expect;
use hyssopstair_platform::record::ChangeId;
use hyssopstair_platform::record::ConfigurationRecord;
use hyssopstair_platform::record::MAX_RECORDED_CHANGES;

#[test]
fn a_decoded_record_equals_the_encoded_one() {
    let record = ConfigurationRecord::empty().with_change(ChangeId(7), 3, "drain\n".repeat(999));
    let bytes = record.encode().expect("encoded record");
    assert_eq!(ConfigurationRecord::decode(&bytes).ok(), Some(record));
    expect!["39"].assert_eq(&bytes.len().to_string());
}

#[test]
fn invalid_records_are_rejected() {
    let encoded = ConfigurationRecord::empty()
        .with_change(ChangeId(7), 3, "drain\n".to_owned())
        .encode()
        .expect("encoded record");
    for length in 0..encoded.len() {
        assert!(
            ConfigurationRecord::decode(&encoded[..length]).is_err(),
            "{length}"
        );
    }
    let errors = [&b"{\"version\":1}"[..], &[1, 0, 2, 255, 255]]
        .map(|bytes| ConfigurationRecord::decode(bytes).map_err(|error| error.to_string()));
    expect![[r#"
        [
            Err(
                "failed to decode the configuration record",
            ),
            Err(
                "failed to decompress the text of the configuration record",
            ),
        ]
    "#]]
    .assert_debug_eq(&errors);
}

#[test]
fn a_change_is_listed_until_many_others_have_followed() {
    let mut record = ConfigurationRecord::empty().with_change(ChangeId(1), 1, String::new());
    for number in 2..=MAX_RECORDED_CHANGES as u64 {
        record = record.with_change(ChangeId(number.into()), number, String::new());
    }
    assert_eq!(record.find_change_version(ChangeId(1)), Some(1));
    assert!(record.covers_version(1));
    record = record.with_change(ChangeId(900), 65, String::new());
    assert_eq!(record.find_change_version(ChangeId(1)), None);
    assert!(!record.covers_version(1));
    assert!(record.covers_version(2));
}
