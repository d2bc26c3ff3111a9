//! Fetches newer configurations from the platform and from peers.
//!
//! Two loops run side by side: one reads the platform at the fleet's fixed rate,
//! the other asks peers that were heard with a higher version. So neither a
//! stalled platform nor a silent peer holds up the other way.

use std::net::SocketAddrV4;
use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing::get;
use futures::StreamExt;
use futures::stream;
use hyssopstair_platform::client::PlatformClient;
use hyssopstair_platform::client::PlatformError;
use hyssopstair_platform::fetch::FetchStep;
use hyssopstair_platform::record::CONFIGURATION_KEY;
use hyssopstair_platform::record::ConfigurationRecord;
use hyssopstair_platform::record::VERSION_KEY;
use hyssopstair_platform::schedule::OutageNews;
use hyssopstair_platform::schedule::OutageState;
use hyssopstair_platform::schedule::poll_interval;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::peer::PeerAnswer;
use hyssopstair_wire::peer::PeerRequest;
use rand::RngExt;
use serde::Serialize;

use crate::control::node::ControlNode;
use crate::control::node::lock;
use crate::peer;

/// Balancers that are asked for their versions at once.
const VERSION_QUESTIONS: usize = 32;

/// Runs until the process ends.
pub async fn run(node: Arc<ControlNode>, client: PlatformClient) {
    futures::join!(poll_platform(&node, &client), ask_peers(&node));
}

async fn poll_platform(node: &ControlNode, client: &PlatformClient) {
    let mut outage = OutageState::default();
    loop {
        let news = match read_platform(node, client).await {
            Ok(()) => outage.succeed(node.clock.now()),
            Err(error) => {
                log::debug!("config: {error}");
                outage.fail(node.clock.now())
            }
        };
        log_outage("config", news);
        let jitter = rand::rng().random_range(0.0..1.0);
        let members = node.members().len();
        tokio::time::sleep(poll_interval(members, outage.failures(), jitter)).await;
    }
}

/// Reads the version, and the configuration if its version is higher.
async fn read_platform(node: &ControlNode, client: &PlatformClient) -> Result<(), PlatformError> {
    let Some(stored) = client.get(VERSION_KEY).await? else {
        return Ok(());
    };
    let version: u64 = std::str::from_utf8(&stored.value)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(u64::MAX);
    if version <= node.view().version {
        return Ok(());
    }
    let Some(stored) = client.get(CONFIGURATION_KEY).await? else {
        return Ok(());
    };
    match ConfigurationRecord::decode(&stored.value) {
        Ok(record) => {
            node.offer_config(record.version, &record.text);
        }
        Err(error) => log::warn!("config: {error}"),
    }
    Ok(())
}

/// Writes to the log what is new about an outage of the platform.
pub fn log_outage(part: &str, news: Option<OutageNews>) {
    match news {
        Some(OutageNews::Away(time)) if time.is_zero() => {
            log::warn!(
                "{part}: the platform does not answer; trying on, peers are asked meanwhile"
            );
        }
        Some(OutageNews::Away(time)) => {
            let seconds = time.as_secs();
            log::warn!("{part}: the platform has not answered for {seconds} s; trying on");
        }
        Some(OutageNews::Back(time)) => {
            let seconds = time.as_secs();
            log::info!("{part}: the platform answers again after {seconds} s");
        }
        None => {}
    }
}

/// Notes the version that a peer has; runs for each control packet.
pub fn hear_version(node: &ControlNode, from: SocketAddrV4, version: u64) {
    if version <= node.view().version {
        return;
    }
    if lock(&node.fetch).hear(from, version) {
        node.version_heard.notify_one();
    }
}

async fn ask_peers(node: &ControlNode) {
    loop {
        let step = lock(&node.fetch).next(node.view().version, node.clock.now());
        match step {
            FetchStep::Idle | FetchStep::Wait => node.version_heard.notified().await,
            FetchStep::WaitUntil(time) => {
                let pause = time.since(node.clock.now());
                // A version that is newer still may be heard meanwhile.
                let _ = tokio::time::timeout(pause, node.version_heard.notified()).await;
            }
            FetchStep::Ask(peer) => {
                let fetched = ask_peer(node, peer).await;
                lock(&node.fetch).finish(fetched, node.clock.now());
            }
        }
    }
}

async fn ask_peer(node: &ControlNode, peer: SocketAddrV4) -> bool {
    let above = node.view().version;
    let request = PeerRequest::Configuration { above };
    match peer::ask(peer, request).await {
        Ok(PeerAnswer::Configuration { version, text }) => node.offer_config(version, &text),
        Ok(_) => false,
        Err(error) => {
            log::debug!("config: {error:?}");
            false
        }
    }
}

/// Returns what operators may ask about the configuration.
pub fn routes() -> Router<Arc<ControlNode>> {
    Router::new()
        .route("/rules", get(rules))
        .route("/versions", get(versions))
}

/// Returns the rule file in force; it holds no secrets.
async fn rules(State(node): State<Arc<ControlNode>>) -> String {
    node.config().text().to_string()
}

/// The version in force on one balancer.
#[derive(Debug, Serialize)]
struct BalancerVersion {
    /// The inner address of the balancer.
    address: SocketAddrV4,
    /// The version, or nothing when the balancer does not answer.
    version: Option<u64>,
}

/// Asks all balancers that this process knows for their versions.
async fn versions(State(node): State<Arc<ControlNode>>) -> Json<Vec<BalancerVersion>> {
    let balancers: Vec<SocketAddrV4> = node
        .members()
        .iter()
        .filter(|entry| entry.role == MemberRole::Balancer && entry.state != MemberState::Gone)
        .map(|entry| entry.process.address)
        .collect();
    let answers = stream::iter(balancers)
        .map(|address| balancer_version(&node, address))
        .buffered(VERSION_QUESTIONS);
    Json(answers.collect().await)
}

async fn balancer_version(node: &ControlNode, address: SocketAddrV4) -> BalancerVersion {
    let version = if address == node.me().address {
        Some(node.view().version)
    } else {
        match peer::ask(address, PeerRequest::Version).await {
            Ok(PeerAnswer::Version(version)) => Some(version),
            _ => None,
        }
    };
    BalancerVersion { address, version }
}
