//! Callers that open a flow for each request, at a constant rate.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::caller::Counts;
use crate::caller::Router;
use crate::net::Net;
use crate::net::PACKETS;
use crate::net::random;
use crate::packet::ACK;
use crate::packet::FIN;
use crate::packet::Packet;
use crate::packet::RST;
use crate::packet::SYN;
use crate::server::Ends;
use crate::server::OpenFlows;
use crate::server::Openings;

/// Time that a packet takes between a caller and the balancers, each way.
const PATH: Duration = Duration::from_millis(3);
const SYN_COPIES: [u64; 2] = [200, 600];
const SYN_LIMIT: Duration = Duration::from_millis(1_400);
const BUDGET: Duration = Duration::from_millis(1_500);
const RESET_WINDOW: u32 = 76_800;

pub struct Crowd {
    pub net: Arc<Net>,
    pub router: Arc<Router>,
    pub open_flows: Arc<OpenFlows>,
    pub openings: Arc<Openings>,
    pub counts: Arc<Counts>,
    pub octet: u8,
    pub target: (Ipv4Addr, u16),
    /// Time between the starts of two flows.
    pub interval: Duration,
    pub is_over: Arc<AtomicBool>,
}

struct Flow {
    start: u32,
    since: Instant,
    copies: usize,
    /// Position after the server's last byte; none before the flow opens.
    received: Option<u32>,
    resend: Instant,
    resend_interval: Duration,
}

impl Crowd {
    pub fn start(self) -> std::io::Result<()> {
        let socket = UdpSocket::bind(self.net.at(self.octet, PACKETS))?;
        socket.set_read_timeout(Some(Duration::from_millis(1)))?;
        thread::spawn(move || self.run(&socket));
        Ok(())
    }

    fn run(&self, socket: &UdpSocket) {
        let mut port = 10_000 + (random() % 10_000) as u16;
        let mut flows: HashMap<u16, Flow> = HashMap::new();
        let mut outgoing: VecDeque<(Instant, SocketAddrV4, Vec<u8>)> = VecDeque::new();
        let mut incoming: VecDeque<(Instant, Packet)> = VecDeque::new();
        let mut next_start = Instant::now() + self.interval.mul_f64(f64::from(random()) / 4.3e9);
        let mut buffer = [0; 2_048];
        while !self.is_over.load(Ordering::Relaxed) {
            if let Ok((length, _)) = socket.recv_from(&mut buffer) {
                match Packet::decode(&buffer[..length]) {
                    Some(packet) => incoming.push_back((Instant::now() + PATH, packet)),
                    None => self
                        .net
                        .broke("MIXED: a caller got bytes that are no packet"),
                }
            }
            let now = Instant::now();
            while incoming.front().is_some_and(|(due, _)| *due <= now) {
                if let Some((_, packet)) = incoming.pop_front() {
                    self.receive(&mut flows, &packet, now, &mut outgoing);
                }
            }
            while next_start <= now {
                next_start += self.interval;
                port = if port >= 60_000 { 10_000 } else { port + 1 };
                let flow = Flow {
                    start: random(),
                    since: now,
                    copies: 0,
                    received: None,
                    resend: now,
                    resend_interval: Duration::from_millis(200),
                };
                self.send(port, &flow, SYN, flow.start, 0, Vec::new(), &mut outgoing);
                self.openings.record_sent(self.ends(port), now);
                flows.insert(port, flow);
            }
            flows.retain(|port, flow| self.advance(*port, flow, now, &mut outgoing));
            while outgoing.front().is_some_and(|(due, _, _)| *due <= now) {
                if let Some((_, to, bytes)) = outgoing.pop_front() {
                    let _ = socket.send_to(&bytes, to);
                }
            }
        }
    }

    fn ends(&self, port: u16) -> Ends {
        (self.net.ip(self.octet), port, self.target.0, self.target.1)
    }

    fn request(&self, port: u16) -> Vec<u8> {
        format!("r-{}-{port}", self.octet).into_bytes()
    }

    #[allow(clippy::too_many_arguments)]
    fn send(
        &self,
        port: u16,
        _flow: &Flow,
        flags: u8,
        seq: u32,
        ack: u32,
        data: Vec<u8>,
        outgoing: &mut VecDeque<(Instant, SocketAddrV4, Vec<u8>)>,
    ) {
        let packet = Packet {
            flags,
            src: self.net.ip(self.octet),
            sport: port,
            dst: self.target.0,
            dport: self.target.1,
            seq,
            ack,
            sum: 0,
            data,
        };
        if let Some(balancer) = self.router.pick(packet.src, port) {
            let due = Instant::now() + PATH;
            outgoing.push_back((due, self.net.at(balancer, PACKETS), packet.encode()));
        }
    }

    fn receive(
        &self,
        flows: &mut HashMap<u16, Flow>,
        packet: &Packet,
        now: Instant,
        outgoing: &mut VecDeque<(Instant, SocketAddrV4, Vec<u8>)>,
    ) {
        let port = packet.dport;
        let ends = self.ends(port);
        if !packet.is_system_reset() && !packet.is_genuine() {
            self.net.broke(&format!(
                "MIXED: {ends:?} got a packet that nobody wrote so"
            ));
            return;
        }
        let Some(flow) = flows.get_mut(&port) else {
            return;
        };
        if packet.is_system_reset() {
            self.counts.resets.fetch_add(1, Ordering::Relaxed);
            match flow.received {
                None => {
                    self.counts.not_opened.fetch_add(1, Ordering::Relaxed);
                    flows.remove(&port);
                }
                Some(received) => {
                    let distance = packet.seq.wrapping_sub(received) as i32;
                    if distance.unsigned_abs() > RESET_WINDOW {
                        self.net.log(&format!(
                            "ignored a reset of the open flow {ends:?} at position {}",
                            packet.seq
                        ));
                        return;
                    }
                    match self.open_flows.holder(&ends) {
                        Some((octet, _)) => self.net.broke(&format!(
                            "FLOW: {ends:?} is reset by the system {} ms after its first packet, \
                             while the server at {} lives and holds it",
                            now.duration_since(flow.since).as_millis(),
                            self.net.ip(octet)
                        )),
                        None => self
                            .net
                            .log(&format!("reset of {ends:?}, which no server holds")),
                    }
                    flows.remove(&port);
                }
            }
            return;
        }
        if packet.has(RST) {
            flows.remove(&port);
            return;
        }
        if packet.has(SYN) {
            if flow.received.is_none() {
                let received = packet.seq.wrapping_add(1);
                flow.received = Some(received);
                flow.resend = now + flow.resend_interval;
                self.counts.opened.fetch_add(1, Ordering::Relaxed);
                let first = flow.start.wrapping_add(1);
                let data = self.request(port);
                self.send(port, flow, ACK, first, received, data, outgoing);
            }
            return;
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.data == self.request(port) {
            self.counts.answered.fetch_add(1, Ordering::Relaxed);
            let age = now.duration_since(flow.since).as_millis();
            self.net.log(&format!(
                "r-{}-{port} answered, sent {age} ms before",
                self.octet
            ));
        } else {
            self.net.broke(&format!(
                "MIXED: {ends:?} got the answer of another request"
            ));
        }
        let sent = flow.start.wrapping_add(1 + packet.data.len() as u32);
        let received = packet.seq.wrapping_add(packet.data.len() as u32);
        self.send(port, flow, ACK | FIN, sent, received, Vec::new(), outgoing);
        flows.remove(&port);
    }

    /// Sends what is due, and returns whether the flow goes on.
    fn advance(
        &self,
        port: u16,
        flow: &mut Flow,
        now: Instant,
        outgoing: &mut VecDeque<(Instant, SocketAddrV4, Vec<u8>)>,
    ) -> bool {
        let age = now.duration_since(flow.since);
        match flow.received {
            None if age >= SYN_LIMIT => {
                self.counts.not_opened.fetch_add(1, Ordering::Relaxed);
                false
            }
            None => {
                if flow.copies < SYN_COPIES.len()
                    && age >= Duration::from_millis(SYN_COPIES[flow.copies])
                {
                    flow.copies += 1;
                    let copies = flow.copies as u32;
                    self.send(port, flow, SYN, flow.start, copies, Vec::new(), outgoing);
                }
                true
            }
            Some(_) if age >= BUDGET => {
                self.counts.unanswered.fetch_add(1, Ordering::Relaxed);
                false
            }
            Some(received) => {
                if flow.resend <= now {
                    flow.resend_interval *= 2;
                    flow.resend = now + flow.resend_interval;
                    let first = flow.start.wrapping_add(1);
                    self.send(
                        port,
                        flow,
                        ACK,
                        first,
                        received,
                        self.request(port),
                        outgoing,
                    );
                }
                true
            }
        }
    }
}
