//! The rule in a view for the host that owns the view.

mod fixture;

use std::fmt::Write;
use std::sync::Arc;

use expect_test::expect;
use hyssopstair_routing::view::RoutingView;
use hyssopstair_rules::rule_set::RuleSet;

const RULES: &str = "\
service leerplein id 1 address 10.0.0.1:443  # test
service diplomakluis id 2 address 10.0.0.2:443  # test
limit leerplein slots 3 connections 2000 queue 10  # test
drain 10.1.0.2:7000  # test
withdraw diplomakluis  # test
";

#[test]
fn view_contains_rule_of_its_host() {
    let rules = Arc::new(RuleSet::parse(RULES).unwrap());
    let mut text = String::new();
    for (name, host) in [
        ("leerplein", "10.1.0.1:7000"),
        ("leerplein", "10.1.0.2:7000"),
        ("diplomakluis", "10.1.0.1:7000"),
        ("unknown", "10.1.0.1:7000"),
    ] {
        let view = RoutingView::build(1, rules.clone(), &fixture::secret(), &[]);
        let view = view.with_host(name, "utr-a", fixture::address(host));
        writeln!(text, "{name} {host}: {:?}", view.own_rule).unwrap();
    }
    expect![[r#"
        leerplein 10.1.0.1:7000: Some(HostRule { service: ServiceId(1), connections: 2000, accepts_new_flows: true })
        leerplein 10.1.0.2:7000: Some(HostRule { service: ServiceId(1), connections: 2000, accepts_new_flows: false })
        diplomakluis 10.1.0.1:7000: Some(HostRule { service: ServiceId(2), connections: 2000, accepts_new_flows: false })
        unknown 10.1.0.1:7000: None
    "#]].assert_eq(&text);
}
