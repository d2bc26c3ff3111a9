//! Tests of the configuration while the platform is down, does not respond, or loses
//! responses to writes.

mod support;

use std::time::Duration;
use std::time::Instant;

use expect_test::expect;
use hyssopstair_testkit::fleet::FleetPlan;
use hyssopstair_testkit::fleet::TestFleet;
use nix::sys::signal::Signal;
use serde_json::json;

use support::end_reasons;
use support::open_feeds;
use support::wait_for_lines;

/// Maximum time until an accepted configuration is in force on all daemons.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(16);

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_reaches_all_daemons_while_the_platform_is_down() {
    let mut fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
    let mut paused_names = fleet.balancer_names();
    paused_names.extend(fleet.host_names());
    let confirming_names = vec![paused_names.remove(0)];
    for name in &paused_names {
        fleet.send_signal(name, Signal::SIGSTOP).unwrap();
    }
    let rules = format!("{}key 2 # test: yearly change\n", fleet.initial_rules());
    fleet
        .apply_rules_confirmed_by(&rules, &confirming_names)
        .await
        .unwrap();
    fleet.kill("platform").unwrap();
    let start = Instant::now();
    for name in &paused_names {
        fleet.send_signal(name, Signal::SIGCONT).unwrap();
    }
    fleet.wait_for_version(2).await.unwrap();
    assert!(
        start.elapsed() < MAX_PROPAGATION_TIME,
        "{:?}",
        start.elapsed()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_balancer_started_while_the_platform_is_down_forwards_all_feeds() {
    let mut fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
    let feeds = open_feeds(&fleet, "leerplein", 8).await;
    fleet.kill("platform").unwrap();
    fleet.kill("balancer-3").unwrap();
    fleet.restart("balancer-3").unwrap();
    fleet.wait_until_hosts_known().await.unwrap();
    fleet.kill("balancer-1").unwrap();
    fleet.kill("balancer-2").unwrap();
    wait_for_lines(&fleet, &feeds, 5).await;
    expect!["[]"].assert_eq(&format!("{:?}", end_reasons(&feeds)));
    let later_feeds = open_feeds(&fleet, "leerplein", 4).await;
    expect!["[]"].assert_eq(&format!("{:?}", end_reasons(&later_feeds)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_whose_response_is_lost_is_applied_once() {
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
async fn a_paused_platform_interrupts_no_feed_and_is_used_again_afterwards() {
    let fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
    let feeds = open_feeds(&fleet, "leerplein", 8).await;
    fleet.send_signal("platform", Signal::SIGSTOP).unwrap();
    wait_for_lines(&fleet, &feeds, 10).await;
    let later_feeds = open_feeds(&fleet, "leerplein", 4).await;
    fleet.send_signal("platform", Signal::SIGCONT).unwrap();
    let rules = format!("{}key 2 # test: yearly change\n", fleet.initial_rules());
    fleet.apply_rules(&rules).await.unwrap();
    expect!["[]"].assert_eq(&format!("{:?}", end_reasons(&feeds)));
    expect!["[]"].assert_eq(&format!("{:?}", end_reasons(&later_feeds)));
}

/// Returns the arguments that print what the platform holds.
fn show_arguments(fleet: &TestFleet) -> [String; 3] {
    let url = format!("http://{}", fleet.platform_address());
    ["show".to_owned(), "--platform".to_owned(), url]
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_after_a_restore_keeps_the_changes_that_the_platform_has_lost() {
    let fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
    let platform = fleet.platform_address();
    fleet
        .post_json(platform, "/copy", &json!({}))
        .await
        .unwrap();
    let rules = format!("{}key 2 # test: yearly change\n", fleet.initial_rules());
    fleet.apply_rules(&rules).await.unwrap();

    fleet
        .post_json(platform, "/restore", &json!({}))
        .await
        .unwrap();
    let mut arguments: Vec<String> = ["drain", "--asked-by", "test", "--platform"]
        .map(str::to_owned)
        .to_vec();
    arguments.push(format!("http://{platform}"));
    for name in fleet.balancer_names() {
        arguments.push("--confirm".to_owned());
        arguments.push(fleet.admin_address(&name).to_string());
    }
    arguments.push(fleet.inner_address(&fleet.host_names()[0]).to_string());
    fleet.run_operator_command(&arguments).await.unwrap();
    let text = fleet
        .run_operator_command(&show_arguments(&fleet))
        .await
        .unwrap();
    let new_lines: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("key 2") || line.starts_with("drain"))
        .map(|line| line.split(' ').next().unwrap_or_default())
        .collect();
    expect![[r#"["key", "drain"]"#]].assert_eq(&format!("{new_lines:?}"));
    expect!["Some(3)"].assert_eq(&format!("{:?}", fleet.fetch_version("balancer-1").await));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_the_platform_has_lost_is_not_said_to_stay_written() {
    let fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
    let platform = fleet.platform_address();
    let mut names = fleet.balancer_names();
    names.extend(fleet.host_names());
    for name in &names {
        fleet.send_signal(name, Signal::SIGSTOP).unwrap();
    }
    fleet
        .post_json(platform, "/copy", &json!({}))
        .await
        .unwrap();
    let arguments = [
        "drain".to_owned(),
        "--asked-by".to_owned(),
        "test".to_owned(),
        "--wait".to_owned(),
        "4".to_owned(),
        "--platform".to_owned(),
        format!("http://{platform}"),
        "--confirm".to_owned(),
        fleet.admin_address("balancer-1").to_string(),
        fleet.inner_address(&fleet.host_names()[0]).to_string(),
    ];
    let command = tokio::spawn(TestFleet::run_command(arguments.to_vec()));
    let show_arguments = show_arguments(&fleet);
    fleet
        .wait_for("version 2 in the platform", async || {
            let shown = fleet.run_operator_command(&show_arguments).await;
            shown.is_ok_and(|text| text.starts_with("# version 2"))
        })
        .await
        .unwrap();
    fleet
        .post_json(platform, "/restore", &json!({}))
        .await
        .unwrap();
    let error = command.await.unwrap().unwrap_err().to_string();
    let consequence: Vec<&str> = error.trim().rsplit("; ").take(2).collect();
    expect![[
        r#"["apply the change again", "the platform has come back from a copy without the change"]"#
    ]]
    .assert_eq(&format!("{consequence:?}"));
}
