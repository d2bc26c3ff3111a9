//! Tests of the rate limit of repeated warnings.

use expect_test::expect;
use hyssopstair_telemetry::limiter::SharedLimiter;
use hyssopstair_telemetry::limiter::WarningLimiter;
use hyssopstair_wire::time::MonotonicTime;

#[test]
fn repeated_warning_is_reported_at_once_and_then_with_a_count() {
    let mut limiter = WarningLimiter::default();
    let reports: Vec<(u64, Option<u64>)> = [0, 1, 2, 29, 30, 31, 61]
        .into_iter()
        .map(|second| {
            (
                second,
                limiter.record_warning(MonotonicTime::from_millis(second * 1_000)),
            )
        })
        .filter(|(_, report)| report.is_some())
        .collect();
    expect!["[(0, Some(0)), (30, Some(3)), (61, Some(1))]"].assert_eq(&format!("{reports:?}"));
}

#[test]
fn warning_after_a_recovery_is_reported_at_once() {
    let mut limiter = WarningLimiter::default();
    let time_at = MonotonicTime::from_millis;
    let results = (
        limiter.record_recovery(),
        limiter.record_warning(time_at(0)),
        limiter.record_warning(time_at(10)),
        limiter.record_recovery(),
        limiter.record_warning(time_at(20)),
    );
    expect!["(None, Some(0), None, Some(1), Some(0))"].assert_eq(&format!("{results:?}"));
}

#[test]
fn shared_limiter_limits_all_its_users_together() {
    static LIMITER: SharedLimiter = SharedLimiter::new();
    let reports =
        [0, 1, 30].map(|second| LIMITER.record_warning(MonotonicTime::from_millis(second * 1_000)));
    expect!["[Some(0), None, Some(1)]"].assert_eq(&format!("{reports:?}"));
}
