//! The form of the logs.

use expect_test::expect;
use hyssopstair_telemetry::logs::LogFormat;

#[test]
fn an_unknown_format_is_refused_with_the_known_ones() {
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
                "unknown log format \"yaml\" in HYSSOPSTAIR_LOG_FORMAT; logfmt and json are known",
            ),
        ]
    "#]]
    .assert_debug_eq(&results);
}
