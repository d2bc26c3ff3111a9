//! Measures what one gossip message costs by UDP datagram and by nng, and what a
//! silent peer does to the sender.
//!
//! Payload bytes on the TCP connection are counted by a relay in this program.
//! Headers are estimated: 28 bytes a datagram, 40 bytes a TCP segment, and one
//! acknowledgement of 40 bytes for each segment, as for messages that are
//! further apart than the delay of acknowledgements. Prints JSON.

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hyssopstair_roster::budget::DATAGRAM_OVERHEAD_BYTES;
use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::control::ControlBody;
use hyssopstair_wire::control::ControlMessage;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::packet::PacketKind;
use hyssopstair_wire::packet::encode_packet;
use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::SendTimeout;
use serde_json::Value;
use serde_json::json;

/// Messages of each size.
const MESSAGES: u64 = 1_000;

/// Entries in a message.
const ENTRY_COUNTS: [usize; 2] = [1, 10];

/// Bytes of the IPv4 and TCP headers of a segment without options.
const SEGMENT_OVERHEAD: u64 = 40;

/// Segments that open a connection.
const OPENING_SEGMENTS: u64 = 3;

/// Segments that close a connection.
const CLOSING_SEGMENTS: u64 = 4;

/// Connections to silent peers that are kept open to measure their memory.
const KEPT_LINKS: usize = 200;

/// How long a send by nng may block.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a silent peer is watched for an error other than a time limit.
const WATCH_TIME: Duration = Duration::from_secs(30);

/// What the pull protocol says first: "SP", version 0, protocol 81.
const PULL_GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 81, 0, 0];

const LOOPBACK: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);

/// What passed a relay in one direction.
#[derive(Debug, Default)]
struct RelayCount {
    bytes: AtomicU64,
    segments: AtomicU64,
}

impl RelayCount {
    fn add(&self, length: usize) {
        self.bytes.fetch_add(length as u64, Ordering::SeqCst);
        self.segments.fetch_add(1, Ordering::SeqCst);
    }

    fn read(&self) -> (u64, u64) {
        let bytes = self.bytes.load(Ordering::SeqCst);
        (bytes, self.segments.load(Ordering::SeqCst))
    }
}

/// A relay of one TCP connection that counts payload bytes.
#[derive(Debug)]
struct CountingRelay {
    address: SocketAddr,
    forth: Arc<RelayCount>,
    back: Arc<RelayCount>,
}

impl CountingRelay {
    fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(LOOPBACK).expect("a free port");
        let address = listener.local_addr().expect("bound");
        let forth = Arc::new(RelayCount::default());
        let back = Arc::new(RelayCount::default());
        let counts = (forth.clone(), back.clone());
        thread::spawn(move || {
            let (near, _) = listener.accept().expect("a connection");
            let far = TcpStream::connect(target).expect("the receiver listens");
            let near_reader = near.try_clone().expect("a descriptor");
            let far_reader = far.try_clone().expect("a descriptor");
            thread::spawn(move || copy_counted(near_reader, far, &counts.0));
            copy_counted(far_reader, near, &counts.1);
        });
        Self {
            address,
            forth,
            back,
        }
    }
}

fn copy_counted(mut from: TcpStream, mut to: TcpStream, count: &RelayCount) {
    let mut buffer = [0; 65_536];
    while let Ok(length) = from.read(&mut buffer) {
        // Counted before it is passed on, so that it is there when it arrives.
        count.add(length);
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            return;
        }
    }
}

fn control_packet(entries: usize) -> Vec<u8> {
    let entries: Vec<MemberEntry> = (0..entries).map(member_entry).collect();
    let message = ControlMessage {
        sender: entries[0].process,
        version: 1_000_000,
        body: ControlBody::Changes(entries),
    };
    encode_packet(PacketKind::Control, &message, &[]).expect("it fits")
}

fn member_entry(number: usize) -> MemberEntry {
    let ip = Ipv4Addr::from_bits(0x0a00_0000 + number as u32);
    MemberEntry {
        process: ProcessId {
            address: SocketAddrV4::new(ip, 7_000),
            incarnation: HostIncarnation(1_000),
        },
        counter: 3,
        role: MemberRole::Host {
            service: ServiceId(200),
            zone: 2,
            weight: 100,
        },
        state: MemberState::Draining,
    }
}

fn measure_datagrams(packet: &[u8]) -> Value {
    let receiver = UdpSocket::bind(LOOPBACK).expect("a free port");
    let sender = UdpSocket::bind(LOOPBACK).expect("a free port");
    let target = receiver.local_addr().expect("bound");
    let mut buffer = [0; 2_048];
    let start = Instant::now();
    for _ in 0..MESSAGES {
        sender.send_to(packet, target).expect("it is sent");
        receiver.recv(&mut buffer).expect("it arrives");
    }
    json!({
        "payload_bytes_per_message": packet.len(),
        "bytes_per_message": packet.len() as u64 + DATAGRAM_OVERHEAD_BYTES,
        "micros_per_message": start.elapsed().as_micros() as f64 / MESSAGES as f64,
    })
}

/// Sends each message after the one before has arrived, so that none share a
/// segment.
fn measure_nng(packet: &[u8]) -> Value {
    let receiver = Socket::new(Protocol::Pull0).expect("nng works");
    let target = listen_on_free_port(&receiver);
    let relay = CountingRelay::start(target);
    let sender = Socket::new(Protocol::Push0).expect("nng works");
    sender.dial(&url(relay.address)).expect("the relay listens");
    sender.send(packet).expect("it is sent");
    receiver.recv().expect("it arrives");
    let first = relay.forth.read();
    let back = relay.back.read();
    let start = Instant::now();
    for _ in 0..MESSAGES {
        sender.send(packet).expect("it is sent");
        receiver.recv().expect("it arrives");
    }
    let took = start.elapsed();
    let last = relay.forth.read();
    let each = |(from, to)| (to - from) as f64 / MESSAGES as f64;
    let bytes = each((first.0, last.0));
    let segments = each((first.1, last.1));
    let headers = segments * SEGMENT_OVERHEAD as f64;
    let greeting = first.0 + back.0 - bytes as u64;
    // The greetings are one segment each way.
    let setup_segments = OPENING_SEGMENTS + 2;
    json!({
        "payload_bytes_per_message": bytes,
        "segments_per_message": segments,
        "bytes_per_message": bytes + headers,
        "bytes_per_message_with_acknowledgement": bytes + 2.0 * headers,
        "micros_per_message_through_relay": took.as_micros() as f64 / MESSAGES as f64,
        "greeting_payload_bytes": greeting,
        "setup_bytes": greeting + setup_segments * SEGMENT_OVERHEAD,
        "closing_bytes": CLOSING_SEGMENTS * SEGMENT_OVERHEAD,
    })
}

/// Has a socket listen on a port that was free a moment ago.
fn listen_on_free_port(socket: &Socket) -> SocketAddr {
    let probe = TcpListener::bind(LOOPBACK).expect("a free port");
    let address = probe.local_addr().expect("bound");
    drop(probe);
    socket.listen(&url(address)).expect("the port is free");
    address
}

fn url(address: SocketAddr) -> String {
    format!("tcp://{address}")
}

/// Sends to a socket that nobody reads.
fn measure_silent_datagrams(packet: &[u8]) -> Value {
    let silent = UdpSocket::bind(LOOPBACK).expect("a free port");
    let sender = UdpSocket::bind(LOOPBACK).expect("a free port");
    let target = silent.local_addr().expect("bound");
    let mut longest = Duration::ZERO;
    let mut errors = 0;
    for _ in 0..10 * MESSAGES {
        let start = Instant::now();
        errors += u64::from(sender.send_to(packet, target).is_err());
        longest = longest.max(start.elapsed());
    }
    json!({
        "sends": 10 * MESSAGES,
        "errors": errors,
        "longest_send_micros": longest.as_micros(),
    })
}

/// Accepts connections and greets as a pull socket does, or not at all, and
/// reads nothing more.
fn start_silent_peer(greets: bool) -> SocketAddr {
    let listener = TcpListener::bind(LOOPBACK).expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let mut held = Vec::new();
        while let Ok((mut stream, _)) = listener.accept() {
            if greets {
                let mut greeting = [0; PULL_GREETING.len()];
                let _ = stream.read_exact(&mut greeting);
                let _ = stream.write_all(&PULL_GREETING);
            }
            held.push(stream);
        }
    });
    address
}

/// Connects to a peer that accepts and leaves the greeting unanswered.
fn measure_unanswered_greeting(packet: &[u8]) -> Value {
    let address = start_silent_peer(false);
    let sender = Socket::new(Protocol::Push0).expect("nng works");
    sender
        .set_opt::<SendTimeout>(Some(SEND_TIMEOUT))
        .expect("the option exists");
    let start = Instant::now();
    let dialed = sender.dial(&url(address));
    let dial_time = start.elapsed();
    let other = Socket::new(Protocol::Push0).expect("nng works");
    other
        .set_opt::<SendTimeout>(Some(SEND_TIMEOUT))
        .expect("the option exists");
    other.dial_async(&url(address)).expect("it starts");
    let (sent, blocked, error) = send_until_blocked(&other, packet);
    json!({
        "dial_blocks_millis": dial_time.as_millis(),
        "dial_error": dialed.err().map(|error| error.to_string()),
        "messages_taken_before_block": sent,
        "send_blocks_millis": blocked.as_millis(),
        "send_error": error,
    })
}

fn send_until_blocked(socket: &Socket, packet: &[u8]) -> (u64, Duration, String) {
    let mut sent = 0;
    loop {
        let start = Instant::now();
        match socket.send(packet) {
            Ok(()) => sent += 1,
            Err((_, error)) => return (sent, start.elapsed(), error.to_string()),
        }
    }
}

/// Sends to a peer that greets and then reads nothing.
fn measure_stopped_reader(packet: &[u8]) -> Value {
    let address = start_silent_peer(true);
    let sender = Socket::new(Protocol::Push0).expect("nng works");
    sender
        .set_opt::<SendTimeout>(Some(SEND_TIMEOUT))
        .expect("the option exists");
    sender.dial(&url(address)).expect("it greets");
    let (sent, blocked, error) = send_until_blocked(&sender, packet);
    let start = Instant::now();
    let mut noticed = None;
    while start.elapsed() < WATCH_TIME && noticed.is_none() {
        let result = sender.send(packet);
        let other = result
            .err()
            .filter(|(_, error)| *error != nng::Error::TimedOut);
        noticed = other.map(|_| start.elapsed().as_millis());
    }
    json!({
        "messages_taken_before_block": sent,
        "bytes_taken_before_block": sent * packet.len() as u64,
        "send_blocks_millis": blocked.as_millis(),
        "send_error": error,
        "noticed_after_millis": noticed,
        "watched_millis": start.elapsed().as_millis(),
    })
}

/// Keeps one socket for each peer, as a message for a certain peer needs.
fn measure_kept_links() -> Value {
    let address = start_silent_peer(true);
    let before = resident_bytes();
    let links: Vec<Socket> = (0..KEPT_LINKS)
        .map(|_| {
            let socket = Socket::new(Protocol::Push0).expect("nng works");
            socket.dial(&url(address)).expect("it greets");
            socket
        })
        .collect();
    let memory = resident_bytes().saturating_sub(before);
    json!({
        "links": links.len(),
        "memory_per_peer_bytes": memory / KEPT_LINKS as u64,
    })
}

fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let second = text.split_whitespace().nth(1);
    second.and_then(|word| word.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

fn measure_size(entries: usize) -> Value {
    let packet = control_packet(entries);
    json!({
        "entries": entries,
        "udp": measure_datagrams(&packet),
        "nng": measure_nng(&packet),
    })
}

fn main() {
    let sizes: Vec<Value> = ENTRY_COUNTS.into_iter().map(measure_size).collect();
    let packet = control_packet(1);
    let report = json!({
        "messages": MESSAGES,
        "sizes": sizes,
        "kept_links": measure_kept_links(),
        "silent_peer": {
            "udp": measure_silent_datagrams(&packet),
            "nng_greeting_unanswered": measure_unanswered_greeting(&packet),
            "nng_reader_stopped": measure_stopped_reader(&packet),
        },
    });
    println!("{report:#}");
}
