//! A stand-in for consumers and for the routers in front of the system.

use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::packet::{Packet, ACK, FIN, RST, SYN};
use crate::server::Shared;
use crate::util::{call, random};

pub const PACKET_PORT: u16 = 8_172;
pub const READY_PORT: u16 = 8_167;

/// Largest distance of a reset from the consumer's last ack.
const RESET_WINDOW: u32 = 76_800;

/// Time after which a consumer gives up a request.
const REQUEST_TIME: Duration = Duration::from_millis(4_000);

/// The routers: they send a flow's packets to a daemon in rotation.
#[derive(Clone)]
pub struct Router {
    /// Daemons with the number of probes that each has missed in a row.
    daemons: Arc<Mutex<Vec<(Ipv4Addr, u32)>>>,
}

impl Router {
    pub fn start(shared: &Arc<Shared>, addresses: &[Ipv4Addr]) -> Self {
        let router = Self {
            daemons: Arc::default(),
        };
        for ip in addresses {
            router.add(shared, *ip);
        }
        router
    }

    /// Adds a daemon, which is out of rotation until it responds.
    pub fn add(&self, shared: &Arc<Shared>, ip: Ipv4Addr) {
        self.daemons.lock().unwrap().push((ip, 2));
        let (router, shared) = (self.clone(), shared.clone());
        let address = SocketAddrV4::new(ip, READY_PORT);
        std::thread::spawn(move || {
            while !shared.has_ended.load(Ordering::SeqCst) {
                let status = call(address, "GET", "/readyz", "", Duration::from_millis(400));
                router.record_probe(ip, status == Some(200));
                std::thread::sleep(Duration::from_millis(500));
            }
        });
    }

    /// Removes a daemon whose machine is gone for good.
    pub fn remove(&self, ip: Ipv4Addr) {
        self.daemons.lock().unwrap().retain(|(known, _)| *known != ip);
    }

    fn record_probe(&self, ip: Ipv4Addr, is_ready: bool) {
        let mut daemons = self.daemons.lock().unwrap();
        if let Some((_, missed)) = daemons.iter_mut().find(|(known, _)| *known == ip) {
            *missed = if is_ready { 0 } else { *missed + 1 };
        }
    }

    pub fn ready_count(&self) -> usize {
        let daemons = self.daemons.lock().unwrap();
        daemons.iter().filter(|(_, missed)| *missed < 2).count()
    }

    /// Selects the daemon of a flow by a steady hash.
    fn select(&self, source: SocketAddrV4, target: SocketAddrV4) -> Ipv4Addr {
        let daemons = self.daemons.lock().unwrap();
        let ready: Vec<Ipv4Addr> = daemons
            .iter()
            .filter(|(_, missed)| *missed < 2)
            .map(|(ip, _)| *ip)
            .collect();
        let all: Vec<Ipv4Addr> = daemons.iter().map(|(ip, _)| *ip).collect();
        let usable = if ready.len() * 2 < all.len() { all } else { ready };
        let weight = |ip: &Ipv4Addr| {
            let text = format!("{source}{target}{ip}");
            text.bytes().fold(14_695_981_039_346_656_037_u64, |hash, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(1_099_511_628_211).rotate_left(23)
            })
        };
        usable.into_iter().max_by_key(weight).unwrap_or(Ipv4Addr::LOCALHOST)
    }
}

/// Numbers of what consumers saw.
#[derive(Default)]
pub struct Tally {
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub reset: AtomicU64,
    pub timed_out: AtomicU64,
}

pub struct Consumer {
    ip: Ipv4Addr,
    socket: UdpSocket,
    router: Router,
    shared: Arc<Shared>,
    tally: Arc<Tally>,
    port: u16,
}

pub struct OpenFlow {
    pub source: SocketAddrV4,
    pub target: SocketAddrV4,
    seq: u32,
    ack: u32,
    number: u32,
}

/// How a request ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum End {
    Served,
    Refused,
    Reset,
    TimedOut,
}

impl Consumer {
    pub fn bind(ip: Ipv4Addr, router: &Router, shared: &Arc<Shared>, tally: &Arc<Tally>) -> std::io::Result<Self> {
        Ok(Self {
            ip,
            socket: UdpSocket::bind((ip, PACKET_PORT))?,
            router: router.clone(),
            shared: shared.clone(),
            tally: tally.clone(),
            port: 20_000 + (random() % 20_000) as u16,
        })
    }

    fn send(&self, packet: &Packet) {
        let daemon = self.router.select(packet.source, packet.target);
        let _ = self.socket.send_to(&packet.encode(), (daemon, PACKET_PORT));
    }

    /// Receives the next packet of a flow until a time.
    fn receive(&self, source: SocketAddrV4, target: SocketAddrV4, until: Instant) -> Option<Packet> {
        let mut buffer = [0; 2_048];
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            let _ = self.socket.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            let Some(packet) = Packet::decode(&buffer[..length]) else {
                self.shared.break_rule(format!("MIXED: consumer {} gets bytes that are no packet", self.ip));
                continue;
            };
            let is_reset_of_system = packet.has(RST) && packet.sum == 0 && packet.data.is_empty();
            if !is_reset_of_system && !packet.is_genuine() {
                self.shared.break_rule(format!("MIXED: consumer {} gets a packet that nobody wrote so", self.ip));
                continue;
            }
            if packet.target == source && packet.source == target {
                return Some(packet);
            }
        }
    }

    /// Opens a flow from a new port.
    pub fn open(&mut self, target: SocketAddrV4) -> Result<OpenFlow, End> {
        self.port += 1;
        let source = SocketAddrV4::new(self.ip, self.port);
        let start = random() as u32;
        let opened_at = Instant::now();
        for (copy, wait_ms) in [200, 600, 1_400].into_iter().enumerate() {
            self.send(&Packet::new(SYN, source, target, start, copy as u32));
            let until = opened_at + Duration::from_millis(wait_ms);
            while let Some(packet) = self.receive(source, target, until) {
                if packet.has(RST) {
                    self.tally.refused.fetch_add(1, Ordering::SeqCst);
                    return Err(End::Refused);
                }
                if packet.has(SYN) && packet.has(ACK) {
                    let flow = OpenFlow {
                        source,
                        target,
                        seq: start.wrapping_add(1),
                        ack: packet.seq.wrapping_add(1),
                        number: 0,
                    };
                    self.send(&Packet::new(ACK, source, target, flow.seq, flow.ack));
                    return Ok(flow);
                }
            }
        }
        self.tally.timed_out.fetch_add(1, Ordering::SeqCst);
        Err(End::TimedOut)
    }

    /// Sends one request on an open flow. `on_reset` is told of a reset of the system that the
    /// consumer accepts.
    pub fn request(&mut self, flow: &mut OpenFlow, on_reset: &dyn Fn(&OpenFlow)) -> End {
        flow.number += 1;
        let text = format!("request {}-{} for {}", flow.source, flow.number, flow.target);
        let packet = Packet::new(ACK, flow.source, flow.target, flow.seq, flow.ack).with_data(&text);
        let sent_at = Instant::now();
        let mut wait = Duration::from_millis(200);
        let mut until = sent_at + wait;
        self.shared.record.line(&format!("consumer sends {text}"));
        self.send(&packet);
        let end = loop {
            match self.receive(flow.source, flow.target, until) {
                Some(reply) if reply.has(RST) => {
                    let distance = reply.seq.wrapping_sub(flow.ack) as i32;
                    if distance.unsigned_abs() <= RESET_WINDOW {
                        self.shared.record.line(&format!(
                            "consumer gets a reset of flow {} > {}; {text} has no answer",
                            flow.source, flow.target
                        ));
                        on_reset(flow);
                        break End::Reset;
                    }
                }
                Some(reply) if !reply.data.is_empty() && reply.seq == flow.ack => {
                    flow.ack = flow.ack.wrapping_add(reply.data.len() as u32);
                    flow.seq = flow.seq.wrapping_add(text.len() as u32);
                    let answer = String::from_utf8_lossy(&reply.data).into_owned();
                    self.shared.record.line(&format!("consumer gets: {answer}"));
                    if !answer.ends_with(&text) {
                        self.shared.break_rule(format!("MIXED: {text} is answered with: {answer}"));
                    }
                    self.send(&Packet::new(ACK, flow.source, flow.target, flow.seq, flow.ack));
                    break End::Served;
                }
                Some(_) => {}
                None if sent_at.elapsed() >= REQUEST_TIME => break End::TimedOut,
                None => {
                    wait = (wait * 2).min(Duration::from_millis(1_600));
                    until = Instant::now() + wait;
                    self.send(&packet);
                }
            }
        };
        let counter = match end {
            End::Served => &self.tally.served,
            End::Refused => &self.tally.refused,
            End::Reset => &self.tally.reset,
            End::TimedOut => &self.tally.timed_out,
        };
        counter.fetch_add(1, Ordering::SeqCst);
        if end == End::TimedOut {
            self.shared.record.line(&format!("consumer gives up {text}"));
        }
        end
    }

    /// Closes a flow.
    pub fn close(&mut self, flow: &OpenFlow) {
        self.send(&Packet::new(FIN | ACK, flow.source, flow.target, flow.seq, flow.ack));
        let _ = self.receive(flow.source, flow.target, Instant::now() + Duration::from_millis(100));
    }
}
