//! Configurations that go from one process to another as line edits.

use expect_test::expect;
use hyssopstair_platform::record::deflate_text;
use hyssopstair_platform::update::MAX_EDIT_BYTES;
use hyssopstair_platform::update::MAX_KEPT_STEPS;
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

const FIRST: &str = "zone utr-a id 1\nservice a id 1\nservice b id 2\n";
const SECOND: &str = "zone utr-a id 1\nservice a id 1\nservice b id 3\n";
const THIRD: &str = "service a id 1\nservice b id 3\ndrain 10.0.0.1:7000\n";

fn at(version: u64, text: &str) -> VersionedText<'_> {
    VersionedText { version, text }
}

fn step(old: VersionedText<'_>, new: VersionedText<'_>) -> ConfigurationStep {
    build_step(old, new, None).expect("a step")
}

fn two_steps() -> Vec<ConfigurationStep> {
    vec![
        step(at(4, FIRST), at(5, SECOND)),
        step(at(5, SECOND), at(7, THIRD)),
    ]
}

fn log_of(steps: &[ConfigurationStep]) -> UpdateLog {
    let mut log = UpdateLog::default();
    for step in steps {
        log.add_step(step.clone());
    }
    log
}

#[test]
fn steps_hold_only_what_changed() {
    let edits: Vec<Vec<LineEdit>> = two_steps()
        .iter()
        .map(|step| postcard::from_bytes(&step.edits).expect("edits"))
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
fn steps_make_the_text_in_force() {
    let steps = log_of(&two_steps()).find_steps(4, 7).expect("both steps");
    let content = apply_answer(at(4, FIRST), PeerAnswer::ConfigurationSteps(steps.clone()));
    let expected = PeerUpdate::Newer {
        version: 7,
        text: THIRD.to_owned(),
        steps,
    };
    assert_eq!(content, expected);
}

#[test]
fn versions_that_are_not_kept_have_no_steps() {
    let log = log_of(&two_steps());
    let found: Vec<Option<usize>> = [(4, 7), (5, 7), (4, 5), (3, 7), (6, 7), (4, 6), (4, 8)]
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
    .assert_debug_eq(&found);
}

#[test]
fn steps_that_do_not_fit_call_for_the_whole_text() {
    let answer = |change: fn(&mut Vec<ConfigurationStep>)| {
        let mut steps = two_steps();
        change(&mut steps);
        apply_answer(at(4, FIRST), PeerAnswer::ConfigurationSteps(steps))
    };
    let wrong: [(&str, PeerUpdate); 6] = [
        ("first checksum", answer(|steps| steps[0].checksum ^= 1)),
        ("last checksum", answer(|steps| steps[1].checksum ^= 1)),
        ("other version", answer(|steps| steps[1].to += 1)),
        ("gap", answer(|steps| drop(steps.remove(0)))),
        ("back", answer(|steps| steps.swap(0, 1))),
        ("no edits", answer(|steps| steps[0].edits.clear())),
    ];
    for (name, content) in wrong {
        assert_eq!(content, PeerUpdate::Mismatch, "{name}");
    }
    let other_text = FIRST.replace("utr-a", "utr-b");
    let content = apply_answer(
        at(4, &other_text),
        PeerAnswer::ConfigurationSteps(two_steps()),
    );
    assert_eq!(content, PeerUpdate::Mismatch);
}

#[test]
fn the_whole_text_is_taken_when_it_is_newer() {
    let answer = |version| PeerAnswer::Configuration {
        version,
        deflated_text: deflate_text(THIRD).expect("packed"),
    };
    let newer = PeerUpdate::Newer {
        version: 7,
        text: THIRD.to_owned(),
        steps: Vec::new(),
    };
    assert_eq!(apply_answer(at(4, FIRST), answer(7)), newer);
    assert_eq!(apply_answer(at(7, THIRD), answer(7)), PeerUpdate::Nothing);
    assert_eq!(apply_answer(at(8, THIRD), answer(7)), PeerUpdate::Nothing);
}

#[test]
fn steps_that_were_made_meanwhile_change_nothing() {
    let answer = PeerAnswer::ConfigurationSteps(two_steps());
    let content = apply_answer(at(7, THIRD), answer);
    assert_eq!(content, PeerUpdate::Mismatch);
}

#[test]
fn texts_that_line_edits_cannot_make_have_no_step() {
    let cases = ["a\r\nb\n", "a\nb", "\n\n\r\n"];
    for text in cases {
        assert_eq!(build_step(at(1, FIRST), at(2, text), None), None);
    }
    let long = "x\n".repeat(MAX_EDIT_BYTES);
    assert_eq!(build_step(at(1, FIRST), at(2, &long), None), None);
}

#[test]
fn kept_steps_are_bounded_in_number_and_bytes() {
    let mut log = UpdateLog::default();
    for version in 1..=100 {
        log.add_step(ConfigurationStep {
            edits: vec![0; 10],
            ..step(at(version, FIRST), at(version + 1, SECOND))
        });
    }
    assert_eq!(log.edit_bytes(), MAX_KEPT_STEPS * 10);
    assert!(log.find_steps(101 - MAX_KEPT_STEPS as u64, 101).is_some());
    assert!(log.find_steps(100 - MAX_KEPT_STEPS as u64, 101).is_none());
    for version in 101..=104 {
        log.add_step(ConfigurationStep {
            edits: vec![0; MAX_EDIT_BYTES / 3],
            ..step(at(version, FIRST), at(version + 1, SECOND))
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

    /// Whatever the versions are, each that is kept leads to the last by its
    /// steps, and one that was changed by one line is never taken for it.
    #[test]
    fn any_sequence_of_edits_makes_the_same_text(
        texts in vec(vec("[ab]{0,2}", 0..12), 2..8),
    ) {
        let texts: Vec<String> = texts
            .iter()
            .map(|lines| lines.iter().map(|line| format!("{line}\n")).collect())
            .collect();
        let mut log = UpdateLog::default();
        for (version, pair) in (1..).zip(texts.windows(2)) {
            log.add_step(step(at(version, &pair[0]), at(version + 1, &pair[1])));
        }
        let last = texts.len() as u64;
        for (version, text) in (1..last).zip(&texts) {
            let steps = log.find_steps(version, last).expect("kept");
            let answer = PeerAnswer::ConfigurationSteps(steps);
            let other = format!("{text}other\n");
            match apply_answer(at(version, text), answer.clone()) {
                PeerUpdate::Newer { version, text, .. } => {
                    prop_assert_eq!(version, last);
                    prop_assert_eq!(&text, texts.last().expect("last"));
                }
                content => prop_assert!(false, "{:?}", content),
            }
            // Edits of another text give the right text or none.
            match apply_answer(at(version, &other), answer) {
                PeerUpdate::Newer { text, .. } => {
                    prop_assert_eq!(&text, texts.last().expect("last"));
                }
                content => prop_assert_eq!(content, PeerUpdate::Mismatch),
            }
        }
    }
}
