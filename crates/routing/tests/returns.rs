//! Selection of the balancer through which a host answers a caller.

mod fixture;

use expect_test::expect;
use hyssopstair_routing::returns::MAX_BALANCERS;
use hyssopstair_routing::returns::ReturnTable;
use hyssopstair_wire::packet::ForwardHeader;
use hyssopstair_wire::time::MonotonicTime;

/// Records a packet of the caller on port `caller` through balancer `balancer`.
fn record(table: &ReturnTable, caller: u16, balancer: u8, millis: u64) {
    let header = ForwardHeader {
        caller: fixture::address(&format!("192.0.2.7:{caller}")),
        balancer: fixture::address(&format!("10.2.0.{balancer}:7000")),
        ..fixture::header(fixture::LEERPLEIN)
    };
    table.record(&header, MonotonicTime::from_millis(millis));
}

/// Formats the balancers of four answers, each as the last octet of its address.
fn format_answers(table: &ReturnTable, caller: u16, millis: u64) -> String {
    let caller = fixture::address(&format!("192.0.2.7:{caller}"));
    let now = MonotonicTime::from_millis(millis);
    let balancers: Vec<String> = (0..4)
        .map(|_| match table.find_route(caller, now) {
            Some(route) => route.balancer.ip().octets()[3].to_string(),
            None => "none".to_owned(),
        })
        .collect();
    format!("{millis} ms: {}", balancers.join(" "))
}

/// Answers through a failed balancer are lost. A host only notices that the balancer
/// is inactive, so answers must then alternate between other balancers.
#[test]
fn answers_avoid_an_inactive_balancer() {
    let table = ReturnTable::default();
    record(&table, 5_000, 1, 1_000);
    record(&table, 5_001, 2, 1_000);
    record(&table, 5_002, 3, 1_000);
    let mut lines = vec![format_answers(&table, 5_000, 1_100)];
    // Only balancer 1 is inactive.
    record(&table, 5_001, 2, 1_400);
    record(&table, 5_002, 3, 1_400);
    lines.push(format_answers(&table, 5_000, 1_500));
    // All balancers are inactive, perhaps because their callers are idle.
    lines.push(format_answers(&table, 5_000, 3_000));
    // The caller sends through another balancer.
    record(&table, 5_000, 3, 3_100);
    lines.push(format_answers(&table, 5_000, 3_200));
    table.remove_balancer(fixture::address("10.2.0.3:7000"));
    lines.push(format_answers(&table, 5_000, 3_200));
    lines.push(format_answers(&table, 6_000, 3_200));
    expect![[r#"
        1100 ms: 1 1 1 1
        1500 ms: 2 3 2 3
        3000 ms: 2 3 1 2
        3200 ms: 3 3 3 3
        3200 ms: 1 2 1 2
        3200 ms: none none none none"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn number_of_known_balancers_is_bounded() {
    let table = ReturnTable::default();
    for balancer in 1..=200 {
        record(&table, 5_000, balancer, u64::from(balancer));
    }
    let caller = fixture::address("192.0.2.7:5000");
    let mut balancers: Vec<_> = (0..500)
        .filter_map(|_| table.find_route(caller, MonotonicTime::from_millis(10_000)))
        .map(|route| route.balancer.ip().octets()[3])
        .collect();
    balancers.sort_unstable();
    balancers.dedup();
    let latest: Vec<u8> = (201 - MAX_BALANCERS as u8..=200).collect();
    assert_eq!(balancers, latest);
}
