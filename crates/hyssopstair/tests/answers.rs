//! What the commands tell operators.

use expect_test::expect;
use hyssopstair::ops::apply::split_version_line;
use hyssopstair::ops::change_report::describe_outcome;
use hyssopstair::ops::daemon::DaemonStatus;
use hyssopstair::ops::diff::diff_text;
use hyssopstair::ops::explain::explain_flow;
use hyssopstair::ops::status::DaemonReport;
use hyssopstair::ops::status::FleetStatus;
use hyssopstair_platform::change::ChangeOutcome;
use hyssopstair_rules::edit::LineConflict;
use hyssopstair_rules::rule_set::RuleSet;
use serde_json::json;

const RULES: &str = "\
zone utr-a id 1  # A. Visser
zone ame-b id 2  # A. Visser
service leerplein id 1 address 127.1.0.10:4433  # A. Visser
weight leerplein ame-b 50  # M. Jansen
drain 127.1.2.3:7000  # M. Jansen
";

fn status(version: u64, states: &[&str]) -> DaemonStatus {
    let members: Vec<serde_json::Value> = states
        .iter()
        .enumerate()
        .map(|(index, state)| {
            json!({
                "process": { "address": format!("127.1.2.{}:7000", index + 1), "incarnation": 1 },
                "counter": 0,
                "role": { "Host": { "service": 1, "zone": index % 2 + 1, "weight": 1 } },
                "state": state,
            })
        })
        .collect();
    let report = json!({
        "process": "127.1.2.1:7000/1",
        "version": version,
        "members": members,
        "flows": 7,
    });
    serde_json::from_value(report).expect("a status")
}

#[test]
fn disagreement_between_daemons_is_pointed_out() {
    let answer = |name: &str, status| DaemonReport {
        address: name.to_owned(),
        status,
    };
    let fleet = FleetStatus::from_reports(vec![
        answer("a:7100", Some(status(3, &["Alive", "Alive", "Draining"]))),
        answer("b:7100", Some(status(2, &["Alive", "Suspect"]))),
        answer("c:7100", None),
    ]);
    let shown = [fleet.table(), fleet.findings].concat().join("\n");
    expect![[r#"
        daemon  role               version  alive  draining  suspect  gone  more
        a:7100  host of service 1  3        2      1         0        0     flows=7
        b:7100  host of service 1  2        1      0         1        0     flows=7
        c:7100  no answer
        c:7100 does not answer
        version 3 is in force, but b:7100 has version 2
        127.1.2.2:7000 is alive and suspect to different daemons
        127.1.2.3:7000 is known to 1 of 2 daemons"#]]
    .assert_eq(&shown);
}

#[test]
fn a_new_flow_is_explained_by_hosts_and_rules() {
    let rules = RuleSet::parse(RULES).expect("rules");
    let members = status(3, &["Alive", "Suspect", "Alive", "Gone"]).members;
    let address = "127.1.0.10:4433".parse().expect("address");
    let lines = explain_flow(&rules, RULES, &members, 3, address).expect("a service");
    expect![[r#"
        127.1.0.10:4433 is service leerplein (number 1) in version 3
          127.1.2.1:7000 in utr-a: alive, weight 100, 100.0 % of new flows
          127.1.2.2:7000 in ame-b: suspect, takes nothing new: it does not answer
          127.1.2.3:7000 in utr-a: alive, takes nothing new: a rule drains it
          127.1.2.4:7000 in ame-b: gone, takes nothing new: it is gone
          rule: weight leerplein ame-b 50  # M. Jansen
          rule: drain 127.1.2.3:7000  # M. Jansen
        the flow's first packet chooses among these by rendezvous hashing, alike on all balancers; a host that is full hands it to the next"#]].assert_eq(&lines.join("\n"));
    let other = "127.1.0.11:4433".parse().expect("address");
    let error = explain_flow(&rules, RULES, &members, 3, other).expect_err("no service");
    expect!["no service has the address 127.1.0.11:4433; known are 127.1.0.10:4433 (leerplein)"]
        .assert_eq(&error.to_string());
}

#[test]
fn a_conflict_shows_the_line_as_it_was_and_both_edits() {
    let outcome = ChangeOutcome::Conflict {
        version: 9,
        lines: vec![LineConflict {
            line: 4,
            base: "weight leerplein ame-b 50  # M. Jansen".to_owned(),
            ours: vec!["weight leerplein ame-b 60  # A. Visser".to_owned()],
            theirs: Vec::new(),
        }],
    };
    expect![[r#"
        nothing is written: version 9 changes the same lines; edit what "hyssopstair show" prints and apply that
        line 4:
          before: weight leerplein ame-b 50  # M. Jansen
          yours:  weight leerplein ame-b 60  # A. Visser
          theirs: (removed)"#]].assert_eq(&describe_outcome(&outcome).to_string());
}

#[test]
fn a_shown_file_names_the_version_that_it_was_edited_from() {
    let found =
        ["# version 7\nkey 1  # A\n", "key 1  # A\n", "# version x\n"].map(split_version_line);
    expect![[r##"
        [
            EditedRules {
                base_version: Some(
                    7,
                ),
                text: "key 1  # A\n",
            },
            EditedRules {
                base_version: None,
                text: "key 1  # A\n",
            },
            EditedRules {
                base_version: None,
                text: "# version x\n",
            },
        ]
    "##]]
    .assert_debug_eq(&found);
}

#[test]
fn a_diff_names_places_and_lines() {
    let new = RULES
        .replace("50", "60")
        .replace("drain 127.1.2.3:7000  # M. Jansen\n", "");
    expect![[r#"
        line 4:
        - weight leerplein ame-b 50  # M. Jansen
        - drain 127.1.2.3:7000  # M. Jansen
        + weight leerplein ame-b 60  # M. Jansen"#]]
    .assert_eq(&diff_text(RULES, &new).join("\n"));
}
