//! Looks for the host of a flow that the table does not name.
//!
//! The hosts of the service are asked in rounds, the most likely ones first; one
//! that knows the flow takes the packet. Hosts that have lost their table cannot
//! tell, and are made to ask their servers, two at a time: each hands the packet
//! to a server that may not be the right one, and a flow bears few of these.
//!
//! The load it answers: thousands of flows at once after all processes were
//! killed, at balancers that handle a few thousand datagrams a second. New flows
//! are offered to the first eight hosts of their order, so one round finds most.

use std::net::Ipv4Addr;
use std::time::Duration;

use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::MAX_CANDIDATES;
use hyssopstair_wire::time::MonotonicTime;

use crate::balancer::FlowBalancer;
use crate::event::BreakReason;
use crate::event::FlowEvent;
use crate::members::HostRecord;
use crate::outbox::FlowOutbox;
use crate::packet::RawPacket;
use crate::ranking::hash_flow;
use crate::ranking::rank_hosts;

/// Time that hosts have to answer before others are asked as well.
const ROUND_PATIENCE: Duration = Duration::from_millis(20);

/// Time after which a host that has not answered is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// Time that a search goes on while a host may hold the flow and cannot tell, or
/// is still to be met. Callers repeat a packet after 200, 400 and 800 ms.
const SEARCH_MEMORY: Duration = Duration::from_millis(800);

/// Searches at the same time; packets beyond them are left to the caller's
/// repetition, so that a lost table cannot turn into a flood.
const MAX_SEARCHES: usize = 512;

/// Packets of one flow that a search keeps.
const MAX_KEPT_PACKETS: usize = 4;

/// Hosts that the log of a search without a result names.
const MAX_NAMED: usize = 4;

/// Servers that are handed the packet of a search at the same time.
const MAX_PROBES: usize = 2;

/// Time without meeting another host after which all hosts are known: processes
/// that start together do so within 0.3 s.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Time since the first host was met after which flows from before an outage of
/// everything are certain to be gone.
const OUTAGE_SETTLE_TIME: Duration = Duration::from_millis(50);

/// Silence after which a host does not keep flows from being reset. A planned
/// restart takes less, and callers have given up by then.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(3);

/// Hosts that must all have a new server to show an outage of everything.
const OUTAGE_HOSTS: usize = 3;

/// A flow whose host is looked for.
#[derive(Debug, Clone)]
pub(super) struct PendingSearch {
    flow: FlowKey,
    started: MonotonicTime,
    /// When somebody was asked last.
    asked: MonotonicTime,
    /// Hosts that are not asked yet, the most likely last.
    left: Vec<Ipv4Addr>,
    /// Hosts that were asked and have not answered.
    waiting: Vec<Ipv4Addr>,
    /// Hosts that cannot tell without their server.
    doubtful: Vec<Ipv4Addr>,
    /// Hosts whose server was handed the packet and has not shown what it knows.
    probing: Vec<Ipv4Addr>,
    /// Hosts that did not answer in time.
    silent: Vec<Ipv4Addr>,
    packets: Vec<Vec<u8>>,
    acknowledged: u32,
    /// Whether the host that the table named has denied the flow.
    is_owner_sure: bool,
}

impl PendingSearch {
    fn forget(&mut self, host: Ipv4Addr) {
        for list in [
            &mut self.left,
            &mut self.waiting,
            &mut self.doubtful,
            &mut self.probing,
            &mut self.silent,
        ] {
            list.retain(|listed| *listed != host);
        }
    }

    /// Returns whether all that were asked have answered.
    fn is_round_over(&self) -> bool {
        self.waiting.is_empty() && self.doubtful.is_empty() && self.probing.is_empty()
    }

    /// Returns whether every host that answers has said that it does not hold the
    /// flow.
    fn is_denied(&self) -> bool {
        self.is_round_over() && self.left.is_empty()
    }

    /// Returns the hosts that have not said whether they hold the flow.
    fn undecided(&self) -> impl Iterator<Item = Ipv4Addr> {
        let asked = self.waiting.iter().chain(&self.probing);
        asked.chain(&self.silent).copied()
    }

    /// Gives up waiting for those that were asked.
    fn end_round(&mut self) {
        self.silent.append(&mut self.waiting);
        self.silent.append(&mut self.probing);
    }
}

impl FlowBalancer {
    pub(super) fn search(
        &mut self,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        if let Some(search) = self.searches.iter_mut().find(|search| search.flow == flow) {
            if search.packets.len() < MAX_KEPT_PACKETS {
                search.packets.push(packet.bytes.to_vec());
            }
            return;
        }
        if self.searches.len() >= MAX_SEARCHES {
            return;
        }
        outbox.note(FlowEvent::Searching {
            flow,
            hosts: self.members.hosts().len() as u16,
        });
        self.searches.push(PendingSearch {
            flow,
            started: now,
            asked: now,
            left: self.likely_hosts(&flow, now),
            waiting: Vec::new(),
            doubtful: Vec::new(),
            probing: Vec::new(),
            silent: Vec::new(),
            packets: vec![packet.bytes.to_vec()],
            acknowledged: packet.header.acknowledged,
            is_owner_sure: false,
        });
        self.ask_next(self.searches.len() - 1, now, outbox);
    }

    /// Sends a returned packet on to all hosts that may hold its flow.
    pub(super) fn search_again(
        &mut self,
        packet: &RawPacket<'_>,
        from: Ipv4Addr,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        match self.hints.get(&flow) {
            Some(hint) if hint.owner != from => {
                let owner = hint.owner;
                self.forward(owner, ForwardPurpose::Owner, packet.bytes, outbox);
            }
            _ => {
                let was_named = self.hints.remove(&flow).is_some();
                self.search(packet, now, outbox);
                if let Some(index) = self.find_search(&flow) {
                    let search = &mut self.searches[index];
                    search.is_owner_sure = was_named;
                    search.forget(from);
                }
            }
        }
    }

    /// Ends a search that found the host.
    pub(super) fn end_search(&mut self, flow: &FlowKey, owner: Ipv4Addr, outbox: &mut FlowOutbox) {
        let Some(index) = self.find_search(flow) else {
            return;
        };
        let search = self.searches.swap_remove(index);
        // The first packet has reached the host with the question.
        for bytes in search.packets.iter().skip(1) {
            self.forward(owner, ForwardPurpose::Owner, bytes, outbox);
        }
    }

    /// Notes that a host does not hold a flow, or cannot tell.
    pub(super) fn note_not_held(
        &mut self,
        flow: &FlowKey,
        host: Ipv4Addr,
        is_certain: bool,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let Some(index) = self.find_search(flow) else {
            return;
        };
        let search = &mut self.searches[index];
        search.forget(host);
        if !is_certain {
            search.doubtful.push(host);
        }
        self.ask_next(index, now, outbox);
        self.conclude_if_denied(index, now, outbox);
    }

    /// Asks a host that was met while searches are under way.
    pub(super) fn ask_new_host(
        &mut self,
        host: Ipv4Addr,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        for index in 0..self.searches.len() {
            let search = &mut self.searches[index];
            search.forget(host);
            search.left.push(host);
            self.ask_next(index, now, outbox);
        }
    }

    pub(super) fn continue_searches(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        for index in (0..self.searches.len()).rev() {
            let search = &mut self.searches[index];
            if now.since(search.started) >= SEARCH_MEMORY {
                let search = self.searches.swap_remove(index);
                outbox.note(FlowEvent::Unowned {
                    flow: search.flow,
                    undecided: search.undecided().take(MAX_NAMED).collect(),
                });
                continue;
            }
            if now.since(search.asked) >= ROUND_PATIENCE {
                search.end_round();
            }
            if now.since(search.asked) >= ASK_AGAIN && search.left.is_empty() {
                search.left = std::mem::take(&mut search.silent);
            }
            self.ask_next(index, now, outbox);
            self.conclude_if_denied(index, now, outbox);
        }
    }

    fn find_search(&self, flow: &FlowKey) -> Option<usize> {
        self.searches.iter().position(|search| search.flow == *flow)
    }

    /// Returns the hosts of a flow's service, the most likely last.
    fn likely_hosts(&self, flow: &FlowKey, now: MonotonicTime) -> Vec<Ipv4Addr> {
        let service = self
            .routes
            .table()
            .route(flow.target)
            .and_then(|route| route.service_of(flow));
        let mut hosts: Vec<Ipv4Addr> = self
            .members
            .hosts()
            .iter()
            // A flow may outlive its route.
            .filter(|record| service.is_none_or(|service| record.service == service))
            .filter(|record| now.since(record.peer.heard) < UNREACHABLE_AFTER)
            .map(|record| record.peer.address)
            .collect();
        rank_hosts(hash_flow(flow), &mut hosts);
        hosts.reverse();
        hosts
    }

    /// Makes doubtful hosts ask their servers, or asks the next round of hosts.
    fn ask_next(&mut self, index: usize, now: MonotonicTime, outbox: &mut FlowOutbox) {
        if self.searches[index].is_round_over() {
            self.ask_round(index, now, outbox);
        }
        let message = CarryMessage::Forward(self.header(ForwardPurpose::Probe));
        let search = &mut self.searches[index];
        if !search.waiting.is_empty() {
            // One of them may know the flow; no server is asked in vain then.
            return;
        }
        while search.probing.len() < MAX_PROBES && !search.doubtful.is_empty() {
            let host = search.doubtful.remove(0);
            search.asked = now;
            outbox.send_message(host, &message, &search.packets[0]);
            search.probing.push(host);
        }
    }

    /// Asks the next round of hosts, but those that are known to have lost their
    /// table.
    fn ask_round(&mut self, index: usize, now: MonotonicTime, outbox: &mut FlowOutbox) {
        let message = CarryMessage::Forward(self.header(ForwardPurpose::Search));
        let search = &mut self.searches[index];
        let start = search.left.len().saturating_sub(MAX_CANDIDATES);
        let round = search.left.split_off(start);
        for host in round.into_iter().rev() {
            search.asked = now;
            let is_relearning = self
                .members
                .host(host)
                .is_some_and(|record| record.is_relearning);
            if is_relearning {
                search.doubtful.push(host);
            } else {
                outbox.send_message(host, &message, &search.packets[0]);
                search.waiting.push(host);
            }
        }
    }

    /// Ends a search for a flow that every host has denied, unless there may be
    /// another host.
    fn conclude_if_denied(&mut self, index: usize, now: MonotonicTime, outbox: &mut FlowOutbox) {
        let search = &self.searches[index];
        let is_certain = search.silent.is_empty() && self.is_steady(now);
        if !search.is_denied() || !(search.is_owner_sure || is_certain) {
            return;
        }
        let search = self.searches.swap_remove(index);
        outbox.send_reset(search.flow, search.acknowledged);
        outbox.note(FlowEvent::Broken {
            flow: search.flow,
            reason: BreakReason::ServerForgot,
        });
    }

    /// Returns whether no host was met for a while, so that there are no others.
    pub(super) fn has_settled(&self, now: MonotonicTime) -> bool {
        if self.is_after_outage() {
            return self
                .first_host
                .is_some_and(|met| now.since(met) >= OUTAGE_SETTLE_TIME);
        }
        self.last_met_host
            .is_some_and(|met| now.since(met) >= SETTLE_TIME)
    }

    /// Returns whether everything has just started, so that no flow is older.
    fn is_after_outage(&self) -> bool {
        let hosts = self.members.hosts();
        hosts.len() >= OUTAGE_HOSTS && hosts.iter().all(|record| record.is_server_new)
    }

    /// Returns whether every host that may hold a flow is known and can be asked.
    /// One that was silent for long does not count: its callers are better off
    /// with another server, whether it lives or not.
    fn is_steady(&self, now: MonotonicTime) -> bool {
        let hosts = self.members.hosts();
        let limits = self.members.limits();
        let silence = |record: &HostRecord| now.since(record.peer.heard);
        let heard = self.members.heard_hosts(now);
        let is_cut_off = heard * 2 <= hosts.len();
        let is_in_doubt = hosts.iter().any(|record| {
            let silence = silence(record);
            silence >= limits.suspect_after && silence < UNREACHABLE_AFTER
        });
        let is_one_unmet = self.told_hosts.iter().any(|(told, since)| {
            self.members.host(*told).is_none() && now.since(*since) < UNREACHABLE_AFTER
        });
        let do_peers_hear_more = self
            .members
            .balancers()
            .iter()
            .filter(|record| now.since(record.peer.heard) < limits.suspect_after)
            .any(|record| usize::from(record.hosts) > heard);
        let may_exist = is_cut_off || is_in_doubt || is_one_unmet || do_peers_hear_more;
        self.has_settled(now) && !may_exist
    }
}
