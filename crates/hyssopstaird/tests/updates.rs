//! Tests of the configurations that one process sends to another: as steps, which are the edits
//! from one version to the next, or as a whole text.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::LazyLock;
use std::time::Duration;
use std::time::Instant;

use expect_test::Expect;
use expect_test::expect;
use hyssopstair_platform::client::PlatformClient;
use hyssopstair_rules::settings::BalancerSettings;
use hyssopstair_rules::settings::DaemonSettings;
use hyssopstair_rules::settings::RoleSettings;
use hyssopstair_rules::settings::SecretSource;
use hyssopstaird::control::configuration;
use hyssopstaird::control::node::ControlNode;
use hyssopstaird::control::node::lock;
use hyssopstaird::peer::server::PeerResponder;
use hyssopstaird::peer::server::PeerServer;
use hyssopstaird::peer::server::start_server;

/// Maximum time until a process has fetched a configuration from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Rules of version 1 at the sender.
const FIRST_RULES: &str = "zone utr-a id 1 # test: first\n";

/// Rules of version 1 that differ from those of the sender.
const OTHER_RULES: &str = "zone utr-b id 1 # test: another first\n";

/// Rules of version 2.
const SECOND_RULES: &str = "zone utr-a id 1 # test: first\nkey 2 # test: second\n";

/// Rules of version 3.
const THIRD_RULES: &str = "zone utr-a id 1 # test: first\nkey 3 # test: third\n";

/// Rules that cannot be parsed.
const INVALID_RULES: &str = "zone utr-a id 1 # test: first\nno rule\n";

/// Path of the file with the secret, which is written once for all tests.
static SECRET_PATH: LazyLock<PathBuf> = LazyLock::new(|| {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("updates-secret");
    std::fs::write(&path, "00112233445566778899aabbccddeeff").unwrap();
    path
});

/// Returns a loopback address whose port was free a moment ago.
fn free_address() -> SocketAddrV4 {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    match listener.local_addr().unwrap() {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(address) => panic!("unexpected IPv6 address {address}"),
    }
}

/// Returns the settings of a balancer on free ports, without a platform and contacts.
fn balancer_settings() -> DaemonSettings {
    DaemonSettings {
        role: RoleSettings::Balancer(BalancerSettings {
            entry: free_address(),
            fabric: SocketAddr::V4(free_address()),
        }),
        inner: free_address(),
        admin: free_address(),
        zone: "utr-a".to_owned(),
        platform: Vec::new(),
        contacts: Vec::new(),
        secret: SecretSource::File(SECRET_PATH.clone()),
        traces: None,
    }
}

async fn start_node() -> Arc<ControlNode> {
    Arc::new(ControlNode::start(&balancer_settings()).await.unwrap())
}

/// Starts a process that has applied versions 1, 2 and 3 and answers the requests of peers.
async fn start_sender() -> (Arc<ControlNode>, PeerServer) {
    let node = start_node().await;
    for (version, text) in (1..).zip([FIRST_RULES, SECOND_RULES, THIRD_RULES]) {
        assert!(node.apply_config(version, text, Vec::new()));
    }
    let server =
        start_server(node.process_id().address, &PeerResponder::new(node.clone())).unwrap();
    (node, server)
}

/// Starts a process with the given version (0 for none), tells it that a peer has version 3, and
/// returns it when it has fetched that version.
async fn fetch_version_3(version: u64, text: &str) -> Arc<ControlNode> {
    let (sender, _server) = start_sender().await;
    let receiver = start_node().await;
    if version > 0 {
        assert!(receiver.apply_config(version, text, Vec::new()));
    }
    let platform = PlatformClient::new(&[]);
    let fetch_task = tokio::spawn(configuration::run(receiver.clone(), platform));
    configuration::record_peer_version(&receiver, sender.process_id().address, 3);
    let start = Instant::now();
    while receiver.view().version < 3 {
        assert!(
            start.elapsed() < FETCH_TIMEOUT,
            "version 3 was not fetched in time"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    fetch_task.abort();
    receiver
}

/// Compares the steps from version `from` to 3 that a process can send to others, and the text
/// of its configuration, with the expected text. A step is shown as its two versions.
fn assert_steps(node: &ControlNode, from: u64, expected: &Expect) {
    let steps = lock(&node.updates).find_steps(from, 3);
    let version_pairs: Option<Vec<(u64, u64)>> =
        steps.map(|steps| steps.iter().map(|step| (step.from, step.to)).collect());
    expected.assert_eq(&format!("{version_pairs:?} {:?}", node.config().text()));
}

#[tokio::test(flavor = "multi_thread")]
async fn stale_process_receives_the_steps_and_can_forward_them() {
    let receiver = fetch_version_3(1, FIRST_RULES).await;
    assert_steps(
        &receiver,
        1,
        &expect![[
            r#"Some([(1, 2), (2, 3)]) "zone utr-a id 1 # test: first\nkey 3 # test: third\n""#
        ]],
    );
    let receiver = fetch_version_3(2, SECOND_RULES).await;
    assert_steps(
        &receiver,
        2,
        &expect![[r#"Some([(2, 3)]) "zone utr-a id 1 # test: first\nkey 3 # test: third\n""#]],
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn process_without_a_configuration_receives_the_whole_text() {
    let receiver = fetch_version_3(0, "").await;
    assert_steps(
        &receiver,
        0,
        &expect![[r#"None "zone utr-a id 1 # test: first\nkey 3 # test: third\n""#]],
    );
}

/// The checksum of the first step does not match the text of the receiver, so that it fetches
/// the whole text and derives a single step from the difference.
#[tokio::test(flavor = "multi_thread")]
async fn process_whose_text_differs_receives_the_whole_text() {
    let receiver = fetch_version_3(1, OTHER_RULES).await;
    assert_steps(
        &receiver,
        1,
        &expect![[r#"Some([(1, 3)]) "zone utr-a id 1 # test: first\nkey 3 # test: third\n""#]],
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_or_older_text_creates_no_step() {
    let node = start_node().await;
    assert!(node.apply_config(2, SECOND_RULES, Vec::new()));
    assert!(!node.apply_config(3, INVALID_RULES, Vec::new()));
    assert!(!node.apply_config(1, FIRST_RULES, Vec::new()));
    assert_steps(
        &node,
        2,
        &expect![[r#"None "zone utr-a id 1 # test: first\nkey 2 # test: second\n""#]],
    );
}
