//! Rosters that exchange messages over a simulated network.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_roster::budget::DATAGRAM_OVERHEAD_BYTES;
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

/// Upper bound of the delivery delay of a message, in microseconds.
const MAX_DELAY_MICROS: u64 = 5_000;

/// A process in the simulated network.
#[derive(Debug)]
pub struct SimulatedNode {
    pub roster: RosterState,
    pub running: bool,
    /// The partition that the process is in. Messages pass only within one.
    pub partition: u8,
    pub sent_bytes: u64,
    pub sent_messages: u64,
}

#[derive(Debug)]
struct InFlightMessage {
    due_at: MonotonicTime,
    from: usize,
    to: SocketAddrV4,
    message: ControlMessage,
}

/// Processes and the messages in flight between them.
#[derive(Debug)]
pub struct SimulatedNetwork {
    pub nodes: Vec<SimulatedNode>,
    pub now: MonotonicTime,
    /// The share of messages that are lost.
    pub loss: f64,
    /// The share of gossip to members outside the network that is delivered to a
    /// random process instead, so that a few processes can represent a large fleet.
    pub redirect_share: f64,
    in_flight: Vec<InFlightMessage>,
    rng: StdRng,
}

/// Returns the address of a process by its number.
pub fn address(number: usize) -> SocketAddrV4 {
    let ip = Ipv4Addr::from_bits(0x0a00_0000 + number as u32);
    SocketAddrV4::new(ip, 7_000)
}

/// Returns the initial entry of a process.
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

impl SimulatedNetwork {
    pub fn new(seed: u64) -> Self {
        Self {
            nodes: Vec::new(),
            now: MonotonicTime::from_millis(1),
            loss: 0.0,
            redirect_share: 0.0,
            in_flight: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Starts a process that knows the address of `contact`, and returns its
    /// number.
    pub fn start_node(&mut self, incarnation: u32, contact: Option<usize>) -> usize {
        let number = self.nodes.len();
        let mut roster = RosterState::new(entry(number, incarnation), self.rng.random());
        if let Some(contact) = contact {
            roster.add_contact(address(contact));
        }
        self.nodes.push(SimulatedNode {
            roster,
            running: true,
            partition: 0,
            sent_bytes: 0,
            sent_messages: 0,
        });
        number
    }

    /// Starts a fleet and waits until all processes know each other.
    pub fn start_fleet(&mut self, count: usize) {
        for number in 0..count {
            self.start_node(100, (number > 0).then_some(0));
            self.run(Duration::from_millis(20));
        }
        let converged = self.run_until(Duration::from_secs(60), Self::has_converged);
        assert!(converged.is_some(), "the fleet did not converge");
        // For a time after joining, digests are sent at the shorter interval.
        self.run(Duration::from_secs(30));
    }

    /// Replaces a process by a new one at the same address.
    pub fn restart_node(&mut self, number: usize, incarnation: u32, contact: usize) {
        let mut roster = RosterState::new(entry(number, incarnation), self.rng.random());
        roster.add_contact(address(contact));
        self.nodes[number].roster = roster;
        self.nodes[number].running = true;
    }

    /// Advances the simulated time by `duration`.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the simulated time until `done` holds, and returns how long that
    /// took, or `None` if it did not hold within `limit`.
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

    /// Returns whether the process `number` knows `subject` in `state`.
    pub fn holds_state(&self, number: usize, subject: usize, state: MemberState) -> bool {
        let members = self.nodes[number].roster.members();
        members
            .binary_search_by_key(&address(subject), |known| known.process.address)
            .is_ok_and(|index| members[index].state == state)
    }

    /// Returns whether all running processes know `subject` in `state`.
    pub fn all_hold_state(&self, subject: usize, state: MemberState) -> bool {
        (0..self.nodes.len())
            .filter(|number| self.nodes[*number].running)
            .all(|number| self.holds_state(number, subject, state))
    }

    /// Returns whether all running processes know the same live members.
    pub fn has_converged(&self) -> bool {
        let live = |node: &SimulatedNode| -> Vec<MemberEntry> {
            let members = node.roster.members().iter();
            members
                .filter(|known| known.state.is_present())
                .copied()
                .collect()
        };
        let mut running = self.nodes.iter().filter(|node| node.running);
        let Some(first) = running.next().map(live) else {
            return true;
        };
        running.all(|node| live(node) == first)
    }

    /// Sends the messages that the roster of a process returned.
    pub fn send_actions(&mut self, from: usize, actions: Vec<RosterAction>) {
        for action in actions {
            let RosterAction::Send { to, message } = action;
            let packet = encode_packet(PacketKind::Control, &message, &[])
                .expect("the message fits into a packet");
            assert!(packet.len() <= 1_200, "{} bytes", packet.len());
            self.nodes[from].sent_messages += 1;
            self.nodes[from].sent_bytes += packet.len() as u64 + DATAGRAM_OVERHEAD_BYTES;
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = self.rng.random_range(500..MAX_DELAY_MICROS);
            self.in_flight.push(InFlightMessage {
                due_at: self.now + Duration::from_micros(delay),
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
            let tick_offset = number as u64 % TICK.as_millis() as u64;
            if self.nodes[number].running && millis % TICK.as_millis() as u64 == tick_offset {
                let actions = self.nodes[number].roster.tick(1, self.now);
                self.send_actions(number, actions);
            }
        }
        self.deliver();
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|message| message.due_at <= now);
        self.in_flight = later;
        for message in due {
            let to = self.choose_receiver(&message);
            let Some(node) = self.nodes.get(to) else {
                continue;
            };
            if !node.running || node.partition != self.nodes[message.from].partition {
                continue;
            }
            let actions = self.nodes[to].roster.receive(&message.message, now);
            self.send_actions(to, actions);
        }
    }

    fn choose_receiver(&mut self, message: &InFlightMessage) -> usize {
        let to = (message.to.ip().to_bits() - 0x0a00_0000) as usize;
        let is_redirectable = matches!(
            message.message.body,
            ControlBody::Changes(_) | ControlBody::Run { .. } | ControlBody::Digest { .. }
        );
        if to >= self.nodes.len() && is_redirectable && self.rng.random_bool(self.redirect_share) {
            return self.rng.random_range(0..self.nodes.len());
        }
        to
    }
}
