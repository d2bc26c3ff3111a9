//! Daemons that are told to stop while nobody uses them.

use std::time::Duration;

use hyssopstair_testkit::fleet::FleetPlan;
use hyssopstair_testkit::fleet::TestFleet;
use nix::sys::signal::Signal;

/// Longest time of a stop with nothing in progress.
const STOP_TIME: Duration = Duration::from_secs(10);

/// Fleets that are stopped one after the other.
const ROUNDS: usize = 3;

#[tokio::test(flavor = "multi_thread")]
async fn each_daemon_ends_by_itself() {
    for _ in 0..ROUNDS {
        let mut fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
        let mut names = fleet.balancer_names();
        names.extend(fleet.host_names());
        for name in &names {
            fleet.send_signal(name, Signal::SIGTERM).unwrap();
        }
        for name in &names {
            let success = fleet.wait_for_exit(name, STOP_TIME).await.unwrap();
            assert!(success, "{name}");
        }
    }
}
