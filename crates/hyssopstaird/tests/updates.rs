//! Configurations that one process sends another, as edits and as whole texts.

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

const TIMEOUT: Duration = Duration::from_secs(10);

const FIRST: &str = "zone utr-a id 1 # test: first\n";
const OTHER: &str = "zone utr-b id 1 # test: another first\n";
const SECOND: &str = "zone utr-a id 1 # test: first\nkey 2 # test: second\n";
const THIRD: &str = "zone utr-a id 1 # test: first\nkey 3 # test: third\n";
const BROKEN: &str = "zone utr-a id 1 # test: first\nno rule\n";

/// The file with the secret, written once for all tests.
static SECRET: LazyLock<PathBuf> = LazyLock::new(|| {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("updates-secret");
    std::fs::write(&path, "00112233445566778899aabbccddeeff").unwrap();
    path
});

fn free_address() -> SocketAddrV4 {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    match listener.local_addr().unwrap() {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(address) => panic!("unexpected address {address}"),
    }
}

fn settings() -> DaemonSettings {
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
        secret: SecretSource::File(SECRET.clone()),
        traces: None,
    }
}

async fn start_node() -> Arc<ControlNode> {
    Arc::new(ControlNode::start(&settings()).await.unwrap())
}

/// A process with versions 1, 2 and 3 that answers peers.
async fn start_sender() -> (Arc<ControlNode>, PeerServer) {
    let node = start_node().await;
    for (version, text) in (1..).zip([FIRST, SECOND, THIRD]) {
        assert!(node.apply_config(version, text, Vec::new()));
    }
    let server =
        start_server(node.process_id().address, &PeerResponder::new(node.clone())).unwrap();
    (node, server)
}

/// Lets a process hear of version 3, and returns it when it has that version.
async fn fetched(version: u64, text: &str) -> Arc<ControlNode> {
    let (sender, _server) = start_sender().await;
    let receiver = start_node().await;
    if version > 0 {
        assert!(receiver.apply_config(version, text, Vec::new()));
    }
    let platform = PlatformClient::new(&[]);
    let fetching = tokio::spawn(configuration::run(receiver.clone(), platform));
    configuration::record_peer_version(&receiver, sender.process_id().address, 3);
    let start = Instant::now();
    while receiver.view().version < 3 {
        assert!(start.elapsed() < TIMEOUT, "version 3 did not come");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    fetching.abort();
    receiver
}

/// Checks the versions of the steps that a process can pass on to others.
fn check_steps(node: &ControlNode, from: u64, expected: &Expect) {
    let steps = lock(&node.updates).find_steps(from, 3);
    let versions: Option<Vec<(u64, u64)>> =
        steps.map(|steps| steps.iter().map(|step| (step.from, step.to)).collect());
    expected.assert_eq(&format!("{versions:?} {:?}", node.config().text()));
}

#[tokio::test(flavor = "multi_thread")]
async fn process_that_lags_is_sent_the_steps_and_can_pass_them_on() {
    let receiver = fetched(1, FIRST).await;
    check_steps(
        &receiver,
        1,
        &expect![[
            r#"Some([(1, 2), (2, 3)]) "zone utr-a id 1 # test: first\nkey 3 # test: third\n""#
        ]],
    );
    let receiver = fetched(2, SECOND).await;
    check_steps(
        &receiver,
        2,
        &expect![[r#"Some([(2, 3)]) "zone utr-a id 1 # test: first\nkey 3 # test: third\n""#]],
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn process_without_a_text_is_sent_the_whole_one() {
    let receiver = fetched(0, "").await;
    check_steps(
        &receiver,
        0,
        &expect![[r#"None "zone utr-a id 1 # test: first\nkey 3 # test: third\n""#]],
    );
}

/// The checksum of the first step does not agree; the whole text is fetched,
/// and one step from the other text is made of it.
#[tokio::test(flavor = "multi_thread")]
async fn process_whose_text_differs_is_sent_the_whole_one() {
    let receiver = fetched(1, OTHER).await;
    check_steps(
        &receiver,
        1,
        &expect![[r#"Some([(1, 3)]) "zone utr-a id 1 # test: first\nkey 3 # test: third\n""#]],
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn text_that_cannot_be_read_or_is_older_leaves_no_step() {
    let node = start_node().await;
    assert!(node.apply_config(2, SECOND, Vec::new()));
    assert!(!node.apply_config(3, BROKEN, Vec::new()));
    assert!(!node.apply_config(1, FIRST, Vec::new()));
    check_steps(
        &node,
        2,
        &expect![[r#"None "zone utr-a id 1 # test: first\nkey 2 # test: second\n""#]],
    );
}
