//! Looks for the host of a flow that the table does not name.
//!
//! The hosts of the service are asked in rounds, the most likely ones first; one
//! that knows the flow takes the packet. Hosts that have lost their table cannot
//! tell, and are made to ask their servers, two at a time: each hands the packet
//! to a server that may not be the right one, and a flow bears few of these.
//!
//! The load it answers: thousands of flows at once after all processes were
//! killed, at balancers that handle a few hundred datagrams a second. Questions
//! to one host share datagrams, so that the cost of many searches is that of
//! asking each host a few times. In a large service those that come first in the
//! flow's order are asked first, as new flows are offered to the first eight.

use std::net::Ipv4Addr;
use std::time::Duration;

use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::FlowQuestion;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::MAX_QUESTIONS;
use hyssopstair_wire::carried::ServerState;
use hyssopstair_wire::time::MonotonicTime;

use crate::balancer::FlowBalancer;
use crate::event::BreakReason;
use crate::event::FlowEvent;
use crate::event::SilentHost;
use crate::members::HOST_UNREACHABLE_TIMEOUT;
use crate::members::MemberTable;
use crate::outbox::FlowOutbox;
use crate::packet::RawPacket;
use crate::ranking::hash_flow;
use crate::ranking::rank_hosts;

/// Hosts that are asked before all others.
const FIRST_ROUND: usize = 64;

/// Time that hosts have to answer before others are asked as well.
const ROUND_PATIENCE: Duration = Duration::from_millis(20);

/// Time for which questions to a host are collected. Callers repeat a packet
/// after 200 ms at the earliest.
const QUESTION_DELAY: Duration = Duration::from_millis(4);

/// Time after a batch of questions for each datagram in it. The smallest balancers,
/// which have 0.038 of a core, did not get through 76 searches a second without.
const QUESTION_PACE: Duration = Duration::from_millis(1);

/// Time after which a host that has not answered is asked again: two round trips
/// between busy processes.
const ASK_AGAIN: Duration = Duration::from_millis(40);

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
    acknowledged: Option<u32>,
    is_first_round: bool,
    /// Whether hosts that did not answer were asked again.
    is_repeated: bool,
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

    /// Stops waiting for hosts that cannot hold the flow: those that were silent for
    /// long, and those that had no server when they were heard last and are late
    /// with a hello or with two answers.
    fn drop_gone_hosts(&mut self, members: &MemberTable, now: MonotonicTime) {
        let late_after = members.timeouts().late_after();
        let is_repeated = self.is_repeated;
        self.silent.retain(|host| {
            members.host(*host).is_some_and(|record| {
                let is_late = is_repeated || now.since(record.peer.heard) >= late_after;
                let is_gone = is_late && record.server == ServerState::Down;
                record.may_hold_flows(now) && !is_gone
            })
        });
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
        let index = match self.find_search(&flow) {
            Ok(index) => {
                let search = &mut self.searches[index];
                if search.packets.len() < MAX_KEPT_PACKETS {
                    search.packets.push(packet.bytes.to_vec());
                }
                return;
            }
            Err(index) => index,
        };
        if self.searches.len() >= MAX_SEARCHES {
            return;
        }
        outbox.note(FlowEvent::Searching {
            flow,
            hosts: self.members.hosts().len() as u16,
        });
        let search = PendingSearch {
            flow,
            started: now,
            asked: now,
            left: self.likely_hosts(&flow, now),
            waiting: Vec::new(),
            doubtful: Vec::new(),
            probing: Vec::new(),
            silent: Vec::new(),
            packets: vec![packet.bytes.to_vec()],
            acknowledged: packet.header.acknowledged_position(),
            is_first_round: true,
            is_repeated: false,
            is_owner_sure: false,
        };
        self.searches.insert(index, search);
        self.ask_next(index, now, outbox);
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
                let hint = self.hints.remove(&flow);
                let was_named = hint.is_some_and(|hint| hint.is_sure);
                self.search(packet, now, outbox);
                if let Ok(index) = self.find_search(&flow) {
                    let search = &mut self.searches[index];
                    search.is_owner_sure = was_named;
                    search.forget(from);
                }
            }
        }
    }

    /// Ends a search that found the host.
    pub(super) fn end_search(&mut self, flow: &FlowKey, owner: Ipv4Addr, outbox: &mut FlowOutbox) {
        let Ok(index) = self.find_search(flow) else {
            return;
        };
        let search = self.searches.remove(index);
        // A host that asked its server has the first packet.
        let sent = usize::from(search.probing.contains(&owner));
        for bytes in search.packets.iter().skip(sent) {
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
        let Ok(index) = self.find_search(flow) else {
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
                let search = self.searches.remove(index);
                self.note_unowned(&search, now, outbox);
                continue;
            }
            if now.since(search.asked) >= ROUND_PATIENCE {
                search.end_round();
            }
            search.drop_gone_hosts(&self.members, now);
            if now.since(search.asked) >= ASK_AGAIN && search.left.is_empty() {
                search.left = std::mem::take(&mut search.silent);
                search.is_repeated = true;
            }
            self.ask_next(index, now, outbox);
            self.conclude_if_denied(index, now, outbox);
        }
    }

    fn note_unowned(&self, search: &PendingSearch, now: MonotonicTime, outbox: &mut FlowOutbox) {
        let silence = |host| {
            let record = self.members.host(host)?;
            Some(now.since(record.peer.heard).as_millis() as u32)
        };
        let undecided = search.undecided().take(MAX_NAMED);
        outbox.note(FlowEvent::Unowned {
            flow: search.flow,
            undecided: undecided
                .map(|host| SilentHost {
                    host,
                    silent_millis: silence(host),
                })
                .collect(),
        });
    }

    /// Returns when questions are to be sent, if there are any.
    pub(super) fn questions_due(&self) -> Option<MonotonicTime> {
        let first = self.questions_since?;
        Some((first + QUESTION_DELAY).max(self.questions_allowed))
    }

    /// Sends the questions that were collected for each host.
    pub(super) fn send_questions(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        self.questions_since = None;
        self.questions_allowed = now;
        for (host, questions) in std::mem::take(&mut self.questions) {
            for batch in questions.chunks(MAX_QUESTIONS) {
                self.questions_allowed = self.questions_allowed + QUESTION_PACE;
                let questions = batch.to_vec();
                outbox.send_message(host, &CarryMessage::Locate { questions }, &[]);
            }
        }
    }

    fn find_search(&self, flow: &FlowKey) -> Result<usize, usize> {
        self.searches
            .binary_search_by_key(flow, |search| search.flow)
    }

    /// Returns the hosts that may hold a flow, the most likely last. A flow stays
    /// where it is when its route goes to another service.
    fn likely_hosts(&self, flow: &FlowKey, now: MonotonicTime) -> Vec<Ipv4Addr> {
        let route = self.routes.table().route(flow.target);
        let service = route.and_then(|route| route.service_of(flow));
        let of_service = |host: &Ipv4Addr| {
            let record = self.members.host(*host);
            record.is_some_and(|record| Some(record.service.as_str()) == service)
        };
        let mut hosts: Vec<Ipv4Addr> = self
            .members
            .hosts()
            .iter()
            .filter(|record| record.may_hold_flows(now))
            .map(|record| record.peer.address)
            .collect();
        rank_hosts(hash_flow(flow), &mut hosts);
        hosts.reverse();
        hosts.sort_by_key(of_service);
        hosts
    }

    /// Makes doubtful hosts ask their servers, or asks the next round of hosts.
    fn ask_next(&mut self, index: usize, now: MonotonicTime, outbox: &mut FlowOutbox) {
        if self.searches[index].is_round_over() {
            self.ask_round(index, now);
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

    /// Asks the next round of hosts: the most likely ones, and then all others.
    fn ask_round(&mut self, index: usize, now: MonotonicTime) {
        let search = &mut self.searches[index];
        let start = if search.is_first_round {
            search.left.len().saturating_sub(FIRST_ROUND)
        } else {
            0
        };
        search.is_first_round = false;
        let round = search.left.split_off(start);
        for host in round.into_iter().rev() {
            self.ask_host(index, host, now);
        }
    }

    /// Asks a host, unless it is known to have lost its table.
    fn ask_host(&mut self, index: usize, host: Ipv4Addr, now: MonotonicTime) {
        let record = self.members.host(host);
        let is_relearning = record.is_some_and(|record| record.is_relearning);
        let late_after = self.members.timeouts().late_after();
        let is_heard = record.is_some_and(|record| now.since(record.peer.heard) < late_after);
        if is_relearning {
            self.searches[index].doubtful.push(host);
            return;
        }
        self.questions_since.get_or_insert(now);
        let sent = self.questions_due().unwrap_or(now);
        let search = &mut self.searches[index];
        search.asked = sent;
        if is_heard {
            search.waiting.push(host);
        } else {
            // It is asked as well, and nobody waits for its answer.
            search.silent.push(host);
        }
        let question = FlowQuestion {
            flow: search.flow,
            acknowledged: search.acknowledged,
        };
        match self.questions.binary_search_by_key(&host, |(to, _)| *to) {
            Ok(index) => self.questions[index].1.push(question),
            Err(index) => self.questions.insert(index, (host, vec![question])),
        }
    }

    /// Ends a search for a flow that every host has denied, unless there may be
    /// another host.
    fn conclude_if_denied(&mut self, index: usize, now: MonotonicTime, outbox: &mut FlowOutbox) {
        let search = &self.searches[index];
        if !search.is_denied() {
            return;
        }
        let is_certain = search.silent.is_empty() && self.is_steady(now);
        if !(search.is_owner_sure || is_certain) {
            return;
        }
        let search = self.searches.remove(index);
        outbox.send_reset(search.flow, search.acknowledged.unwrap_or_default());
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
        let members = &self.members;
        members.hosts_with_server().count() >= OUTAGE_HOSTS
            && members
                .hosts_with_server()
                .all(|record| record.is_server_new)
    }

    /// Returns whether every host that may hold a flow is known and can be asked.
    fn is_steady(&self, now: MonotonicTime) -> bool {
        let timeouts = self.members.timeouts();
        let heard = self.members.reachable_host_count(now);
        let is_cut_off = heard * 2 <= self.members.hosts_with_server().count();
        let is_in_doubt = self.members.hosts_with_server().any(|record| {
            let silence = now.since(record.peer.heard);
            record.may_hold_flows(now) && silence >= timeouts.suspect_after
        });
        let is_one_unmet = self.told_hosts.iter().any(|(told, since)| {
            self.members.host(*told).is_none() && now.since(*since) < HOST_UNREACHABLE_TIMEOUT
        });
        let do_peers_hear_more = self
            .members
            .balancers()
            .iter()
            .filter(|record| now.since(record.peer.heard) < timeouts.suspect_after)
            .any(|record| usize::from(record.hosts) > heard);
        let may_exist = is_cut_off || is_in_doubt || is_one_unmet || do_peers_hear_more;
        self.has_settled(now) && !may_exist
    }
}
