//! A real QUIC caller against our connection IDs and resets.

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

const TOKEN: RouteToken = RouteToken {
    key: KeyNumber(1),
    service: ServiceId(1),
    host: ProcessId {
        address: SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 7000),
        incarnation: HostIncarnation(5),
    },
    nonce: 0,
};

fn secret() -> FleetSecret {
    FleetSecret::new([3; 16])
}

struct TestIssuer {
    nonce: u32,
}

impl ConnectionIdGenerator for TestIssuer {
    fn generate_cid(&mut self) -> ConnectionId {
        self.nonce += 1;
        let token = RouteToken {
            nonce: self.nonce,
            ..TOKEN
        };
        ConnectionId::new(&token.seal(&secret().route_key(token.key)))
    }

    fn cid_len(&self) -> usize {
        ROUTE_TOKEN_LENGTH
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

fn bind() -> std::net::UdpSocket {
    std::net::UdpSocket::bind("127.0.0.1:0").unwrap()
}

/// Opens the server; also returns the certificate that callers are to trust.
fn open_server() -> (Endpoint, CertificateDer<'static>) {
    let certified = rcgen::generate_simple_self_signed(["leerplein".to_owned()]).unwrap();
    let certificate = certified.cert.der().clone();
    let key = PrivateKeyDer::try_from(certified.signing_key.serialize_der()).unwrap();
    let config = ServerConfig::with_single_cert(vec![certificate.clone()], key).unwrap();
    let reset_key = ResetKey::new(secret().derive(b"reset"));
    let mut endpoint = EndpointConfig::new(Arc::new(reset_key));
    endpoint.cid_generator(|| Box::new(TestIssuer { nonce: 0 }));
    let server = Endpoint::new(endpoint, Some(config), bind(), Arc::new(TokioRuntime)).unwrap();
    (server, certificate)
}

fn open_caller(certificate: CertificateDer<'static>) -> Endpoint {
    let mut caller = Endpoint::client("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut roots = RootCertStore::empty();
    roots.add(certificate).unwrap();
    let config = quinn::ClientConfig::with_root_certificates(Arc::new(roots)).unwrap();
    caller.set_default_client_config(config);
    caller
}

/// Ends the server without a word, as `kill -9` does, and takes its address.
async fn take_address(server: Runtime, address: SocketAddr) -> UdpSocket {
    server.shutdown_background();
    loop {
        match UdpSocket::bind(address).await {
            Ok(socket) => return socket,
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

#[tokio::test]
async fn caller_routes_by_token_and_believes_the_reset() {
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
    let socket = take_address(runtime, address).await;
    connection.send_datagram(vec![0; 100].into()).unwrap();
    let ring = KeyRing::derive(&secret(), &[KeyNumber(1)]);
    let reset = async {
        let mut buffer = [0; 2_048];
        loop {
            let (length, from) = socket.recv_from(&mut buffer).await.unwrap();
            let packet = parse_header(&buffer[..length]).unwrap();
            let token = RouteToken::open(&ring, packet.destination_id).unwrap();
            assert_eq!(token.host, TOKEN.host);
            // The end of a handshake may be repeated; no reset answers it.
            if packet.form == QuicForm::Handshake {
                continue;
            }
            assert_eq!(packet.form, QuicForm::Short);
            let key = secret().derive(b"reset");
            if let Some(reset) = reset_packet(&key, packet.destination_id, length, 1) {
                socket.send_to(&reset, from).await.unwrap();
            }
        }
    };
    let closed = tokio::time::timeout(Duration::from_secs(10), connection.closed());
    tokio::select! {
        reason = closed => assert_eq!(reason.unwrap(), ConnectionError::Reset),
        () = reset => {}
    }
}
