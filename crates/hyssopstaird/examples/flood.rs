//! Measures how many packets per second a balancer process forwards.
//!
//! Sends packets of an established flow to the entry address of a running balancer and counts
//! the packets that arrive at the address of a simulated host. `./demo --keep` starts a fleet
//! with a balancer. Prints JSON.

use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use hyssopstair_rules::settings::SecretSource;
use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::entry::EntryPath;
use hyssopstair_wire::entry::encode_entry;
use hyssopstair_wire::token::KeyNumber;
use hyssopstair_wire::token::RouteToken;
use hyssopstaird::secret::read_secret;

/// Send packets of one flow to a balancer as fast as possible and print the rates.
#[derive(FromArgs)]
struct FloodArgs {
    /// entry address of the balancer
    #[argh(option)]
    entry: SocketAddrV4,

    /// address of the service with ID 1
    #[argh(option)]
    service: SocketAddrV4,

    /// host address that this program binds to receive the forwarded packets
    #[argh(option)]
    host: SocketAddrV4,

    /// file with the secret of the fleet
    #[argh(option)]
    secret: PathBuf,

    /// length of a datagram in bytes
    #[argh(option, default = "1200")]
    length: usize,

    /// duration of the measurement in seconds
    #[argh(option, default = "5")]
    seconds: u64,
}

/// Builds a datagram for the entry address: a packet with a short header, whose connection ID
/// is a route token for the host.
fn build_packet(args: &FloodArgs) -> Vec<u8> {
    let secret = read_secret(&SecretSource::File(args.secret.clone()))
        .expect("failed to read the secret of the fleet");
    let token = RouteToken {
        key: KeyNumber(1),
        service: ServiceId(1),
        host: ProcessId {
            address: args.host,
            incarnation: HostIncarnation(1),
        },
        nonce: 1,
    };
    let mut datagram = vec![0x40; args.length];
    datagram[1..21].copy_from_slice(&token.seal(&secret.route_key(token.key)));
    let path = EntryPath {
        source: SocketAddrV4::new([192, 0, 2, 1].into(), 5000),
        destination: args.service,
    };
    encode_entry(&path, &datagram)
}

fn main() {
    let args: FloodArgs = argh::from_env();
    let packet = build_packet(&args);
    let host_socket = UdpSocket::bind(args.host).expect("failed to bind the host address");
    host_socket
        .set_read_timeout(Some(Duration::from_millis(200)))
        .expect("failed to set the read timeout");
    let is_stopped = Arc::new(AtomicBool::new(false));
    let sender_thread = std::thread::spawn({
        let is_stopped = is_stopped.clone();
        move || {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("failed to bind a socket");
            let mut sent_count = 0_u64;
            while !is_stopped.load(Ordering::Relaxed) {
                sent_count += u64::from(socket.send_to(&packet, args.entry).is_ok());
            }
            sent_count
        }
    });
    let start = Instant::now();
    let mut buffer = [0; 2_048];
    let mut received_count = 0_u64;
    while start.elapsed() < Duration::from_secs(args.seconds) {
        received_count += u64::from(host_socket.recv(&mut buffer).is_ok());
    }
    let elapsed_seconds = start.elapsed().as_secs_f64();
    is_stopped.store(true, Ordering::Relaxed);
    let sent_count = sender_thread.join().expect("the sender thread panicked");
    println!(
        "{{\"length\":{},\"sent_per_s\":{:.0},\"forwarded_per_s\":{:.0}}}",
        args.length,
        sent_count as f64 / elapsed_seconds,
        received_count as f64 / elapsed_seconds,
    );
}
