//! Helpers for the tests that start a fleet of real processes: feeds that are read in the
//! background, and counts over all hosts.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyssopstair::ops::load::caller::CallerConnector;
use hyssopstair::ops::load::caller::CallerFlow;
use hyssopstair::ops::load::caller::read_chunk;
use hyssopstair_testkit::fleet::TestFleet;

/// The progress of a feed.
#[derive(Debug, Clone, Default)]
pub struct FeedState {
    /// The number of lines received, all of them in order.
    pub line_count: u64,
    /// The reason why the feed ended, or `None` while it is open.
    pub end_reason: Option<String>,
    /// The time at which the feed ended.
    pub ended_at: Option<Instant>,
}

/// A feed that a background task reads until it ends.
#[derive(Debug, Clone)]
pub struct WatchedFeed {
    state: Arc<Mutex<FeedState>>,
}

impl WatchedFeed {
    /// Opens a flow to a service and requests the feed `name` on it.
    pub async fn open(
        connector: &CallerConnector,
        fleet: &TestFleet,
        service: &str,
        name: &str,
    ) -> Self {
        let flow = open_flow(connector, fleet, service).await;
        let feed = Self {
            state: Arc::default(),
        };
        let state = feed.state.clone();
        let name = name.to_owned();
        tokio::spawn(async move {
            let end_reason = read_feed(&flow, &name, &state).await;
            let mut state = state.lock().unwrap();
            state.end_reason = Some(end_reason);
            state.ended_at = Some(Instant::now());
        });
        feed
    }

    /// Returns the progress of the feed.
    pub fn state(&self) -> FeedState {
        self.state.lock().unwrap().clone()
    }
}

/// Reads a feed and counts its lines. Returns the reason why it ended: the end of the
/// response, an error, or a line out of order.
async fn read_feed(flow: &CallerFlow, name: &str, state: &Mutex<FeedState>) -> String {
    let path = format!("/feed/{name}");
    let (_, mut stream) = match flow.start_request("GET", &path, "", Bytes::new()).await {
        Ok(response) => response,
        Err(error) => return error.to_string(),
    };
    let mut text = String::new();
    loop {
        match read_chunk(&mut stream).await {
            Ok(Some(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => return "the response ended".to_owned(),
            Err(error) => return error.to_string(),
        }
        while let Some((line, remainder)) = text.split_once('\n') {
            let mut state = state.lock().unwrap();
            if line != format!("{name} {}", state.line_count) {
                return format!("received line {line} instead of line {}", state.line_count);
            }
            state.line_count += 1;
            text = remainder.to_owned();
        }
    }
}

/// Opens a flow to a service. Panics if that fails.
pub async fn open_flow(
    connector: &CallerConnector,
    fleet: &TestFleet,
    service: &str,
) -> CallerFlow {
    let address = SocketAddr::V4(fleet.service_address(service));
    connector
        .connect(service, address)
        .await
        .expect("failed to open a flow to the service")
}

/// Opens `count` feeds, each on a flow of its own, and waits until each has received a line.
pub async fn open_feeds(fleet: &TestFleet, service: &str, count: usize) -> Vec<WatchedFeed> {
    let connector = CallerConnector::with_root_certificate(&fleet.certificate_path())
        .expect("the certificate of the fleet is invalid");
    let mut feeds = Vec::new();
    for feed_number in 0..count {
        feeds.push(
            WatchedFeed::open(&connector, fleet, service, &format!("van-{feed_number}")).await,
        );
    }
    wait_for_lines(fleet, &feeds, 1).await;
    feeds
}

/// Waits until each open feed has received `count` more lines.
pub async fn wait_for_lines(fleet: &TestFleet, feeds: &[WatchedFeed], count: u64) {
    let counts_before: Vec<u64> = feeds.iter().map(|feed| feed.state().line_count).collect();
    fleet
        .wait_for("new lines on all feeds", async || {
            feeds
                .iter()
                .zip(&counts_before)
                .all(|(feed, count_before)| {
                    let state = feed.state();
                    state.end_reason.is_some() || state.line_count >= count_before + count
                })
        })
        .await
        .unwrap();
}

/// Returns the reasons of the feeds that have ended.
pub fn end_reasons(feeds: &[WatchedFeed]) -> Vec<String> {
    feeds
        .iter()
        .filter_map(|feed| feed.state().end_reason)
        .collect()
}

/// Returns the name of each host of a service with the number of feeds that were opened at
/// its backend server. Leaves out backend servers that do not answer.
pub async fn count_feeds_by_host(fleet: &TestFleet, service: &str) -> Vec<(String, u64)> {
    let mut counts = Vec::new();
    for host in fleet.host_names() {
        if host.starts_with(service)
            && let Some(report) = fleet.fetch_backend_report(&host).await
        {
            counts.push((host, report.feeds));
        }
    }
    counts
}

/// Returns the name of a host at which feeds were opened, and their number.
pub async fn find_host_with_feeds(fleet: &TestFleet, service: &str) -> (String, u64) {
    count_feeds_by_host(fleet, service)
        .await
        .into_iter()
        .find(|(_, count)| *count > 0)
        .expect("no host has a feed")
}

/// Waits until each balancer excludes exactly one host from new flows.
pub async fn wait_until_one_host_excluded(fleet: &TestFleet) {
    let expected_hosts = Some(fleet.host_names().len() - 1);
    fleet
        .wait_for("exclusion of one host by all balancers", async || {
            for name in fleet.balancer_names() {
                if fleet.fetch_candidate_count(&name).await != expected_hosts {
                    return false;
                }
            }
            true
        })
        .await
        .unwrap();
}

/// Waits until exactly `count` feeds have ended.
pub async fn wait_for_ended_feeds(fleet: &TestFleet, feeds: &[WatchedFeed], count: u64) {
    fleet
        .wait_for("end of the feeds of the killed host", async || {
            end_reasons(feeds).len() as u64 == count
        })
        .await
        .unwrap();
}

/// Returns the number of requests that reached a backend server of the wrong service, over
/// all hosts.
pub async fn count_misdelivered_requests(fleet: &TestFleet) -> u64 {
    let mut count = 0;
    for host in fleet.host_names() {
        if let Some(report) = fleet.fetch_backend_report(&host).await {
            count += report.misdelivered;
        }
    }
    count
}

/// Maximum time until all balancers exclude a stopping host from new flows. The requirement
/// is "a few seconds".
pub const MAX_EXCLUSION_TIME: Duration = Duration::from_secs(3);
