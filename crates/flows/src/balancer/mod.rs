//! What a balancer does with callers' packets and with messages of peers.
//!
//! A packet that opens a flow is offered to a host by [`placing`](crate::placing).
//! Any other goes to the host that the table names, and if that has no entry, or
//! a wrong one, to all hosts that may hold the flow; the one that does says so.
//! The table is a hint: losing it costs a search and breaks nothing.

mod opening;
mod peers;
mod search;

use std::net::Ipv4Addr;
use std::time::Duration;

use arrayvec::ArrayVec;
use hyssopstair_wire::carried::CarryHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::FlowQuestion;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::time::MonotonicTime;

use crate::balancer::opening::OPENING_MEMORY;
use crate::balancer::opening::PendingOpening;
use crate::balancer::peers::MET_TOLD;
use crate::balancer::search::PendingSearch;
use crate::event::DropReason;
use crate::event::FlowEvent;
use crate::holding::HoldQueue;
use crate::members::MemberTable;
use crate::outbox::FlowOutbox;
use crate::packet::RawPacket;
use crate::route_transfer::RouteReplica;
use crate::routes::RouteTable;
use crate::table::FlowTable;

/// Time between a tick that looks after pending flows and the next.
pub const PENDING_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Shards of the table that one hello sweeps; the whole table takes 16 hellos.
const SWEPT_SHARDS: usize = 16;

/// Time that a balancer waits for the tables of its peers before it is ready.
const TABLE_PATIENCE: Duration = Duration::from_millis(60);

/// What a balancer is told at its start.
#[derive(Debug, Clone)]
pub struct BalancerIdentity {
    /// Its address.
    pub address: Ipv4Addr,
    /// Its availability zone.
    pub zone: String,
    /// The start of its process, in milliseconds since the Unix epoch.
    pub started: u64,
    /// Age after which a flow may be forgotten.
    pub max_flow_age: Duration,
}

/// Where a balancer last knew a flow to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FlowHint {
    owner: Ipv4Addr,
    used: MonotonicTime,
    /// Whether no other host can hold the flow: the owner itself has claimed it,
    /// and its opening packet was offered to nobody else.
    is_sure: bool,
}

/// The decisions of one balancer.
#[derive(Debug)]
pub struct FlowBalancer {
    identity: BalancerIdentity,
    routes: RouteReplica,
    members: MemberTable,
    contacts: Vec<Ipv4Addr>,
    met_balancers: ArrayVec<Ipv4Addr, MET_TOLD>,
    hints: FlowTable<FlowHint>,
    openings: Vec<PendingOpening>,
    held: HoldQueue,
    /// Flows that are looked for, sorted.
    searches: Vec<PendingSearch>,
    /// Questions that wait to be sent, by host, and since when.
    questions: Vec<(Ipv4Addr, Vec<FlowQuestion>)>,
    questions_since: Option<MonotonicTime>,
    /// When the next batch of questions may be sent.
    questions_allowed: MonotonicTime,
    hello_number: u32,
    next_hello: MonotonicTime,
    first_host: Option<MonotonicTime>,
    last_met_host: Option<MonotonicTime>,
    /// Hosts that peers named as the owners of flows, and since when.
    told_hosts: Vec<(Ipv4Addr, MonotonicTime)>,
    is_stopping: bool,
    ticked: MonotonicTime,
}

impl FlowBalancer {
    /// Creates a balancer that knows the addresses of some others.
    pub fn new(identity: BalancerIdentity, contacts: Vec<Ipv4Addr>, now: MonotonicTime) -> Self {
        let mut balancer = Self {
            identity,
            routes: RouteReplica::default(),
            members: MemberTable::default(),
            contacts: Vec::new(),
            met_balancers: ArrayVec::new(),
            hints: FlowTable::default(),
            openings: Vec::new(),
            held: HoldQueue::default(),
            searches: Vec::new(),
            questions: Vec::new(),
            questions_since: None,
            questions_allowed: MonotonicTime::default(),
            hello_number: 0,
            next_hello: now,
            first_host: None,
            last_met_host: None,
            told_hosts: Vec::new(),
            is_stopping: false,
            ticked: now,
        };
        balancer.add_contacts(&contacts);
        balancer
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> &RouteTable {
        self.routes.table()
    }

    /// Returns the peers that are known.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Returns how many flows the table names a host for.
    pub fn flows(&self) -> usize {
        self.hints.len()
    }

    /// Returns whether callers' packets are served: routes and a host are known,
    /// and peers had time to tell what they know.
    pub fn is_ready(&self, now: MonotonicTime) -> bool {
        let has_waited = self
            .first_host
            .is_some_and(|met| now.since(met) >= TABLE_PATIENCE);
        !self.is_stopping && self.routes.table().version() > 0 && has_waited
    }

    /// Adds addresses at which there may be balancers.
    pub fn add_contacts(&mut self, contacts: &[Ipv4Addr]) {
        for contact in contacts {
            if *contact == self.identity.address {
                continue;
            }
            if let Err(index) = self.contacts.binary_search(contact) {
                self.contacts.insert(index, *contact);
            }
        }
    }

    /// Puts routes in force, unless those in force are as new.
    pub fn set_routes(&mut self, routes: RouteTable, outbox: &mut FlowOutbox) {
        if self.routes.install(routes, outbox) {
            self.say_hello_soon();
        }
    }

    /// Decides about a packet of a caller.
    pub fn receive_caller_packet(
        &mut self,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let header = &packet.header;
        if header.opens_flow() {
            self.receive_opening(packet, now, outbox);
        } else if header.is_open {
            // Only servers answer an opening packet.
            outbox.note(FlowEvent::Dropped {
                reason: DropReason::Malformed,
            });
        } else {
            self.receive_middle(packet, now, outbox);
        }
    }

    /// Returns when the next tick is due.
    pub fn next_tick(&self) -> MonotonicTime {
        let is_idle = self.openings.is_empty() && self.searches.is_empty() && self.held.is_empty();
        let next = if is_idle {
            self.next_hello
        } else {
            self.next_hello.min(self.ticked + PENDING_TICK_INTERVAL)
        };
        match self.questions_due() {
            Some(due) => next.min(due),
            None => next,
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        if self.questions_due().is_some_and(|due| now >= due) {
            self.send_questions(now, outbox);
        }
        if now >= self.ticked + PENDING_TICK_INTERVAL {
            self.ticked = now;
            self.retry_openings(now, outbox);
            self.tick_held(now, outbox);
            self.continue_searches(now, outbox);
        }
        if now >= self.next_hello {
            self.greet_all(now, outbox);
            self.forget_old(now, outbox);
        }
    }

    /// Prepares the end of the process: the others get the table, and routers are
    /// to send nothing more.
    pub fn stop(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        self.is_stopping = true;
        self.greet_all(now, outbox);
        for peer in self.members.balancer_addresses() {
            self.hand_over(peer, outbox);
        }
    }

    fn receive_middle(
        &mut self,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        let Some(hint) = self.hints.get_mut(&flow) else {
            self.search(packet, now, outbox);
            return;
        };
        hint.used = now;
        let owner = hint.owner;
        self.forward(owner, ForwardPurpose::Owner, packet.bytes, outbox);
    }

    fn forward(
        &self,
        host: Ipv4Addr,
        purpose: ForwardPurpose,
        bytes: &[u8],
        outbox: &mut FlowOutbox,
    ) {
        let header = self.header(purpose);
        outbox.send_message(host, &CarryMessage::Forward(header), bytes);
    }

    fn header(&self, purpose: ForwardPurpose) -> CarryHeader {
        CarryHeader {
            purpose,
            balancer: self.identity.address,
            routes: self.routes.table().version(),
            best: None,
            next: Default::default(),
        }
    }

    /// Lets peers learn at once what has changed.
    fn say_hello_soon(&mut self) {
        self.next_hello = MonotonicTime::default();
    }

    /// Notes that the owner of a flow has claimed it.
    fn note_claim(&mut self, flow: FlowKey, owner: Ipv4Addr, now: MonotonicTime) {
        let was_claimed = self.hints.get(&flow).is_some_and(|hint| {
            let is_recent = now.since(hint.used) < OPENING_MEMORY;
            !hint.is_sure || (hint.owner != owner && is_recent)
        });
        let is_sure = !was_claimed && !self.was_offered_twice(&flow);
        self.learn_owner(flow, owner, is_sure, now);
    }

    fn learn_owner(&mut self, flow: FlowKey, owner: Ipv4Addr, is_sure: bool, now: MonotonicTime) {
        let hint = FlowHint {
            owner,
            used: now,
            is_sure,
        };
        self.hints.insert(flow, hint);
    }

    fn forget_old(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        let oldest = self.identity.max_flow_age;
        self.hints
            .sweep(SWEPT_SHARDS, |_, hint| now.since(hint.used) < oldest);
        for (peer, silence) in self.members.evict_silent(now) {
            self.told_hosts.retain(|(told, _)| *told != peer);
            // With no balancer left, the old addresses are the way back.
            if !self.members.balancers().is_empty() {
                self.contacts.retain(|contact| *contact != peer);
            }
            outbox.note(FlowEvent::PeerLost {
                peer,
                silent_millis: silence.as_millis() as u32,
            });
        }
    }
}
