//! Repeated warnings.

use expect_test::expect;
use hyssopstair_telemetry::limiter::RepeatLimiter;
use hyssopstair_wire::time::MonotonicTime;

#[test]
fn a_repeated_warning_is_reported_first_and_then_with_a_count() {
    let mut limiter = RepeatLimiter::default();
    let reports: Vec<(u64, Option<u64>)> = [0, 1, 2, 29, 30, 31, 61]
        .into_iter()
        .map(|second| {
            (
                second,
                limiter.warn(MonotonicTime::from_millis(second * 1_000)),
            )
        })
        .filter(|(_, report)| report.is_some())
        .collect();
    expect!["[(0, Some(0)), (30, Some(3)), (61, Some(1))]"].assert_eq(&format!("{reports:?}"));
}

#[test]
fn a_warning_after_a_recovery_is_a_first_one() {
    let mut limiter = RepeatLimiter::default();
    let at = MonotonicTime::from_millis;
    let results = (
        limiter.recover(),
        limiter.warn(at(0)),
        limiter.warn(at(10)),
        limiter.recover(),
        limiter.warn(at(20)),
    );
    expect!["(None, Some(0), None, Some(1), Some(0))"].assert_eq(&format!("{results:?}"));
}
