//! Rosters that talk through a bag of messages.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_roster::budget::DATAGRAM_OVERHEAD;
use hyssopstair_roster::state::RosterAction;
use hyssopstair_roster::state::RosterState;
use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::control::ControlBody;
use hyssopstair_wire::control::ControlMessage;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::packet::PacketKind;
use hyssopstair_wire::packet::encode_packet;
use hyssopstair_wire::time::MonotonicTime;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Time between two ticks of a roster.
const TICK: Duration = Duration::from_millis(50);

/// Longest time that a message is under way, in microseconds.
const MAX_DELAY_MICROS: u64 = 5_000;

/// One process.
#[derive(Debug)]
pub struct BagNode {
    pub roster: RosterState,
    pub running: bool,
    /// Messages pass only between processes of one side.
    pub side: u8,
    pub sent_bytes: u64,
    pub sent_messages: u64,
}

#[derive(Debug)]
struct BagMessage {
    due: MonotonicTime,
    from: usize,
    to: SocketAddrV4,
    message: ControlMessage,
}

/// Processes and the messages between them.
#[derive(Debug)]
pub struct MessageBag {
    pub nodes: Vec<BagNode>,
    pub now: MonotonicTime,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of changes for members that are not in the bag that reach one that
    /// is, so that few processes can stand for many.
    pub redirected: f64,
    messages: Vec<BagMessage>,
    random: StdRng,
}

/// Returns the address of the process with this number.
pub fn address(number: usize) -> SocketAddrV4 {
    let ip = Ipv4Addr::from_bits(0x0a00_0000 + number as u32);
    SocketAddrV4::new(ip, 7_000)
}

/// Returns the first entry of a process.
pub fn entry(number: usize, incarnation: u32) -> MemberEntry {
    let role = if number.is_multiple_of(10) {
        MemberRole::Balancer
    } else {
        MemberRole::Host {
            service: ServiceId(1 + (number % 3) as u16),
            zone: (number % 4) as u8,
            weight: 1,
        }
    };
    MemberEntry {
        process: ProcessId {
            address: address(number),
            incarnation: HostIncarnation(incarnation),
        },
        counter: 0,
        role,
        state: MemberState::Alive,
    }
}

impl MessageBag {
    pub fn new(seed: u64) -> Self {
        Self {
            nodes: Vec::new(),
            now: MonotonicTime::from_millis(1),
            loss: 0.0,
            redirected: 0.0,
            messages: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Starts a process that knows the process `contact`.
    pub fn start(&mut self, incarnation: u32, contact: Option<usize>) -> usize {
        let number = self.nodes.len();
        let mut roster = RosterState::new(entry(number, incarnation), self.random.random());
        if let Some(contact) = contact {
            roster.add_contact(address(contact));
        }
        self.nodes.push(BagNode {
            roster,
            running: true,
            side: 0,
            sent_bytes: 0,
            sent_messages: 0,
        });
        number
    }

    /// Starts a fleet and waits until all know each other.
    pub fn start_fleet(&mut self, count: usize) {
        for number in 0..count {
            self.start(100, (number > 0).then_some(0));
            self.run(Duration::from_millis(20));
        }
        let converged = self.run_until(Duration::from_secs(60), Self::agree);
        assert!(converged.is_some(), "the fleet did not converge");
        // Digests are frequent for a time after joining.
        self.run(Duration::from_secs(30));
    }

    /// Replaces a process by a new one at the same address.
    pub fn restart(&mut self, number: usize, incarnation: u32, contact: usize) {
        let mut roster = RosterState::new(entry(number, incarnation), self.random.random());
        roster.add_contact(address(contact));
        self.nodes[number].roster = roster;
        self.nodes[number].running = true;
    }

    /// Lets time pass.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Lets time pass until `done`, and returns how long it took, or nothing
    /// when it took longer than `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.step();
        }
        None
    }

    /// Returns whether `number` holds `state` of `subject`.
    pub fn knows(&self, number: usize, subject: usize, state: MemberState) -> bool {
        let members = self.nodes[number].roster.members();
        members
            .binary_search_by_key(&address(subject), |known| known.process.address)
            .is_ok_and(|index| members[index].state == state)
    }

    /// Returns whether all running processes hold `state` of `subject`.
    pub fn all_know(&self, subject: usize, state: MemberState) -> bool {
        (0..self.nodes.len())
            .filter(|number| self.nodes[*number].running)
            .all(|number| self.knows(number, subject, state))
    }

    /// Returns whether all running processes hold the same live members.
    pub fn agree(&self) -> bool {
        let live = |node: &BagNode| -> Vec<MemberEntry> {
            let members = node.roster.members().iter();
            members
                .filter(|known| known.state != MemberState::Gone)
                .copied()
                .collect()
        };
        let mut running = self.nodes.iter().filter(|node| node.running);
        let Some(first) = running.next().map(live) else {
            return true;
        };
        running.all(|node| live(node) == first)
    }

    /// Sends what a process wants to send.
    pub fn carry_out(&mut self, from: usize, actions: Vec<RosterAction>) {
        for action in actions {
            let RosterAction::Send { to, message } = action;
            let packet = encode_packet(PacketKind::Control, &message, &[]).expect("fits");
            assert!(packet.len() <= 1_200, "{} bytes", packet.len());
            self.nodes[from].sent_messages += 1;
            self.nodes[from].sent_bytes += packet.len() as u64 + DATAGRAM_OVERHEAD;
            if self.random.random_bool(self.loss) {
                continue;
            }
            let delay = self.random.random_range(500..MAX_DELAY_MICROS);
            self.messages.push(BagMessage {
                due: self.now + Duration::from_micros(delay),
                from,
                to,
                message,
            });
        }
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(1);
        let millis = self.now.0 / 1_000;
        for number in 0..self.nodes.len() {
            let turn = number as u64 % TICK.as_millis() as u64;
            if self.nodes[number].running && millis % TICK.as_millis() as u64 == turn {
                let actions = self.nodes[number].roster.tick(1, self.now);
                self.carry_out(number, actions);
            }
        }
        self.deliver();
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.due <= now);
        self.messages = later;
        for message in due {
            let to = self.receiver(&message);
            let Some(node) = self.nodes.get(to) else {
                continue;
            };
            if !node.running || node.side != self.nodes[message.from].side {
                continue;
            }
            let actions = self.nodes[to].roster.receive(&message.message, now);
            self.carry_out(to, actions);
        }
    }

    fn receiver(&mut self, message: &BagMessage) -> usize {
        let to = (message.to.ip().to_bits() - 0x0a00_0000) as usize;
        let shared = matches!(
            message.message.body,
            ControlBody::Changes(_) | ControlBody::Digest { .. }
        );
        if to >= self.nodes.len() && shared && self.random.random_bool(self.redirected) {
            return self.random.random_range(0..self.nodes.len());
        }
        to
    }
}
