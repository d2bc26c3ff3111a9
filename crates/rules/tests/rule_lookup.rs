//! Tests of look-ups in the rules of a file.

mod support;

use expect_test::expect;
use hyssopstair_rules::rule_set::RuleSet;
use hyssopstair_wire::address::ServiceId;

use support::with_lines;

#[test]
fn a_service_is_found_by_number_name_and_address() {
    let rules = RuleSet::parse(&with_lines("")).expect("valid rules");
    let results = [
        rules.find_service(ServiceId(2)),
        rules.find_service_by_name("leerplein"),
        rules.find_service_by_address("127.1.0.11:4433".parse().expect("address")),
        rules.find_service_by_name("specdesk"),
    ]
    .map(|service| service.map(|service| service.name.as_str()));
    expect![[r#"
        [
            Some(
                "diplomakluis",
            ),
            Some(
                "leerplein",
            ),
            Some(
                "diplomakluis",
            ),
            None,
        ]
    "#]]
    .assert_debug_eq(&results);
}

#[test]
fn a_withdrawn_service_and_a_drained_host_accept_no_new_flows() {
    let rules = RuleSet::parse(&with_lines(
        "withdraw leerplein  # A. Visser\ndrain 127.1.3.1:7000  # A. Visser\n",
    ))
    .expect("valid rules");
    let host = |text: &str| text.parse().expect("address");
    let results = [
        rules.accepts_new_flows(ServiceId(1), host("127.1.2.1:7000"), 1),
        rules.accepts_new_flows(ServiceId(2), host("127.1.3.1:7000"), 1),
        rules.accepts_new_flows(ServiceId(2), host("127.1.3.2:7000"), 1),
    ];
    expect![[r#"
        [
            false,
            false,
            true,
        ]
    "#]]
    .assert_debug_eq(&results);
}

#[test]
fn hosts_of_an_evacuated_zone_accept_no_new_flows() {
    let rules = RuleSet::parse(&with_lines("evacuate ame-b  # A. Visser\n")).expect("valid rules");
    let host = "127.1.2.1:7000".parse().expect("address");
    let results = [1, 2].map(|zone| rules.accepts_new_flows(ServiceId(1), host, zone));
    assert_eq!(results, [true, false]);
    let errors = RuleSet::parse(&with_lines("evacuate ame-c  # A. Visser\n")).expect_err("invalid");
    expect![[r#"zone "ame-c" is not declared"#]].assert_eq(&errors[0].message);
}
