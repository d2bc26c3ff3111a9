//! A stand-in of a backend server beside a host.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use http::Method;
use hyssopstair_adapter::packet::HEADER_BYTES;
use hyssopstair_adapter::packet::decode_header;
use hyssopstair_adapter::packet::encode_header;
use hyssopstair_flows::packet::PacketHeader;
use hyssopstair_wire::carried::FlowKey;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::http_call::call;
use crate::judge::SoakJudge;
use crate::network::HEARTBEATS;
use crate::network::OUTBOUND;
use crate::network::SERVER;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time in which a heartbeat is to be confirmed.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Requests that a server works on at the same time.
const SLOTS: u64 = 2;

/// Work of a request, in milliseconds; more for some, by their position.
const WORK_MILLIS: u64 = 6;

/// Attempts to bind an address that an earlier life has, and the pause between.
const BIND_ATTEMPTS: u32 = 20;
const BIND_PAUSE: Duration = Duration::from_millis(50);

/// Byte of a packet with its flags, and the mark of one that is handed back.
const FLAGS_AT: usize = 2;
const BOUNCED: u8 = 16;

/// A flow at a server.
#[derive(Debug)]
struct ServerFlow {
    key: FlowKey,
    /// Position at which the server's stream starts.
    start: u32,
    is_open: bool,
    /// The request answered last: its end, and the packet with the answer.
    answered: Option<(u32, Vec<u8>)>,
    /// End of the request that is worked on.
    running: Option<u32>,
}

/// One life of a server.
#[derive(Debug)]
struct ServerLife {
    number: u64,
    id: String,
    born: u64,
    service: String,
    sequence: u64,
    is_draining: bool,
    /// When the host confirmed that it knows of the drain.
    drain_confirmed: Option<Instant>,
    flows: Vec<ServerFlow>,
    running: u64,
    tasks: Vec<AbortHandle>,
}

/// A server, alive or not.
#[derive(Debug, Clone)]
pub struct SoakServer {
    address: Ipv4Addr,
    judge: Rc<RefCell<SoakJudge>>,
    life: Rc<RefCell<Option<ServerLife>>>,
    lives: Rc<RefCell<u64>>,
}

impl SoakServer {
    /// Creates a server that is not started.
    pub fn new(address: Ipv4Addr, judge: Rc<RefCell<SoakJudge>>) -> Self {
        Self {
            address,
            judge,
            life: Rc::default(),
            lives: Rc::default(),
        }
    }

    /// Returns whether it is alive.
    pub fn is_alive(&self) -> bool {
        self.life.borrow().is_some()
    }

    /// Starts a life that serves `service`, whose clock is `set_back` behind.
    ///
    /// # Errors
    ///
    /// Returns an error when its address is taken.
    pub async fn start(&self, service: &str, set_back: Duration) -> std::io::Result<()> {
        if self.is_alive() {
            return Ok(());
        }
        let socket = Rc::new(self.bind().await?);
        let health = TcpListener::bind((self.address, SERVER)).await?;
        let number = *self.lives.borrow() + 1;
        *self.lives.borrow_mut() = number;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix = unix.unwrap_or_default().saturating_sub(set_back);
        *self.life.borrow_mut() = Some(ServerLife {
            number,
            id: format!("i-{}-{}", self.address, number / 2),
            born: unix.as_millis() as u64,
            service: service.to_owned(),
            sequence: 0,
            is_draining: false,
            drain_confirmed: None,
            flows: Vec::new(),
            running: 0,
            tasks: Vec::new(),
        });
        let tasks = [
            spawn_local(self.clone().receive(socket)).abort_handle(),
            spawn_local(self.clone().beat(number)).abort_handle(),
            spawn_local(answer_health(health)).abort_handle(),
        ];
        if let Some(life) = self.life.borrow_mut().as_mut() {
            life.tasks.extend(tasks);
        }
        Ok(())
    }

    /// Binds the address; requests of an earlier life may hold it a little longer.
    async fn bind(&self) -> std::io::Result<UdpSocket> {
        let mut left = BIND_ATTEMPTS;
        loop {
            left -= 1;
            match UdpSocket::bind((self.address, SERVER)).await {
                Err(error) if left > 0 && error.kind() == ErrorKind::AddrInUse => {
                    sleep(BIND_PAUSE).await;
                }
                result => return result,
            }
        }
    }

    /// Ends the server without notice.
    pub fn crash(&self) {
        if let Some(life) = self.life.borrow_mut().take() {
            for task in life.tasks {
                task.abort();
            }
            self.judge.borrow_mut().note_server_end(self.address);
        }
    }

    /// Lets the server leave: it says so, goes on for `linger`, and ends.
    pub async fn leave(&self, linger: Duration) {
        let Some(number) = self.life.borrow_mut().as_mut().map(|life| {
            life.is_draining = true;
            life.number
        }) else {
            return;
        };
        sleep(HEARTBEAT_INTERVAL + linger).await;
        let is_same = |life: &ServerLife| life.number == number;
        let id = self
            .life
            .borrow()
            .as_ref()
            .filter(|life| is_same(life))
            .map(|life| life.id.clone());
        if let Some(id) = id {
            let path = format!("/Instances.Deregister/{id}");
            // A server that gets no answer ends all the same.
            let _ = self.tell(&path, String::new()).await;
            let is_present = self.life.borrow().as_ref().is_some_and(is_same);
            if is_present {
                self.crash();
            }
        }
    }

    async fn beat(self, number: u64) {
        loop {
            let Some((path, body, is_draining)) = self.heartbeat(number) else {
                return;
            };
            let answer = self.tell(&path, body).await;
            let is_confirmed = answer.is_some_and(|status| status == 200);
            if let Some(life) = self.life.borrow_mut().as_mut()
                && is_confirmed
                && is_draining
            {
                life.drain_confirmed.get_or_insert_with(Instant::now);
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    fn heartbeat(&self, number: u64) -> Option<(String, String, bool)> {
        let mut life = self.life.borrow_mut();
        let life = life.as_mut().filter(|life| life.number == number)?;
        life.sequence += 1;
        let state = if life.is_draining {
            "draining"
        } else {
            "ready"
        };
        let body = json!({
            "service": life.service, "address": format!("{}:{SERVER}", self.address),
            "zone": "z0", "version": "v1", "capacity": SLOTS, "state": state,
            "coldRemainingMs": 0, "sequence": life.sequence, "born": life.born,
        });
        let path = format!("/Instances.Heartbeat/{}", life.id);
        Some((path, body.to_string(), life.is_draining))
    }

    async fn tell(&self, path: &str, body: String) -> Option<u16> {
        let host = SocketAddrV4::new(self.address, HEARTBEATS);
        let answer = call(host, Method::POST, path, body, CONFIRM_TIMEOUT).await;
        answer.map(|(status, _)| status)
    }

    async fn receive(self, socket: Rc<UdpSocket>) {
        let mut buffer = [0; 2_048];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let bytes = &mut buffer[..length];
            let Some(header) = decode_header(bytes) else {
                let text = format!("server {} got what is no packet", self.address);
                self.judge.borrow_mut().find(Instant::now(), &text);
                continue;
            };
            if header.is_open && !header.has_ack {
                self.take_opening(&socket, &header);
            } else {
                self.take_middle(&socket, &header, bytes);
            }
        }
    }

    fn send(&self, socket: &UdpSocket, bytes: &[u8]) {
        // A datagram that cannot be sent is lost.
        let _ = socket.try_send_to(bytes, (self.address, OUTBOUND).into());
    }

    fn take_opening(&self, socket: &UdpSocket, header: &PacketHeader) {
        let mut life = self.life.borrow_mut();
        let Some(life) = life.as_mut() else {
            return;
        };
        let key = header.caller_flow();
        let now = Instant::now();
        let mut judge = self.judge.borrow_mut();
        judge.judge_opening(now, &key, &life.service, self.address);
        if let Some(confirmed) = life.drain_confirmed {
            judge.judge_drain(now, confirmed, self.address);
        }
        let octets = self.address.octets();
        let start =
            (life.number as u32) << 24 | u32::from(octets[3]) << 16 | u32::from(key.caller.port());
        let index = match life.flows.binary_search_by_key(&key, |flow| flow.key) {
            Ok(index) => index,
            Err(index) => {
                let flow = ServerFlow {
                    key,
                    start,
                    is_open: false,
                    answered: None,
                    running: None,
                };
                life.flows.insert(index, flow);
                index
            }
        };
        if life.flows[index].is_open {
            return;
        }
        let reply = PacketHeader {
            is_open: true,
            sequence: start,
            acknowledged: header.sequence.wrapping_add(1),
            ..reply_to(header)
        };
        self.send(socket, &encode_header(&reply));
    }

    fn take_middle(&self, socket: &Rc<UdpSocket>, header: &PacketHeader, bytes: &mut [u8]) {
        let mut life = self.life.borrow_mut();
        let Some(life) = life.as_mut() else {
            return;
        };
        let key = header.caller_flow();
        let found = life.flows.binary_search_by_key(&key, |flow| flow.key).ok();
        let index = found.filter(|index| {
            let flow = &life.flows[*index];
            flow.is_open || header.acknowledged == flow.start.wrapping_add(1)
        });
        let now = Instant::now();
        let Some(index) = index else {
            self.judge.borrow_mut().judge_stray(now, &key, self.address);
            bytes[FLAGS_AT] |= BOUNCED;
            self.send(socket, bytes);
            return;
        };
        if !life.flows[index].is_open {
            life.flows[index].is_open = true;
            self.judge.borrow_mut().note_open(key, self.address);
        }
        self.judge.borrow_mut().note_own(&key);
        if header.is_finish {
            life.flows.remove(index);
            let reply = PacketHeader {
                is_finish: true,
                ..reply_to(header)
            };
            self.send(socket, &encode_header(&reply));
            return;
        }
        let data = &bytes[HEADER_BYTES..];
        if data.is_empty() {
            return;
        }
        let text = String::from_utf8_lossy(data).into_owned();
        if !text.starts_with(&request_start(&key)) {
            let finding = format!("server {} got a request that nobody sent", self.address);
            self.judge.borrow_mut().find(now, &finding);
        }
        let end = header.sequence.wrapping_add(u32::from(header.data_length));
        let flow = &mut life.flows[index];
        if let Some((answered, packet)) = &flow.answered
            && *answered == end
        {
            let packet = packet.clone();
            self.send(socket, &packet);
            return;
        }
        if flow.running.replace(end) == Some(end) {
            return;
        }
        life.running += 1;
        let waiting = 1 + life.running.saturating_sub(SLOTS) / SLOTS;
        let work = Duration::from_millis(WORK_MILLIS * waiting * (1 + u64::from(end % 4)));
        let answer = answer_packet(header, end, &text);
        let task = self
            .clone()
            .work(Rc::clone(socket), life.number, key, end, answer, work);
        spawn_local(task);
    }

    async fn work(
        self,
        socket: Rc<UdpSocket>,
        number: u64,
        key: FlowKey,
        end: u32,
        answer: Vec<u8>,
        work: Duration,
    ) {
        sleep(work).await;
        let mut life = self.life.borrow_mut();
        let Some(life) = life.as_mut().filter(|life| life.number == number) else {
            return;
        };
        life.running = life.running.saturating_sub(1);
        if let Ok(index) = life.flows.binary_search_by_key(&key, |flow| flow.key) {
            self.send(&socket, &answer);
            life.flows[index].running = None;
            life.flows[index].answered = Some((end, answer));
        }
    }
}

/// Returns the first bytes of any request on a flow.
pub fn request_start(key: &FlowKey) -> String {
    format!("{} > {}: ", key.caller, key.target)
}

/// Returns the answer to a request.
pub fn answer_text(request: &str) -> String {
    format!("answer to {request}")
}

fn answer_packet(header: &PacketHeader, end: u32, request: &str) -> Vec<u8> {
    let text = answer_text(request);
    let packet = PacketHeader {
        sequence: header.acknowledged,
        acknowledged: end,
        data_length: text.len() as u16,
        ..reply_to(header)
    };
    let mut bytes = encode_header(&packet).to_vec();
    bytes.extend_from_slice(text.as_bytes());
    bytes
}

fn reply_to(header: &PacketHeader) -> PacketHeader {
    PacketHeader {
        source: header.destination,
        destination: header.source,
        is_open: false,
        has_ack: true,
        is_finish: false,
        is_reset: false,
        is_bounced: false,
        sequence: header.acknowledged,
        acknowledged: header.sequence,
        data_length: 0,
    }
}

async fn answer_health(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        // One who does not wait for the answer asks again.
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        let _ = stream.write_all(answer).await;
    }
}
