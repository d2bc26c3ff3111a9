//! Fetching of newer configurations from the platform and from peers.
//!
//! Two loops run concurrently. One polls the platform, at a rate that is fixed for the
//! whole fleet; the other requests the configuration from peers whose packets name a
//! higher version. A stalled platform therefore does not delay updates from peers, and a
//! peer that does not answer does not delay updates from the platform.

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
use hyssopstair_platform::update::PeerUpdate;
use hyssopstair_platform::update::VersionedText;
use hyssopstair_platform::update::apply_answer;
use hyssopstair_telemetry::limiter::WarningLimiter;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::peer::PeerAnswer;
use hyssopstair_wire::peer::PeerRequest;
use rand::RngExt;
use serde::Serialize;

use crate::control::node::ControlNode;
use crate::control::node::lock;
use crate::peer;

/// Maximum number of concurrent requests for the versions of balancers.
const MAX_CONCURRENT_VERSION_REQUESTS: usize = 32;

/// Fetches newer configurations until the process ends.
pub async fn run(node: Arc<ControlNode>, client: PlatformClient) {
    futures::join!(poll_platform(&node, &client), run_peer_fetches(&node));
}

/// Polls the platform periodically. The interval grows with the number of members and
/// with consecutive failures.
async fn poll_platform(node: &ControlNode, client: &PlatformClient) {
    let mut limiter = WarningLimiter::default();
    let mut failures = 0;
    loop {
        match fetch_from_platform(node, client).await {
            Ok(()) => {
                failures = 0;
                if let Some(unreported) = limiter.record_recovery() {
                    log::info!(unreported; "config: the platform is reachable again");
                }
            }
            Err(error) => {
                failures += 1;
                if let Some(held_back) = limiter.record_warning(node.clock.now()) {
                    log::warn!(
                        error:% = error, held_back;
                        "config: the platform is unreachable; retrying, and fetching from peers"
                    );
                }
            }
        }
        let jitter = rand::rng().random_range(0.0..1.0);
        let members = node.members().len();
        tokio::time::sleep(poll_interval(members, failures, jitter)).await;
    }
}

/// Reads the stored version and, if it is higher than the one in force, the configuration.
/// A version that is not a number counts as higher.
async fn fetch_from_platform(
    node: &ControlNode,
    client: &PlatformClient,
) -> Result<(), PlatformError> {
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
        Err(error) => log::warn!(error:% = error; "config: failed to decode the platform's record"),
    }
    Ok(())
}

/// Records that the peer at `from` has the given version, if it is newer than the one in
/// force. Called for received control messages and, on a host, for each datagram that a
/// balancer or another host forwards.
pub fn record_peer_version(node: &ControlNode, from: SocketAddrV4, version: u64) {
    if version <= node.view().version {
        return;
    }
    if lock(&node.fetch).record_version(from, version) {
        node.version_notify.notify_one();
    }
}

/// Fetches the configuration from the peer with the highest known version, one request at
/// a time, whenever that version is higher than the one in force.
async fn run_peer_fetches(node: &ControlNode) {
    loop {
        let step = lock(&node.fetch).next_step(node.view().version, node.clock.now());
        match step {
            FetchStep::Idle | FetchStep::Wait => node.version_notify.notified().await,
            FetchStep::WaitUntil(time) => {
                let pause = time.since(node.clock.now());
                // A still newer version may be recorded before the pause ends.
                let _ = tokio::time::timeout(pause, node.version_notify.notified()).await;
            }
            FetchStep::Request(peer) => {
                let fetched = fetch_from_peer(node, peer).await;
                lock(&node.fetch).finish_request(fetched, node.clock.now());
            }
        }
    }
}

/// Requests a newer configuration from a peer and returns whether one was applied.
async fn fetch_from_peer(node: &ControlNode, peer: SocketAddrV4) -> bool {
    let above = node.view().version;
    let update = request_update(node, peer, PeerRequest::Configuration { above }).await;
    let update = match update {
        PeerUpdate::Mismatch => {
            log::warn!(
                above;
                "config: the edits from {peer} do not apply; requesting the complete text"
            );
            request_update(node, peer, PeerRequest::WholeConfiguration { above }).await
        }
        PeerUpdate::Nothing | PeerUpdate::Newer { .. } => update,
    };
    match update {
        PeerUpdate::Newer {
            version,
            text,
            steps,
        } => node.apply_config(version, &text, steps),
        PeerUpdate::Nothing | PeerUpdate::Mismatch => false,
    }
}

/// Sends a request for the configuration and decodes the answer. Returns
/// [`PeerUpdate::Nothing`] if the peer does not answer.
async fn request_update(
    node: &ControlNode,
    peer: SocketAddrV4,
    request: PeerRequest,
) -> PeerUpdate {
    match peer::send_request(peer, request).await {
        Ok(answer) => {
            let config = node.config();
            let old = VersionedText {
                version: config.version(),
                text: config.text(),
            };
            apply_answer(old, answer)
        }
        Err(error) => {
            log::debug!(error:% = error; "config: no answer from a peer");
            PeerUpdate::Nothing
        }
    }
}

/// Returns the routes of the admin server that show the configuration.
pub fn routes() -> Router<Arc<ControlNode>> {
    Router::new()
        .route("/rules", get(get_rules))
        .route("/versions", get(get_versions))
}

/// Returns the rule file in force, which contains no secrets.
async fn get_rules(State(node): State<Arc<ControlNode>>) -> String {
    node.config().text().to_string()
}

/// The version in force on a balancer.
#[derive(Debug, Serialize)]
struct BalancerVersion {
    /// The inner address of the balancer.
    address: SocketAddrV4,
    /// The version, or `None` if the balancer does not answer.
    version: Option<u64>,
}

/// Returns the version in force on each known balancer that is not gone.
async fn get_versions(State(node): State<Arc<ControlNode>>) -> Json<Vec<BalancerVersion>> {
    let balancers: Vec<SocketAddrV4> = node
        .members()
        .iter()
        .filter(|entry| entry.role == MemberRole::Balancer && entry.state != MemberState::Gone)
        .map(|entry| entry.process.address)
        .collect();
    let answers = stream::iter(balancers)
        .map(|address| fetch_balancer_version(&node, address))
        .buffered(MAX_CONCURRENT_VERSION_REQUESTS);
    Json(answers.collect().await)
}

/// Returns the version of this process or requests that of another balancer.
async fn fetch_balancer_version(node: &ControlNode, address: SocketAddrV4) -> BalancerVersion {
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
