//! Tests of line edits, three-way merges and drain rules.

mod support;

use expect_test::Expect;
use expect_test::expect;
use hyssopstair_rules::drain::add_drain;
use hyssopstair_rules::drain::remove_drain;
use hyssopstair_rules::edit::apply_edits;
use hyssopstair_rules::edit::diff_lines;
use hyssopstair_rules::edit::merge_lines;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use support::with_lines;

const BASE_TEXT: &str = "a\nb\nc\nd\n";

fn check(ours: &str, theirs: &str, expected: Expect) {
    let merged = match merge_lines(BASE_TEXT, ours, theirs) {
        Ok(text) => text.lines().collect::<Vec<_>>().join(" "),
        Err(conflicts) => format!("{conflicts:?}"),
    };
    expected.assert_eq(&merged);
}

#[test]
fn edits_of_different_lines_are_merged() {
    check("a\nB\nc\nd\n", "a\nb\nC\nd\n", expect!["a B C d"]);
    check("b\nc\nd\n", "a\nb\nc\nd\ne\n", expect!["b c d e"]);
    check("a\nd\n", "a\nb\nx\nc\nd\n", expect!["a x d"]);
}

#[test]
fn lines_that_both_insert_at_one_position_are_kept() {
    check(
        "a\nb\nc\nd\nours\n",
        "a\nb\nc\nd\ntheirs\n",
        expect!["a b c d theirs ours"],
    );
    check(
        "a\nb\nc\nd\nsame\n",
        "a\nb\nc\nd\nsame\n",
        expect!["a b c d same"],
    );
}

#[test]
fn equal_edits_of_one_line_are_applied_once() {
    check("a\nB\nc\nd\n", "a\nB\nc\nd\n", expect!["a B c d"]);
    check("a\nd\n", "a\nc\nd\n", expect!["a d"]);
}

#[test]
fn different_edits_of_one_line_are_a_conflict() {
    check(
        "a\nB\nc\nd\n",
        "a\nX\nc\nd\n",
        expect![[r#"[LineConflict { line: 2, base: "b", ours: ["B"], theirs: ["X"] }]"#]],
    );
    check(
        "a\nc\nd\n",
        "a\nX\nc\nd\n",
        expect![[r#"[LineConflict { line: 2, base: "b", ours: [], theirs: ["X"] }]"#]],
    );
}

#[test]
fn a_drain_rule_is_added_once_and_removed_completely() {
    let host = "127.1.2.3:7000".parse().expect("address");
    let drained = add_drain(&with_lines(""), host, "M. Jansen");
    assert_eq!(add_drain(&drained, host, "K. Visser"), drained);
    assert_eq!(remove_drain(&drained, host), with_lines(""));
    expect!["drain 127.1.2.3:7000  # M. Jansen"]
        .assert_eq(drained.lines().last().unwrap_or_default());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn edits_turn_the_old_text_into_the_new_text(
        old in proptest::collection::vec("[a-d]", 0..20),
        new in proptest::collection::vec("[a-d]", 0..20),
    ) {
        let join = |lines: &[String]| lines.iter().map(|line| format!("{line}\n")).collect::<String>();
        let (old, new) = (join(&old), join(&new));
        prop_assert_eq!(apply_edits(&old, &diff_lines(&old, &new)), Some(new));
    }
}
