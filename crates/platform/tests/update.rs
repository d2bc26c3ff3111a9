//! Tests of configuration updates that are sent as steps of line edits.

use expect_test::expect;
use hyssopstair_platform::record::deflate_text;
use hyssopstair_platform::update::MAX_EDIT_BYTES;
use hyssopstair_platform::update::MAX_STORED_STEPS;
use hyssopstair_platform::update::PeerUpdate;
use hyssopstair_platform::update::UpdateLog;
use hyssopstair_platform::update::VersionedText;
use hyssopstair_platform::update::apply_answer;
use hyssopstair_platform::update::build_step;
use hyssopstair_rules::edit::LineEdit;
use hyssopstair_wire::peer::ConfigurationStep;
use hyssopstair_wire::peer::PeerAnswer;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;

const FIRST_TEXT: &str = "zone utr-a id 1\nservice a id 1\nservice b id 2\n";
const SECOND_TEXT: &str = "zone utr-a id 1\nservice a id 1\nservice b id 3\n";
const THIRD_TEXT: &str = "service a id 1\nservice b id 3\ndrain 10.0.0.1:7000\n";

fn at(version: u64, text: &str) -> VersionedText<'_> {
    VersionedText { version, text }
}

fn new_step(old: VersionedText<'_>, new: VersionedText<'_>) -> ConfigurationStep {
    build_step(old, new, None).expect("texts that line edits can reproduce")
}

fn two_steps() -> Vec<ConfigurationStep> {
    vec![
        new_step(at(4, FIRST_TEXT), at(5, SECOND_TEXT)),
        new_step(at(5, SECOND_TEXT), at(7, THIRD_TEXT)),
    ]
}

fn new_log(steps: &[ConfigurationStep]) -> UpdateLog {
    let mut log = UpdateLog::default();
    for step in steps {
        log.add_step(step.clone());
    }
    log
}

#[test]
fn a_step_contains_only_the_changed_lines() {
    let edits: Vec<Vec<LineEdit>> = two_steps()
        .iter()
        .map(|step| postcard::from_bytes(&step.edits).expect("encoded edits"))
        .collect();
    expect![[r#"
        [
            [
                LineEdit {
                    start: 2,
                    removed: 1,
                    added: [
                        "service b id 3",
                    ],
                },
            ],
            [
                LineEdit {
                    start: 0,
                    removed: 1,
                    added: [],
                },
                LineEdit {
                    start: 3,
                    removed: 0,
                    added: [
                        "drain 10.0.0.1:7000",
                    ],
                },
            ],
        ]
    "#]]
    .assert_debug_eq(&edits);
}

#[test]
fn steps_reproduce_the_current_text() {
    let steps = new_log(&two_steps())
        .find_steps(4, 7)
        .expect("stored steps");
    let update = apply_answer(
        at(4, FIRST_TEXT),
        PeerAnswer::ConfigurationSteps(steps.clone()),
    );
    let expected = PeerUpdate::Newer {
        version: 7,
        text: THIRD_TEXT.to_owned(),
        steps,
    };
    assert_eq!(update, expected);
}

#[test]
fn there_are_no_steps_from_or_to_versions_that_are_not_stored() {
    let log = new_log(&two_steps());
    let step_counts: Vec<Option<usize>> = [(4, 7), (5, 7), (4, 5), (3, 7), (6, 7), (4, 6), (4, 8)]
        .into_iter()
        .map(|(from, to)| log.find_steps(from, to).map(|steps| steps.len()))
        .collect();
    expect![[r#"
        [
            Some(
                2,
            ),
            Some(
                1,
            ),
            Some(
                1,
            ),
            None,
            None,
            None,
            None,
        ]
    "#]]
    .assert_debug_eq(&step_counts);
}

#[test]
fn steps_that_do_not_apply_are_a_mismatch() {
    let apply_changed = |change: fn(&mut Vec<ConfigurationStep>)| {
        let mut steps = two_steps();
        change(&mut steps);
        apply_answer(at(4, FIRST_TEXT), PeerAnswer::ConfigurationSteps(steps))
    };
    let cases: [(&str, PeerUpdate); 6] = [
        (
            "first checksum",
            apply_changed(|steps| steps[0].checksum ^= 1),
        ),
        (
            "last checksum",
            apply_changed(|steps| steps[1].checksum ^= 1),
        ),
        ("wrong version", apply_changed(|steps| steps[1].to += 1)),
        ("missing step", apply_changed(|steps| drop(steps.remove(0)))),
        ("wrong order", apply_changed(|steps| steps.swap(0, 1))),
        ("no edits", apply_changed(|steps| steps[0].edits.clear())),
    ];
    for (name, update) in cases {
        assert_eq!(update, PeerUpdate::Mismatch, "{name}");
    }
    let other_text = FIRST_TEXT.replace("utr-a", "utr-b");
    let update = apply_answer(
        at(4, &other_text),
        PeerAnswer::ConfigurationSteps(two_steps()),
    );
    assert_eq!(update, PeerUpdate::Mismatch);
}

#[test]
fn a_complete_text_is_applied_if_it_is_newer() {
    let answer = |version| PeerAnswer::Configuration {
        version,
        deflated_text: deflate_text(THIRD_TEXT).expect("compressed text"),
    };
    let newer = PeerUpdate::Newer {
        version: 7,
        text: THIRD_TEXT.to_owned(),
        steps: Vec::new(),
    };
    assert_eq!(apply_answer(at(4, FIRST_TEXT), answer(7)), newer);
    assert_eq!(
        apply_answer(at(7, THIRD_TEXT), answer(7)),
        PeerUpdate::Nothing
    );
    assert_eq!(
        apply_answer(at(8, THIRD_TEXT), answer(7)),
        PeerUpdate::Nothing
    );
}

#[test]
fn steps_that_are_already_applied_are_a_mismatch() {
    let answer = PeerAnswer::ConfigurationSteps(two_steps());
    let update = apply_answer(at(7, THIRD_TEXT), answer);
    assert_eq!(update, PeerUpdate::Mismatch);
}

#[test]
fn there_is_no_step_to_a_text_that_line_edits_cannot_reproduce() {
    let cases = ["a\r\nb\n", "a\nb", "\n\n\r\n"];
    for text in cases {
        assert_eq!(build_step(at(1, FIRST_TEXT), at(2, text), None), None);
    }
    let long_text = "x\n".repeat(MAX_EDIT_BYTES);
    assert_eq!(build_step(at(1, FIRST_TEXT), at(2, &long_text), None), None);
}

#[test]
fn stored_steps_are_limited_in_number_and_size() {
    let mut log = UpdateLog::default();
    for version in 1..=100 {
        log.add_step(ConfigurationStep {
            edits: vec![0; 10],
            ..new_step(at(version, FIRST_TEXT), at(version + 1, SECOND_TEXT))
        });
    }
    assert_eq!(log.edit_bytes(), MAX_STORED_STEPS * 10);
    assert!(log.find_steps(101 - MAX_STORED_STEPS as u64, 101).is_some());
    assert!(log.find_steps(100 - MAX_STORED_STEPS as u64, 101).is_none());
    for version in 101..=104 {
        log.add_step(ConfigurationStep {
            edits: vec![0; MAX_EDIT_BYTES / 3],
            ..new_step(at(version, FIRST_TEXT), at(version + 1, SECOND_TEXT))
        });
        assert!(log.edit_bytes() <= MAX_EDIT_BYTES);
    }
    assert!(log.find_steps(102, 105).is_some());
    assert!(log.find_steps(101, 105).is_none());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_264),
        failure_persistence: None,
        ..ProptestConfig::with_cases(1_000)
    })]

    /// Checks that the stored steps lead from each version to the last one. Applied to a
    /// text with an additional line, they produce the last text or a mismatch.
    #[test]
    fn steps_reproduce_the_last_text_from_each_version(
        texts in vec(vec("[ab]{0,2}", 0..12), 2..8),
    ) {
        let texts: Vec<String> = texts
            .iter()
            .map(|lines| lines.iter().map(|line| format!("{line}\n")).collect())
            .collect();
        let mut log = UpdateLog::default();
        for (version, pair) in (1..).zip(texts.windows(2)) {
            log.add_step(new_step(at(version, &pair[0]), at(version + 1, &pair[1])));
        }
        let last_version = texts.len() as u64;
        for (version, text) in (1..last_version).zip(&texts) {
            let steps = log.find_steps(version, last_version).expect("stored steps");
            let answer = PeerAnswer::ConfigurationSteps(steps);
            let other_text = format!("{text}other\n");
            match apply_answer(at(version, text), answer.clone()) {
                PeerUpdate::Newer { version, text, .. } => {
                    prop_assert_eq!(version, last_version);
                    prop_assert_eq!(&text, texts.last().expect("at least two texts"));
                }
                update => prop_assert!(false, "{:?}", update),
            }
            // Applied to another text, the steps produce the last text or a mismatch.
            match apply_answer(at(version, &other_text), answer) {
                PeerUpdate::Newer { text, .. } => {
                    prop_assert_eq!(&text, texts.last().expect("at least two texts"));
                }
                update => prop_assert_eq!(update, PeerUpdate::Mismatch),
            }
        }
    }
}
