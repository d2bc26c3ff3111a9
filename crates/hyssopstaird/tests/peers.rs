//! Questions between two processes while connections break.

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

const TIMEOUT: Duration = Duration::from_secs(10);

/// A peer that answers by hand.
struct ManualPeer {
    socket: Socket,
}

impl ManualPeer {
    fn listen(address: SocketAddrV4) -> Self {
        let socket = Socket::new(Protocol::Rep0).unwrap();
        socket.set_opt::<RecvTimeout>(Some(TIMEOUT)).unwrap();
        socket.listen(&format!("tcp://{address}")).unwrap();
        Self { socket }
    }

    /// Waits for a question and returns the version that it names.
    async fn hear(&self) -> u64 {
        let socket = self.socket.clone();
        let message = tokio::task::spawn_blocking(move || socket.recv())
            .await
            .unwrap()
            .unwrap();
        match decode_request(message.as_slice()) {
            Some(PeerRequest::Configuration { above }) => above,
            other => panic!("unexpected question {other:?}"),
        }
    }

    fn answer(&self) {
        let bytes = encode_answer(&PeerAnswer::UpToDate);
        self.socket.send(bytes.as_slice()).unwrap();
    }
}

fn free_address() -> SocketAddrV4 {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    match listener.local_addr().unwrap() {
        std::net::SocketAddr::V4(address) => address,
        std::net::SocketAddr::V6(address) => panic!("unexpected address {address}"),
    }
}

fn question(above: u64) -> PeerRequest {
    PeerRequest::Configuration { above }
}

#[tokio::test(flavor = "multi_thread")]
async fn question_is_answered_over_a_kept_connection() {
    let address = free_address();
    let peer = ManualPeer::listen(address);
    let pool = PeerPool::default();
    for number in 1..=3 {
        let request = question(number);
        let (answer, heard) = tokio::join!(pool.send_request(address, &request, TIMEOUT), async {
            let heard = peer.hear().await;
            peer.answer();
            heard
        });
        assert_eq!((answer, heard), (Ok(PeerAnswer::UpToDate), number));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn question_whose_connection_breaks_is_not_sent_again() {
    let address = free_address();
    let peer = ManualPeer::listen(address);
    let pool = PeerPool::default();
    let first = question(1);
    let (answer, _) = tokio::join!(pool.send_request(address, &first, TIMEOUT), async {
        assert_eq!(peer.hear().await, 1);
        peer.socket.close();
    });
    assert_eq!(answer, Err(PeerError::NoAnswer));
    let peer = ManualPeer::listen(address);
    let second = question(2);
    let (answer, heard) = tokio::join!(pool.send_request(address, &second, TIMEOUT), async {
        let heard = peer.hear().await;
        peer.answer();
        heard
    });
    assert_eq!((answer, heard), (Ok(PeerAnswer::UpToDate), 2));
}

#[tokio::test(flavor = "multi_thread")]
async fn question_to_nobody_is_known_as_not_sent() {
    let pool = PeerPool::default();
    let timeout = Duration::from_millis(200);
    let answer = pool
        .send_request(free_address(), &question(1), timeout)
        .await;
    assert_eq!(answer, Err(PeerError::NotSent));
}
