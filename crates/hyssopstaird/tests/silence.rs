//! Tests with processes that stop responding: paused by SIGSTOP, so that their sockets
//! stay open, or killed.

mod support;

use expect_test::expect;
use hyssopstair::ops::load::caller::CallerConnector;
use hyssopstair_testkit::fleet::FleetPlan;
use hyssopstair_testkit::fleet::TestFleet;
use nix::sys::signal::Signal;

use support::count_feeds_by_host;
use support::end_reasons;
use support::open_feeds;
use support::wait_for_lines;
use support::wait_until_one_host_excluded;

/// Number of feeds or flows that are opened so that every host receives some.
const FLOW_COUNT: usize = 12;

#[tokio::test(flavor = "multi_thread")]
async fn feeds_continue_while_a_balancer_is_paused() {
    let fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
    let feeds = open_feeds(&fleet, "leerplein", FLOW_COUNT).await;
    fleet.send_signal("balancer-1", Signal::SIGSTOP).unwrap();
    wait_for_lines(&fleet, &feeds, 10).await;
    fleet.send_signal("balancer-1", Signal::SIGCONT).unwrap();
    wait_for_lines(&fleet, &feeds, 5).await;
    expect!["[]"].assert_eq(&format!("{:?}", end_reasons(&feeds)));
}

#[tokio::test(flavor = "multi_thread")]
async fn new_flows_avoid_a_paused_host() {
    let fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
    fleet.send_signal("leerplein-1", Signal::SIGSTOP).unwrap();
    wait_until_one_host_excluded(&fleet).await;
    let feeds = open_feeds(&fleet, "leerplein", FLOW_COUNT).await;
    expect!["[]"].assert_eq(&format!("{:?}", end_reasons(&feeds)));
    fleet.send_signal("leerplein-1", Signal::SIGCONT).unwrap();
    fleet.wait_until_hosts_known().await.unwrap();
    let later_feeds = open_feeds(&fleet, "leerplein", FLOW_COUNT).await;
    expect!["[]"].assert_eq(&format!("{:?}", end_reasons(&later_feeds)));
    let counts = count_feeds_by_host(&fleet, "leerplein").await;
    assert!(counts.iter().all(|(_, count)| *count > 0), "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_can_open_flows_after_a_host_is_killed() {
    let mut fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
    fleet.kill("leerplein-1").unwrap();
    let connector = CallerConnector::with_root_certificate(&fleet.certificate_path()).unwrap();
    let address = std::net::SocketAddr::V4(fleet.service_address("leerplein"));
    // Until the balancers exclude the killed host, an attempt may time out; each attempt
    // has its own timeout.
    fleet
        .wait_for("success of all flows in a row", async || {
            for _ in 0..FLOW_COUNT {
                if connector.connect("leerplein", address).await.is_err() {
                    return false;
                }
            }
            true
        })
        .await
        .unwrap();
}
