//! A stand-in for a host of the platform (a backend server): flows over UDP, its liveness
//! check over TCP, and its pings.

use std::collections::HashMap;
use std::io::BufReader;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::packet::{Packet, ACK, BOUNCED, FIN, RST, SYN};
use crate::util::{call, random, read_request, unix_millis, write_response, Record};

/// Time between two pings.
pub const PING_INTERVAL: Duration = Duration::from_millis(1_200);

/// Number of requests that a server runs at the same time; others wait.
const SLOTS: usize = 3;

/// Number of flows that a server holds.
pub const MAX_CONNECTIONS: usize = 2_000;

/// `drainTimeoutMs` of the small sites, in seconds.
const DRAIN_TIMEOUT: f64 = 3.0;

/// What the servers and consumers of a run share.
pub struct Shared {
    pub record: Record,
    /// Service that a route's address goes to, in every configuration of the run.
    pub routes: Vec<(SocketAddrV4, &'static str)>,
    /// Whether consumers begin nothing more.
    pub is_over: AtomicBool,
    /// Whether the stand-ins end.
    pub has_ended: AtomicBool,
    /// Broken rules, each a line.
    pub broken: Mutex<Vec<String>>,
    /// Open flows and the server lifetime that holds each.
    pub owners: Mutex<HashMap<(SocketAddrV4, SocketAddrV4), Lifetime>>,
}

impl Shared {
    pub fn break_rule(&self, text: String) {
        self.record.line(&format!("RULE BROKEN {text}"));
        self.broken.lock().unwrap().push(text);
    }

    pub fn service_of(&self, target: &SocketAddrV4) -> &'static str {
        let found = self.routes.iter().find(|(address, _)| address == target);
        found.map_or("none", |(_, service)| service)
    }
}

/// One lifetime of a server.
#[derive(Clone)]
pub struct Lifetime {
    pub id: String,
    pub ip: Ipv4Addr,
    pub born: u64,
    pub started_at: f64,
    pub service: &'static str,
    alive: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
    /// Whether a partition holds up its pings.
    cut: Arc<AtomicBool>,
    /// When the process beside it confirmed that it is draining.
    drain_confirmed_at: Arc<Mutex<Option<f64>>>,
    /// Number of opening packets that arrived, and of those that it returned.
    pub opening_count: Arc<AtomicU64>,
    pub bounced_count: Arc<AtomicU64>,
    /// Time that a request takes, in milliseconds.
    work_ms: Arc<AtomicU64>,
}

/// Ports of a run.
pub const SERVER_PORT: u16 = 8_165;
pub const OUTBOUND_PORT: u16 = 8_162;
pub const CONTROL_PORT: u16 = 8_166;

struct Flow {
    start: u32,
    caller_next: u32,
    is_open: bool,
    /// Sequence number of the next byte to send.
    next: u32,
    /// The last answer, for a repeated request.
    last: Option<(u32, Vec<u8>)>,
    /// Whether a request is running.
    is_busy: bool,
}

impl Lifetime {
    /// Starts a server at an address. Its first ping is sent at once.
    pub fn start(shared: &Arc<Shared>, ip: Ipv4Addr, service: &'static str) -> std::io::Result<Self> {
        Self::start_with_clock(shared, ip, service, 0)
    }

    /// Starts a server while the time of day on its machine is ahead.
    pub fn start_with_clock(
        shared: &Arc<Shared>,
        ip: Ipv4Addr,
        service: &'static str,
        ahead_ms: u64,
    ) -> std::io::Result<Self> {
        let mut tries = 0;
        let (socket, listener) = loop {
            let pair = UdpSocket::bind((ip, SERVER_PORT))
                .and_then(|socket| Ok((socket, TcpListener::bind((ip, SERVER_PORT))?)));
            match pair {
                Ok(pair) => break pair,
                Err(error) if tries >= 40 => return Err(error),
                Err(_) => std::thread::sleep(Duration::from_millis(25)),
            }
            tries += 1;
        };
        let lifetime = Self {
            id: format!("i-{:08x}", random() as u32),
            ip,
            born: unix_millis() + ahead_ms,
            started_at: shared.record.now(),
            service,
            alive: Arc::new(AtomicBool::new(true)),
            draining: Arc::default(),
            sequence: Arc::default(),
            cut: Arc::default(),
            drain_confirmed_at: Arc::default(),
            opening_count: Arc::default(),
            bounced_count: Arc::default(),
            work_ms: Arc::new(AtomicU64::new(10)),
        };
        shared.record.line(&format!(
            "server {} of {service} starts at {ip}, born {}",
            lifetime.id, lifetime.born
        ));
        listener.set_nonblocking(true)?;
        socket.set_read_timeout(Some(Duration::from_millis(2)))?;
        let (one, other, third) = (lifetime.clone(), lifetime.clone(), lifetime.clone());
        let (shared_one, shared_other) = (shared.clone(), shared.clone());
        let shared_third = shared.clone();
        std::thread::spawn(move || one.serve_flows(&shared_one, &socket));
        std::thread::spawn(move || other.serve_checks(&shared_other, &listener));
        std::thread::spawn(move || third.send_pings(&shared_third));
        Ok(lifetime)
    }

    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// Ends the server without a word.
    pub fn crash(&self, shared: &Shared) {
        shared.record.line(&format!("server {} crashes", self.id));
        self.alive.store(false, Ordering::SeqCst);
        let mut owners = shared.owners.lock().unwrap();
        owners.retain(|_, owner| owner.id != self.id);
    }

    /// Sets the time that a request takes.
    pub fn set_work(&self, millis: u64) {
        self.work_ms.store(millis, Ordering::SeqCst);
    }

    /// The server is to leave: from its next ping on it reports that it is draining.
    pub fn drain(&self, shared: &Shared) {
        shared.record.line(&format!("server {} is draining", self.id));
        self.draining.store(true, Ordering::SeqCst);
    }

    /// When the process beside the server confirmed that it is draining.
    pub fn drain_confirmed_at(&self) -> Option<f64> {
        *self.drain_confirmed_at.lock().unwrap()
    }

    /// A partition begins that holds up the pings of the server.
    pub fn cut_pings(&self, shared: &Shared) {
        shared
            .record
            .line(&format!("a partition holds up the pings of server {}", self.id));
        self.cut.store(true, Ordering::SeqCst);
    }

    /// Returns the path and the body of the next ping.
    pub fn next_ping(&self) -> (String, String) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}:{SERVER_PORT}\",\"zone\":\"z\",\"version\":\"v1\",\"capacity\":3,\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.ip, self.born
        );
        (format!("/Instances.Heartbeat/{}", self.id), body)
    }

    fn send_pings(&self, shared: &Shared) {
        let mut next_at = Instant::now();
        while self.is_alive() && !shared.has_ended.load(Ordering::SeqCst) {
            if Instant::now() >= next_at {
                next_at += PING_INTERVAL;
                if !self.cut.load(Ordering::SeqCst) {
                    let is_draining = self.draining.load(Ordering::SeqCst);
                    let (path, body) = self.next_ping();
                    let control = SocketAddrV4::new(self.ip, CONTROL_PORT);
                    let status = call(control, "POST", &path, &body, Duration::from_secs(1));
                    shared
                        .record
                        .line(&format!("ping of server {}: {status:?}", self.id));
                    let mut confirmed_at = self.drain_confirmed_at.lock().unwrap();
                    if is_draining && status == Some(200) && confirmed_at.is_none() {
                        *confirmed_at = Some(shared.record.now());
                        shared
                            .record
                            .line(&format!("it is confirmed that server {} is draining", self.id));
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn serve_checks(&self, shared: &Shared, listener: &TcpListener) {
        while self.is_alive() && !shared.has_ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(2));
                continue;
            };
            let draining = self.draining.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while read_request(&mut reader).is_some() {
                    let status = if draining.load(Ordering::SeqCst) { 503 } else { 200 };
                    if !write_response(&mut writer, status, "", "{}") {
                        return;
                    }
                }
            });
        }
    }

    fn serve_flows(&self, shared: &Shared, socket: &UdpSocket) {
        let outbound = SocketAddrV4::new(self.ip, OUTBOUND_PORT);
        let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow> = HashMap::new();
        let mut due: Vec<(Instant, (SocketAddrV4, SocketAddrV4), Vec<u8>)> = Vec::new();
        let mut slots = [Instant::now(); SLOTS];
        let mut buffer = [0; 2_048];
        while self.is_alive() && !shared.has_ended.load(Ordering::SeqCst) {
            let now = Instant::now();
            let mut closed = Vec::new();
            due.retain(|(at, key, bytes)| {
                if *at <= now {
                    let _ = socket.send_to(bytes, outbound);
                    if let Some(flow) = flows.get_mut(key) {
                        flow.is_busy = false;
                        flow.next = flow.next.wrapping_add((bytes.len() - crate::packet::HEAD) as u32);
                        if self.draining.load(Ordering::SeqCst) {
                            closed.push((*key, flow.next, flow.caller_next));
                        }
                    }
                }
                *at > now
            });
            for (key, next, caller_next) in closed {
                // A host that is draining closes each flow after its next response.
                let finish = Packet::new(FIN | ACK, key.1, key.0, next, caller_next);
                let _ = socket.send_to(&finish.encode(), outbound);
                flows.remove(&key);
                shared.owners.lock().unwrap().remove(&key);
                shared.record.line(&format!("server {} closes flow {} > {}", self.id, key.0, key.1));
            }
            let Ok((length, _)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            let Some(packet) = Packet::decode(&buffer[..length]) else {
                shared.break_rule(format!("UNASKED: server {} gets bytes that are no packet", self.id));
                continue;
            };
            if !packet.is_genuine() {
                shared.break_rule(format!("UNASKED: server {} gets a packet that nobody wrote so", self.id));
                continue;
            }
            let key = (packet.source, packet.target);
            if packet.has(SYN) {
                self.opening_count.fetch_add(1, Ordering::SeqCst);
                if flows.len() >= MAX_CONNECTIONS && !flows.contains_key(&key) {
                    self.bounced_count.fetch_add(1, Ordering::SeqCst);
                    let bytes = &mut buffer[..length];
                    bytes[2] |= BOUNCED;
                    bytes[3..8].fill(0);
                    let _ = socket.send_to(bytes, outbound);
                    continue;
                }
                self.open_flow(shared, socket, outbound, &mut flows, &packet);
                continue;
            }
            let is_held = flows.get(&key).is_some_and(|flow| {
                flow.is_open || packet.ack == flow.start.wrapping_add(1)
            });
            if !is_held {
                let bytes = &mut buffer[..length];
                bytes[2] |= BOUNCED;
                bytes[3..8].fill(0);
                let _ = socket.send_to(bytes, outbound);
                continue;
            }
            let Some(flow) = flows.get_mut(&key) else {
                continue;
            };
            if !flow.is_open {
                flow.is_open = true;
                shared.record.line(&format!("flow {} > {} opens at server {}", key.0, key.1, self.id));
                shared.owners.lock().unwrap().insert(key, self.clone());
            }
            if packet.has(RST) {
                flows.remove(&key);
                continue;
            }
            if packet.has(FIN) {
                let reply = Packet::new(FIN | ACK, packet.target, packet.source, flow.next, packet.seq.wrapping_add(1));
                let _ = socket.send_to(&reply.encode(), outbound);
                flows.remove(&key);
                shared.owners.lock().unwrap().remove(&key);
                continue;
            }
            if packet.data.is_empty() {
                continue;
            }
            if let Some((seq, bytes)) = &flow.last {
                if *seq == packet.seq {
                    if !flow.is_busy {
                        let _ = socket.send_to(bytes, outbound);
                    }
                    continue;
                }
            }
            if packet.seq != flow.caller_next {
                continue;
            }
            flow.caller_next = flow.caller_next.wrapping_add(packet.data.len() as u32);
            let request = String::from_utf8_lossy(&packet.data).into_owned();
            shared.record.line(&format!("server {} of {} runs {request}", self.id, self.service));
            let answer = Packet::new(ACK, packet.target, packet.source, flow.next, flow.caller_next)
                .with_data(&format!("answer of {} to {request}", self.service))
                .encode();
            flow.last = Some((packet.seq, answer.clone()));
            flow.is_busy = true;
            let work = Duration::from_millis(self.work_ms.load(Ordering::SeqCst));
            if let Some(slot) = slots.iter_mut().min() {
                *slot = (*slot).max(now) + work;
                due.push((*slot, key, answer));
            }
        }
    }

    /// Takes an opening packet, and checks the rule ROUTE by it.
    fn open_flow(
        &self,
        shared: &Shared,
        socket: &UdpSocket,
        outbound: SocketAddrV4,
        flows: &mut HashMap<(SocketAddrV4, SocketAddrV4), Flow>,
        packet: &Packet,
    ) {
        let key = (packet.source, packet.target);
        let allowed = shared.service_of(&packet.target);
        if allowed != self.service {
            shared.break_rule(format!(
                "ROUTE: flow {} > {} of {allowed} is taken by server {} of {}",
                key.0, key.1, self.id, self.service
            ));
        }
        if let Some(confirmed_at) = self.drain_confirmed_at().filter(|_| !flows.contains_key(&key)) {
            let late = shared.record.now() - confirmed_at;
            shared.record.line(&format!(
                "server {} takes flow {} > {} {late:.1} s after it was confirmed that it is draining",
                self.id, key.0, key.1
            ));
            if late > DRAIN_TIMEOUT {
                shared.break_rule(format!(
                    "DRAIN: flow {} > {} reaches server {} {late:.1} s after it was confirmed that it is draining",
                    key.0, key.1, self.id
                ));
            }
        }
        let flow = flows.entry(key).or_insert_with(|| {
            let start = random() as u32;
            Flow {
                start,
                caller_next: packet.seq.wrapping_add(1),
                is_open: false,
                next: start.wrapping_add(1),
                last: None,
                is_busy: false,
            }
        });
        if flow.is_open {
            return;
        }
        let reply = Packet::new(SYN | ACK, packet.target, packet.source, flow.start, packet.seq.wrapping_add(1));
        let _ = socket.send_to(&reply.encode(), outbound);
    }
}
