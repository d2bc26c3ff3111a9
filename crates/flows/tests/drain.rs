//! When a balancer that was asked to stop may end.

use std::time::Duration;

use expect_test::expect;
use hyssopstair_flows::drain::DrainProgress;

const LIMIT_MILLIS: u64 = 5_000;

/// Returns the time in milliseconds at which a balancer ends that is probed at these times,
/// and whose last packet arrives at `last_packet_at`, once every 20 ms before.
fn end_millis(probes_at: &[u64], last_packet_at: u64) -> u64 {
    end_millis_with_waiting(probes_at, last_packet_at, 0)
}

/// As [`end_millis`], with flows that wait for a host until `waiting_until`.
fn end_millis_with_waiting(probes_at: &[u64], last_packet_at: u64, waiting_until: u64) -> u64 {
    let has_ended = |millis: &u64| {
        let probe_count = probes_at.iter().filter(|probe| *probe <= millis).count();
        let quiet = millis.saturating_sub(last_packet_at.min(*millis));
        DrainProgress {
            elapsed: Duration::from_millis(*millis),
            refused_probe_count: probe_count as u32,
            quiet: Duration::from_millis(quiet),
            has_waiting_flows: *millis < waiting_until,
            limit: Duration::from_millis(LIMIT_MILLIS),
        }
        .may_end()
    };
    (0..).step_by(20).find(has_ended).unwrap_or(u64::MAX)
}

/// Failure: planned stops that overlap leave fewer than half of a zone's balancers in use, so
/// that routers send packets to all of them. One that ends at a fixed time loses its share
/// for as long as it takes to start again.
#[test]
fn a_balancer_stays_while_routers_send_it_packets() {
    let cases = [
        (
            "routers leave after two probes",
            end_millis(&[120, 620], 640),
        ),
        ("an earlier probe", end_millis(&[10, 510], 520)),
        ("nobody probes", end_millis(&[], 100)),
        (
            "packets until others are back",
            end_millis(&[120, 620, 1_120], 3_300),
        ),
        (
            "packets all the time",
            end_millis(&[120, 620, 1_120], 60_000),
        ),
        ("no traffic", end_millis(&[120, 620], 0)),
    ];
    let lines = cases.map(|(name, millis)| format!("{name}: {millis} ms"));
    expect![[r#"
        routers leave after two probes: 840 ms
        an earlier probe: 720 ms
        nobody probes: 1600 ms
        packets until others are back: 3500 ms
        packets all the time: 5000 ms
        no traffic: 620 ms"#]]
    .assert_eq(&lines.join("\n"));
}

/// Failure: a process stops under load and ends with flows that it has kept for hosts with
/// room. Their callers get no answer.
#[test]
fn a_balancer_stays_while_flows_wait_for_a_host() {
    assert_eq!(end_millis_with_waiting(&[120, 620], 640, 1_230), 1_240);
    assert_eq!(
        end_millis_with_waiting(&[120, 620], 640, 60_000),
        LIMIT_MILLIS
    );
}
