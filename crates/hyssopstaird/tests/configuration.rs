//! Configuration while the platform is down, slow, or loses answers.

mod support;

use std::time::Duration;
use std::time::Instant;

use expect_test::expect;
use hyssopstair_testkit::fleet::FleetPlan;
use hyssopstair_testkit::fleet::TestFleet;
use nix::sys::signal::Signal;
use serde_json::json;

use support::ended;
use support::open_feeds;
use support::wait_for_lines;

/// Longest time until an accepted configuration is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(16);

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_spreads_while_the_platform_is_down() {
    let mut fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
    let mut frozen = fleet.balancer_names();
    frozen.extend(fleet.host_names());
    let confirming = vec![frozen.remove(0)];
    for name in &frozen {
        fleet.send_signal(name, Signal::SIGSTOP).unwrap();
    }
    let rules = format!("{}key 2 # test: yearly change\n", fleet.initial_rules());
    fleet
        .apply_rules_confirmed_by(&rules, &confirming)
        .await
        .unwrap();
    fleet.kill("platform").unwrap();
    let start = Instant::now();
    for name in &frozen {
        fleet.send_signal(name, Signal::SIGCONT).unwrap();
    }
    fleet.wait_for_version(2).await.unwrap();
    assert!(start.elapsed() < IN_FORCE, "{:?}", start.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_balancer_born_while_the_platform_is_down_carries_all_feeds() {
    let mut fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
    let feeds = open_feeds(&fleet, "leerplein", 8).await;
    fleet.kill("platform").unwrap();
    fleet.kill("balancer-3").unwrap();
    fleet.restart("balancer-3").unwrap();
    fleet.wait_until_hosts_known().await.unwrap();
    fleet.kill("balancer-1").unwrap();
    fleet.kill("balancer-2").unwrap();
    wait_for_lines(&fleet, &feeds, 5).await;
    expect!["[]"].assert_eq(&format!("{:?}", ended(&feeds)));
    let later = open_feeds(&fleet, "leerplein", 4).await;
    expect!["[]"].assert_eq(&format!("{:?}", ended(&later)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_whose_answer_is_lost_counts_once() {
    let fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
    let faults = json!({ "lost_answers": 1 });
    fleet
        .post_json(fleet.platform_address(), "/faults", &faults)
        .await
        .unwrap();
    let rules = format!("{}key 2 # test: yearly change\n", fleet.initial_rules());
    fleet.apply_rules(&rules).await.unwrap();
    expect!["Some(2)"].assert_eq(&format!("{:?}", fleet.fetch_version("balancer-1").await));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_platform_stops_nothing_and_is_used_again_afterwards() {
    let fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
    let feeds = open_feeds(&fleet, "leerplein", 8).await;
    fleet.send_signal("platform", Signal::SIGSTOP).unwrap();
    wait_for_lines(&fleet, &feeds, 10).await;
    let later = open_feeds(&fleet, "leerplein", 4).await;
    fleet.send_signal("platform", Signal::SIGCONT).unwrap();
    let rules = format!("{}key 2 # test: yearly change\n", fleet.initial_rules());
    fleet.apply_rules(&rules).await.unwrap();
    expect!["[]"].assert_eq(&format!("{:?}", ended(&feeds)));
    expect!["[]"].assert_eq(&format!("{:?}", ended(&later)));
}
