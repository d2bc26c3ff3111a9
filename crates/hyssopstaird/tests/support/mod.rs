//! What the tests of whole processes share.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyssopstair::ops::load::caller::CallerFlow;
use hyssopstair::ops::load::caller::CallerPool;
use hyssopstair::ops::load::caller::read_chunk;
use hyssopstair_testkit::fleet::TestFleet;

/// How a feed stands.
#[derive(Debug, Clone, Default)]
pub struct FeedState {
    /// Lines that came, all of them in order.
    pub lines: u64,
    /// Why the feed ended, if it did.
    pub ended: Option<String>,
    /// When it ended.
    pub ended_at: Option<Instant>,
}

/// A feed that is held open.
#[derive(Debug, Clone)]
pub struct FeedWatcher {
    state: Arc<Mutex<FeedState>>,
}

impl FeedWatcher {
    /// Opens a feed on a flow of its own.
    pub async fn open(pool: &CallerPool, fleet: &TestFleet, service: &str, name: &str) -> Self {
        let flow = connect(pool, fleet, service).await;
        let watcher = Self {
            state: Arc::default(),
        };
        let state = watcher.state.clone();
        let name = name.to_owned();
        tokio::spawn(async move {
            let ended = read_feed(&flow, &name, &state).await;
            let mut state = state.lock().unwrap();
            state.ended = Some(ended);
            state.ended_at = Some(Instant::now());
        });
        watcher
    }

    /// Returns how the feed stands.
    pub fn state(&self) -> FeedState {
        self.state.lock().unwrap().clone()
    }
}

async fn read_feed(flow: &CallerFlow, name: &str, state: &Mutex<FeedState>) -> String {
    let path = format!("/feed/{name}");
    let (_, mut stream) = match flow.ask("GET", &path, "", Bytes::new()).await {
        Ok(answer) => answer,
        Err(error) => return error.to_string(),
    };
    let mut text = String::new();
    loop {
        match read_chunk(&mut stream).await {
            Ok(Some(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => return "end of the answer".to_owned(),
            Err(error) => return error.to_string(),
        }
        while let Some((line, rest)) = text.split_once('\n') {
            let mut state = state.lock().unwrap();
            if line != format!("{name} {}", state.lines) {
                return format!("line {line} stands in place of line {}", state.lines);
            }
            state.lines += 1;
            text = rest.to_owned();
        }
    }
}

/// Opens a flow to a service.
pub async fn connect(pool: &CallerPool, fleet: &TestFleet, service: &str) -> CallerFlow {
    let address = SocketAddr::V4(fleet.service_address(service));
    pool.connect(service, address)
        .await
        .expect("a flow opens while the fleet is whole")
}

/// Opens `count` feeds and waits until each has a line.
pub async fn open_feeds(fleet: &TestFleet, service: &str, count: usize) -> Vec<FeedWatcher> {
    let pool = CallerPool::open(&fleet.certificate_path()).expect("the certificate is good");
    let mut feeds = Vec::new();
    for number in 0..count {
        feeds.push(FeedWatcher::open(&pool, fleet, service, &format!("van-{number}")).await);
    }
    wait_for_lines(fleet, &feeds, 1).await;
    feeds
}

/// Waits until each feed that runs has `count` more lines than now.
pub async fn wait_for_lines(fleet: &TestFleet, feeds: &[FeedWatcher], count: u64) {
    let before: Vec<u64> = feeds.iter().map(|feed| feed.state().lines).collect();
    fleet
        .wait_for("new lines on all feeds", async || {
            feeds.iter().zip(&before).all(|(feed, before)| {
                let state = feed.state();
                state.ended.is_some() || state.lines >= before + count
            })
        })
        .await
        .unwrap();
}

/// Returns why feeds ended, for those that did.
pub fn ended(feeds: &[FeedWatcher]) -> Vec<String> {
    feeds.iter().filter_map(|feed| feed.state().ended).collect()
}

/// Returns the feeds that each host's backend server has opened.
pub async fn feeds_by_host(fleet: &TestFleet, service: &str) -> Vec<(String, u64)> {
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

/// Returns a host that has a feed, and how many it has.
pub async fn host_with_feeds(fleet: &TestFleet, service: &str) -> (String, u64) {
    feeds_by_host(fleet, service)
        .await
        .into_iter()
        .find(|(_, count)| *count > 0)
        .expect("some host has a feed")
}

/// Waits until every balancer counts one host less as alive.
pub async fn wait_until_passed_by(fleet: &TestFleet) {
    let expected = Some(fleet.host_names().len() - 1);
    fleet
        .wait_for("balancers turning to other hosts", async || {
            for name in fleet.balancer_names() {
                if fleet.fetch_candidate_count(&name).await != expected {
                    return false;
                }
            }
            true
        })
        .await
        .unwrap();
}

/// Waits until `count` feeds have ended.
pub async fn wait_for_ends(fleet: &TestFleet, feeds: &[FeedWatcher], count: u64) {
    fleet
        .wait_for("the end of the dead host's feeds", async || {
            ended(feeds).len() as u64 == count
        })
        .await
        .unwrap();
}

/// Returns the requests that reached a wrong service, over all hosts.
pub async fn misdelivered(fleet: &TestFleet) -> u64 {
    let mut count = 0;
    for host in fleet.host_names() {
        if let Some(report) = fleet.fetch_backend_report(&host).await {
            count += report.misdelivered;
        }
    }
    count
}

/// Longest time that a test waits for what the brief calls a few seconds.
pub const FEW_SECONDS: Duration = Duration::from_secs(3);
