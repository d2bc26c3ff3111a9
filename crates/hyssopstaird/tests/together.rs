//! Tests that faults and planned changes that overlap, under load, break no flow and run no
//! request twice.

use std::fs;

use expect_test::expect;
use hyssopstair_testkit::fleet::FleetPlan;
use hyssopstair_testkit::fleet::TestFleet;
use nix::sys::signal::Signal;
use serde_json::Value;
use tempfile::TempDir;

/// Number of feeds that stay open during all faults.
const FEED_COUNT: u32 = 20;

/// Returns the workload for the load generator: feeds, and enrolments on flows that reconnect.
fn workload_yaml(fleet: &TestFleet) -> String {
    let backends: Vec<String> = fleet
        .host_names()
        .iter()
        .filter(|host| host.starts_with("leerplein"))
        .map(|host| format!("\"{}\"", fleet.backend_address(host)))
        .collect();
    format!(
        "seconds: 12\nseed: 5\ncertificate: {}\nservices:\n  - name: leerplein\n    address: {}\n    \
         feeds: {FEED_COUNT}\n    requests:\n      - {{method: POST, path: /work/enrol, rate: 30, \
         flows: 10, reconnect_seconds: 2}}\n    backends: [{}]\n",
        fleet.certificate_path().display(),
        fleet.service_address("leerplein"),
        backends.join(", ")
    )
}

/// Waits until the load generator has opened all feeds.
async fn wait_until_feeds_open(fleet: &TestFleet) {
    fleet
        .wait_for("opening of all feeds", async || {
            let mut open_count = 0;
            for host in fleet.host_names() {
                open_count += fleet
                    .fetch_backend_report(&host)
                    .await
                    .map_or(0, |report| report.feeds);
            }
            open_count >= u64::from(FEED_COUNT)
        })
        .await
        .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn no_flow_breaks_and_no_request_runs_twice_during_faults_and_planned_changes() {
    let mut fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
    let directory = TempDir::new().unwrap();
    let workload_path = directory.path().join("workload.yaml");
    let report_path = directory.path().join("report.json");
    fs::write(&workload_path, workload_yaml(&fleet)).unwrap();
    let arguments = [
        "load",
        "--json",
        report_path.to_str().unwrap(),
        workload_path.to_str().unwrap(),
    ];
    let arguments: Vec<String> = arguments.map(str::to_owned).to_vec();
    let load_task = tokio::spawn(TestFleet::run_command(arguments));
    wait_until_feeds_open(&fleet).await;
    // A balancer is killed while one host is drained by rule and another receives SIGTERM.
    fleet.kill("balancer-1").unwrap();
    let inner_address = fleet.inner_address("leerplein-1");
    let rules = format!(
        "{}drain {inner_address} # test: new disks\n",
        fleet.initial_rules()
    );
    fleet.apply_rules(&rules).await.unwrap();
    fleet.send_signal("leerplein-2", Signal::SIGTERM).unwrap();
    // While the platform is paused, the balancer restarts and another one is killed.
    fleet.send_signal("platform", Signal::SIGSTOP).unwrap();
    fleet.restart("balancer-1").unwrap();
    fleet.wait_for_version(2).await.unwrap();
    fleet.kill("balancer-2").unwrap();
    fleet.send_signal("platform", Signal::SIGCONT).unwrap();
    let _ = load_task.await.unwrap();
    let report: Value = serde_json::from_str(&fs::read_to_string(&report_path).unwrap()).unwrap();
    expect!["broken 0, doubled 0, wrong service 0, wrong answers 0, may have run 0"].assert_eq(
        &format!(
            "broken {}, doubled {}, wrong service {}, wrong answers {}, may have run {}",
            report["flows_broken"],
            report["doubled"],
            report["wrong_service"],
            report["wrong_answers"],
            report["may_have_run"]
        ),
    );
    assert!(report["done"].as_u64() > Some(100), "{report}");
}
