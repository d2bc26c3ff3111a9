//! Tests that daemons without open flows and requests exit after SIGTERM.

use std::time::Duration;

use hyssopstair_testkit::fleet::FleetPlan;
use hyssopstair_testkit::fleet::TestFleet;
use nix::sys::signal::Signal;

/// Maximum time until a daemon without open flows and requests exits.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of fleets that are started and stopped one after the other.
const FLEET_COUNT: usize = 3;

#[tokio::test(flavor = "multi_thread")]
async fn each_idle_daemon_exits_after_sigterm() {
    for _ in 0..FLEET_COUNT {
        let mut fleet = TestFleet::start(FleetPlan::small()).await.unwrap();
        let mut names = fleet.balancer_names();
        names.extend(fleet.host_names());
        for name in &names {
            fleet.send_signal(name, Signal::SIGTERM).unwrap();
        }
        for name in &names {
            let success = fleet.wait_for_exit(name, STOP_TIMEOUT).await.unwrap();
            assert!(success, "{name}");
        }
    }
}
