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
use hyssopstair_platform::schedule::poll_interval;
use hyssopstair_platform::update::UpdateContent;
use hyssopstair_platform::update::VersionText;
use hyssopstair_platform::update::read_answer;
use hyssopstair_telemetry::limiter::RepeatLimiter;
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
    let mut limiter = RepeatLimiter::default();
    let mut failures = 0;
    loop {
        match read_platform(node, client).await {
            Ok(()) => {
                failures = 0;
                if let Some(unreported) = limiter.recover() {
                    log::info!(unreported; "config: the platform answers again");
                }
            }
            Err(error) => {
                failures += 1;
                if let Some(held_back) = limiter.warn(node.clock.now()) {
                    log::warn!(
                        error:% = error, held_back;
                        "config: the platform is unreachable; trying on, and asking peers"
                    );
                }
            }
        }
        let jitter = rand::rng().random_range(0.0..1.0);
        let members = node.members().len();
        tokio::time::sleep(poll_interval(members, failures, jitter)).await;
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
            node.apply_config(record.version, &record.text, Vec::new());
        }
        Err(error) => log::warn!(error:% = error; "config: the platform holds no record"),
    }
    Ok(())
}

/// Notes the version that a peer has; runs for each control packet.
pub fn record_peer_version(node: &ControlNode, from: SocketAddrV4, version: u64) {
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
    let content = ask_content(node, peer, PeerRequest::Configuration { above }).await;
    let content = match content {
        UpdateContent::Mismatch => {
            log::warn!(above; "config: the edits of {peer} do not fit; asking for the whole text");
            ask_content(node, peer, PeerRequest::WholeConfiguration { above }).await
        }
        UpdateContent::Nothing | UpdateContent::Newer { .. } => content,
    };
    match content {
        UpdateContent::Newer {
            version,
            text,
            steps,
        } => node.apply_config(version, &text, steps),
        UpdateContent::Nothing | UpdateContent::Mismatch => false,
    }
}

async fn ask_content(
    node: &ControlNode,
    peer: SocketAddrV4,
    request: PeerRequest,
) -> UpdateContent {
    match peer::send_request(peer, request).await {
        Ok(answer) => {
            let config = node.config();
            let old = VersionText {
                version: config.version(),
                text: config.text(),
            };
            read_answer(old, answer)
        }
        Err(error) => {
            log::debug!(error:% = error; "config: a peer does not answer");
            UpdateContent::Nothing
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
    let version = if address == node.process_id().address {
        Some(node.view().version)
    } else {
        match peer::send_request(address, PeerRequest::Version).await {
            Ok(PeerAnswer::Version(version)) => Some(version),
            _ => None,
        }
    };
    BalancerVersion { address, version }
}
