//! Tests which observations the checker reports as violations of the invariants.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use expect_test::expect;
use hyssopstair_soak::checker::SoakChecker;
use hyssopstair_wire::carried::FlowKey;

const HOST: Ipv4Addr = Ipv4Addr::new(127, 0, 2, 1);
const OTHER_HOST: Ipv4Addr = Ipv4Addr::new(127, 0, 2, 2);
const BALANCER: Ipv4Addr = Ipv4Addr::new(127, 0, 1, 1);

fn target(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, number), 443)
}

fn flow() -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(127, 0, 3, 1), 1_025),
        target: target(1),
    }
}

/// Returns a checker with an open flow, and a function that turns the milliseconds since the
/// start of the run into a time.
fn checker() -> (SoakChecker, impl Fn(u64) -> Instant) {
    let start = Instant::now();
    let mut checker = SoakChecker::new(start);
    checker.record_open_flow(flow(), HOST);
    (checker, move |millis| start + Duration::from_millis(millis))
}

#[test]
fn reset_of_open_flow_is_reported() {
    let (mut checker, at) = checker();
    checker.check_reset(at(6_000), &flow(), BALANCER);
    expect!["6000 ms: 127.0.1.1 reset FlowKey { caller: 127.0.3.1:1025, target: 198.18.0.1:443 }, which is open at 127.0.2.1"]
        .assert_eq(&checker.findings.join("\n"));
}

#[test]
fn reset_is_ignored_after_fault_but_reported_after_planned_restart() {
    let (mut checker, at) = checker();
    checker.record_fault(HOST, at(5_000));
    checker.check_reset(at(8_900), &flow(), BALANCER);
    assert_eq!(checker.findings.len(), 0);
    checker.record_planned_restart(HOST, at(9_000));
    checker.check_reset(at(9_100), &flow(), BALANCER);
    assert_eq!(checker.findings.len(), 1);
}

#[test]
fn reset_is_ignored_after_server_has_stopped() {
    let (mut checker, at) = checker();
    checker.record_server_end(HOST);
    checker.check_reset(at(6_000), &flow(), BALANCER);
    assert_eq!(checker.findings.len(), 0);
}

#[test]
fn misrouted_packets_are_reported_after_two_seconds() {
    let (mut checker, at) = checker();
    for millis in [6_000, 6_200, 6_600] {
        checker.check_misrouted(at(millis), &flow(), OTHER_HOST);
    }
    assert_eq!(checker.findings.len(), 0);
    checker.check_misrouted(at(8_000), &flow(), OTHER_HOST);
    assert_eq!(checker.findings.len(), 1);
}

#[test]
fn delivery_to_own_server_resets_misrouted_count() {
    let (mut checker, at) = checker();
    for millis in [6_000, 6_200, 6_600] {
        checker.check_misrouted(at(millis), &flow(), OTHER_HOST);
    }
    checker.record_delivery(&flow());
    checker.check_misrouted(at(8_000), &flow(), OTHER_HOST);
    assert_eq!(checker.findings.len(), 0);
}

#[test]
fn flow_by_outdated_or_unknown_route_is_reported() {
    let (mut checker, at) = checker();
    checker.record_configuration(at(0), vec![(target(1), "one".to_owned())]);
    checker.record_configuration(at(10_000), vec![(target(1), "two".to_owned())]);
    checker.check_opening(at(14_900), &flow(), "one", HOST);
    assert_eq!(checker.findings.len(), 0);
    checker.check_opening(at(15_100), &flow(), "one", HOST);
    checker.check_opening(at(15_200), &flow(), "three", HOST);
    expect![[r#"
        15100 ms: FlowKey { caller: 127.0.3.1:1025, target: 198.18.0.1:443 } opened at 127.0.2.1 of one, which only outdated routes allow
        15200 ms: FlowKey { caller: 127.0.3.1:1025, target: 198.18.0.1:443 } opened at 127.0.2.1 of three, which no configuration allows"#]]
    .assert_eq(&checker.findings.join("\n"));
}

#[test]
fn decreasing_route_version_is_reported_within_an_incarnation() {
    let (mut checker, at) = checker();
    for (millis, incarnation, version) in [(1, 1, 6), (2, 2, 3), (3, 2, 9), (4, 2, 6)] {
        checker.check_version(at(millis), BALANCER, incarnation, version);
    }
    expect!["4 ms: 127.0.1.1 went back from version 9 of the routes to 6"]
        .assert_eq(&checker.findings.join("\n"));
}

#[test]
fn flow_after_acknowledged_drain_is_reported() {
    let (mut checker, at) = checker();
    checker.check_drain(at(8_900), at(6_000), HOST);
    assert_eq!(checker.findings.len(), 0);
    checker.check_drain(at(9_100), at(6_000), HOST);
    assert_eq!(checker.findings.len(), 1);
}

#[test]
fn process_that_does_not_use_the_newest_version_at_the_end_is_reported() {
    let (mut checker, at) = checker();
    checker.check_version(at(1_000), BALANCER, 1, 6);
    checker.check_version(at(1_000), HOST, 1, 9);
    checker.check_final_versions(at(9_000), 9);
    expect![[r#"9000 ms: version 9 is not in force: ["127.0.1.1 has version 6"]"#]]
        .assert_eq(&checker.findings.join("\n"));
}
