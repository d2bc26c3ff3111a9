//! Measures how long feeds stall when a balancer is killed.
//!
//! The callers send no data while their feeds are open. For each balancer in turn, the program
//! prints as JSON the median and the maximum, over all feeds, of the longest gap between two
//! lines before and after the balancer is killed. Run `cargo build --bins --examples` first.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyssopstair::ops::load::caller::CallerConnector;
use hyssopstair::ops::load::caller::CallerFlow;
use hyssopstair::ops::load::caller::read_chunk;
use hyssopstair_testkit::fleet::FleetPlan;
use hyssopstair_testkit::fleet::TestFleet;

/// Number of feeds, each on a flow of its own.
const FEED_COUNT: usize = 24;

/// Time for which the feeds are observed before and after each kill.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);

/// The longest gap between the lines of one feed since it was last reset.
#[derive(Debug)]
struct FeedGaps {
    last_line_at: Instant,
    longest_gap: Duration,
    has_ended: bool,
}

/// The gaps of one feed, shared with the task that reads it.
type SharedGaps = Arc<Mutex<FeedGaps>>;

/// Requests a feed and records the gaps between its chunks until it ends.
async fn read_feed(flow: CallerFlow, path: String, gaps: SharedGaps) {
    if let Ok((_, mut stream)) = flow.start_request("GET", &path, "", Bytes::new()).await {
        while let Ok(Some(_)) = read_chunk(&mut stream).await {
            let mut gaps = gaps.lock().expect("the lock is poisoned");
            gaps.longest_gap = gaps.longest_gap.max(gaps.last_line_at.elapsed());
            gaps.last_line_at = Instant::now();
        }
    }
    gaps.lock().expect("the lock is poisoned").has_ended = true;
}

/// Opens a flow to the service and starts a task that reads a feed on it.
async fn open_feed(connector: &CallerConnector, address: SocketAddr, number: usize) -> SharedGaps {
    let flow = connector
        .connect("leerplein", address)
        .await
        .expect("failed to open a flow to the service");
    let gaps = Arc::new(Mutex::new(FeedGaps {
        last_line_at: Instant::now(),
        longest_gap: Duration::ZERO,
        has_ended: false,
    }));
    let path = format!("/feed/van-{number}");
    tokio::spawn(read_feed(flow, path, gaps.clone()));
    gaps
}

/// Observes all feeds for [`OBSERVATION_TIME`] and returns the longest gap of each in
/// milliseconds, in ascending order.
async fn measure_longest_gaps(feeds: &[SharedGaps]) -> Vec<u128> {
    for feed in feeds {
        feed.lock().expect("the lock is poisoned").longest_gap = Duration::ZERO;
    }
    tokio::time::sleep(OBSERVATION_TIME).await;
    let longest_gap_millis = |feed: &SharedGaps| {
        let gaps = feed.lock().expect("the lock is poisoned");
        gaps.longest_gap
            .max(gaps.last_line_at.elapsed())
            .as_millis()
    };
    let mut gap_millis: Vec<u128> = feeds.iter().map(longest_gap_millis).collect();
    gap_millis.sort_unstable();
    gap_millis
}

#[tokio::main]
async fn main() {
    let mut fleet = TestFleet::start(FleetPlan::small())
        .await
        .expect("failed to start the fleet");
    let connector = CallerConnector::with_root_certificate(&fleet.certificate_path())
        .expect("the certificate of the fleet is invalid");
    let address = SocketAddr::V4(fleet.service_address("leerplein"));
    let mut feeds = Vec::new();
    for number in 0..FEED_COUNT {
        feeds.push(open_feed(&connector, address, number).await);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    for name in fleet.balancer_names() {
        let gaps_before = measure_longest_gaps(&feeds).await;
        fleet.kill(&name).expect("failed to kill the balancer");
        let gaps_after = measure_longest_gaps(&feeds).await;
        fleet
            .restart(&name)
            .expect("failed to restart the balancer");
        fleet
            .wait_until_hosts_known()
            .await
            .expect("not all daemons know all hosts after the restart of the balancer");
        let ended_count = feeds
            .iter()
            .filter(|feed| feed.lock().expect("the lock is poisoned").has_ended)
            .count();
        println!(
            "{{\"killed\":\"{name}\",\"feeds\":{FEED_COUNT},\"ended\":{ended_count},\
             \"gap_before_ms\":{{\"median\":{},\"longest\":{}}},\
             \"gap_after_ms\":{{\"median\":{},\"longest\":{}}}}}",
            gaps_before[FEED_COUNT / 2],
            gaps_before[FEED_COUNT - 1],
            gaps_after[FEED_COUNT / 2],
            gaps_after[FEED_COUNT - 1],
        );
    }
}
