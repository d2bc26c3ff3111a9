//! Load curves of the decision code at the capacity and at three times it.

use std::time::Duration;

use expect_test::expect;

use crate::curve::run_curve;
use crate::curve::setting::CurveSetting;
use crate::curve::setting::PolicyStep;
use crate::curve::tally::CurveTally;
use crate::curve::tally::percentile;

mod curve;

/// Seed of arrivals and work.
const SEED: u64 = 20_261_203;

/// Least goodput at three times the capacity, as a share of that at one.
const MIN_GOODPUT_SHARE: f64 = 0.95;

/// Longest time of a decision that refuses, at the 99th percentile.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(5);

/// Slots of one host in the two deployments.
const SLOTS: [u32; 2] = [3, 2];

fn setting(slots: u32, deadline: Duration, comes_back: bool) -> CurveSetting {
    CurveSetting {
        slots,
        deadline,
        rate: 1.0,
        comes_back,
        step: PolicyStep::Pause,
        seed: SEED,
    }
}

/// Runs a curve at once and at three times the capacity.
fn run_both(setting: &CurveSetting) -> [CurveTally; 2] {
    [1.0, 3.0].map(|rate| run_curve(&CurveSetting { rate, ..*setting }))
}

fn assert_refusals_fast(tally: &CurveTally) {
    assert!(tally.refusal_times.len() > 100);
    assert!(percentile(&tally.refusal_times, 99) <= MAX_REFUSAL_TIME);
}

/// Asserts the targets and adds a line for each of the two rates.
fn check_targets(setting: &CurveSetting, lines: &mut String) {
    let [once, thrice] = run_both(setting);
    for tally in [&once, &thrice] {
        lines.push_str(&tally.row());
        lines.push('\n');
        assert_eq!(tally.late(), 0, "{setting:?}: {}", tally.row());
        assert_eq!(tally.false_not_run, 0, "{setting:?}");
        assert_refusals_fast(tally);
    }
    let share = thrice.goodput() / once.goodput();
    assert!(share >= MIN_GOODPUT_SHARE, "{setting:?}: {share}");
}

#[test]
fn goodput_holds_at_three_times_the_capacity() {
    let mut lines = String::new();
    for slots in SLOTS {
        for deadline in [1, 5].map(Duration::from_secs) {
            for comes_back in [false, true] {
                check_targets(&setting(slots, deadline, comes_back), &mut lines);
            }
        }
    }
    expect![[r#"
        868.2 | 0.225 | 23.4 | 108.7 | 0 | 40 | 1.27 | 0.13 | 23.48
        1281.6 | 0.682 | 29.4 | 107.5 | 0 | 44 | 1.06 | 0.08 | 22.83
        929.5 | 0.166 | 26.6 | 439.5 | 0 | 40 | 1.20 | 0.11 | 23.28
        1351.2 | 0.680 | 39.8 | 358.1 | 0 | 42 | 1.05 | 0.07 | 22.85
        867.7 | 0.225 | 23.4 | 108.4 | 0 | 40 | 1.27 | 0.13 | 23.49
        1281.6 | 0.682 | 29.4 | 107.5 | 0 | 43 | 1.06 | 0.08 | 22.84
        934.8 | 0.165 | 26.9 | 838.1 | 0 | 40 | 1.20 | 0.10 | 23.27
        1353.3 | 0.680 | 39.7 | 679.0 | 0 | 42 | 1.06 | 0.07 | 22.84
        575.2 | 0.231 | 25.0 | 126.0 | 0 | 40 | 1.28 | 0.13 | 23.49
        860.6 | 0.681 | 34.6 | 125.0 | 0 | 41 | 1.05 | 0.07 | 22.81
        619.5 | 0.167 | 31.2 | 478.7 | 0 | 41 | 1.20 | 0.10 | 23.29
        904.4 | 0.679 | 42.8 | 474.7 | 0 | 39 | 1.05 | 0.07 | 22.82
        575.1 | 0.231 | 25.0 | 126.0 | 0 | 40 | 1.28 | 0.13 | 23.49
        860.7 | 0.681 | 34.6 | 125.0 | 0 | 42 | 1.05 | 0.07 | 22.81
        623.8 | 0.164 | 31.1 | 972.0 | 0 | 40 | 1.20 | 0.10 | 23.26
        905.1 | 0.679 | 43.2 | 818.7 | 0 | 41 | 1.06 | 0.07 | 22.84
    "#]]
    .assert_eq(&lines);
}

/// A deadline of few times the work: a host cannot know before its first
/// request that its backend server is cold, so that some are late.
#[test]
fn short_deadlines_are_missed_by_few() {
    let mut lines = String::new();
    for slots in SLOTS {
        for tally in run_both(&setting(slots, Duration::from_millis(100), false)) {
            assert_eq!(tally.false_not_run, 0);
            assert_refusals_fast(&tally);
            lines.push_str(&tally.row());
            lines.push('\n');
        }
    }
    expect![[r#"
        838.0 | 0.239 | 23.3 | 72.1 | 9 | 40 | 1.17 | 0.11 | 22.64
        1237.2 | 0.685 | 29.5 | 71.8 | 7 | 44 | 1.06 | 0.08 | 22.29
        550.9 | 0.250 | 24.8 | 70.9 | 8 | 39 | 1.11 | 0.10 | 22.54
        827.5 | 0.685 | 34.5 | 69.7 | 9 | 41 | 1.07 | 0.08 | 22.16
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
        Pause | 1281.6 | 0.682 | 29.4 | 107.5 | 0 | 44 | 1.06 | 0.08 | 22.83
    "#]]
    .assert_eq(&lines);
}
