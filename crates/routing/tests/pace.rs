//! Rate limit for rebuilding the view after roster changes.

use expect_test::expect;
use hyssopstair_routing::pace::BuildPacer;
use hyssopstair_wire::time::MonotonicTime;

/// A change within the interval after a build must not be lost: the next tick after
/// the interval causes a build for it.
#[test]
fn changes_are_merged_and_none_is_lost() {
    let mut pacer = BuildPacer::default();
    let mut lines = Vec::new();
    for (millis, has_changed) in [
        (0, false),
        (10, true),
        (11, true),
        (100, true),
        (209, false),
        (210, false),
        (260, false),
        (409, true),
        (460, false),
        (1_000, true),
    ] {
        let now = MonotonicTime::from_millis(millis);
        let (name, is_build_due) = match has_changed {
            true => ("change", pacer.record_change(now)),
            false => ("tick", pacer.take_due_build(now)),
        };
        let result = if is_build_due { "build" } else { "-" };
        lines.push(format!("{millis} ms, {name}: {result}"));
    }
    expect![[r#"
        0 ms, tick: -
        10 ms, change: build
        11 ms, change: -
        100 ms, change: -
        209 ms, tick: -
        210 ms, tick: build
        260 ms, tick: -
        409 ms, change: -
        460 ms, tick: build
        1000 ms, change: build"#]]
    .assert_eq(&lines.join("\n"));
}
