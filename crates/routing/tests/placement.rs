//! Distribution of flows by weighted rendezvous hashing.

mod fixture;

use expect_test::expect;
use hyssopstair_routing::placement::PlacementCandidate;
use hyssopstair_routing::placement::place_flow;

const SECRET: [u8; 16] = [4; 16];
const FLOWS: u32 = 40_000;

fn candidates(weights: &[u16]) -> Vec<PlacementCandidate> {
    let candidate = |(index, weight): (usize, &u16)| {
        PlacementCandidate::new(fixture::process(index as u8 + 1, 5), *weight, &SECRET)
    };
    weights.iter().enumerate().map(candidate).collect()
}

/// Returns the first and second host of each flow by number, or 0 for no host.
fn choose_hosts(weights: &[u16]) -> Vec<[u8; 2]> {
    let candidates = candidates(weights);
    let number = |item: PlacementCandidate| item.host.address.ip().octets()[3];
    (0..FLOWS)
        .map(|flow| {
            let choice = place_flow(&candidates, &flow.to_be_bytes(), &SECRET).unwrap();
            [number(choice.first), choice.second.map_or(0, number)]
        })
        .collect()
}

/// Formats the share of flows of each host in percent. `rank` is 0 for first hosts
/// and 1 for second hosts.
fn format_shares(choices: &[[u8; 2]], rank: usize, hosts: u8) -> String {
    let share = |host: u8| {
        let count = choices.iter().filter(|item| item[rank] == host).count();
        format!("{:.1}", count as f64 * 100.0 / f64::from(FLOWS))
    };
    (1..=hosts).map(share).collect::<Vec<_>>().join(" ")
}

#[test]
fn shares_follow_weights() {
    let equal = choose_hosts(&[100; 5]);
    let unequal = choose_hosts(&[100, 50, 0, 100, 150]);
    let lines = [
        format!("equal: {}", format_shares(&equal, 0, 5)),
        format!("equal, second: {}", format_shares(&equal, 1, 5)),
        format!("unequal: {}", format_shares(&unequal, 0, 5)),
    ];
    expect![[r#"
        equal: 19.8 19.8 20.1 20.4 20.0
        equal, second: 20.3 19.8 19.9 19.7 20.3
        unequal: 24.8 12.4 0.0 25.3 37.4"#]]
    .assert_eq(&lines.join("\n"));
}

/// If a host leaves, only its flows move, each to its second host. A hash that
/// depends on the number of hosts would move other flows as well.
#[test]
fn only_flows_of_a_lost_host_move() {
    let before = choose_hosts(&[100; 5]);
    let after = choose_hosts(&[100, 100, 0, 100, 100]);
    for (before, after) in before.iter().zip(&after) {
        let expected = if before[0] == 3 { before[1] } else { before[0] };
        assert_eq!(after[0], expected);
    }
}
