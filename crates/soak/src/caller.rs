//! A stand-in of a caller, with one flow at a time.

use std::cell::RefCell;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hyssopstair_adapter::packet::HEADER_BYTES;
use hyssopstair_adapter::packet::decode_header;
use hyssopstair_adapter::packet::encode_header;
use hyssopstair_flows::packet::PacketHeader;
use hyssopstair_wire::carried::FlowKey;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::judge::RequestEnd;
use crate::judge::SoakJudge;
use crate::network::PACKETS;
use crate::router::SoakRouter;
use crate::server::answer_text;
use crate::server::request_start;

/// Times after the first opening packet at which the next copies are sent, and at
/// which the caller gives up.
const OPENING_TIMES: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
];

/// Pause before a packet is sent again; it doubles.
const FIRST_REPEAT: Duration = Duration::from_millis(200);

/// Time after which a caller gives a request up.
const TIME_BUDGET: Duration = Duration::from_millis(4_000);

/// Pause after a flow that has failed.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// How far a reset may be from the position that the caller acknowledged last.
const RESET_WINDOW: u32 = 76_800;

/// Requests on a long flow at most, and the longest pause between two.
const MAX_REQUESTS: u32 = 40;
const LONGEST_PAUSE_MILLIS: u64 = 300;

/// A caller.
#[derive(Debug)]
pub struct SoakCaller {
    address: Ipv4Addr,
    socket: UdpSocket,
    router: SoakRouter,
    judge: Rc<RefCell<SoakJudge>>,
    targets: Vec<SocketAddrV4>,
    random: SmallRng,
    port: u16,
}

/// An open flow of a caller.
#[derive(Debug)]
struct CallerFlow {
    key: FlowKey,
    /// Position of the next byte that the caller sends.
    position: u32,
    /// Position in the server's stream up to which the caller has everything.
    acknowledged: u32,
}

/// What came back.
#[derive(Debug)]
enum Reply {
    Packet(PacketHeader, Vec<u8>),
    Reset(PacketHeader, Ipv4Addr),
}

impl SoakCaller {
    /// Creates a caller at an address.
    ///
    /// # Errors
    ///
    /// Returns an error when the address is taken.
    pub async fn create(
        address: Ipv4Addr,
        router: SoakRouter,
        judge: Rc<RefCell<SoakJudge>>,
        targets: Vec<SocketAddrV4>,
        seed: u64,
    ) -> std::io::Result<Self> {
        Ok(Self {
            address,
            socket: UdpSocket::bind((address, PACKETS)).await?,
            router,
            judge,
            targets,
            random: SmallRng::seed_from_u64(seed),
            port: 1_024,
        })
    }

    /// Asks again and again.
    pub async fn run(mut self) {
        loop {
            let is_long = self.random.random_bool(0.6);
            let requests = if is_long {
                self.random.random_range(2..=MAX_REQUESTS)
            } else {
                1
            };
            let end = match self.open().await {
                Ok(mut flow) => self.use_flow(&mut flow, requests).await,
                Err(end) => end,
            };
            if let Some(end) = end {
                self.judge.borrow_mut().count(end);
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn open(&mut self) -> Result<CallerFlow, Option<RequestEnd>> {
        self.port = self.port.checked_add(1).unwrap_or(1_024);
        let target = self.targets[self.random.random_range(0..self.targets.len())];
        let key = FlowKey {
            caller: SocketAddrV4::new(self.address, self.port),
            target,
        };
        let started = Instant::now();
        for (copy, until) in OPENING_TIMES.iter().enumerate() {
            let packet = PacketHeader {
                is_open: true,
                has_ack: false,
                acknowledged: copy as u32,
                ..plain(&key, 100, 0)
            };
            self.send(&key, &packet, &[]);
            while let Some(left) = until.checked_sub(started.elapsed()) {
                match self.receive(&key, left).await {
                    Some(Reply::Packet(header, _)) if header.is_open && header.has_ack => {
                        return Ok(CallerFlow {
                            key,
                            position: 101,
                            acknowledged: header.sequence.wrapping_add(1),
                        });
                    }
                    // A route may be gone; that is no failure of the system.
                    Some(Reply::Reset(..)) => return Err(self.refusal(&key)),
                    Some(Reply::Packet(..)) => {
                        self.find(&format!("{key:?} got data before it was open"));
                    }
                    None => break,
                }
            }
        }
        Err(self.refusal(&key).map(|_| RequestEnd::GivenUp))
    }

    /// Sends requests on a flow, and returns how the one that failed has ended.
    async fn use_flow(&mut self, flow: &mut CallerFlow, requests: u32) -> Option<RequestEnd> {
        for number in 0..requests {
            match self.ask(flow, number).await {
                RequestEnd::Answered(took) => {
                    self.judge.borrow_mut().count(RequestEnd::Answered(took));
                }
                end => {
                    self.judge.borrow_mut().note_end(&flow.key);
                    return Some(end);
                }
            }
            let pause = self.random.random_range(1..=LONGEST_PAUSE_MILLIS);
            sleep(Duration::from_millis(pause)).await;
        }
        self.judge.borrow_mut().note_end(&flow.key);
        let last = PacketHeader {
            is_finish: true,
            ..plain(&flow.key, flow.position, flow.acknowledged)
        };
        self.send(&flow.key, &last, &[]);
        None
    }

    async fn ask(&mut self, flow: &mut CallerFlow, number: u32) -> RequestEnd {
        let text = format!("{}{number}", request_start(&flow.key));
        let packet = PacketHeader {
            data_length: text.len() as u16,
            ..plain(&flow.key, flow.position, flow.acknowledged)
        };
        let end = flow.position.wrapping_add(text.len() as u32);
        let started = Instant::now();
        let mut repeat = FIRST_REPEAT;
        let mut next = FIRST_REPEAT;
        self.send(&flow.key, &packet, text.as_bytes());
        while started.elapsed() < TIME_BUDGET {
            let Some(left) = next.min(TIME_BUDGET).checked_sub(started.elapsed()) else {
                self.send(&flow.key, &packet, text.as_bytes());
                repeat *= 2;
                next += repeat;
                continue;
            };
            match self.receive(&flow.key, left).await {
                Some(Reply::Packet(header, data)) if header.acknowledged == end => {
                    if data != answer_text(&text).as_bytes() {
                        self.find(&format!("{:?} got another answer", flow.key));
                    }
                    flow.position = end;
                    flow.acknowledged = header.sequence.wrapping_add(data.len() as u32);
                    return RequestEnd::Answered(started.elapsed());
                }
                Some(Reply::Reset(header, sender)) => {
                    let distance = header.sequence.wrapping_sub(flow.acknowledged) as i32;
                    if distance.unsigned_abs() <= RESET_WINDOW {
                        let mut judge = self.judge.borrow_mut();
                        judge.judge_reset(Instant::now(), &flow.key, sender);
                        return RequestEnd::Broken;
                    }
                }
                // An earlier answer, or the end of an opening.
                Some(Reply::Packet(..)) | None => {}
            }
        }
        RequestEnd::GivenUp
    }

    /// Returns the end of a request whose flow has not opened; nothing if no route
    /// is sure to exist for it.
    fn refusal(&self, key: &FlowKey) -> Option<RequestEnd> {
        let judge = self.judge.borrow();
        judge
            .has_steady_route(&key.target)
            .then_some(RequestEnd::Refused)
    }

    fn find(&self, text: &str) {
        self.judge.borrow_mut().find(Instant::now(), text);
    }

    fn send(&self, key: &FlowKey, packet: &PacketHeader, data: &[u8]) {
        let Some(balancer) = self.router.pick(key) else {
            return;
        };
        let mut bytes = encode_header(packet).to_vec();
        bytes.extend_from_slice(data);
        // A datagram that cannot be sent is lost.
        let _ = self.socket.try_send_to(&bytes, (balancer, PACKETS).into());
    }

    /// Waits for a packet of a flow; those of earlier flows are passed over.
    async fn receive(&self, key: &FlowKey, limit: Duration) -> Option<Reply> {
        let mut buffer = [0; 2_048];
        let started = Instant::now();
        while let Some(left) = limit.checked_sub(started.elapsed()) {
            let Ok(Ok((length, from))) = timeout(left, self.socket.recv_from(&mut buffer)).await
            else {
                continue;
            };
            let IpAddr::V4(sender) = from.ip() else {
                continue;
            };
            let Some(header) = decode_header(&buffer[..length]) else {
                self.find(&format!("{} got what is no packet", self.address));
                continue;
            };
            if header.server_flow() != *key {
                if header.destination.ip() != &self.address {
                    self.find(&format!("{} got a packet of another caller", self.address));
                }
                continue;
            }
            if header.is_reset {
                return Some(Reply::Reset(header, sender));
            }
            return Some(Reply::Packet(header, buffer[HEADER_BYTES..length].to_vec()));
        }
        None
    }
}

fn plain(key: &FlowKey, sequence: u32, acknowledged: u32) -> PacketHeader {
    PacketHeader {
        source: key.caller,
        destination: key.target,
        is_open: false,
        has_ack: true,
        is_finish: false,
        is_reset: false,
        is_bounced: false,
        sequence,
        acknowledged,
        data_length: 0,
    }
}
