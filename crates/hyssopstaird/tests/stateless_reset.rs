//! Tests that a QUIC client (quinn) sends the route tokens that the server issues as connection
//! IDs, and closes its connection on a stateless reset that is derived from such a token.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use hyssopstair_routing::quic::QuicForm;
use hyssopstair_routing::quic::parse_header;
use hyssopstair_routing::reset::reset_packet;
use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::token::FleetSecret;
use hyssopstair_wire::token::KeyNumber;
use hyssopstair_wire::token::KeyRing;
use hyssopstair_wire::token::ROUTE_TOKEN_LENGTH;
use hyssopstair_wire::token::RouteToken;
use hyssopstaird::host::connection::ResetKey;
use quinn::ConnectionError;
use quinn::ConnectionId;
use quinn::ConnectionIdGenerator;
use quinn::Endpoint;
use quinn::EndpointConfig;
use quinn::ServerConfig;
use quinn::TokioRuntime;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use tokio::net::UdpSocket;
use tokio::runtime::Runtime;

/// Route token of the server, apart from the nonce.
const TOKEN: RouteToken = RouteToken {
    key: KeyNumber(1),
    service: ServiceId(1),
    host: ProcessId {
        address: SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 7000),
        incarnation: HostIncarnation(5),
    },
    nonce: 0,
};

fn fleet_secret() -> FleetSecret {
    FleetSecret::new([3; 16])
}

/// Generates connection IDs that are sealed route tokens, each with its own nonce.
struct TokenGenerator {
    nonce: u32,
}

impl ConnectionIdGenerator for TokenGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        self.nonce += 1;
        let token = RouteToken {
            nonce: self.nonce,
            ..TOKEN
        };
        ConnectionId::new(&token.seal(&fleet_secret().route_key(token.key)))
    }

    fn cid_len(&self) -> usize {
        ROUTE_TOKEN_LENGTH
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

fn bind_socket() -> std::net::UdpSocket {
    std::net::UdpSocket::bind("127.0.0.1:0").unwrap()
}

/// Opens the endpoint of the server. Also returns its certificate, which callers must trust.
fn open_server() -> (Endpoint, CertificateDer<'static>) {
    let certified = rcgen::generate_simple_self_signed(["leerplein".to_owned()]).unwrap();
    let certificate = certified.cert.der().clone();
    let key = PrivateKeyDer::try_from(certified.signing_key.serialize_der()).unwrap();
    let server_config = ServerConfig::with_single_cert(vec![certificate.clone()], key).unwrap();
    let reset_key = ResetKey::new(fleet_secret().derive(b"reset"));
    let mut endpoint_config = EndpointConfig::new(Arc::new(reset_key));
    endpoint_config.cid_generator(|| Box::new(TokenGenerator { nonce: 0 }));
    let server = Endpoint::new(
        endpoint_config,
        Some(server_config),
        bind_socket(),
        Arc::new(TokioRuntime),
    )
    .unwrap();
    (server, certificate)
}

/// Opens the endpoint of a caller that trusts the certificate.
fn open_caller(certificate: CertificateDer<'static>) -> Endpoint {
    let mut caller = Endpoint::client("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut roots = RootCertStore::empty();
    roots.add(certificate).unwrap();
    let client_config = quinn::ClientConfig::with_root_certificates(Arc::new(roots)).unwrap();
    caller.set_default_client_config(client_config);
    caller
}

/// Ends the server without closing its connections, as `kill -9` does, and returns a socket that
/// is bound to its address.
async fn take_over_address(server: Runtime, address: SocketAddr) -> UdpSocket {
    server.shutdown_background();
    loop {
        match UdpSocket::bind(address).await {
            Ok(socket) => return socket,
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

#[tokio::test]
async fn caller_sends_route_tokens_and_accepts_the_reset() {
    let runtime = Runtime::new().unwrap();
    let (server, certificate) = {
        let _guard = runtime.enter();
        open_server()
    };
    let address = server.local_addr().unwrap();
    runtime.spawn(async move {
        let _connection = server.accept().await.unwrap().await.unwrap();
        std::future::pending::<()>().await;
    });
    let caller = open_caller(certificate);
    let connection = caller.connect(address, "leerplein").unwrap().await.unwrap();
    let socket = take_over_address(runtime, address).await;
    connection.send_datagram(vec![0; 100].into()).unwrap();
    let key_ring = KeyRing::derive(&fleet_secret(), &[KeyNumber(1)]);
    let answer_with_reset = async {
        let mut buffer = [0; 2_048];
        loop {
            let (length, from) = socket.recv_from(&mut buffer).await.unwrap();
            let header = parse_header(&buffer[..length]).unwrap();
            let token = RouteToken::open(&key_ring, header.destination_id).unwrap();
            assert_eq!(token.host, TOKEN.host);
            // The caller may retransmit its last handshake packet, which is not answered by a
            // reset.
            if header.form == QuicForm::Handshake {
                continue;
            }
            assert_eq!(header.form, QuicForm::Short);
            let reset_key = fleet_secret().derive(b"reset");
            if let Some(reset) = reset_packet(&reset_key, header.destination_id, length, 1) {
                socket.send_to(&reset, from).await.unwrap();
            }
        }
    };
    let close_reason = tokio::time::timeout(Duration::from_secs(10), connection.closed());
    tokio::select! {
        reason = close_reason => assert_eq!(reason.unwrap(), ConnectionError::Reset),
        () = answer_with_reset => {}
    }
}
