//! Tests of requests to another process while connections break. A request must not be sent a
//! second time, because the peer could then process it twice.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::peer::PeerAnswer;
use hyssopstair_wire::peer::PeerRequest;
use hyssopstair_wire::peer::decode_request;
use hyssopstair_wire::peer::encode_answer;
use hyssopstaird::peer::client::PeerError;
use hyssopstaird::peer::client::PeerPool;
use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::RecvTimeout;

/// Maximum time to wait for a request or its answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(10);

/// A peer that answers a request only when the test tells it to.
struct ManualPeer {
    socket: Socket,
}

impl ManualPeer {
    fn listen(address: SocketAddrV4) -> Self {
        let socket = Socket::new(Protocol::Rep0).unwrap();
        socket.set_opt::<RecvTimeout>(Some(PEER_TIMEOUT)).unwrap();
        socket.listen(&format!("tcp://{address}")).unwrap();
        Self { socket }
    }

    /// Waits for a configuration request and returns the version that it names.
    async fn receive_request(&self) -> u64 {
        let socket = self.socket.clone();
        let message = tokio::task::spawn_blocking(move || socket.recv())
            .await
            .unwrap()
            .unwrap();
        match decode_request(message.as_slice()) {
            Some(PeerRequest::Configuration { above }) => above,
            other => panic!("unexpected request {other:?}"),
        }
    }

    /// Answers the request that was received last.
    fn send_answer(&self) {
        let bytes = encode_answer(&PeerAnswer::UpToDate);
        self.socket.send(bytes.as_slice()).unwrap();
    }
}

/// Returns a loopback address whose port was free a moment ago.
fn free_address() -> SocketAddrV4 {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    match listener.local_addr().unwrap() {
        std::net::SocketAddr::V4(address) => address,
        std::net::SocketAddr::V6(address) => panic!("unexpected IPv6 address {address}"),
    }
}

/// Returns a request for a configuration above the given version.
fn configuration_request(above: u64) -> PeerRequest {
    PeerRequest::Configuration { above }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_over_a_reused_connection() {
    let address = free_address();
    let peer = ManualPeer::listen(address);
    let pool = PeerPool::default();
    for version in 1..=3 {
        let request = configuration_request(version);
        let (answer, received_version) =
            tokio::join!(pool.send_request(address, &request, PEER_TIMEOUT), async {
                let received_version = peer.receive_request().await;
                peer.send_answer();
                received_version
            });
        assert_eq!(
            (answer, received_version),
            (Ok(PeerAnswer::UpToDate), version)
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_whose_connection_breaks_is_not_sent_again() {
    let address = free_address();
    let peer = ManualPeer::listen(address);
    let pool = PeerPool::default();
    let first_request = configuration_request(1);
    let (answer, _) = tokio::join!(
        pool.send_request(address, &first_request, PEER_TIMEOUT),
        async {
            assert_eq!(peer.receive_request().await, 1);
            peer.socket.close();
        }
    );
    assert_eq!(answer, Err(PeerError::NoAnswer));
    let peer = ManualPeer::listen(address);
    let second_request = configuration_request(2);
    let (answer, received_version) = tokio::join!(
        pool.send_request(address, &second_request, PEER_TIMEOUT),
        async {
            let received_version = peer.receive_request().await;
            peer.send_answer();
            received_version
        }
    );
    assert_eq!((answer, received_version), (Ok(PeerAnswer::UpToDate), 2));
}

#[tokio::test(flavor = "multi_thread")]
async fn request_to_an_unreachable_peer_is_reported_as_not_sent() {
    let pool = PeerPool::default();
    let timeout = Duration::from_millis(200);
    let answer = pool
        .send_request(free_address(), &configuration_request(1), timeout)
        .await;
    assert_eq!(answer, Err(PeerError::NotSent));
}
