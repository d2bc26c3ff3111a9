//! The balancer: decides where callers' packets go and handles peers' messages.
//!
//! A packet that opens a flow is offered to a host chosen by
//! [`placing`](crate::placing). Any other packet is forwarded to the host that the
//! flow table names. If the table has no entry for the flow, or the named host does
//! not hold it, the balancer queries all hosts that may hold the flow, and the owner
//! claims it. The table holds only hints: losing it costs searches and breaks no flow.

mod opening;
mod peers;
mod reply_time;
mod saved_flows;
mod search;

use std::net::Ipv4Addr;
use std::time::Duration;

use arrayvec::ArrayVec;
use hyssopstair_wire::carried::CarryHeader;
use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::FlowQuestion;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::StoreEra;
use hyssopstair_wire::time::MonotonicTime;

use crate::balancer::opening::OPENING_RETRANSMIT_WINDOW;
use crate::balancer::opening::PendingOpening;
use crate::balancer::peers::MAX_RECENT_BALANCERS;
use crate::balancer::reply_time::ReplyTime;
use crate::balancer::saved_flows::SaveQueue;
pub use crate::balancer::saved_flows::SaveRequest;
use crate::balancer::search::PendingSearch;
use crate::detour::DetourTable;
use crate::detour::PeerWay;
use crate::evacuation::EvacuatedZones;
use crate::evacuation::EvacuationReplica;
use crate::event::DropReason;
use crate::event::FlowEvent;
use crate::event::RefusalReason;
use crate::event::RouteSource;
use crate::holding::HoldQueue;
use crate::members::MemberTable;
use crate::outbox::FlowOutbox;
use crate::packet::PacketHeader;
use crate::packet::RawPacket;
use crate::route_transfer::RouteReplica;
use crate::routes::RouteTable;
use crate::store_era::KnownEra;
use crate::table::FlowTable;

/// Interval between ticks while flows are pending.
pub const PENDING_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Number of shards of the flow table that are swept with each round of hellos. A pass
/// over the whole table takes 16 rounds.
const SHARDS_PER_SWEEP: usize = 16;

/// Time after the discovery of the first host for which a balancer waits for the flow
/// tables of its peers before it is ready.
const TABLE_SYNC_DELAY: Duration = Duration::from_millis(60);

/// Time after the last packet for which a finished flow is still shared with peers. The
/// caller acknowledges the end of the answer within a round trip.
const FINISHED_SHARING_PERIOD: Duration = Duration::from_millis(500);

/// Identity and settings of a balancer process.
#[derive(Debug, Clone)]
pub struct BalancerIdentity {
    /// Address of the balancer.
    pub address: Ipv4Addr,
    /// Availability zone of the balancer.
    pub zone: String,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub started_unix_millis: u64,
    /// Time without packets after which the hint for a flow may be evicted.
    pub max_flow_age: Duration,
}

/// Time after the newest data of a caller from which older data is a repetition. Callers repeat
/// data after 200 ms; before that, packets may have overtaken each other.
const MIN_REPEAT_DELAY: Duration = Duration::from_millis(100);

/// Time within which a host returns a packet of a flow that its server does not hold.
const MAX_RETURN_TIME: Duration = Duration::from_millis(200);

/// Last known owner of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FlowHint {
    owner: Ipv4Addr,
    last_used_at: MonotonicTime,
    /// Whether no other host is known to which the flow may have been offered: the owner
    /// itself has claimed it, and this balancer has offered it to no other host.
    is_exclusive: bool,
    /// Whether the flow is known to have opened at the owner. A claim after an offer only shows
    /// that its server has answered the opening packet.
    is_opened: bool,
    /// The first packet of the open flow that was forwarded to the owner: when, and which
    /// position it acknowledged.
    first_forwarded: Option<(MonotonicTime, u32)>,
    /// Whether the caller has finished or reset the flow.
    is_finished: bool,
    /// Whether this balancer has forwarded a packet of the flow; if not, it only knows the
    /// owner from a peer.
    is_carried: bool,
    /// Position in the caller's stream up to which data was forwarded, if known.
    forwarded_end: Option<u32>,
    /// Time at which data up to that position was forwarded.
    forwarded_at: MonotonicTime,
}

impl FlowHint {
    /// Records that a packet of the caller is forwarded, and returns whether it repeats data.
    fn record_forwarded(&mut self, header: &PacketHeader, now: MonotonicTime) -> bool {
        self.last_used_at = now;
        self.is_finished |= header.is_finish || header.is_reset;
        self.is_carried = true;
        if header.has_ack {
            self.record_acknowledged(header.acknowledged, now);
        }
        if header.data_length == 0 {
            return false;
        }
        if let Some(end) = header.end_beyond(self.forwarded_end) {
            self.forwarded_end = Some(end);
            self.forwarded_at = now;
            return false;
        }
        now.since(self.forwarded_at) >= MIN_REPEAT_DELAY
    }

    /// Records the position that a caller's packet acknowledges. A caller that has read more
    /// since the owner got the first packet, and has not returned it, reads the owner's stream.
    fn record_acknowledged(&mut self, acknowledged: u32, now: MonotonicTime) {
        let (first_at, first_acknowledged) =
            *self.first_forwarded.get_or_insert((now, acknowledged));
        let has_read_more = acknowledged != first_acknowledged;
        self.is_opened |= has_read_more && now.since(first_at) >= MAX_RETURN_TIME;
    }

    /// Returns whether the flow cannot be open at another host.
    fn is_only_owner(&self) -> bool {
        self.is_exclusive && self.is_opened
    }

    /// Returns whether other balancers may still receive packets of the flow.
    fn is_worth_sharing(&self, now: MonotonicTime) -> bool {
        self.is_carried
            && (!self.is_finished || now.since(self.last_used_at) < FINISHED_SHARING_PERIOD)
    }
}

/// State and decisions of one balancer.
#[derive(Debug)]
pub struct FlowBalancer {
    identity: BalancerIdentity,
    routes: RouteReplica,
    evacuation: EvacuationReplica,
    members: MemberTable,
    detours: DetourTable,
    /// Addresses of other balancers that hellos are sent to, ascending.
    contacts: Vec<Ipv4Addr>,
    /// The most recently discovered balancers, oldest first.
    recent_balancers: ArrayVec<Ipv4Addr, MAX_RECENT_BALANCERS>,
    hints: FlowTable<FlowHint>,
    openings: Vec<PendingOpening>,
    hold_queue: HoldQueue,
    /// Pending searches, sorted by flow.
    searches: Vec<PendingSearch>,
    /// Questions to be sent, sorted by host.
    queued_questions: Vec<(Ipv4Addr, Vec<FlowQuestion>)>,
    /// Time at which the first of the queued questions was queued.
    questions_queued_at: Option<MonotonicTime>,
    /// Earliest time at which the next batch of questions may be sent.
    questions_allowed_at: MonotonicTime,
    /// How long hosts take to answer questions.
    reply_time: ReplyTime,
    /// How long hosts take to accept or return new flows.
    offer_time: ReplyTime,
    save_queue: SaveQueue,
    store_era: KnownEra,
    hello_number: u32,
    next_hello_at: MonotonicTime,
    first_host_joined_at: Option<MonotonicTime>,
    last_host_joined_at: Option<MonotonicTime>,
    /// Hosts that peers reported as owners of flows, with the time of the first
    /// report, sorted by address.
    reported_owners: Vec<(Ipv4Addr, MonotonicTime)>,
    is_stopping: bool,
    last_tick_at: MonotonicTime,
    /// When the last packet of a caller arrived.
    last_caller_packet_at: MonotonicTime,
}

impl FlowBalancer {
    /// Creates a balancer that sends its first hellos to `contacts`, the addresses of
    /// other balancers.
    pub fn new(identity: BalancerIdentity, contacts: Vec<Ipv4Addr>, now: MonotonicTime) -> Self {
        let detours = DetourTable::new(identity.address, &identity.zone, now);
        let mut balancer = Self {
            identity,
            detours,
            routes: RouteReplica::default(),
            evacuation: EvacuationReplica::default(),
            members: MemberTable::default(),
            contacts: Vec::new(),
            recent_balancers: ArrayVec::new(),
            hints: FlowTable::default(),
            openings: Vec::new(),
            hold_queue: HoldQueue::default(),
            searches: Vec::new(),
            queued_questions: Vec::new(),
            questions_queued_at: None,
            questions_allowed_at: MonotonicTime::default(),
            reply_time: ReplyTime::default(),
            offer_time: ReplyTime::default(),
            save_queue: SaveQueue::default(),
            store_era: KnownEra::default(),
            hello_number: 0,
            next_hello_at: now,
            first_host_joined_at: None,
            last_host_joined_at: None,
            reported_owners: Vec::new(),
            is_stopping: false,
            last_tick_at: now,
            last_caller_packet_at: now,
        };
        balancer.add_contacts(&contacts);
        balancer
    }

    /// Returns the route table in force.
    pub fn routes(&self) -> &RouteTable {
        self.routes.table()
    }

    /// Returns the known peers.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Returns the number of flows in the flow table, which may include flows that have
    /// ended.
    pub fn flow_count(&self) -> usize {
        self.hints.len()
    }

    /// Returns whether the balancer can serve callers: it is not stopping, it knows
    /// routes and a host, and peers have had time to send their flow tables.
    pub fn is_ready(&self, now: MonotonicTime) -> bool {
        let has_waited = self
            .first_host_joined_at
            .is_some_and(|joined_at| now.since(joined_at) >= TABLE_SYNC_DELAY);
        !self.is_stopping && self.routes.table().version() > 0 && has_waited
    }

    /// Adds addresses at which there may be balancers, so that hellos are sent to them.
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

    /// Installs a route table that was read from the store if it is newer than the one in
    /// force. The next tick then announces it to the peers.
    pub fn set_routes(&mut self, routes: RouteTable, outbox: &mut FlowOutbox) {
        if self.routes.install(routes, RouteSource::Store, outbox) {
            self.schedule_hellos();
        }
    }

    /// Installs the emptied zones that were read from the store if they are newer than those
    /// in force. The next tick then announces them to the peers.
    pub fn set_evacuation(&mut self, evacuated: EvacuatedZones, outbox: &mut FlowOutbox) {
        if self
            .evacuation
            .install(evacuated, RouteSource::Store, outbox)
        {
            self.schedule_hellos();
        }
    }

    /// Returns the names of the emptied zones, ascending.
    pub fn evacuated_zones(&self) -> &[String] {
        self.evacuation.zones()
    }

    /// Records the newest era of the store. The next tick then announces it to the peers.
    pub fn record_store_era(&mut self, era: Option<StoreEra>, outbox: &mut FlowOutbox) {
        if self.store_era.record(era, outbox) {
            self.schedule_hellos();
        }
    }

    /// Handles a packet from a caller: offers its flow to a host, forwards it to the
    /// flow's owner, or searches for the owner.
    pub fn receive_caller_packet(
        &mut self,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        self.last_caller_packet_at = now;
        let header = &packet.header;
        if header.opens_flow() {
            self.receive_opening_packet(packet, now, outbox);
        } else if header.is_open {
            // Only servers acknowledge an opening packet.
            outbox.record_event(FlowEvent::Dropped {
                reason: DropReason::Malformed,
            });
        } else {
            self.receive_established_packet(packet, now, outbox);
        }
    }

    /// Returns the time since the last packet of a caller.
    pub fn quiet_time(&self, now: MonotonicTime) -> Duration {
        now.since(self.last_caller_packet_at)
    }

    /// Returns whether new flows wait for a host.
    pub fn has_waiting_flows(&self) -> bool {
        !self.hold_queue.is_empty() || self.openings.iter().any(PendingOpening::may_be_repeated)
    }

    /// Refuses the flows that wait for a host, because the process ends. Their callers learn
    /// that nothing has run.
    pub fn refuse_waiting_flows(&mut self, outbox: &mut FlowOutbox) {
        for held_flow in self.hold_queue.take_all() {
            self.refuse_flow(held_flow.flow, RefusalReason::Stopping, outbox);
        }
    }

    /// Returns the time at which the next tick is due.
    pub fn next_tick_at(&self) -> MonotonicTime {
        let is_idle =
            self.openings.is_empty() && self.searches.is_empty() && self.hold_queue.is_empty();
        let tick_at = if is_idle {
            self.next_hello_at
        } else {
            self.next_hello_at
                .min(self.last_tick_at + PENDING_TICK_INTERVAL)
        };
        match self.questions_due_at() {
            Some(due_at) => tick_at.min(due_at),
            None => tick_at,
        }
    }

    /// Runs the timers that are due: sends questions and hellos, retries offers,
    /// advances searches, and evicts expired hints and silent peers.
    pub fn tick(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        if self.questions_due_at().is_some_and(|due_at| now >= due_at) {
            self.send_questions(now, outbox);
        }
        if now >= self.last_tick_at + PENDING_TICK_INTERVAL {
            self.last_tick_at = now;
            self.retry_expired_offers(now, outbox);
            self.process_held_flows(now, outbox);
            self.advance_searches(now, outbox);
        }
        if now >= self.next_hello_at {
            self.send_hellos(now, outbox);
            self.evict_expired(now, outbox);
        }
    }

    /// Prepares the process to stop: reports it as not ready, so that routers send it
    /// no more packets, and sends its flow table to the balancers that get its packets.
    pub fn stop(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        self.is_stopping = true;
        self.send_hellos(now, outbox);
        let successors = self.select_successors(&self.identity.zone);
        self.send_flow_table(&successors, now, outbox);
    }

    fn receive_established_packet(
        &mut self,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        let Some(hint) = self.hints.get_mut(&flow) else {
            self.search_for_owner(packet, now, outbox);
            return;
        };
        let is_repeated = hint.record_forwarded(&packet.header, now);
        let owner = hint.owner;
        let way = self.forward_to_owner(&flow, owner, packet.bytes, now, outbox);
        if is_repeated && way == PeerWay::Direct {
            // The direct way may have failed a moment ago, so that no hello is overdue yet.
            let way = self.detours.way_around(owner, &flow, &self.members, now);
            if way != PeerWay::Direct {
                self.send_to_owner(way, owner, packet.bytes, outbox);
            }
        }
    }

    /// Forwards a packet to the host that holds its flow, on the way by which the host is
    /// reached, and returns that way.
    fn forward_to_owner(
        &self,
        flow: &FlowKey,
        owner: Ipv4Addr,
        bytes: &[u8],
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) -> PeerWay {
        let way = self.detours.way_to(owner, flow, &self.members, now);
        self.send_to_owner(way, owner, bytes, outbox);
        way
    }

    fn send_to_owner(&self, way: PeerWay, owner: Ipv4Addr, bytes: &[u8], outbox: &mut FlowOutbox) {
        let message = CarryMessage::Forward(self.build_forward_header(ForwardPurpose::Owner));
        self.detours.send(way, owner, &message, bytes, outbox);
    }

    fn build_forward_header(&self, purpose: ForwardPurpose) -> CarryHeader {
        CarryHeader {
            purpose,
            balancer: self.identity.address,
            routes: self.routes.table().version(),
            best: None,
            next: Default::default(),
        }
    }

    /// Makes the next tick send hellos, so that peers learn of a change early.
    fn schedule_hellos(&mut self) {
        self.next_hello_at = MonotonicTime::default();
    }

    /// Records a host's claim to own a flow. The hint is exclusive unless another host
    /// may hold the flow as well.
    fn record_claim(&mut self, flow: FlowKey, owner: Ipv4Addr, now: MonotonicTime) {
        let is_ambiguous = self.hints.get(&flow).is_some_and(|hint| {
            let is_recent = now.since(hint.last_used_at) < OPENING_RETRANSMIT_WINDOW;
            !hint.is_exclusive || (hint.owner != owner && is_recent)
        });
        let is_exclusive = !is_ambiguous && !self.has_several_offers(&flow);
        let is_answer_to_search = self.is_searched(&flow);
        self.record_owner(flow, owner, is_exclusive, now);
        if let Some(hint) = self.hints.get_mut(&flow) {
            hint.is_carried = true;
            hint.is_opened = is_answer_to_search;
        }
    }

    fn record_owner(
        &mut self,
        flow: FlowKey,
        owner: Ipv4Addr,
        is_exclusive: bool,
        now: MonotonicTime,
    ) {
        let hint = FlowHint {
            owner,
            last_used_at: now,
            is_exclusive,
            is_opened: false,
            first_forwarded: None,
            is_finished: false,
            is_carried: false,
            forwarded_end: None,
            forwarded_at: now,
        };
        self.hints.insert(flow, hint);
    }

    fn evict_expired(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        let max_age = self.identity.max_flow_age;
        self.hints.sweep(SHARDS_PER_SWEEP, |_, hint| {
            now.since(hint.last_used_at) < max_age
        });
        for (peer, silence) in self.members.evict_silent(now) {
            self.reported_owners.retain(|(owner, _)| *owner != peer);
            // While no balancer is known, the old addresses are the only way to rejoin.
            if !self.members.balancers().is_empty() {
                self.contacts.retain(|contact| *contact != peer);
            }
            outbox.record_event(FlowEvent::PeerLost {
                peer,
                silent_millis: silence.as_millis() as u32,
            });
        }
    }
}
