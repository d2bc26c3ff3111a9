//! Compares UDP datagrams and nng, over TCP, as transports of gossip messages: the bytes and the
//! time per message, and the effect of an unresponsive peer on the sender.
//!
//! A relay in this program counts the payload bytes on the TCP connection. The size of the
//! headers is estimated: 28 bytes for a datagram, 40 bytes for a TCP segment, and one
//! acknowledgement of 40 bytes for each segment, as is the case if the interval between messages
//! exceeds the delayed acknowledgement timeout. Prints JSON.

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

/// Number of messages of each size.
const MESSAGE_COUNT: u64 = 1_000;

/// Numbers of member entries in the measured messages.
const ENTRY_COUNTS: [usize; 2] = [1, 10];

/// Length in bytes of the IPv4 and TCP headers of a segment without options.
const SEGMENT_OVERHEAD_BYTES: u64 = 40;

/// Number of segments that open a connection.
const OPENING_SEGMENT_COUNT: u64 = 3;

/// Number of segments that close a connection.
const CLOSING_SEGMENT_COUNT: u64 = 4;

/// Number of connections that are open at once when the memory per connection is measured.
const CONNECTION_COUNT: usize = 200;

/// Timeout of a send by nng.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time to wait until a send to an unresponsive peer fails with an error other than a
/// timeout.
const OBSERVATION_TIME: Duration = Duration::from_secs(30);

/// The greeting of a pull socket, sent when a connection opens: "SP", version 0, protocol 81.
const PULL_GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 81, 0, 0];

/// The loopback address with a port that the system selects.
const LOOPBACK: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);

/// Counts what a relay has forwarded in one direction. Each read counts as one segment.
#[derive(Debug, Default)]
struct TrafficCounter {
    bytes: AtomicU64,
    segments: AtomicU64,
}

impl TrafficCounter {
    fn record_segment(&self, length: usize) {
        self.bytes.fetch_add(length as u64, Ordering::SeqCst);
        self.segments.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns the numbers of bytes and segments.
    fn totals(&self) -> (u64, u64) {
        let bytes = self.bytes.load(Ordering::SeqCst);
        (bytes, self.segments.load(Ordering::SeqCst))
    }
}

/// A relay for one TCP connection that counts the payload bytes.
#[derive(Debug)]
struct CountingRelay {
    address: SocketAddr,
    to_receiver: Arc<TrafficCounter>,
    to_sender: Arc<TrafficCounter>,
}

impl CountingRelay {
    /// Starts a relay that forwards one connection to `target`.
    fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(LOOPBACK).expect("failed to bind a free port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let to_receiver = Arc::new(TrafficCounter::default());
        let to_sender = Arc::new(TrafficCounter::default());
        let counters = (to_receiver.clone(), to_sender.clone());
        thread::spawn(move || {
            let (sender_stream, _) = listener.accept().expect("failed to accept the connection");
            let receiver_stream =
                TcpStream::connect(target).expect("failed to connect to the receiver");
            let sender_reader = sender_stream
                .try_clone()
                .expect("failed to clone the stream");
            let receiver_reader = receiver_stream
                .try_clone()
                .expect("failed to clone the stream");
            thread::spawn(move || copy_counted(sender_reader, receiver_stream, &counters.0));
            copy_counted(receiver_reader, sender_stream, &counters.1);
        });
        Self {
            address,
            to_receiver,
            to_sender,
        }
    }
}

/// Copies from one stream to the other until either is closed, and counts what is copied.
fn copy_counted(mut source: TcpStream, mut target: TcpStream, counter: &TrafficCounter) {
    let mut buffer = [0; 65_536];
    while let Ok(length) = source.read(&mut buffer) {
        // Counted before it is forwarded, so that the count is complete when the receiver has
        // the message.
        counter.record_segment(length);
        if length == 0 || target.write_all(&buffer[..length]).is_err() {
            return;
        }
    }
}

/// Encodes a gossip packet with the given number of member entries.
fn control_packet(entry_count: usize) -> Vec<u8> {
    let entries: Vec<MemberEntry> = (0..entry_count).map(member_entry).collect();
    let message = ControlMessage {
        sender: entries[0].process,
        version: 1_000_000,
        body: ControlBody::Changes(entries),
    };
    encode_packet(PacketKind::Control, &message, &[])
        .expect("the message does not fit into a packet")
}

fn member_entry(member_number: usize) -> MemberEntry {
    let ip = Ipv4Addr::from_bits(0x0a00_0000 + member_number as u32);
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

/// Measures bytes and time per message over UDP.
fn measure_datagrams(packet: &[u8]) -> Value {
    let receiver = UdpSocket::bind(LOOPBACK).expect("failed to bind a free port");
    let sender = UdpSocket::bind(LOOPBACK).expect("failed to bind a free port");
    let target = receiver
        .local_addr()
        .expect("a bound socket has an address");
    let mut buffer = [0; 2_048];
    let start = Instant::now();
    for _ in 0..MESSAGE_COUNT {
        sender
            .send_to(packet, target)
            .expect("failed to send the message");
        receiver
            .recv(&mut buffer)
            .expect("failed to receive the message");
    }
    json!({
        "payload_bytes_per_message": packet.len(),
        "bytes_per_message": packet.len() as u64 + DATAGRAM_OVERHEAD_BYTES,
        "micros_per_message": start.elapsed().as_micros() as f64 / MESSAGE_COUNT as f64,
    })
}

/// Measures bytes and time per message over nng. Sends a message only after the previous one
/// has arrived, so that no two messages share a segment.
fn measure_nng(packet: &[u8]) -> Value {
    let receiver = Socket::new(Protocol::Pull0).expect("failed to open an nng socket");
    let target = listen_on_free_port(&receiver);
    let relay = CountingRelay::start(target);
    let sender = Socket::new(Protocol::Push0).expect("failed to open an nng socket");
    sender
        .dial(&socket_url(relay.address))
        .expect("failed to connect to the relay");
    sender.send(packet).expect("failed to send the message");
    receiver.recv().expect("failed to receive the message");
    let totals_before = relay.to_receiver.totals();
    let totals_to_sender = relay.to_sender.totals();
    let start = Instant::now();
    for _ in 0..MESSAGE_COUNT {
        sender.send(packet).expect("failed to send the message");
        receiver.recv().expect("failed to receive the message");
    }
    let elapsed = start.elapsed();
    let totals_after = relay.to_receiver.totals();
    let per_message = |(before, after)| (after - before) as f64 / MESSAGE_COUNT as f64;
    let payload_bytes = per_message((totals_before.0, totals_after.0));
    let segments_per_message = per_message((totals_before.1, totals_after.1));
    let header_bytes = segments_per_message * SEGMENT_OVERHEAD_BYTES as f64;
    let greeting_bytes = totals_before.0 + totals_to_sender.0 - payload_bytes as u64;
    // Each side sends its greeting in one segment.
    let setup_segments = OPENING_SEGMENT_COUNT + 2;
    json!({
        "payload_bytes_per_message": payload_bytes,
        "segments_per_message": segments_per_message,
        "bytes_per_message": payload_bytes + header_bytes,
        "bytes_per_message_with_acknowledgement": payload_bytes + 2.0 * header_bytes,
        "micros_per_message_through_relay": elapsed.as_micros() as f64 / MESSAGE_COUNT as f64,
        "greeting_payload_bytes": greeting_bytes,
        "setup_bytes": greeting_bytes + setup_segments * SEGMENT_OVERHEAD_BYTES,
        "closing_bytes": CLOSING_SEGMENT_COUNT * SEGMENT_OVERHEAD_BYTES,
    })
}

/// Makes a socket listen on a port that was free a moment ago, and returns its address.
fn listen_on_free_port(socket: &Socket) -> SocketAddr {
    let listener = TcpListener::bind(LOOPBACK).expect("failed to bind a free port");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    drop(listener);
    socket
        .listen(&socket_url(address))
        .expect("failed to listen on the port");
    address
}

fn socket_url(address: SocketAddr) -> String {
    format!("tcp://{address}")
}

/// Sends datagrams to a socket that is never read, and measures the longest send.
fn measure_unread_datagrams(packet: &[u8]) -> Value {
    let receiver = UdpSocket::bind(LOOPBACK).expect("failed to bind a free port");
    let sender = UdpSocket::bind(LOOPBACK).expect("failed to bind a free port");
    let target = receiver
        .local_addr()
        .expect("a bound socket has an address");
    let mut longest_send = Duration::ZERO;
    let mut error_count = 0;
    for _ in 0..10 * MESSAGE_COUNT {
        let start = Instant::now();
        error_count += u64::from(sender.send_to(packet, target).is_err());
        longest_send = longest_send.max(start.elapsed());
    }
    json!({
        "sends": 10 * MESSAGE_COUNT,
        "errors": error_count,
        "longest_send_micros": longest_send.as_micros(),
    })
}

/// Starts a peer that accepts connections and reads no messages. It answers the greeting as a
/// pull socket does if `sends_greeting` is true, and sends nothing otherwise.
fn start_unresponsive_peer(sends_greeting: bool) -> SocketAddr {
    let listener = TcpListener::bind(LOOPBACK).expect("failed to bind a free port");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    thread::spawn(move || {
        let mut streams = Vec::new();
        while let Ok((mut stream, _)) = listener.accept() {
            if sends_greeting {
                let mut greeting = [0; PULL_GREETING.len()];
                let _ = stream.read_exact(&mut greeting);
                let _ = stream.write_all(&PULL_GREETING);
            }
            streams.push(stream);
        }
    });
    address
}

/// Connects to a peer that accepts the connection but does not answer the greeting.
fn measure_unanswered_greeting(packet: &[u8]) -> Value {
    let address = start_unresponsive_peer(false);
    let sender = Socket::new(Protocol::Push0).expect("failed to open an nng socket");
    sender
        .set_opt::<SendTimeout>(Some(SEND_TIMEOUT))
        .expect("failed to set the send timeout");
    let start = Instant::now();
    let dial_result = sender.dial(&socket_url(address));
    let dial_time = start.elapsed();
    let async_sender = Socket::new(Protocol::Push0).expect("failed to open an nng socket");
    async_sender
        .set_opt::<SendTimeout>(Some(SEND_TIMEOUT))
        .expect("failed to set the send timeout");
    async_sender
        .dial_async(&socket_url(address))
        .expect("failed to start the connection");
    let (sent_count, block_time, error) = send_until_blocked(&async_sender, packet);
    json!({
        "dial_blocks_millis": dial_time.as_millis(),
        "dial_error": dial_result.err().map(|error| error.to_string()),
        "messages_taken_before_block": sent_count,
        "send_blocks_millis": block_time.as_millis(),
        "send_error": error,
    })
}

/// Sends until a send fails. Returns the number of messages sent, the duration of the failed
/// send and its error.
fn send_until_blocked(socket: &Socket, packet: &[u8]) -> (u64, Duration, String) {
    let mut sent_count = 0;
    loop {
        let start = Instant::now();
        match socket.send(packet) {
            Ok(()) => sent_count += 1,
            Err((_, error)) => return (sent_count, start.elapsed(), error.to_string()),
        }
    }
}

/// Sends to a peer that answers the greeting and then reads nothing.
fn measure_peer_that_stops_reading(packet: &[u8]) -> Value {
    let address = start_unresponsive_peer(true);
    let sender = Socket::new(Protocol::Push0).expect("failed to open an nng socket");
    sender
        .set_opt::<SendTimeout>(Some(SEND_TIMEOUT))
        .expect("failed to set the send timeout");
    sender
        .dial(&socket_url(address))
        .expect("failed to connect to the peer");
    let (sent_count, block_time, error) = send_until_blocked(&sender, packet);
    let start = Instant::now();
    let mut error_millis = None;
    while start.elapsed() < OBSERVATION_TIME && error_millis.is_none() {
        let result = sender.send(packet);
        let send_error = result
            .err()
            .filter(|(_, error)| *error != nng::Error::TimedOut);
        error_millis = send_error.map(|_| start.elapsed().as_millis());
    }
    json!({
        "messages_taken_before_block": sent_count,
        "bytes_taken_before_block": sent_count * packet.len() as u64,
        "send_blocks_millis": block_time.as_millis(),
        "send_error": error,
        "noticed_after_millis": error_millis,
        "watched_millis": start.elapsed().as_millis(),
    })
}

/// Measures the memory of an open connection. Opens one socket for each peer, because a push
/// socket with several connections does not let the sender select the peer.
fn measure_open_connections() -> Value {
    let address = start_unresponsive_peer(true);
    let bytes_before = resident_bytes();
    let sockets: Vec<Socket> = (0..CONNECTION_COUNT)
        .map(|_| {
            let socket = Socket::new(Protocol::Push0).expect("failed to open an nng socket");
            socket
                .dial(&socket_url(address))
                .expect("failed to connect to the peer");
            socket
        })
        .collect();
    let memory_bytes = resident_bytes().saturating_sub(bytes_before);
    json!({
        "links": sockets.len(),
        "memory_per_peer_bytes": memory_bytes / CONNECTION_COUNT as u64,
    })
}

/// Returns the resident memory of this process in bytes, or 0 if it is unknown.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident_pages = statm.split_whitespace().nth(1);
    resident_pages
        .and_then(|word| word.parse().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}

/// Measures both transports with messages of the given number of entries.
fn measure_message_size(entry_count: usize) -> Value {
    let packet = control_packet(entry_count);
    json!({
        "entries": entry_count,
        "udp": measure_datagrams(&packet),
        "nng": measure_nng(&packet),
    })
}

fn main() {
    let sizes: Vec<Value> = ENTRY_COUNTS.into_iter().map(measure_message_size).collect();
    let packet = control_packet(1);
    let report = json!({
        "messages": MESSAGE_COUNT,
        "sizes": sizes,
        "kept_links": measure_open_connections(),
        "silent_peer": {
            "udp": measure_unread_datagrams(&packet),
            "nng_greeting_unanswered": measure_unanswered_greeting(&packet),
            "nng_reader_stopped": measure_peer_that_stops_reading(&packet),
        },
    });
    println!("{report:#}");
}
