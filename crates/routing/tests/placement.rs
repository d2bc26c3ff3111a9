//! The shares of hosts under weighted rendezvous hashing.

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

/// Returns the hosts for each flow, first and second, by number; 0 for none.
fn choices(weights: &[u16]) -> Vec<[u8; 2]> {
    let candidates = candidates(weights);
    let number = |item: PlacementCandidate| item.host.address.ip().octets()[3];
    (0..FLOWS)
        .map(|flow| {
            let choice = place_flow(&candidates, &flow.to_be_bytes(), &SECRET).unwrap();
            [number(choice.first), choice.second.map_or(0, number)]
        })
        .collect()
}

/// Shows the share of each host in percent.
fn shares(choices: &[[u8; 2]], place: usize, hosts: u8) -> String {
    let share = |host: u8| {
        let count = choices.iter().filter(|item| item[place] == host).count();
        format!("{:.1}", count as f64 * 100.0 / f64::from(FLOWS))
    };
    (1..=hosts).map(share).collect::<Vec<_>>().join(" ")
}

#[test]
fn shares_follow_weights() {
    let equal = choices(&[100; 5]);
    let unequal = choices(&[100, 50, 0, 100, 150]);
    let lines = [
        format!("equal: {}", shares(&equal, 0, 5)),
        format!("equal, second: {}", shares(&equal, 1, 5)),
        format!("unequal: {}", shares(&unequal, 0, 5)),
    ];
    expect![[r#"
        equal: 19.8 19.8 20.1 20.4 20.0
        equal, second: 20.3 19.8 19.9 19.7 20.3
        unequal: 24.8 12.4 0.0 25.3 37.4"#]]
    .assert_eq(&lines.join("\n"));
}

/// When a host leaves, its flows alone move, each to its second host.
#[test]
fn only_flows_of_a_lost_host_move() {
    let before = choices(&[100; 5]);
    let after = choices(&[100, 100, 0, 100, 100]);
    for (before, after) in before.iter().zip(&after) {
        let expected = if before[0] == 3 { before[1] } else { before[0] };
        assert_eq!(after[0], expected);
    }
}
