//! Consumers, hosts (the users' servers) and routers, as PROTOCOL.md describes them, in one
//! event loop.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::fleet::Life;
use crate::fleet::OTHER_SERVICE;
use crate::fleet::SERVICE;
use crate::net::*;

pub const PACKET_PORT: u16 = 8172;
pub const APP_PORT: u16 = 8165;
pub const OUTBOUND_PORT: u16 = 8162;
/// Distance from the consumer's last `ack` within which a reset of the system's own counts.
const RESET_WINDOW: u32 = 76_800;
/// The first pause before a retransmission; it doubles up to the longest one.
const FIRST_PAUSE: u64 = 200_000;
const LONGEST_PAUSE: u64 = 1_600_000;
/// Retransmissions after which a host gives up.
const MAX_RETRANSMISSIONS: u32 = 8;
const RUN_TIME: u64 = 12_000;
const SLOTS: usize = 3;
const TIME_BUDGET: u64 = 2_000_000;

/// How consumers behave.
#[derive(Debug, Clone)]
pub struct Habits {
    pub flows_per_second: u64,
    /// Requests on a flow.
    pub requests: (u64, u64),
    /// Pause between two requests of a flow, in milliseconds.
    pub pause_ms: (u64, u64),
    /// Of ten flows, those to the other service.
    pub other_service_tenths: u64,
    /// Datagrams to consumers of which one is lost; 0: none is.
    pub lost_one_in: u64,
}

/// Balancers in rotation, as the routers see them.
pub type Rotation = Arc<Mutex<Vec<(Ipv4Addr, u8)>>>;
pub type Record = Arc<Mutex<Vec<String>>>;
/// Machines with the time of their last disturbance or planned restart, in microseconds.
pub type Disturbances = Arc<Mutex<BTreeMap<Ipv4Addr, u64>>>;
/// Time without disturbance after which a machine is in touch (`contactMs`).
const CONTACT_TIME: u64 = 4_000_000;

#[derive(Debug, PartialEq)]
enum Stage {
    Opening(u32),
    Open,
    Ended,
}

#[derive(Debug)]
struct Request {
    packet: Vec<u8>,
    end: u32,
    sent_at: u64,
    pause: u64,
    number: u64,
}

/// A flow at its consumer.
#[derive(Debug)]
struct ConsumerFlow {
    caller: usize,
    stage: Stage,
    start: u32,
    next_seq: u32,
    ack: u32,
    request: Option<Request>,
    left: u64,
    is_unsafe: bool,
    generation: u64,
    last_sent_at: u64,
}

#[derive(Debug, PartialEq)]
enum Held {
    /// The host has answered the opening packet; its own start, retransmissions so far.
    Half(u32),
    Open,
    Ended,
}

/// A flow at a host.
#[derive(Debug)]
struct HostFlow {
    held: Held,
    /// The next byte that the host expects, and its own next position.
    expected: u32,
    next_seq: u32,
    /// The last packet that the consumer has not acknowledged, and its end.
    unconfirmed: Option<(Vec<u8>, u32)>,
    is_running: bool,
    generation: u64,
}

struct Host {
    address: Ipv4Addr,
    socket: UdpSocket,
    flows: BTreeMap<(End, End), HostFlow>,
    slots: [u64; SLOTS],
}

struct Caller {
    address: Ipv4Addr,
    socket: UdpSocket,
    port: u16,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    NewFlow,
    Opening {
        key: (End, End),
        generation: u64,
    },
    Request {
        key: (End, End),
        generation: u64,
    },
    NextRequest {
        key: (End, End),
        generation: u64,
    },
    HostPacket {
        host: usize,
        key: (End, End),
        generation: u64,
        count: u32,
        pause: u64,
    },
    Answer {
        host: usize,
        key: (End, End),
        number: u64,
        end: u32,
    },
}

/// What was counted.
#[derive(Debug, Default, Clone)]
pub struct Tally {
    pub opened: u64,
    pub asked: u64,
    pub answered: u64,
    pub given_up: u64,
    pub refused: u64,
    pub lost_answers_to_opening: u64,
    /// Resets of open flows that the flow's host did not send, while that host lives and nothing
    /// on its machine was disturbed within `contactMs`.
    pub broken: u64,
    /// The same, within `contactMs` of a restart of the daemon beside the flow's host.
    pub broken_beside_restart: u64,
    /// Of these, with a request that must not be repeated under way.
    pub lost_unsafe: u64,
    /// Resets of open flows that lie outside the window in which consumers take them.
    pub outside: u64,
    pub foreign_packets: u64,
    pub changed_packets: u64,
    pub run_twice: u64,
    /// Opening packets that a host of another service than the route's took.
    pub wrong_service: u64,
    /// Requests that a host of another service than the route's ran.
    pub run_by_wrong_service: u64,
}

pub struct World {
    pub clock: Clock,
    pub tally: Tally,
    record: Record,
    rotation: Rotation,
    habits: Habits,
    targets: [End; 3],
    random: Random,
    callers: Vec<Caller>,
    hosts: Vec<Host>,
    flows: BTreeMap<(End, End), ConsumerFlow>,
    timers: BinaryHeap<Reverse<(u64, u64, Timer)>>,
    timer_count: u64,
    next_number: u64,
    runs: BTreeMap<u64, u32>,
    pub opens_flows: bool,
    pub disturbances: Disturbances,
    /// Whether the disruption is planned work, under which also resets of senders count that are
    /// not in touch.
    pub is_planned: bool,
    lives: Vec<Arc<Mutex<Life>>>,
}

impl World {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        clock: Clock,
        record: Record,
        rotation: Rotation,
        habits: Habits,
        targets: [End; 3],
        callers: &[Ipv4Addr],
        hosts: &[Ipv4Addr],
        lives: Vec<Arc<Mutex<Life>>>,
        seed: u64,
    ) -> Self {
        let bind = |address: Ipv4Addr, port: u16| {
            let socket = UdpSocket::bind((address, port)).expect("UDP address");
            socket.set_nonblocking(true).expect("socket");
            socket
        };
        let mut world = Self {
            clock,
            tally: Tally::default(),
            record,
            rotation,
            habits,
            targets,
            random: Random::new(seed),
            callers: callers
                .iter()
                .map(|address| Caller {
                    address: *address,
                    socket: bind(*address, PACKET_PORT),
                    port: 20_000,
                })
                .collect(),
            hosts: hosts
                .iter()
                .map(|address| Host {
                    address: *address,
                    socket: bind(*address, APP_PORT),
                    flows: BTreeMap::new(),
                    slots: [0; SLOTS],
                })
                .collect(),
            flows: BTreeMap::new(),
            timers: BinaryHeap::new(),
            timer_count: 0,
            next_number: 0,
            runs: BTreeMap::new(),
            opens_flows: true,
            disturbances: Disturbances::default(),
            is_planned: false,
            lives,
        };
        world.set_timer(clock.now(), Timer::NewFlow);
        world
    }

    pub fn run_until(&mut self, end: u64) {
        let mut buffer = [0u8; 2048];
        while self.clock.now() < end {
            let mut is_idle = true;
            for index in 0..self.callers.len() {
                while let Ok((length, from)) = self.callers[index].socket.recv_from(&mut buffer) {
                    is_idle = false;
                    self.receive_at_caller(index, &buffer[..length].to_vec(), from.ip());
                }
            }
            for index in 0..self.hosts.len() {
                let is_up = self.lives[index].lock().unwrap().is_up;
                if !is_up {
                    self.hosts[index].flows.clear();
                }
                while let Ok((length, _)) = self.hosts[index].socket.recv_from(&mut buffer) {
                    is_idle = false;
                    if is_up {
                        self.receive_at_host(index, buffer[..length].to_vec());
                    }
                }
            }
            let now = self.clock.now();
            while self
                .timers
                .peek()
                .is_some_and(|Reverse((at, _, _))| *at <= now)
            {
                let Some(Reverse((_, _, timer))) = self.timers.pop() else {
                    break;
                };
                is_idle = false;
                self.fire(timer, now);
            }
            if is_idle {
                std::thread::sleep(Duration::from_micros(300));
            }
        }
    }

    fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}", self.clock.now() as f64 / 1e6);
        self.record.lock().unwrap().push(line);
    }

    fn set_timer(&mut self, at: u64, timer: Timer) {
        self.timer_count += 1;
        self.timers.push(Reverse((at, self.timer_count, timer)));
    }

    // ----- consumers -----

    /// Sends a consumer's packet to the balancer that the routers select: a stable hash over the
    /// balancers in rotation, or over all if fewer than half are.
    fn send_to_balancer(&self, caller: usize, key: &(End, End), bytes: &[u8]) {
        let all = self.rotation.lock().unwrap().clone();
        let ready: Vec<Ipv4Addr> = all
            .iter()
            .filter(|(_, misses)| *misses < 2)
            .map(|(address, _)| *address)
            .collect();
        let used: Vec<Ipv4Addr> = if ready.len() * 2 < all.len() {
            all.iter().map(|(address, _)| *address).collect()
        } else {
            ready
        };
        let weigh = |address: &Ipv4Addr| {
            let mut hash = 0xcbf2_9ce4_8422_2325u64;
            let (from, to) = key;
            let parts = [
                u32::from(from.0),
                from.1.into(),
                u32::from(to.0),
                to.1.into(),
            ];
            for part in parts.into_iter().chain([u32::from(*address)]) {
                hash = (hash ^ u64::from(part)).wrapping_mul(0x1000_0000_01b3);
                hash ^= hash >> 29;
            }
            hash
        };
        if let Some(balancer) = used.iter().max_by_key(|address| weigh(address)) {
            let _ = self.callers[caller]
                .socket
                .send_to(bytes, (*balancer, PACKET_PORT));
        }
    }

    fn open_flow(&mut self, now: u64) {
        let caller = self.random.below(self.callers.len() as u64) as usize;
        let last_port = self.callers[caller].port;
        let port = if last_port >= 60_000 {
            20_000
        } else {
            last_port + 1
        };
        self.callers[caller].port = port;
        let is_unsafe = self.random.below(4) == 0;
        let is_other = self.random.below(10) < self.habits.other_service_tenths;
        let is_unsafe = is_unsafe && !is_other;
        let target = self.targets[if is_other { 2 } else { usize::from(is_unsafe) }];
        let key = ((self.callers[caller].address, port), target);
        let (least, most) = self.habits.requests;
        let start = self.random.next() as u32;
        let flow = ConsumerFlow {
            caller,
            stage: Stage::Opening(0),
            start,
            next_seq: start.wrapping_add(1),
            ack: 0,
            request: None,
            left: least + self.random.below(most - least + 1),
            is_unsafe,
            generation: 0,
            last_sent_at: now,
        };
        self.flows.insert(key, flow);
        let packet = encode(key.0, key.1, SYN, start, 0, &[]);
        self.send_to_balancer(caller, &key, &packet);
        self.set_timer(now + 200_000, Timer::Opening { key, generation: 0 });
    }

    fn repeat_opening(&mut self, key: (End, End), generation: u64, now: u64) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let Stage::Opening(copies) = flow.stage else {
            return;
        };
        if flow.generation != generation {
            return;
        }
        if copies == 2 {
            flow.stage = Stage::Ended;
            self.tally.given_up += 1;
            return;
        }
        flow.stage = Stage::Opening(copies + 1);
        let packet = encode(key.0, key.1, SYN, flow.start, copies + 1, &[]);
        let caller = flow.caller;
        self.send_to_balancer(caller, &key, &packet);
        let pause = if copies == 0 { 400_000 } else { 800_000 };
        self.set_timer(now + pause, Timer::Opening { key, generation });
    }

    fn send_request(&mut self, key: (End, End), generation: u64, now: u64) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if flow.stage != Stage::Open || flow.generation != generation || flow.request.is_some() {
            return;
        }
        if flow.left == 0 {
            flow.stage = Stage::Ended;
            let packet = encode(key.0, key.1, FIN | ACK, flow.next_seq, flow.ack, &[]);
            let caller = flow.caller;
            self.send_to_balancer(caller, &key, &packet);
            return;
        }
        flow.left -= 1;
        flow.generation += 1;
        self.next_number += 1;
        let number = self.next_number;
        let mut data = vec![b'.'; 300];
        data[..8].copy_from_slice(&number.to_be_bytes());
        let packet = encode(key.0, key.1, ACK, flow.next_seq, flow.ack, &data);
        flow.request = Some(Request {
            packet: packet.clone(),
            end: flow.next_seq.wrapping_add(data.len() as u32),
            sent_at: now,
            pause: FIRST_PAUSE,
            number,
        });
        flow.last_sent_at = now;
        let (caller, generation, is_unsafe) = (flow.caller, flow.generation, flow.is_unsafe);
        self.tally.asked += 1;
        let kind = if is_unsafe { "unsafe" } else { "safe" };
        self.note(&format!("sent request {number} ({kind}) on {}", name(&key)));
        self.send_to_balancer(caller, &key, &packet);
        self.set_timer(now + FIRST_PAUSE, Timer::Request { key, generation });
    }

    fn repeat_request(&mut self, key: (End, End), generation: u64, now: u64) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if flow.stage != Stage::Open || flow.generation != generation {
            return;
        }
        let caller = flow.caller;
        let Some(request) = &mut flow.request else {
            return;
        };
        if now >= request.sent_at + TIME_BUDGET {
            let number = request.number;
            flow.stage = Stage::Ended;
            self.tally.given_up += 1;
            self.note(&format!("gave up request {number} on {}", name(&key)));
            return;
        }
        request.pause = (request.pause * 2).min(LONGEST_PAUSE);
        let (packet, pause) = (request.packet.clone(), request.pause);
        self.send_to_balancer(caller, &key, &packet);
        self.set_timer(now + pause, Timer::Request { key, generation });
    }

    fn receive_at_caller(&mut self, caller: usize, bytes: &[u8], from: std::net::IpAddr) {
        let now = self.clock.now();
        let Some(head) = decode(bytes) else { return };
        let key = (head.dst, head.src);
        let one_in = self.habits.lost_one_in;
        if one_in > 0 && self.random.below(one_in) == 0 {
            // The network has lost this datagram.
            if head.flags & SYN != 0 {
                self.tally.lost_answers_to_opening += 1;
                self.note(&format!(
                    "the network lost the SYN+ACK of {from} for {}",
                    name(&key)
                ));
            }
            return;
        }
        if key.0 .0 != self.callers[caller].address {
            self.tally.foreign_packets += 1;
            return;
        }
        if head.flags & RST != 0 && head.sum == 0 {
            self.receive_reset(&key, &head, from);
            return;
        }
        if !is_unchanged(bytes) {
            self.tally.changed_packets += 1;
            self.note(&format!("changed packet on {}", name(&key)));
            return;
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if head.flags & RST != 0 {
            flow.stage = Stage::Ended;
            self.note(&format!("the host reset {}", name(&key)));
            return;
        }
        if head.flags & SYN != 0 {
            if let Stage::Opening(_) = flow.stage {
                flow.stage = Stage::Open;
                flow.ack = head.seq.wrapping_add(1);
                flow.generation += 1;
                let generation = flow.generation;
                self.tally.opened += 1;
                self.note(&format!("opened {} by the SYN+ACK from {from}", name(&key)));
                self.send_request(key, generation, now);
            }
            return;
        }
        if flow.stage != Stage::Open {
            return;
        }
        let end = head.seq.wrapping_add(u32::from(head.len));
        if head.len > 0 && head.seq == flow.ack {
            flow.ack = end;
            let is_answer = flow
                .request
                .as_ref()
                .is_some_and(|request| request.end == head.ack);
            let (caller, seq) = (flow.caller, head.ack);
            if is_answer {
                let request = flow.request.take().expect("request");
                flow.next_seq = request.end;
                flow.generation += 1;
                let generation = flow.generation;
                let (least, most) = self.habits.pause_ms;
                let pause = (least + self.random.below(most - least + 1)) * 1_000;
                self.tally.answered += 1;
                self.note(&format!(
                    "answered request {} on {}",
                    request.number,
                    name(&key)
                ));
                self.set_timer(now + pause, Timer::NextRequest { key, generation });
            }
            let packet = encode(key.0, key.1, ACK, seq, end, &[]);
            self.send_to_balancer(caller, &key, &packet);
        } else if head.len > 0 {
            let packet = encode(key.0, key.1, ACK, head.ack, flow.ack, &[]);
            let caller = flow.caller;
            self.send_to_balancer(caller, &key, &packet);
        }
    }

    /// Handles a reset of the system's own.
    fn receive_reset(&mut self, key: &(End, End), head: &Head, from: std::net::IpAddr) {
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        if let Stage::Opening(_) = flow.stage {
            flow.stage = Stage::Ended;
            self.tally.refused += 1;
            self.note(&format!("{from} refused {}", name(key)));
            return;
        }
        if flow.stage != Stage::Open {
            return;
        }
        let holder = self.hosts.iter().find(|host| {
            host.flows
                .get(key)
                .is_some_and(|flow| flow.held == Held::Open)
        });
        let holder = holder.map(|host| host.address);
        let distance = head.seq.wrapping_sub(flow.ack) as i32;
        if distance.unsigned_abs() > RESET_WINDOW {
            self.tally.outside += 1;
            self.note(&format!(
                "{from} sent a reset outside the window on open {} at {holder:?}",
                name(key)
            ));
            return;
        }
        flow.stage = Stage::Ended;
        let request = flow.request.as_ref().map(|request| request.number);
        let Some(holder) = holder else { return };
        let kind = if flow.is_unsafe { "unsafe" } else { "safe" };
        let now = self.clock.now();
        let disturbed_at = {
            let disturbances = self.disturbances.lock().unwrap();
            let of = |address: Ipv4Addr| disturbances.get(&address).copied();
            let sender = match from {
                std::net::IpAddr::V4(sender) if !self.is_planned => of(sender),
                _ => None,
            };
            of(holder).max(sender)
        };
        let verdict = match disturbed_at {
            Some(at) if now < at + CONTACT_TIME => {
                self.tally.broken_beside_restart += 1;
                "not counted"
            }
            _ => {
                self.tally.broken += 1;
                self.tally.lost_unsafe += u64::from(request.is_some() && flow.is_unsafe);
                "BROKEN"
            }
        };
        self.note(&format!(
            "{verdict}: {from} reset {}, which is open at {holder}; request under way: {request:?} \
             ({kind})",
            name(key)
        ));
    }

    // ----- hosts -----

    fn send_from_host(&self, host: usize, bytes: &[u8]) {
        let host = &self.hosts[host];
        let _ = host.socket.send_to(bytes, (host.address, OUTBOUND_PORT));
    }

    fn receive_at_host(&mut self, index: usize, mut bytes: Vec<u8>) {
        let now = self.clock.now();
        let Some(head) = decode(&bytes) else { return };
        if !is_unchanged(&bytes) || head.flags & BOUNCED != 0 {
            self.tally.changed_packets += 1;
            return;
        }
        let key = (head.src, head.dst);
        let start = self.random.next() as u32;
        let service = match key.1 == self.targets[2] {
            true => OTHER_SERVICE,
            false => SERVICE,
        };
        let is_wrong_service = self.lives[index].lock().unwrap().service != service;
        if is_wrong_service && head.flags & SYN != 0 {
            self.tally.wrong_service += 1;
            self.note(&format!(
                "WRONG SERVICE: {} takes {}, which is for {service}",
                self.hosts[index].address,
                name(&key)
            ));
        }
        let host = &mut self.hosts[index];
        if head.flags & SYN != 0 {
            let flow = host.flows.entry(key).or_insert_with(|| HostFlow {
                held: Held::Half(start),
                expected: head.seq.wrapping_add(1),
                next_seq: start.wrapping_add(1),
                unconfirmed: None,
                is_running: false,
                generation: 0,
            });
            let Held::Half(start) = flow.held else { return };
            let packet = encode(key.1, key.0, SYN | ACK, start, flow.expected, &[]);
            let is_first = flow.unconfirmed.is_none();
            flow.unconfirmed = Some((packet.clone(), start.wrapping_add(1)));
            let generation = flow.generation;
            self.send_from_host(index, &packet);
            if is_first {
                self.arm_host_packet(index, key, generation, now);
            }
            return;
        }
        let is_held = host.flows.get(&key).is_some_and(|flow| match flow.held {
            Held::Half(start) => head.flags & ACK != 0 && head.ack == start.wrapping_add(1),
            Held::Open | Held::Ended => true,
        });
        if !is_held {
            bytes[2] |= BOUNCED;
            self.note(&format!(
                "{} returned a packet of {}",
                self.hosts[index].address,
                name(&key)
            ));
            self.send_from_host(index, &bytes);
            return;
        }
        let Some(flow) = host.flows.get_mut(&key) else {
            return;
        };
        if let Held::Half(_) = flow.held {
            flow.held = Held::Open;
            flow.generation += 1;
            flow.unconfirmed = None;
        }
        if head.flags & RST != 0 {
            flow.held = Held::Ended;
            return;
        }
        let confirmed = flow
            .unconfirmed
            .as_ref()
            .is_some_and(|(_, end)| *end == head.ack);
        if confirmed {
            flow.unconfirmed = None;
            flow.generation += 1;
        }
        if flow.held == Held::Ended {
            let flags = if head.len > 0 { RST | ACK } else { ACK };
            if head.len > 0 || head.flags & FIN != 0 {
                let packet = encode(key.1, key.0, flags, flow.next_seq, head.seq, &[]);
                self.send_from_host(index, &packet);
            }
            return;
        }
        if head.flags & FIN != 0 {
            flow.held = Held::Ended;
            flow.generation += 1;
            let packet = encode(
                key.1,
                key.0,
                FIN | ACK,
                flow.next_seq,
                head.seq.wrapping_add(1),
                &[],
            );
            self.send_from_host(index, &packet);
            return;
        }
        if head.len == 0 {
            return;
        }
        if head.seq == flow.expected && !flow.is_running {
            flow.expected = head.seq.wrapping_add(u32::from(head.len));
            flow.is_running = true;
            flow.unconfirmed = None;
            flow.generation += 1;
            let mut digits = [0u8; 8];
            digits.copy_from_slice(&bytes[HEAD..HEAD + 8]);
            let number = u64::from_be_bytes(digits);
            let end = flow.expected;
            let slot = (0..SLOTS).min_by_key(|slot| host.slots[*slot]).unwrap_or(0);
            let finish = host.slots[slot].max(now) + RUN_TIME;
            host.slots[slot] = finish;
            let count = self.runs.entry(number).or_default();
            *count += 1;
            if *count > 1 {
                self.tally.run_twice += 1;
            }
            self.tally.run_by_wrong_service += u64::from(is_wrong_service);
            self.note(&format!(
                "{} runs request {number}",
                self.hosts[index].address
            ));
            self.set_timer(
                finish,
                Timer::Answer {
                    host: index,
                    key,
                    number,
                    end,
                },
            );
        } else if let Some((packet, _)) = flow.unconfirmed.clone() {
            self.send_from_host(index, &packet);
        } else {
            let packet = encode(key.1, key.0, ACK, flow.next_seq, flow.expected, &[]);
            self.send_from_host(index, &packet);
        }
    }

    fn answer(&mut self, index: usize, key: (End, End), end: u32, now: u64) {
        let Some(flow) = self.hosts[index].flows.get_mut(&key) else {
            return;
        };
        flow.is_running = false;
        if flow.held != Held::Open {
            return;
        }
        let packet = encode(key.1, key.0, ACK, flow.next_seq, end, &[b'a'; 800]);
        flow.next_seq = flow.next_seq.wrapping_add(800);
        flow.unconfirmed = Some((packet.clone(), flow.next_seq));
        flow.generation += 1;
        let generation = flow.generation;
        self.send_from_host(index, &packet);
        self.arm_host_packet(index, key, generation, now);
    }

    fn arm_host_packet(&mut self, host: usize, key: (End, End), generation: u64, now: u64) {
        let timer = Timer::HostPacket {
            host,
            key,
            generation,
            count: 1,
            pause: FIRST_PAUSE,
        };
        self.set_timer(now + FIRST_PAUSE, timer);
    }

    /// Retransmits a packet that the consumer has not acknowledged, or gives up.
    fn repeat_host_packet(
        &mut self,
        host: usize,
        key: (End, End),
        generation: u64,
        count: u32,
        pause: u64,
        now: u64,
    ) {
        let Some(flow) = self.hosts[host].flows.get_mut(&key) else {
            return;
        };
        if flow.generation != generation {
            return;
        }
        let Some((packet, _)) = flow.unconfirmed.clone() else {
            return;
        };
        if count > MAX_RETRANSMISSIONS {
            self.hosts[host].flows.remove(&key);
            return;
        }
        if let Held::Half(_) = flow.held {
            if count == 1 {
                self.note(&format!(
                    "{} repeats the SYN+ACK for {}",
                    self.hosts[host].address,
                    name(&key)
                ));
            }
        }
        self.send_from_host(host, &packet);
        let pause = (pause * 2).min(LONGEST_PAUSE);
        let timer = Timer::HostPacket {
            host,
            key,
            generation,
            count: count + 1,
            pause,
        };
        self.set_timer(now + pause, timer);
    }

    fn fire(&mut self, timer: Timer, now: u64) {
        match timer {
            Timer::NewFlow => {
                if self.opens_flows {
                    self.open_flow(now);
                }
                let pause = 1_000_000 / self.habits.flows_per_second;
                let pause = pause / 2 + self.random.below(pause);
                self.set_timer(now + pause, Timer::NewFlow);
            }
            Timer::Opening { key, generation } => self.repeat_opening(key, generation, now),
            Timer::Request { key, generation } => self.repeat_request(key, generation, now),
            Timer::NextRequest { key, generation } => self.send_request(key, generation, now),
            Timer::HostPacket {
                host,
                key,
                generation,
                count,
                pause,
            } => {
                self.repeat_host_packet(host, key, generation, count, pause, now);
            }
            Timer::Answer {
                host,
                key,
                number,
                end,
            } => {
                let _ = number;
                self.answer(host, key, end, now);
            }
        }
    }
}

fn name(key: &(End, End)) -> String {
    format!("{}:{}>{}:{}", key.0 .0, key.0 .1, key.1 .0, key.1 .1)
}
