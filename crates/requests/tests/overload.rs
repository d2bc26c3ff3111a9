//! Load curves of the admission control at the capacity and at three times the
//! capacity.

use std::time::Duration;

use expect_test::expect;

use crate::curve::run_curve;
use crate::curve::setting::CurveSetting;
use crate::curve::setting::PolicyStep;
use crate::curve::tally::CurveTally;
use crate::curve::tally::percentile;

mod curve;

/// Seed of the arrivals and service times.
const SEED: u64 = 20_261_203;

/// Minimum goodput at three times the capacity, as a fraction of the goodput at the
/// capacity.
const MIN_GOODPUT_RATIO: f64 = 0.95;

/// Maximum 99th percentile of the duration of a decision that refuses a request.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(5);

/// Number of slots per host in the two deployments.
const SLOTS: [u32; 2] = [3, 2];

fn setting(slots: u32, deadline: Duration, callers_retry: bool) -> CurveSetting {
    CurveSetting {
        slots,
        deadline,
        rate: 1.0,
        callers_retry,
        step: PolicyStep::Pause,
        seed: SEED,
    }
}

/// Runs a point of the curve at the capacity and at three times the capacity.
fn run_rates(setting: &CurveSetting) -> [CurveTally; 2] {
    [1.0, 3.0].map(|rate| run_curve(&CurveSetting { rate, ..*setting }))
}

fn assert_refusals_fast(tally: &CurveTally) {
    assert!(tally.refusal_times.len() > 100);
    assert!(percentile(&tally.refusal_times, 99) <= MAX_REFUSAL_TIME);
}

/// Asserts the targets and appends one line for each of the two rates.
fn assert_targets(setting: &CurveSetting, lines: &mut String) {
    let [at_capacity, overloaded] = run_rates(setting);
    for tally in [&at_capacity, &overloaded] {
        lines.push_str(&tally.row());
        lines.push('\n');
        assert_eq!(tally.late(), 0, "{setting:?}: {}", tally.row());
        assert_eq!(tally.false_not_run, 0, "{setting:?}");
        assert_refusals_fast(tally);
    }
    let goodput_ratio = overloaded.goodput() / at_capacity.goodput();
    assert!(
        goodput_ratio >= MIN_GOODPUT_RATIO,
        "{setting:?}: {goodput_ratio}"
    );
}

#[test]
fn goodput_holds_at_three_times_the_capacity() {
    let mut lines = String::new();
    for slots in SLOTS {
        for deadline in [1, 5].map(Duration::from_secs) {
            for callers_retry in [false, true] {
                assert_targets(&setting(slots, deadline, callers_retry), &mut lines);
            }
        }
    }
    expect![[r#"
        881.9 | 0.212 | 23.4 | 108.1 | 0 | 53 | 1.25 | 0.12 | 23.43
        1302.9 | 0.677 | 29.4 | 108.2 | 0 | 56 | 1.03 | 0.06 | 22.80
        941.8 | 0.154 | 26.4 | 327.3 | 0 | 54 | 1.18 | 0.09 | 23.22
        1370.4 | 0.675 | 39.2 | 316.6 | 0 | 56 | 1.04 | 0.06 | 22.80
        881.9 | 0.212 | 23.4 | 108.1 | 0 | 53 | 1.25 | 0.12 | 23.43
        1302.9 | 0.677 | 29.4 | 108.2 | 0 | 56 | 1.03 | 0.06 | 22.80
        945.6 | 0.151 | 26.5 | 338.1 | 0 | 54 | 1.17 | 0.09 | 23.21
        1371.7 | 0.675 | 39.0 | 330.3 | 0 | 56 | 1.04 | 0.06 | 22.79
        585.1 | 0.218 | 25.0 | 125.6 | 0 | 52 | 1.26 | 0.12 | 23.44
        874.2 | 0.676 | 34.6 | 124.7 | 0 | 55 | 1.03 | 0.06 | 22.77
        628.3 | 0.153 | 30.9 | 425.3 | 0 | 51 | 1.19 | 0.10 | 23.22
        917.2 | 0.674 | 42.5 | 432.2 | 0 | 55 | 1.04 | 0.06 | 22.77
        585.1 | 0.218 | 25.0 | 125.6 | 0 | 52 | 1.26 | 0.12 | 23.44
        874.2 | 0.676 | 34.6 | 124.7 | 0 | 55 | 1.03 | 0.06 | 22.77
        631.0 | 0.151 | 31.1 | 456.5 | 0 | 52 | 1.18 | 0.09 | 23.22
        919.0 | 0.673 | 43.0 | 460.2 | 0 | 54 | 1.04 | 0.06 | 22.76
    "#]]
    .assert_eq(&lines);
}

/// With a deadline of a few service times, some requests are late: before its first
/// request completes, a host cannot know that its backend server is cold.
#[test]
fn short_deadlines_are_missed_by_few() {
    let mut lines = String::new();
    for slots in SLOTS {
        for tally in run_rates(&setting(slots, Duration::from_millis(100), false)) {
            assert_eq!(tally.false_not_run, 0);
            assert_refusals_fast(&tally);
            lines.push_str(&tally.row());
            lines.push('\n');
        }
    }
    expect![[r#"
        851.2 | 0.227 | 23.3 | 72.4 | 9 | 53 | 1.15 | 0.10 | 22.62
        1260.4 | 0.679 | 29.4 | 72.0 | 7 | 56 | 1.04 | 0.07 | 22.25
        560.9 | 0.236 | 24.8 | 71.2 | 8 | 51 | 1.10 | 0.09 | 22.50
        840.7 | 0.680 | 34.5 | 69.7 | 9 | 55 | 1.05 | 0.07 | 22.13
    "#]]
    .assert_eq(&lines);
}

#[test]
fn policy_steps_at_three_times_the_capacity() {
    let mut lines = String::new();
    for step in PolicyStep::ALL {
        let point = CurveSetting {
            rate: 3.0,
            step,
            ..setting(3, Duration::from_secs(1), false)
        };
        let tally = run_curve(&point);
        lines.push_str(&format!("{step:?} | {}\n", tally.row()));
    }
    expect![[r#"
        Slots | 930.5 | 0.716 | 20.3 | 70.9 | 0 | 2706 | 1.12 | 0.08 | 23.06
        Queue | 1310.8 | 0.675 | 29.5 | 106.4 | 0 | 2728 | 1.04 | 0.06 | 22.79
        Deadline | 1310.8 | 0.675 | 29.5 | 106.4 | 0 | 2728 | 1.04 | 0.06 | 22.79
        Relay | 1311.0 | 0.674 | 29.5 | 107.0 | 0 | 2790 | 1.04 | 0.06 | 22.78
        Budget | 1311.3 | 0.675 | 29.4 | 106.4 | 0 | 2767 | 1.04 | 0.06 | 22.79
        Ramp | 1309.5 | 0.675 | 29.5 | 106.4 | 0 | 2763 | 1.04 | 0.06 | 22.78
        Pause | 1302.9 | 0.677 | 29.4 | 108.2 | 0 | 56 | 1.03 | 0.06 | 22.80
    "#]]
    .assert_eq(&lines);
}
