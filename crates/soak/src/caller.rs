//! A stand-in for a caller, which has one flow open at a time.

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

use crate::checker::RequestOutcome;
use crate::checker::SoakChecker;
use crate::network::PACKET_PORT;
use crate::router::SoakRouter;
use crate::server::build_answer;
use crate::server::request_prefix;

/// Times since the first opening packet at which the caller retransmits it. At the last one,
/// the caller gives up instead.
const OPENING_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
];

/// Delay before the first retransmission of a request. It doubles with each one.
const INITIAL_RETRANSMIT_DELAY: Duration = Duration::from_millis(200);

/// Time after which a caller gives up a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Delay after a failed flow before the next one is opened.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum distance in bytes between the position of a reset and the position that the
/// caller acknowledged last. Other resets are ignored.
const RESET_WINDOW_BYTES: u32 = 76_800;

/// Maximum number of requests on a flow.
const MAX_REQUESTS_PER_FLOW: u32 = 40;
/// Maximum delay between two requests on a flow, in milliseconds.
const MAX_REQUEST_DELAY_MILLIS: u64 = 300;

/// A caller at one address.
#[derive(Debug)]
pub struct SoakCaller {
    address: Ipv4Addr,
    socket: UdpSocket,
    router: SoakRouter,
    checker: Rc<RefCell<SoakChecker>>,
    targets: Vec<SocketAddrV4>,
    random: SmallRng,
    /// Port of the current flow.
    port: u16,
}

/// An open flow of a caller.
#[derive(Debug)]
struct CallerFlow {
    key: FlowKey,
    /// Position of the next byte in the caller's stream.
    send_position: u32,
    /// Position in the server's stream up to which the caller has received all data.
    receive_position: u32,
}

/// A packet that the caller received.
#[derive(Debug)]
enum CallerReply {
    /// A packet with its data.
    Packet(PacketHeader, Vec<u8>),
    /// A reset with the address of its sender.
    Reset(PacketHeader, Ipv4Addr),
}

impl SoakCaller {
    /// Creates a caller that sends requests to `targets` from an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub async fn bind(
        address: Ipv4Addr,
        router: SoakRouter,
        checker: Rc<RefCell<SoakChecker>>,
        targets: Vec<SocketAddrV4>,
        seed: u64,
    ) -> std::io::Result<Self> {
        Ok(Self {
            address,
            socket: UdpSocket::bind((address, PACKET_PORT)).await?,
            router,
            checker,
            targets,
            random: SmallRng::seed_from_u64(seed),
            port: 1_024,
        })
    }

    /// Opens flows and sends requests until the task is aborted.
    pub async fn run(mut self) {
        loop {
            let is_flow_reused = self.random.random_bool(0.6);
            let request_count = if is_flow_reused {
                self.random.random_range(2..=MAX_REQUESTS_PER_FLOW)
            } else {
                1
            };
            let outcome = match self.open_flow().await {
                Ok(mut flow) => self.send_requests(&mut flow, request_count).await,
                Err(outcome) => outcome,
            };
            if let Some(outcome) = outcome {
                self.checker.borrow_mut().count_request(outcome);
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Opens a flow. On failure, returns the outcome to count, or `None` if the flow may
    /// have failed because a configuration has no route for it.
    async fn open_flow(&mut self) -> Result<CallerFlow, Option<RequestOutcome>> {
        self.port = self.port.checked_add(1).unwrap_or(1_024);
        let target = self.targets[self.random.random_range(0..self.targets.len())];
        let key = FlowKey {
            caller: SocketAddrV4::new(self.address, self.port),
            target,
        };
        let started_at = Instant::now();
        for (copy_number, end_time) in OPENING_TIMEOUTS.iter().enumerate() {
            let packet = PacketHeader {
                is_open: true,
                has_ack: false,
                acknowledged: copy_number as u32,
                ..acknowledge_header(&key, 100, 0)
            };
            self.send_packet(&key, &packet, &[]);
            while let Some(remaining) = end_time.checked_sub(started_at.elapsed()) {
                match self.receive_packet(&key, remaining).await {
                    Some(CallerReply::Packet(header, _)) if header.is_open && header.has_ack => {
                        return Ok(CallerFlow {
                            key,
                            send_position: 101,
                            receive_position: header.sequence.wrapping_add(1),
                        });
                    }
                    // The flow may be refused because its route was removed.
                    Some(CallerReply::Reset(..)) => return Err(self.refused_outcome(&key)),
                    Some(CallerReply::Packet(..)) => {
                        self.record_finding(&format!("{key:?} received data before it was open"));
                    }
                    None => break,
                }
            }
        }
        Err(self.refused_outcome(&key).map(|_| RequestOutcome::GivenUp))
    }

    /// Sends requests on a flow and closes it. Returns the outcome of the request that
    /// failed, if any; the flow is not used after it.
    async fn send_requests(
        &mut self,
        flow: &mut CallerFlow,
        request_count: u32,
    ) -> Option<RequestOutcome> {
        for number in 0..request_count {
            match self.send_request(flow, number).await {
                RequestOutcome::Answered(elapsed) => {
                    self.checker
                        .borrow_mut()
                        .count_request(RequestOutcome::Answered(elapsed));
                }
                outcome => {
                    self.checker.borrow_mut().record_flow_end(&flow.key);
                    return Some(outcome);
                }
            }
            let delay = self.random.random_range(1..=MAX_REQUEST_DELAY_MILLIS);
            sleep(Duration::from_millis(delay)).await;
        }
        self.checker.borrow_mut().record_flow_end(&flow.key);
        let finish_header = PacketHeader {
            is_finish: true,
            ..acknowledge_header(&flow.key, flow.send_position, flow.receive_position)
        };
        self.send_packet(&flow.key, &finish_header, &[]);
        None
    }

    /// Sends a request, retransmits it until an answer arrives, and returns its outcome.
    async fn send_request(&mut self, flow: &mut CallerFlow, number: u32) -> RequestOutcome {
        let text = format!("{}{number}", request_prefix(&flow.key));
        let packet = PacketHeader {
            data_length: text.len() as u16,
            ..acknowledge_header(&flow.key, flow.send_position, flow.receive_position)
        };
        let end = flow.send_position.wrapping_add(text.len() as u32);
        let started_at = Instant::now();
        let mut retransmit_delay = INITIAL_RETRANSMIT_DELAY;
        let mut retransmit_time = INITIAL_RETRANSMIT_DELAY;
        self.send_packet(&flow.key, &packet, text.as_bytes());
        while started_at.elapsed() < REQUEST_TIMEOUT {
            let Some(remaining) = retransmit_time
                .min(REQUEST_TIMEOUT)
                .checked_sub(started_at.elapsed())
            else {
                self.send_packet(&flow.key, &packet, text.as_bytes());
                retransmit_delay *= 2;
                retransmit_time += retransmit_delay;
                continue;
            };
            match self.receive_packet(&flow.key, remaining).await {
                Some(CallerReply::Packet(header, data)) if header.acknowledged == end => {
                    if data != build_answer(&text).as_bytes() {
                        self.record_finding(&format!("{:?} received the wrong answer", flow.key));
                    }
                    flow.send_position = end;
                    flow.receive_position = header.sequence.wrapping_add(data.len() as u32);
                    return RequestOutcome::Answered(started_at.elapsed());
                }
                Some(CallerReply::Reset(header, sender)) => {
                    let distance = header.sequence.wrapping_sub(flow.receive_position) as i32;
                    if distance.unsigned_abs() <= RESET_WINDOW_BYTES {
                        let mut checker = self.checker.borrow_mut();
                        checker.check_reset(Instant::now(), &flow.key, sender);
                        return RequestOutcome::Broken;
                    }
                }
                // An answer to an earlier request, or another reply to the opening packet.
                Some(CallerReply::Packet(..)) | None => {}
            }
        }
        RequestOutcome::GivenUp
    }

    /// Returns the outcome of a request whose flow was refused, or `None` if not all
    /// configurations have a route for the flow.
    fn refused_outcome(&self, key: &FlowKey) -> Option<RequestOutcome> {
        let checker = self.checker.borrow();
        checker
            .has_permanent_route(&key.target)
            .then_some(RequestOutcome::Refused)
    }

    fn record_finding(&self, text: &str) {
        self.checker
            .borrow_mut()
            .record_finding(Instant::now(), text);
    }

    fn send_packet(&self, key: &FlowKey, packet: &PacketHeader, data: &[u8]) {
        let Some(balancer) = self.router.select_balancer(key) else {
            return;
        };
        let mut bytes = encode_header(packet).to_vec();
        bytes.extend_from_slice(data);
        // A datagram that cannot be sent counts as lost.
        let _ = self
            .socket
            .try_send_to(&bytes, (balancer, PACKET_PORT).into());
    }

    /// Waits for a packet of a flow for at most `time_limit`, and ignores those of earlier
    /// flows.
    async fn receive_packet(&self, key: &FlowKey, time_limit: Duration) -> Option<CallerReply> {
        let mut buffer = [0; 2_048];
        let started_at = Instant::now();
        while let Some(remaining) = time_limit.checked_sub(started_at.elapsed()) {
            let Ok(Ok((length, from))) =
                timeout(remaining, self.socket.recv_from(&mut buffer)).await
            else {
                continue;
            };
            let IpAddr::V4(sender) = from.ip() else {
                continue;
            };
            let Some(header) = decode_header(&buffer[..length]) else {
                self.record_finding(&format!("{} received a malformed packet", self.address));
                continue;
            };
            if header.server_flow() != *key {
                if header.destination.ip() != &self.address {
                    self.record_finding(&format!(
                        "{} received a packet for another caller",
                        self.address
                    ));
                }
                continue;
            }
            if header.is_reset {
                return Some(CallerReply::Reset(header, sender));
            }
            return Some(CallerReply::Packet(
                header,
                buffer[HEADER_BYTES..length].to_vec(),
            ));
        }
        None
    }
}

/// Returns the header of a packet from a caller. Of its flags, only the acknowledge flag is
/// set.
fn acknowledge_header(key: &FlowKey, sequence: u32, acknowledged: u32) -> PacketHeader {
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
