//! Tests the text that commands print for operators.

use std::path::Path;

use expect_test::expect;
use hyssopstair::ops::apply::split_version_line;
use hyssopstair::ops::change_report::describe_outcome;
use hyssopstair::ops::check::check_text;
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
fn status_reports_differences_between_daemons() {
    let report = |name: &str, status| DaemonReport {
        address: name.to_owned(),
        status,
    };
    let fleet = FleetStatus::from_reports(vec![
        report("a:7100", Some(status(3, &["Alive", "Alive", "Draining"]))),
        report("b:7100", Some(status(2, &["Alive", "Suspect"]))),
        report("c:7100", None),
    ]);
    let shown = [fleet.table(), fleet.findings].concat().join("\n");
    expect![[r#"
        daemon  role               version  alive  draining  suspect  gone  more
        a:7100  host of service 1  3        2      1         0        0     flows=7
        b:7100  host of service 1  2        1      0         1        0     flows=7
        c:7100  no answer
        c:7100 does not answer
        the highest version is 3, but b:7100 has version 2
        daemons disagree on the state of 127.1.2.2:7000: alive, suspect
        127.1.2.3:7000 is known to 1 of 2 daemons"#]]
    .assert_eq(&shown);
}

#[test]
fn explain_lists_hosts_and_related_rules() {
    let rules = RuleSet::parse(RULES).expect("rules");
    let members = status(3, &["Alive", "Suspect", "Alive", "Gone"]).members;
    let address = "127.1.0.10:4433".parse().expect("address");
    let lines = explain_flow(&rules, RULES, &members, 3, address).expect("a service");
    expect![[r#"
        127.1.0.10:4433 is service leerplein (number 1) in version 3
          127.1.2.1:7000 in utr-a: alive, weight 100, 100.0 % of new flows
          127.1.2.2:7000 in ame-b: suspect, accepts no new flows: it does not answer other members
          127.1.2.3:7000 in utr-a: alive, accepts no new flows: it is drained by a rule
          127.1.2.4:7000 in ame-b: gone, accepts no new flows: it has left or failed
          rule: weight leerplein ame-b 50  # M. Jansen
          rule: drain 127.1.2.3:7000  # M. Jansen
        all balancers select the same host for a flow, by rendezvous hashing of its first packet; a host without capacity passes the packet on to the next"#]].assert_eq(&lines.join("\n"));
    let other = "127.1.0.11:4433".parse().expect("address");
    let error = explain_flow(&rules, RULES, &members, 3, other).expect_err("no service");
    expect![
        "no service has the address 127.1.0.11:4433; known addresses: 127.1.0.10:4433 (leerplein)"
    ]
    .assert_eq(&error.to_string());
}

#[test]
fn conflict_shows_base_line_and_both_edits() {
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
        nothing was written: version 9 changes the same lines; edit the output of "hyssopstair show" and apply it
        line 4:
          before: weight leerplein ame-b 50  # M. Jansen
          yours:  weight leerplein ame-b 60  # A. Visser
          theirs: (removed)"#]].assert_eq(&describe_outcome(&outcome).to_string());
}

#[test]
fn first_line_of_shown_file_names_its_version() {
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
fn diff_shows_line_numbers_and_lines() {
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

#[test]
fn a_check_lists_findings_and_differences_of_rules_and_configurations() {
    let path = Path::new("new.rules");
    let changed = format!("# version 7\n{RULES}drain 127.1.2.3:7000  # M. Jansen\n");
    let report = check_text(path, &changed, Some(RULES)).expect("a valid file");
    expect![[r#"
        {"summary":"1 services, 1 drained hosts, 0 evacuated zones, 0 keys","findings":[{"place":"line 7","kind":"NeverMatches","reason":"repeats line 5"}],"differences":["line 6:","+ drain 127.1.2.3:7000  # M. Jansen"]}"#]]
    .assert_eq(&serde_json::to_string(&report).expect("JSON"));

    let old = r#"{"version":3,"routes":[],"services":[]}"#;
    let new = r#"{"version":4,"routes":[{"host":"a"}],"services":[]}"#;
    let report = check_text(path, new, Some(old)).expect("a valid file");
    expect![[r#"
        version 4, 1 routes, 0 services
        routes[0] Unusable: it is no route that can be used"#]]
    .assert_eq(&format!(
        "{}\n{} {}: {}",
        report.summary,
        report.findings[0].place,
        report.findings[0].kind,
        report.findings[0].reason
    ));
    assert!(
        report
            .differences
            .iter()
            .any(|line| line.contains("\"version\": 4"))
    );
    assert!(check_text(path, "{\"version\":", None).is_err());
}
