//! Processes that stop answering without dying.

mod support;

use expect_test::expect;
use hyssopstair::ops::load::caller::CallerPool;
use hyssopstair_testkit::fleet::FleetPlan;
use hyssopstair_testkit::fleet::TestFleet;
use nix::sys::signal::Signal;

use support::ended;
use support::feeds_by_host;
use support::open_feeds;
use support::wait_for_lines;
use support::wait_until_passed_by;

/// Feeds that are opened at once to reach every host.
const MANY_FEEDS: usize = 12;

#[tokio::test(flavor = "multi_thread")]
async fn feeds_go_on_past_a_frozen_balancer() {
    let fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
    let feeds = open_feeds(&fleet, "leerplein", MANY_FEEDS).await;
    fleet.send_signal("balancer-1", Signal::SIGSTOP).unwrap();
    wait_for_lines(&fleet, &feeds, 10).await;
    fleet.send_signal("balancer-1", Signal::SIGCONT).unwrap();
    wait_for_lines(&fleet, &feeds, 5).await;
    expect!["[]"].assert_eq(&format!("{:?}", ended(&feeds)));
}

#[tokio::test(flavor = "multi_thread")]
async fn new_flows_pass_by_a_frozen_host() {
    let fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
    fleet.send_signal("leerplein-1", Signal::SIGSTOP).unwrap();
    wait_until_passed_by(&fleet).await;
    let feeds = open_feeds(&fleet, "leerplein", MANY_FEEDS).await;
    expect!["[]"].assert_eq(&format!("{:?}", ended(&feeds)));
    fleet.send_signal("leerplein-1", Signal::SIGCONT).unwrap();
    fleet.wait_until_hosts_known().await.unwrap();
    let later = open_feeds(&fleet, "leerplein", MANY_FEEDS).await;
    expect!["[]"].assert_eq(&format!("{:?}", ended(&later)));
    let counts = feeds_by_host(&fleet, "leerplein").await;
    assert!(counts.iter().all(|(_, count)| *count > 0), "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_can_open_a_flow_again_after_its_host_was_killed() {
    let mut fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
    fleet.kill("leerplein-1").unwrap();
    let pool = CallerPool::open(&fleet.certificate_path()).unwrap();
    let address = std::net::SocketAddr::V4(fleet.service_address("leerplein"));
    // Callers try again as they do: each attempt has a limit of its own.
    fleet
        .wait_for("many flows in a row", async || {
            for _ in 0..MANY_FEEDS {
                if pool.connect("leerplein", address).await.is_err() {
                    return false;
                }
            }
            true
        })
        .await
        .unwrap();
}
