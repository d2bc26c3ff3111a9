//! Positions in the history of a store that may come back from a copy.

use expect_test::expect;
use hyssopstair_flows::store_position::StorePosition;

#[test]
fn a_response_of_another_history_is_not_taken_as_a_continuation() {
    let known = StorePosition {
        era: 2,
        revision: 100,
    };
    let responses = [(2, 100), (2, 130), (3, 130), (3, 90), (2, 90), (1, 130)];
    let verdicts: Vec<String> = responses
        .into_iter()
        .map(|(era, revision)| {
            let verdict = known.judge_response(StorePosition { era, revision });
            format!("era {era} revision {revision}: {verdict:?}")
        })
        .collect();
    expect![[r#"
        era 2 revision 100: Continued
        era 2 revision 130: Continued
        era 3 revision 130: Restored
        era 3 revision 90: Restored
        era 2 revision 90: Restored
        era 1 revision 130: Outdated"#]]
    .assert_eq(&verdicts.join("\n"));
}
