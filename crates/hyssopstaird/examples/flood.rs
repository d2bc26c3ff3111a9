//! Measures how many packets a balancer process forwards in a second.
//!
//! Sends packets of an open flow to the entry address, and counts them at an
//! address that stands for the host. `./demo --keep` brings up a balancer.

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

/// Floods a balancer with packets of one flow.
#[derive(FromArgs)]
struct FloodArgs {
    /// entry address of the balancer
    #[argh(option)]
    entry: SocketAddrV4,

    /// address of the service with number 1
    #[argh(option)]
    service: SocketAddrV4,

    /// address that stands for the host
    #[argh(option)]
    host: SocketAddrV4,

    /// file of the fleet's secret
    #[argh(option)]
    secret: PathBuf,

    /// length of a datagram in bytes
    #[argh(option, default = "1200")]
    length: usize,

    /// time in seconds
    #[argh(option, default = "5")]
    seconds: u64,
}

fn packet(args: &FloodArgs) -> Vec<u8> {
    let secret = read_secret(&SecretSource::File(args.secret.clone())).expect("a secret is there");
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
    let packet = packet(&args);
    let host = UdpSocket::bind(args.host).expect("the address is free");
    host.set_read_timeout(Some(Duration::from_millis(200)))
        .expect("a time is allowed");
    let stopped = Arc::new(AtomicBool::new(false));
    let sender = std::thread::spawn({
        let stopped = stopped.clone();
        move || {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
            let mut sent = 0_u64;
            while !stopped.load(Ordering::Relaxed) {
                sent += u64::from(socket.send_to(&packet, args.entry).is_ok());
            }
            sent
        }
    });
    let start = Instant::now();
    let mut buffer = [0; 2_048];
    let mut received = 0_u64;
    while start.elapsed() < Duration::from_secs(args.seconds) {
        received += u64::from(host.recv(&mut buffer).is_ok());
    }
    let seconds = start.elapsed().as_secs_f64();
    stopped.store(true, Ordering::Relaxed);
    let sent = sender.join().expect("the sender ends");
    println!(
        "{{\"length\":{},\"sent_per_s\":{:.0},\"forwarded_per_s\":{:.0}}}",
        args.length,
        sent as f64 / seconds,
        received as f64 / seconds,
    );
}
