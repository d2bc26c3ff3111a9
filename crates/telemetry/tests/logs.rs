//! Tests of the log format.

use expect_test::expect;
use hyssopstair_telemetry::logs::LogFormat;

#[test]
fn unknown_format_is_rejected_with_the_supported_formats() {
    let results = ["logfmt", "json", "yaml"].map(LogFormat::parse);
    expect![[r#"
        [
            Ok(
                Logfmt,
            ),
            Ok(
                Json,
            ),
            Err(
                "unknown log format \"yaml\" in HYSSOPSTAIR_LOG_FORMAT, expected logfmt or json",
            ),
        ]
    "#]]
    .assert_debug_eq(&results);
}
