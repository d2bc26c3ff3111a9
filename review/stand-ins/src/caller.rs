//! Callers that keep flows open, and the routers that bring their packets to balancers.

use std::net::Ipv4Addr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::net::Net;
use crate::net::PACKETS;
use crate::net::READY;
use crate::net::call;
use crate::net::random;
use crate::packet::ACK;
use crate::packet::FIN;
use crate::packet::Packet;
use crate::packet::RST;
use crate::packet::SYN;
use crate::server::Ends;
use crate::server::OpenFlows;

const RESET_WINDOW: u32 = 76_800;
const SYN_COPIES: [u64; 2] = [200, 600];
const SYN_LIMIT: Duration = Duration::from_millis(1_400);
const BUDGET: Duration = Duration::from_millis(1_500);

/// The routers: the balancers in rotation.
pub struct Router {
    balancers: Vec<u8>,
    ready: Mutex<Vec<bool>>,
}

impl Router {
    pub fn start(net: &Arc<Net>, balancers: &[u8]) -> Arc<Self> {
        let router = Arc::new(Self {
            balancers: balancers.to_vec(),
            ready: Mutex::new(vec![false; balancers.len()]),
        });
        for (index, octet) in balancers.iter().copied().enumerate() {
            let (router, net) = (router.clone(), net.clone());
            thread::spawn(move || {
                let mut misses = 0;
                loop {
                    let answer = call(net.at(octet, READY), "GET", "/readyz", "");
                    let is_ready = answer.is_some_and(|(status, _)| status == 200);
                    misses = if is_ready { 0 } else { misses + 1 };
                    if let Ok(mut ready) = router.ready.lock() {
                        let before = ready[index];
                        ready[index] = is_ready || (before && misses < 2);
                        if before != ready[index] {
                            let word = if before { "leaves" } else { "enters" };
                            net.log(&format!("balancer {octet} {word} the rotation"));
                        }
                    }
                    thread::sleep(Duration::from_millis(500));
                }
            });
        }
        router
    }

    pub fn ready_count(&self) -> usize {
        self.ready
            .lock()
            .map_or(0, |ready| ready.iter().filter(|ready| **ready).count())
    }

    /// The balancer that gets the packets of a flow.
    pub fn pick(&self, caller: Ipv4Addr, port: u16) -> Option<u8> {
        let ready = self.ready.lock().ok()?;
        let mut in_use: Vec<u8> = Vec::new();
        for (index, octet) in self.balancers.iter().enumerate() {
            if ready[index] {
                in_use.push(*octet);
            }
        }
        if in_use.len() * 2 < self.balancers.len() {
            in_use = self.balancers.clone();
        }
        let score = |octet: u8| {
            let mut hash = 0xcbf2_9ce4_8422_2325_u64;
            for byte in caller
                .octets()
                .into_iter()
                .chain(port.to_be_bytes())
                .chain([octet])
            {
                hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
            hash ^ hash >> 29
        };
        in_use.into_iter().max_by_key(|octet| score(*octet))
    }
}

#[derive(Default)]
pub struct Counts {
    pub opened: AtomicU64,
    pub not_opened: AtomicU64,
    pub answered: AtomicU64,
    pub unanswered: AtomicU64,
    pub resets: AtomicU64,
}

enum Phase {
    Opening {
        copies: usize,
    },
    Idle {
        next_request: Instant,
    },
    Waiting {
        resend: Instant,
        interval: u64,
        request: Vec<u8>,
    },
    Ended,
}

struct CallerFlow {
    port: u16,
    phase: Phase,
    since: Instant,
    start: u32,
    sent: u32,
    received: u32,
    number: u32,
}

/// A caller with some flows to one route. Each flow stays open, and asks once in `pause`.
pub struct Caller {
    pub net: Arc<Net>,
    pub router: Arc<Router>,
    pub open_flows: Arc<OpenFlows>,
    pub counts: Arc<Counts>,
    pub octet: u8,
    pub target: (Ipv4Addr, u16),
    pub flow_count: u16,
    pub pause: Duration,
    pub is_over: Arc<AtomicBool>,
}

impl Caller {
    pub fn start(self) -> std::io::Result<thread::JoinHandle<()>> {
        let socket = UdpSocket::bind(self.net.at(self.octet, PACKETS))?;
        socket.set_read_timeout(Some(Duration::from_millis(2)))?;
        Ok(thread::spawn(move || self.run(&socket)))
    }

    fn run(&self, socket: &UdpSocket) {
        let mut next_port = 20_000 + (random() % 20_000) as u16;
        let mut flows: Vec<CallerFlow> = Vec::new();
        let mut buffer = [0; 2_048];
        while !self.is_over.load(Ordering::Relaxed) {
            flows.retain(|flow| !matches!(flow.phase, Phase::Ended));
            if flows.len() < usize::from(self.flow_count) {
                next_port += 1;
                let flow = self.open(socket, next_port);
                flows.push(flow);
            }
            if let Ok((length, _)) = socket.recv_from(&mut buffer) {
                match Packet::decode(&buffer[..length]) {
                    Some(packet) => {
                        if let Some(flow) = flows.iter_mut().find(|flow| flow.port == packet.dport)
                        {
                            self.receive(socket, flow, &packet);
                        }
                    }
                    None => self
                        .net
                        .broke("MIXED: a caller got bytes that are no packet"),
                }
            }
            for flow in &mut flows {
                self.advance(socket, flow);
            }
        }
        for flow in &flows {
            self.send(socket, flow, ACK | FIN, flow.sent, Vec::new());
        }
    }

    fn ends(&self, flow: &CallerFlow) -> Ends {
        (
            self.net.ip(self.octet),
            flow.port,
            self.target.0,
            self.target.1,
        )
    }

    fn open(&self, socket: &UdpSocket, port: u16) -> CallerFlow {
        let start = random();
        let flow = CallerFlow {
            port,
            phase: Phase::Opening { copies: 0 },
            since: Instant::now(),
            start,
            sent: start.wrapping_add(1),
            received: 0,
            number: 0,
        };
        self.send(socket, &flow, SYN, start, Vec::new());
        flow
    }

    fn send(&self, socket: &UdpSocket, flow: &CallerFlow, flags: u8, seq: u32, data: Vec<u8>) {
        let packet = Packet {
            flags,
            src: self.net.ip(self.octet),
            sport: flow.port,
            dst: self.target.0,
            dport: self.target.1,
            seq,
            ack: flow.received,
            sum: 0,
            data,
        };
        if let Some(balancer) = self.router.pick(packet.src, packet.sport) {
            let _ = socket.send_to(&packet.encode(), self.net.at(balancer, PACKETS));
        }
    }

    fn receive(&self, socket: &UdpSocket, flow: &mut CallerFlow, packet: &Packet) {
        let ends = self.ends(flow);
        if packet.is_system_reset() {
            self.receive_reset(flow, packet, &ends);
            return;
        }
        if !packet.is_genuine() {
            self.net.broke(&format!(
                "MIXED: caller of {ends:?} got a packet that nobody wrote so"
            ));
            return;
        }
        if packet.has(RST) {
            self.net.log(&format!("server resets {ends:?}"));
            flow.phase = Phase::Ended;
            return;
        }
        if packet.has(SYN) {
            if matches!(flow.phase, Phase::Opening { .. }) {
                flow.received = packet.seq.wrapping_add(1);
                self.counts.opened.fetch_add(1, Ordering::Relaxed);
                self.send(socket, flow, ACK, flow.sent, Vec::new());
                let next_request = Instant::now();
                flow.phase = Phase::Idle { next_request };
            }
            return;
        }
        if packet.data.is_empty() || matches!(flow.phase, Phase::Opening { .. }) {
            return;
        }
        if packet.seq == flow.received {
            flow.received = flow.received.wrapping_add(packet.data.len() as u32);
            if let Phase::Waiting { request, .. } = &flow.phase {
                if *request == packet.data {
                    self.counts.answered.fetch_add(1, Ordering::Relaxed);
                    let name = String::from_utf8_lossy(request);
                    let age = flow.since.elapsed().as_millis();
                    self.net
                        .log(&format!("{name} answered, sent {age} ms before"));
                } else {
                    self.net.broke(&format!(
                        "MIXED: {ends:?} got the answer of another request"
                    ));
                }
                flow.sent = flow.sent.wrapping_add(request.len() as u32);
                let next_request = Instant::now() + self.pause;
                flow.phase = Phase::Idle { next_request };
            } else {
                self.net.broke(&format!(
                    "MIXED: {ends:?} got an answer with no request waiting"
                ));
            }
        }
        self.send(socket, flow, ACK, flow.sent, Vec::new());
    }

    fn receive_reset(&self, flow: &mut CallerFlow, packet: &Packet, ends: &Ends) {
        self.counts.resets.fetch_add(1, Ordering::Relaxed);
        if matches!(flow.phase, Phase::Opening { .. }) {
            self.net.log(&format!("refused {ends:?}"));
            self.counts.not_opened.fetch_add(1, Ordering::Relaxed);
            flow.phase = Phase::Ended;
            return;
        }
        let distance = packet.seq.wrapping_sub(flow.received) as i32;
        if distance.unsigned_abs() > RESET_WINDOW {
            self.net
                .log(&format!("ignored a reset of {ends:?} at another position"));
            return;
        }
        match self.open_flows.holder(ends) {
            Some((octet, born)) => self.net.broke(&format!(
                "FLOW: {ends:?} is reset by the system, while the server at {} that has held it \
                 since its start at {born} lives and holds it",
                self.net.ip(octet)
            )),
            None => self
                .net
                .log(&format!("reset of {ends:?}, which no living server holds")),
        }
        flow.phase = Phase::Ended;
    }

    fn advance(&self, socket: &UdpSocket, flow: &mut CallerFlow) {
        let now = Instant::now();
        let age = now.duration_since(flow.since);
        match &mut flow.phase {
            Phase::Opening { copies } => {
                if age >= SYN_LIMIT {
                    self.counts.not_opened.fetch_add(1, Ordering::Relaxed);
                    flow.phase = Phase::Ended;
                } else if *copies < SYN_COPIES.len()
                    && age >= Duration::from_millis(SYN_COPIES[*copies])
                {
                    *copies += 1;
                    // The acknowledged position of a copy counts the copies.
                    let number = *copies as u32;
                    let packet = Packet {
                        flags: SYN,
                        src: self.net.ip(self.octet),
                        sport: flow.port,
                        dst: self.target.0,
                        dport: self.target.1,
                        seq: flow.start,
                        ack: number,
                        sum: 0,
                        data: Vec::new(),
                    };
                    if let Some(balancer) = self.router.pick(packet.src, packet.sport) {
                        let _ = socket.send_to(&packet.encode(), self.net.at(balancer, PACKETS));
                    }
                }
            }
            Phase::Idle { next_request } if *next_request <= now => {
                flow.number += 1;
                flow.since = now;
                let request = format!("r-{}-{}-{}", self.octet, flow.port, flow.number);
                let request = request.into_bytes();
                self.send(socket, flow, ACK, flow.sent, request.clone());
                flow.phase = Phase::Waiting {
                    resend: now + Duration::from_millis(200),
                    interval: 200,
                    request,
                };
            }
            Phase::Waiting {
                resend,
                interval,
                request,
            } => {
                if age >= BUDGET {
                    let ends = self.ends(flow);
                    self.net.log(&format!("no answer on {ends:?}"));
                    self.counts.unanswered.fetch_add(1, Ordering::Relaxed);
                    flow.phase = Phase::Ended;
                } else if *resend <= now {
                    *interval = (*interval * 2).min(1_600);
                    *resend = now + Duration::from_millis(*interval);
                    let request = request.clone();
                    self.send(socket, flow, ACK, flow.sent, request);
                }
            }
            Phase::Idle { .. } | Phase::Ended => {}
        }
    }
}
