//! A backend server beside a host process, and what all servers have seen.

use std::collections::HashMap;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::net::APP;
use crate::net::CONTROL;
use crate::net::Net;
use crate::net::OUTBOUND;
use crate::net::call;
use crate::net::random;
use crate::net::unix_millis;
use crate::packet::ACK;
use crate::packet::BOUNCED;
use crate::packet::FIN;
use crate::packet::Packet;
use crate::packet::RST;
use crate::packet::SYN;

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Requests that a server works on at the same time; it queues the others.
const SLOTS: usize = 3;
const MAX_RESENDS: u32 = 8;

/// The ends of a flow: the caller's address and port, and the route's.
pub type Ends = (Ipv4Addr, u16, Ipv4Addr, u16);

pub fn ends_of(packet: &Packet) -> Ends {
    (packet.src, packet.sport, packet.dst, packet.dport)
}

/// The opening packets that servers took: when the caller sent the first one of the flow, when it
/// arrived, and at which server.
#[derive(Default)]
pub struct Openings {
    sent: Mutex<HashMap<Ends, Instant>>,
    taken: Mutex<Vec<(u8, Instant, Instant)>>,
}

impl Openings {
    pub fn record_sent(&self, ends: Ends, now: Instant) {
        if let Ok(mut sent) = self.sent.lock() {
            sent.insert(ends, now);
        }
    }

    fn record_taken(&self, ends: &Ends, octet: u8, now: Instant) {
        let sent = self
            .sent
            .lock()
            .ok()
            .and_then(|sent| sent.get(ends).copied());
        if let (Some(sent), Ok(mut taken)) = (sent, self.taken.lock()) {
            taken.push((octet, sent, now));
        }
    }

    /// The most opening packets that were sent and taken by a server inside one second, of those
    /// that were taken before `until`, and when that second began.
    pub fn most_in_a_second(&self, octet: u8, until: Instant) -> (usize, Option<Instant>) {
        let Ok(taken) = self.taken.lock() else {
            return (0, None);
        };
        let of_server: Vec<(Instant, Instant)> = taken
            .iter()
            .filter(|(holder, _, at)| *holder == octet && *at < until)
            .map(|(_, sent, at)| (*sent, *at))
            .collect();
        let mut most = (0, None);
        for (start, _) in &of_server {
            let end = *start + Duration::from_secs(1);
            let count = of_server
                .iter()
                .filter(|(sent, at)| sent >= start && *at < end)
                .count();
            if count > most.0 {
                most = (count, Some(*start));
            }
        }
        most
    }
}

/// Which server holds which open flow, and since when.
#[derive(Default)]
pub struct OpenFlows(Mutex<HashMap<Ends, (u8, u64, Instant)>>);

impl OpenFlows {
    /// The octet and the lifetime of the server that holds a flow, if one lives that does.
    pub fn holder(&self, ends: &Ends) -> Option<(u8, u64)> {
        let flows = self.0.lock().ok()?;
        flows.get(ends).map(|(octet, born, _)| (*octet, *born))
    }

    fn open(&self, ends: Ends, octet: u8, born: u64) {
        if let Ok(mut flows) = self.0.lock() {
            flows.insert(ends, (octet, born, Instant::now()));
        }
    }

    fn close(&self, ends: &Ends, octet: u8) {
        if let Ok(mut flows) = self.0.lock() {
            if flows
                .get(ends)
                .is_some_and(|(holder, _, _)| *holder == octet)
            {
                flows.remove(ends);
            }
        }
    }
}

struct Flow {
    start: u32,
    is_open: bool,
    /// Position up to which the caller's data has arrived.
    received: u32,
    /// Position up to which the caller has acknowledged the answers.
    acknowledged: u32,
    /// Position after the last answer.
    sent: u32,
    /// The request that waits for a slot or is worked on: when it is done, and its data.
    work: Option<(Option<Instant>, Vec<u8>)>,
    /// The answer that is not acknowledged yet, when it is sent again, and how often it was.
    unacknowledged: Option<(Packet, Instant, u32)>,
}

pub struct Server {
    net: Arc<Net>,
    open_flows: Arc<OpenFlows>,
    openings: Arc<Openings>,
    pub octet: u8,
    pub service: String,
    /// The route that leads here.
    target: (Ipv4Addr, u16),
    /// Time that a request takes.
    work: Duration,
    /// Time for which the server is cold after its start.
    cold: Duration,
    pub started: Instant,
    pub id: String,
    pub born: u64,
    sequence: AtomicU64,
}

impl Server {
    pub fn start(
        net: &Arc<Net>,
        open_flows: &Arc<OpenFlows>,
        openings: &Arc<Openings>,
        octet: u8,
        service: &str,
        target: (Ipv4Addr, u16),
        work: Duration,
        cold: Duration,
    ) -> std::io::Result<Arc<Self>> {
        let socket = UdpSocket::bind(net.at(octet, APP))?;
        socket.set_read_timeout(Some(Duration::from_millis(2)))?;
        let listener = TcpListener::bind(net.at(octet, APP))?;
        listener.set_nonblocking(true)?;
        let server = Arc::new(Self {
            net: net.clone(),
            open_flows: open_flows.clone(),
            openings: openings.clone(),
            octet,
            service: service.to_owned(),
            target,
            work,
            cold,
            started: Instant::now(),
            id: format!("i-{octet}-{:08x}", random()),
            born: unix_millis(),
            sequence: AtomicU64::new(0),
        });
        net.log(&format!(
            "server {} of {service} starts at {}",
            server.id,
            net.ip(octet)
        ));
        let health = server.clone();
        thread::spawn(move || health.answer_checks(&listener));
        let packets = server.clone();
        thread::spawn(move || packets.serve(&socket));
        let beats = server.clone();
        thread::spawn(move || {
            loop {
                beats.beat();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(server)
    }

    /// Reports the state, and returns the status of the answer.
    fn beat(&self) -> Option<u16> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let (service, at) = (&self.service, self.net.at(self.octet, APP));
        let cold = self.cold.saturating_sub(self.started.elapsed()).as_millis() as u64;
        let body = beat_body(service, at, "ready", sequence, self.born, cold);
        let path = format!("/Instances.Heartbeat/{}", self.id);
        let status = call(self.net.at(self.octet, CONTROL), "POST", &path, &body).map(|a| a.0);
        if status != Some(200) {
            self.net
                .log(&format!("heartbeat {sequence} of {}: {status:?}", self.id));
        }
        status
    }

    fn answer_checks(&self, listener: &TcpListener) {
        loop {
            let Ok((mut stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
            let mut buffer = [0; 1_024];
            if stream.read(&mut buffer).unwrap_or(0) > 0 {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        }
    }

    fn serve(&self, socket: &UdpSocket) {
        let mut flows: HashMap<Ends, Flow> = HashMap::new();
        let mut buffer = [0; 2_048];
        let outbound = self.net.at(self.octet, OUTBOUND);
        loop {
            if let Ok((length, _)) = socket.recv_from(&mut buffer) {
                self.receive(socket, outbound, &mut flows, &mut buffer[..length]);
            }
            let now = Instant::now();
            for (ends, flow) in &mut flows {
                self.answer(socket, outbound, ends, flow, now);
            }
            let is_running = |flow: &&Flow| flow.work.as_ref().is_some_and(|work| work.0.is_some());
            let mut running = flows.values().filter(is_running).count();
            for flow in flows.values_mut() {
                if let Some((done @ None, _)) = &mut flow.work
                    && running < SLOTS
                {
                    *done = Some(now + self.work);
                    running += 1;
                }
            }
        }
    }

    fn receive(
        &self,
        socket: &UdpSocket,
        outbound: SocketAddrV4,
        flows: &mut HashMap<Ends, Flow>,
        bytes: &mut [u8],
    ) {
        let Some(packet) = Packet::decode(bytes) else {
            self.net
                .broke("UNASKED: a server got bytes that are no packet");
            return;
        };
        let ends = ends_of(&packet);
        if !packet.is_genuine() {
            self.net.broke(&format!(
                "UNASKED: {} got a packet that nobody wrote so",
                self.id
            ));
            return;
        }
        if packet.opens() {
            if (packet.dst, packet.dport) != self.target {
                self.net.broke(&format!(
                    "ROUTE: {} of {} got the opening packet of {ends:?}",
                    self.id, self.service
                ));
            }
            let flow = flows.entry(ends).or_insert_with(|| {
                self.openings
                    .record_taken(&ends, self.octet, Instant::now());
                let start = random();
                Flow {
                    start,
                    is_open: false,
                    received: packet.seq.wrapping_add(1),
                    acknowledged: start.wrapping_add(1),
                    sent: start.wrapping_add(1),
                    work: None,
                    unacknowledged: None,
                }
            });
            if !flow.is_open {
                let answer = reply(&ends, SYN | ACK, flow.start, flow.received, Vec::new());
                let _ = socket.send_to(&answer.encode(), outbound);
            }
            return;
        }
        let first = |flow: &Flow| packet.has(ACK) && packet.ack == flow.start.wrapping_add(1);
        let is_held = flows
            .get(&ends)
            .is_some_and(|flow| flow.is_open || (first(flow) && !packet.has(RST)));
        let Some(flow) = flows.get_mut(&ends).filter(|_| is_held) else {
            // A flow that this server does not hold.
            bytes[2] |= BOUNCED;
            bytes[3..8].fill(0);
            let _ = socket.send_to(bytes, outbound);
            return;
        };
        if !flow.is_open {
            flow.is_open = true;
            self.open_flows.open(ends, self.octet, self.born);
        }
        if packet.has(RST) || packet.has(FIN) {
            if packet.has(FIN) {
                let end = packet.seq.wrapping_add(1);
                let answer = reply(&ends, FIN | ACK, flow.sent, end, Vec::new());
                let _ = socket.send_to(&answer.encode(), outbound);
            }
            self.open_flows.close(&ends, self.octet);
            flows.remove(&ends);
            return;
        }
        flow.acknowledged = packet.ack;
        if flow
            .unacknowledged
            .as_ref()
            .is_some_and(|_| packet.ack == flow.sent)
        {
            flow.unacknowledged = None;
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.seq == flow.received {
            flow.received = flow.received.wrapping_add(packet.data.len() as u32);
            let request = String::from_utf8_lossy(&packet.data).into_owned();
            self.net.log(&format!("{} runs {request}", self.id));
            flow.work = Some((None, packet.data));
        }
        let answer = reply(&ends, ACK, flow.sent, flow.received, Vec::new());
        let _ = socket.send_to(&answer.encode(), outbound);
    }

    fn answer(
        &self,
        socket: &UdpSocket,
        outbound: SocketAddrV4,
        ends: &Ends,
        flow: &mut Flow,
        now: Instant,
    ) {
        if let Some((_, data)) = flow
            .work
            .take_if(|(done, _)| done.is_some_and(|done| done <= now))
        {
            let answer = reply(ends, ACK, flow.sent, flow.received, data);
            flow.sent = flow.sent.wrapping_add(answer.data.len() as u32);
            let _ = socket.send_to(&answer.encode(), outbound);
            flow.unacknowledged = Some((answer, now + Duration::from_millis(200), 0));
        }
        if let Some((answer, due, count)) = &mut flow.unacknowledged {
            if *due <= now && *count < MAX_RESENDS {
                let _ = socket.send_to(&answer.encode(), outbound);
                *count += 1;
                *due = now + Duration::from_millis(1_600.min(200 << (*count).min(3)));
            }
        }
    }
}

/// The body of a heartbeat.
pub fn beat_body(
    service: &str,
    at: SocketAddrV4,
    state: &str,
    sequence: u64,
    born: u64,
    cold: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{at}\",\"zone\":\"a\",\"version\":\"v1\",\
         \"capacity\":3,\"state\":\"{state}\",\"coldRemainingMs\":{cold},\"sequence\":{sequence},\
         \"born\":{born}}}"
    )
}

fn reply(ends: &Ends, flags: u8, seq: u32, ack: u32, data: Vec<u8>) -> Packet {
    Packet {
        flags,
        src: ends.2,
        sport: ends.3,
        dst: ends.0,
        dport: ends.1,
        seq,
        ack,
        sum: 0,
        data,
    }
}
