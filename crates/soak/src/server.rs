//! A stand-in for the backend server beside a host.
//!
//! A server can crash, drain and start again as another incarnation, possibly for
//! another service or with its clock set back. It reports violated invariants to the
//! checker.

use std::cell::Cell;
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

use crate::checker::SoakChecker;
use crate::http_call::send_http_request;
use crate::network::HEARTBEAT_PORT;
use crate::network::OUTBOUND_PORT;
use crate::network::SERVER_PORT;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time after which a heartbeat that nobody answered is repeated.
const HEARTBEAT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout of a request to the host, such as a heartbeat.
const HOST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of requests that a server can run at the same time, which its heartbeats report.
const CAPACITY: u64 = 2;

/// Minimum time that a request takes, in milliseconds. It is multiplied by one to four,
/// depending on the request's position in the stream, and grows with the number of
/// running requests.
const MIN_RUN_MILLIS: u64 = 6;

/// Attempts to bind an address that an earlier incarnation may still hold.
const BIND_ATTEMPTS: u32 = 20;
/// Delay between two attempts to bind an address.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Offset of the flags from the start of a packet.
const FLAGS_OFFSET_BYTES: usize = 2;
/// Flag of a packet that the server returns to its host because it does not hold the flow.
const BOUNCED_FLAG: u8 = 16;

/// State of a flow at a server.
#[derive(Debug)]
struct ServerFlow {
    key: FlowKey,
    /// Position at which the server's stream starts.
    stream_start: u32,
    /// Whether the caller has acknowledged the reply to its opening packet.
    is_open: bool,
    /// End position of the request that was answered last, and the packet with its answer.
    last_answer: Option<(u32, Vec<u8>)>,
    /// End position of the request that is running.
    running_end: Option<u32>,
}

/// State of one incarnation of a server.
#[derive(Debug)]
struct ServerIncarnation {
    number: u64,
    /// ID of the server. Incarnations 2n and 2n + 1 have the same ID.
    id: String,
    /// Start time by the server's clock, in milliseconds since the Unix epoch.
    started_at: u64,
    service: String,
    /// Sequence number of the last heartbeat.
    heartbeat_sequence: u64,
    is_draining: bool,
    /// Time at which the host acknowledged that the server is draining.
    drain_acknowledged_at: Option<Instant>,
    /// Sorted by key.
    flows: Vec<ServerFlow>,
    /// Number of requests that are running.
    running_count: u64,
    tasks: Vec<AbortHandle>,
}

/// A server, whether it is running or not.
#[derive(Debug, Clone)]
pub struct SoakServer {
    address: Ipv4Addr,
    zone: u8,
    checker: Rc<RefCell<SoakChecker>>,
    /// The current incarnation; `None` if the server is not running.
    incarnation: Rc<RefCell<Option<ServerIncarnation>>>,
    /// Whether an incarnation is being started.
    is_starting: Rc<Cell<bool>>,
    /// Number of incarnations so far.
    incarnation_count: Rc<RefCell<u64>>,
}

impl SoakServer {
    /// Creates a server in an availability zone that is not running.
    pub fn new(address: Ipv4Addr, zone: u8, checker: Rc<RefCell<SoakChecker>>) -> Self {
        Self {
            address,
            zone,
            checker,
            incarnation: Rc::default(),
            is_starting: Rc::default(),
            incarnation_count: Rc::default(),
        }
    }

    /// Returns whether the server is running.
    pub fn is_running(&self) -> bool {
        self.incarnation.borrow().is_some()
    }

    /// Starts an incarnation that serves `service` and whose clock is `clock_offset`
    /// behind. Does nothing if the server is running or being started.
    ///
    /// # Errors
    ///
    /// Returns an error if the server's address is in use.
    pub async fn start(&self, service: &str, clock_offset: Duration) -> std::io::Result<()> {
        if self.is_running() || self.is_starting.replace(true) {
            return Ok(());
        }
        let result = self.start_incarnation(service, clock_offset).await;
        self.is_starting.set(false);
        result
    }

    async fn start_incarnation(
        &self,
        service: &str,
        clock_offset: Duration,
    ) -> std::io::Result<()> {
        let socket = Rc::new(self.bind_socket().await?);
        let health_listener = TcpListener::bind((self.address, SERVER_PORT)).await?;
        let number = *self.incarnation_count.borrow() + 1;
        *self.incarnation_count.borrow_mut() = number;
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_time = unix_time.unwrap_or_default().saturating_sub(clock_offset);
        *self.incarnation.borrow_mut() = Some(ServerIncarnation {
            number,
            id: format!("i-{}-{}", self.address, number / 2),
            started_at: unix_time.as_millis() as u64,
            service: service.to_owned(),
            heartbeat_sequence: 0,
            is_draining: false,
            drain_acknowledged_at: None,
            flows: Vec::new(),
            running_count: 0,
            tasks: Vec::new(),
        });
        let tasks = [
            spawn_local(self.clone().receive_packets(socket)).abort_handle(),
            spawn_local(self.clone().send_heartbeats(number)).abort_handle(),
            spawn_local(serve_health_checks(health_listener)).abort_handle(),
        ];
        if let Some(incarnation) = self.incarnation.borrow_mut().as_mut() {
            incarnation.tasks.extend(tasks);
        }
        Ok(())
    }

    /// Binds the socket for packets. Retries while the address is in use, because requests
    /// of an earlier incarnation may still hold the socket.
    async fn bind_socket(&self) -> std::io::Result<UdpSocket> {
        let mut remaining_attempts = BIND_ATTEMPTS;
        loop {
            remaining_attempts -= 1;
            match UdpSocket::bind((self.address, SERVER_PORT)).await {
                Err(error) if remaining_attempts > 0 && error.kind() == ErrorKind::AddrInUse => {
                    sleep(BIND_RETRY_DELAY).await;
                }
                result => return result,
            }
        }
    }

    /// Stops the server without a drain.
    pub fn crash(&self) {
        if let Some(incarnation) = self.incarnation.borrow_mut().take() {
            for task in incarnation.tasks {
                task.abort();
            }
            self.checker.borrow_mut().record_server_end(self.address);
        }
    }

    /// Drains the server: it reports that it is draining, keeps serving for `stop_delay`
    /// after the next heartbeat, deregisters, and stops.
    pub async fn drain(&self, stop_delay: Duration) {
        let Some(number) = self.incarnation.borrow_mut().as_mut().map(|incarnation| {
            incarnation.is_draining = true;
            incarnation.number
        }) else {
            return;
        };
        sleep(HEARTBEAT_INTERVAL + stop_delay).await;
        let is_current = |incarnation: &ServerIncarnation| incarnation.number == number;
        let id = self
            .incarnation
            .borrow()
            .as_ref()
            .filter(|incarnation| is_current(incarnation))
            .map(|incarnation| incarnation.id.clone());
        if let Some(id) = id {
            let path = format!("/Instances.Deregister/{id}");
            // The server stops whether or not the host acknowledges.
            let _ = self.post_to_host(&path, String::new()).await;
            let is_still_current = self.incarnation.borrow().as_ref().is_some_and(is_current);
            if is_still_current {
                self.crash();
            }
        }
    }

    /// Sends heartbeats until the incarnation has ended.
    async fn send_heartbeats(self, number: u64) {
        loop {
            let Some((path, body, is_draining)) = self.build_heartbeat(number) else {
                return;
            };
            let response_status = self.post_to_host(&path, body).await;
            let pause = match response_status {
                Some(_) => HEARTBEAT_INTERVAL,
                None => HEARTBEAT_RETRY_DELAY,
            };
            let is_acknowledged = response_status.is_some_and(|status| status == 200);
            if let Some(incarnation) = self.incarnation.borrow_mut().as_mut()
                && is_acknowledged
                && is_draining
            {
                incarnation
                    .drain_acknowledged_at
                    .get_or_insert_with(Instant::now);
            }
            sleep(pause).await;
        }
    }

    /// Returns the path and the body of the next heartbeat, and whether it reports that the
    /// server is draining. Returns `None` if the incarnation has ended.
    fn build_heartbeat(&self, number: u64) -> Option<(String, String, bool)> {
        let mut incarnation = self.incarnation.borrow_mut();
        let incarnation = incarnation
            .as_mut()
            .filter(|incarnation| incarnation.number == number)?;
        incarnation.heartbeat_sequence += 1;
        let state = if incarnation.is_draining {
            "draining"
        } else {
            "ready"
        };
        let body = json!({
            "service": incarnation.service, "address": format!("{}:{SERVER_PORT}", self.address),
            "zone": "z0", "version": "v1", "capacity": CAPACITY, "state": state,
            "coldRemainingMs": 0, "sequence": incarnation.heartbeat_sequence,
            "born": incarnation.started_at,
        });
        let path = format!("/Instances.Heartbeat/{}", incarnation.id);
        Some((path, body.to_string(), incarnation.is_draining))
    }

    /// Sends a POST request to the host and returns the status of the response, or `None`
    /// if the request fails.
    async fn post_to_host(&self, path: &str, body: String) -> Option<u16> {
        let host = SocketAddrV4::new(self.address, HEARTBEAT_PORT);
        let response = send_http_request(host, Method::POST, path, body, HOST_TIMEOUT).await;
        response.map(|(status, _)| status)
    }

    async fn receive_packets(self, socket: Rc<UdpSocket>) {
        let mut buffer = [0; 2_048];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let bytes = &mut buffer[..length];
            let Some(header) = decode_header(bytes) else {
                let finding = format!("server {} received a malformed packet", self.address);
                self.checker
                    .borrow_mut()
                    .record_finding(Instant::now(), &finding);
                continue;
            };
            if header.is_open && !header.has_ack {
                self.handle_opening(&socket, &header);
            } else {
                self.handle_packet(&socket, &header, bytes);
            }
        }
    }

    fn send_packet(&self, socket: &UdpSocket, bytes: &[u8]) {
        // A datagram that cannot be sent counts as lost.
        let _ = socket.try_send_to(bytes, (self.address, OUTBOUND_PORT).into());
    }

    /// Checks an opening packet and replies to it, unless the flow is open already.
    fn handle_opening(&self, socket: &UdpSocket, header: &PacketHeader) {
        let mut incarnation = self.incarnation.borrow_mut();
        let Some(incarnation) = incarnation.as_mut() else {
            return;
        };
        let key = header.caller_flow();
        let now = Instant::now();
        let mut checker = self.checker.borrow_mut();
        checker.check_opening(now, &key, &incarnation.service, self.address);
        if let Some(acknowledged_at) = incarnation.drain_acknowledged_at {
            checker.check_drain(now, acknowledged_at, self.address);
        }
        checker.check_evacuation(now, self.zone, self.address);
        let octets = self.address.octets();
        let stream_start = (incarnation.number as u32) << 24
            | u32::from(octets[3]) << 16
            | u32::from(key.caller.port());
        let index = match incarnation
            .flows
            .binary_search_by_key(&key, |flow| flow.key)
        {
            Ok(index) => index,
            Err(index) => {
                let flow = ServerFlow {
                    key,
                    stream_start,
                    is_open: false,
                    last_answer: None,
                    running_end: None,
                };
                incarnation.flows.insert(index, flow);
                index
            }
        };
        if incarnation.flows[index].is_open {
            return;
        }
        let reply = PacketHeader {
            is_open: true,
            sequence: stream_start,
            acknowledged: header.sequence.wrapping_add(1),
            ..reply_header(header)
        };
        self.send_packet(socket, &encode_header(&reply));
    }

    /// Handles a packet other than an opening one. If this incarnation does not hold the
    /// flow, the packet is returned to the host with the bounced flag.
    fn handle_packet(&self, socket: &Rc<UdpSocket>, header: &PacketHeader, bytes: &mut [u8]) {
        let mut incarnation = self.incarnation.borrow_mut();
        let Some(incarnation) = incarnation.as_mut() else {
            return;
        };
        let key = header.caller_flow();
        let found = incarnation
            .flows
            .binary_search_by_key(&key, |flow| flow.key)
            .ok();
        let index = found.filter(|index| {
            let flow = &incarnation.flows[*index];
            flow.is_open || header.acknowledged == flow.stream_start.wrapping_add(1)
        });
        let now = Instant::now();
        let Some(index) = index else {
            self.checker
                .borrow_mut()
                .check_misrouted(now, &key, self.address);
            bytes[FLAGS_OFFSET_BYTES] |= BOUNCED_FLAG;
            self.send_packet(socket, bytes);
            return;
        };
        if !incarnation.flows[index].is_open {
            incarnation.flows[index].is_open = true;
            self.checker
                .borrow_mut()
                .record_open_flow(key, self.address);
        }
        self.checker.borrow_mut().record_delivery(&key);
        if header.is_finish {
            incarnation.flows.remove(index);
            let reply = PacketHeader {
                is_finish: true,
                ..reply_header(header)
            };
            self.send_packet(socket, &encode_header(&reply));
            return;
        }
        let data = &bytes[HEADER_BYTES..];
        if data.is_empty() {
            return;
        }
        let text = String::from_utf8_lossy(data).into_owned();
        if !text.starts_with(&request_prefix(&key)) {
            let finding = format!(
                "server {} received a request that no caller sent",
                self.address
            );
            self.checker.borrow_mut().record_finding(now, &finding);
        }
        let end = header.sequence.wrapping_add(u32::from(header.data_length));
        let flow = &mut incarnation.flows[index];
        if let Some((answered_end, packet)) = &flow.last_answer
            && *answered_end == end
        {
            let packet = packet.clone();
            self.send_packet(socket, &packet);
            return;
        }
        if flow.running_end.replace(end) == Some(end) {
            return;
        }
        incarnation.running_count += 1;
        let queue_factor = 1 + incarnation.running_count.saturating_sub(CAPACITY) / CAPACITY;
        let run_time =
            Duration::from_millis(MIN_RUN_MILLIS * queue_factor * (1 + u64::from(end % 4)));
        let answer = encode_answer(header, end, &text);
        let task = self.clone().run_request(
            Rc::clone(socket),
            incarnation.number,
            key,
            end,
            answer,
            run_time,
        );
        spawn_local(task);
    }

    /// Sends the answer to a request after `run_time`, unless the incarnation or the flow
    /// has ended.
    async fn run_request(
        self,
        socket: Rc<UdpSocket>,
        number: u64,
        key: FlowKey,
        end: u32,
        answer: Vec<u8>,
        run_time: Duration,
    ) {
        sleep(run_time).await;
        let mut incarnation = self.incarnation.borrow_mut();
        let Some(incarnation) = incarnation
            .as_mut()
            .filter(|incarnation| incarnation.number == number)
        else {
            return;
        };
        incarnation.running_count = incarnation.running_count.saturating_sub(1);
        if let Ok(index) = incarnation
            .flows
            .binary_search_by_key(&key, |flow| flow.key)
        {
            self.send_packet(&socket, &answer);
            incarnation.flows[index].running_end = None;
            incarnation.flows[index].last_answer = Some((end, answer));
        }
    }
}

/// Returns the prefix of all requests on a flow.
pub fn request_prefix(key: &FlowKey) -> String {
    format!("{} > {}: ", key.caller, key.target)
}

/// Returns the text of the answer to a request.
pub fn build_answer(request: &str) -> String {
    format!("answer to {request}")
}

/// Returns the packet with the answer to a request whose end position is `end`.
fn encode_answer(header: &PacketHeader, end: u32, request: &str) -> Vec<u8> {
    let text = build_answer(request);
    let packet = PacketHeader {
        sequence: header.acknowledged,
        acknowledged: end,
        data_length: text.len() as u16,
        ..reply_header(header)
    };
    let mut bytes = encode_header(&packet).to_vec();
    bytes.extend_from_slice(text.as_bytes());
    bytes
}

/// Returns the header of a reply without data to a packet.
fn reply_header(header: &PacketHeader) -> PacketHeader {
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

async fn serve_health_checks(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        // A host that closes the connection early repeats its health check.
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        let _ = stream.write_all(response).await;
    }
}
