//! Tests that open feeds continue while balancers are killed, stopped and restarted.

mod support;

use expect_test::expect;
use hyssopstair_testkit::fleet::FleetPlan;
use hyssopstair_testkit::fleet::TestFleet;
use nix::sys::signal::Signal;

use support::count_misdelivered_requests;
use support::end_reasons;
use support::open_feeds;
use support::wait_for_lines;

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_the_kill_of_each_balancer() {
    let mut fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
    let feeds = open_feeds(&fleet, "leerplein", 12).await;
    for name in fleet.balancer_names() {
        fleet.kill(&name).unwrap();
        wait_for_lines(&fleet, &feeds, 5).await;
        fleet.restart(&name).unwrap();
        fleet.wait_until_hosts_known().await.unwrap();
        wait_for_lines(&fleet, &feeds, 2).await;
    }
    expect!["[]"].assert_eq(&format!("{:?}", end_reasons(&feeds)));
    assert_eq!(count_misdelivered_requests(&fleet).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_continue_with_one_balancer_and_packet_loss() {
    let mut plan = FleetPlan::small();
    plan.fabric_arguments = ["--loss", "0.02", "--duplicate", "0.02", "--reorder", "0.05"]
        .map(str::to_owned)
        .to_vec();
    let mut fleet = TestFleet::start(plan).await.unwrap();
    let feeds = open_feeds(&fleet, "leerplein", 8).await;
    fleet.kill("balancer-1").unwrap();
    fleet.kill("balancer-2").unwrap();
    wait_for_lines(&fleet, &feeds, 10).await;
    expect!["[]"].assert_eq(&format!("{:?}", end_reasons(&feeds)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_balancer_that_receives_sigterm_exits_and_interrupts_no_feed() {
    let mut fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
    let feeds = open_feeds(&fleet, "leerplein", 8).await;
    fleet.send_signal("balancer-2", Signal::SIGTERM).unwrap();
    let success = fleet
        .wait_for_exit("balancer-2", std::time::Duration::from_secs(10))
        .await
        .unwrap();
    assert!(success);
    wait_for_lines(&fleet, &feeds, 5).await;
    expect!["[]"].assert_eq(&format!("{:?}", end_reasons(&feeds)));
}
