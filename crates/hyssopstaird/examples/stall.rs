//! Measures how long feeds stall when a balancer is killed.
//!
//! The callers send nothing of their own accord. For each balancer in turn,
//! prints the longest gap between two lines of a feed before and after the
//! kill, as JSON. `cargo build --bins --examples` has to come first.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyssopstair::ops::load::caller::CallerFlow;
use hyssopstair::ops::load::caller::CallerPool;
use hyssopstair::ops::load::caller::read_chunk;
use hyssopstair_testkit::fleet::FleetPlan;
use hyssopstair_testkit::fleet::TestFleet;

const FEEDS: usize = 24;

/// Time of observation before and after each kill.
const WINDOW: Duration = Duration::from_secs(5);

/// The gaps between the lines of one feed.
#[derive(Debug)]
struct FeedGaps {
    last: Instant,
    longest: Duration,
    ended: bool,
}

type SharedGaps = Arc<Mutex<FeedGaps>>;

async fn read_feed(flow: CallerFlow, path: String, gaps: SharedGaps) {
    if let Ok((_, mut stream)) = flow.ask("GET", &path, "", Bytes::new()).await {
        while let Ok(Some(_)) = read_chunk(&mut stream).await {
            let mut gaps = gaps.lock().expect("no reader panics");
            gaps.longest = gaps.longest.max(gaps.last.elapsed());
            gaps.last = Instant::now();
        }
    }
    gaps.lock().expect("no reader panics").ended = true;
}

async fn open_feed(pool: &CallerPool, address: SocketAddr, number: usize) -> SharedGaps {
    let flow = pool.connect("leerplein", address).await.expect("it opens");
    let gaps = Arc::new(Mutex::new(FeedGaps {
        last: Instant::now(),
        longest: Duration::ZERO,
        ended: false,
    }));
    let path = format!("/feed/van-{number}");
    tokio::spawn(read_feed(flow, path, gaps.clone()));
    gaps
}

/// Watches all feeds for a while and returns the longest gaps, sorted.
async fn watch(feeds: &[SharedGaps]) -> Vec<u128> {
    for feed in feeds {
        feed.lock().expect("no reader panics").longest = Duration::ZERO;
    }
    tokio::time::sleep(WINDOW).await;
    let longest = |feed: &SharedGaps| {
        let gaps = feed.lock().expect("no reader panics");
        gaps.longest.max(gaps.last.elapsed()).as_millis()
    };
    let mut gaps: Vec<u128> = feeds.iter().map(longest).collect();
    gaps.sort_unstable();
    gaps
}

#[tokio::main]
async fn main() {
    let mut fleet = TestFleet::start(FleetPlan::small())
        .await
        .expect("it starts");
    let pool = CallerPool::open(&fleet.certificate_path()).expect("the certificate is good");
    let address = SocketAddr::V4(fleet.service_address("leerplein"));
    let mut feeds = Vec::new();
    for number in 0..FEEDS {
        feeds.push(open_feed(&pool, address, number).await);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    for name in fleet.balancer_names() {
        let before = watch(&feeds).await;
        fleet.kill(&name).expect("it is there");
        let after = watch(&feeds).await;
        fleet.restart(&name).expect("it starts again");
        fleet.wait_until_hosts_known().await.expect("it settles");
        let ended = feeds
            .iter()
            .filter(|feed| feed.lock().expect("no reader panics").ended)
            .count();
        println!(
            "{{\"killed\":\"{name}\",\"feeds\":{FEEDS},\"ended\":{ended},\
             \"gap_before_ms\":{{\"median\":{},\"longest\":{}}},\
             \"gap_after_ms\":{{\"median\":{},\"longest\":{}}}}}",
            before[FEEDS / 2],
            before[FEEDS - 1],
            after[FEEDS / 2],
            after[FEEDS - 1],
        );
    }
}
