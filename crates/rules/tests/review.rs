//! Remarks on rules that are valid and probably mistakes.

mod support;

use expect_test::expect;
use hyssopstair_rules::review::review_rules;
use hyssopstair_rules::rule_set::RuleSet;

use support::with_lines;

fn remarks(lines: &str) -> String {
    let text = with_lines(lines);
    RuleSet::parse(&text).expect("valid rules");
    let remarks = review_rules(&text);
    let lines: Vec<String> = remarks
        .iter()
        .map(|remark| format!("{}: {:?}: {}", remark.line, remark.kind, remark.reason))
        .collect();
    lines.join("\n")
}

#[test]
fn rules_without_effect_and_limits_that_contradict_each_other_are_found() {
    expect![[r#"
        6: NeverMatches: line 5 already covers "/lessons/old"
        8: NeverMatches: line 7 already covers "/feed"
        9: Contradiction: 30 slots can never be used by 20 connections
        11: NeverMatches: no new flow is weighed here because of line 10
        13: NeverMatches: repeats line 12"#]]
    .assert_eq(&remarks(
        "idempotent leerplein GET /lessons  # A. Visser\n\
         idempotent leerplein GET /lessons/old  # A. Visser\n\
         stream leerplein /feed  # A. Visser\n\
         stream leerplein /feed  # A. Visser\n\
         limit leerplein slots 30 connections 20 queue 5  # A. Visser\n\
         evacuate ame-b  # A. Visser\n\
         weight leerplein ame-b 50  # A. Visser\n\
         drain 127.1.3.1:7000  # A. Visser\n\
         drain 127.1.3.1:7000  # A. Visser\n",
    ));
}

#[test]
fn an_evacuation_of_all_zones_is_found() {
    expect!["6: Contradiction: all zones are evacuated: no service accepts new flows"].assert_eq(
        &remarks("evacuate ame-b  # A. Visser\nevacuate utr-a  # A. Visser\n"),
    );
}

#[test]
fn rules_that_differ_have_no_remarks() {
    expect![""].assert_eq(&remarks(
        "idempotent leerplein GET /lessons  # A. Visser\n\
         idempotent leerplein PUT /lessons/old  # A. Visser\n\
         idempotent diplomakluis GET /lessons/old  # A. Visser\n\
         stream diplomakluis /lessons  # A. Visser\n\
         evacuate ame-b  # A. Visser\n\
         weight leerplein utr-a 50  # A. Visser\n",
    ));
}
