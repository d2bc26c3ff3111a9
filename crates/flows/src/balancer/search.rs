//! Searches for the owner of a flow that is missing from the flow table.
//!
//! Hosts are queried in rounds, the most likely ones first. A host that knows the
//! flow claims it and is sent the packet. A host that has lost its table cannot
//! answer; it is sent the packet as a probe, and delivers it to its server. Only two
//! servers are probed at a time, because a probed server may not hold the flow, and a
//! flow tolerates few packets at wrong servers.
//!
//! After all processes were killed, thousands of flows are searched for at once, on
//! balancers that handle a few hundred datagrams a second. Questions to one host
//! therefore share datagrams, so that many searches cost no more than querying each
//! host a few times. In a large service, the hosts that rank first for the flow are
//! queried first, because new flows are offered to the first eight.

use std::net::Ipv4Addr;
use std::time::Duration;

use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::FlowKey;
use hyssopstair_wire::carried::FlowQuestion;
use hyssopstair_wire::carried::ForwardPurpose;
use hyssopstair_wire::carried::MAX_QUESTIONS;
use hyssopstair_wire::time::MonotonicTime;

use crate::balancer::FlowBalancer;
use crate::event::BreakReason;
use crate::event::FlowEvent;
use crate::event::UnresponsiveHost;
use crate::members::HOST_UNREACHABLE_TIMEOUT;
use crate::members::MemberTable;
use crate::outbox::FlowOutbox;
use crate::packet::RawPacket;
use crate::ranking::hash_flow;
use crate::ranking::rank_hosts;

/// Number of hosts queried in the first round of a search.
const FIRST_ROUND_HOSTS: usize = 64;

/// Minimum time hosts have to answer before the next round of hosts is queried.
const ROUND_TIMEOUT: Duration = Duration::from_millis(20);

/// Time for which questions to a host are batched. Callers retransmit a packet after
/// 200 ms at the earliest.
const QUESTION_BATCH_DELAY: Duration = Duration::from_millis(4);

/// Pause after a batch of questions, for each datagram in it. Without the pause, the
/// smallest balancers, which have 0.038 of a core, could not complete 76 searches a
/// second.
const QUESTION_DATAGRAM_INTERVAL: Duration = Duration::from_millis(1);

/// Minimum time after which hosts that have not answered are queried again: two round
/// trips between busy processes.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Time after which a search is abandoned. Until then it continues while a host may
/// hold the flow and cannot tell, or has not been discovered yet. Callers retransmit a
/// packet after 200, 400 and 800 ms.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum number of pending searches. Packets of further flows are dropped, and the
/// caller retransmits them, so that a lost table cannot cause a flood of queries.
const MAX_SEARCHES: usize = 512;

/// Maximum number of packets of one flow that a search queues.
const MAX_QUEUED_PACKETS: usize = 4;

/// Maximum number of undecided hosts that the event of a failed search names.
const MAX_LOGGED_HOSTS: usize = 4;

/// Maximum number of servers probed at the same time by one search.
const MAX_PROBES: usize = 2;

/// Time without the discovery of a host after which all hosts are taken as known.
/// Processes that start together discover each other within 0.3 s.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Replaces [`SETTLE_TIME`] after a full outage, counted from the discovery of the first
/// host. It can be shorter because no server holds a flow from before the outage.
const OUTAGE_SETTLE_TIME: Duration = Duration::from_millis(50);

/// A search for the owner of one flow.
#[derive(Debug, Clone)]
pub(super) struct PendingSearch {
    flow: FlowKey,
    started_at: MonotonicTime,
    /// Time of the last question or probe; for a queued question, the time at which it
    /// will be sent.
    last_query_at: MonotonicTime,
    /// Hosts that have not been queried yet, the most likely last.
    remaining: Vec<Ipv4Addr>,
    /// Hosts that were queried and whose answer is pending.
    awaiting: Vec<Ipv4Addr>,
    /// Hosts that cannot answer without probing their server.
    uncertain: Vec<Ipv4Addr>,
    /// Hosts whose server was sent the packet and has not shown whether it holds the
    /// flow.
    probing: Vec<Ipv4Addr>,
    /// Hosts that did not answer in time, or were not expected to answer.
    unanswered: Vec<Ipv4Addr>,
    packets: Vec<Vec<u8>>,
    acknowledged: Option<u32>,
    is_first_round: bool,
    /// Whether hosts that did not answer were queried again.
    is_retried: bool,
    /// Whether the host at which the flow has opened has denied it.
    was_denied_by_owner: bool,
}

impl PendingSearch {
    fn remove_host(&mut self, host: Ipv4Addr) {
        for list in [
            &mut self.remaining,
            &mut self.awaiting,
            &mut self.uncertain,
            &mut self.probing,
            &mut self.unanswered,
        ] {
            list.retain(|listed| *listed != host);
        }
    }

    /// Returns the time of the first question or probe that `host` may be answering, or
    /// `None` if it was not queried.
    fn asked_at(&self, host: Ipv4Addr) -> Option<MonotonicTime> {
        let queried_lists = [&self.awaiting, &self.probing, &self.unanswered];
        let was_queried = queried_lists.iter().any(|list| list.contains(&host));
        let asked_at = if self.is_retried {
            self.started_at
        } else {
            self.last_query_at
        };
        was_queried.then_some(asked_at)
    }

    /// Returns whether no answer to a question or probe is pending.
    fn is_round_complete(&self) -> bool {
        self.awaiting.is_empty() && self.uncertain.is_empty() && self.probing.is_empty()
    }

    /// Returns whether every host that answers has denied the flow.
    fn is_denied_by_all(&self) -> bool {
        self.is_round_complete() && self.remaining.is_empty()
    }

    /// Returns the hosts that were queried or probed and have not said whether they
    /// hold the flow.
    fn undecided_hosts(&self) -> impl Iterator<Item = Ipv4Addr> {
        let queried_hosts = self.awaiting.iter().chain(&self.probing);
        queried_hosts.chain(&self.unanswered).copied()
    }

    /// Removes the unanswered hosts that cannot hold the flow: those that have been
    /// silent for too long, and those of which no server that holds flows is known, if
    /// their next hello is overdue or they were queried again without an answer.
    fn remove_gone_hosts(
        &mut self,
        members: &MemberTable,
        is_after_outage: bool,
        now: MonotonicTime,
    ) {
        let overdue_after = members.timeouts().overdue_after();
        let is_retried = self.is_retried;
        self.unanswered.retain(|host| {
            members.host(*host).is_some_and(|record| {
                let is_overdue = is_retried || now.since(record.peer.last_seen_at) >= overdue_after;
                let is_gone = is_overdue && !record.may_have_older_server(is_after_outage);
                record.may_hold_flows(now) && !is_gone
            })
        });
    }

    /// Moves the hosts whose answer is pending to the unanswered ones.
    fn time_out_round(&mut self) {
        self.unanswered.append(&mut self.awaiting);
        self.unanswered.append(&mut self.probing);
    }
}

impl FlowBalancer {
    /// Starts a search for the owner of a packet's flow, or queues the packet if the
    /// search is already pending.
    pub(super) fn search_for_owner(
        &mut self,
        packet: &RawPacket<'_>,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let flow = packet.header.caller_flow();
        let index = match self.find_search(&flow) {
            Ok(index) => {
                let search = &mut self.searches[index];
                if search.packets.len() < MAX_QUEUED_PACKETS {
                    search.packets.push(packet.bytes.to_vec());
                }
                return;
            }
            Err(index) => index,
        };
        if self.searches.len() >= MAX_SEARCHES {
            return;
        }
        outbox.record_event(FlowEvent::Searching {
            flow,
            hosts: self.members.hosts().len() as u16,
        });
        let search = PendingSearch {
            flow,
            started_at: now,
            last_query_at: now,
            remaining: self.rank_likely_hosts(&flow, now),
            awaiting: Vec::new(),
            uncertain: Vec::new(),
            probing: Vec::new(),
            unanswered: Vec::new(),
            packets: vec![packet.bytes.to_vec()],
            acknowledged: packet.header.acknowledged_position(),
            is_first_round: true,
            is_retried: false,
            was_denied_by_owner: false,
        };
        self.searches.insert(index, search);
        self.continue_search(index, now, outbox);
    }

    /// Handles a packet that the host `from` has returned: forwards it to the flow's owner
    /// if the table now names another host. Otherwise removes the hint and searches for
    /// the owner.
    pub(super) fn redirect_returned_packet(
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
                self.forward_to_owner(&flow, owner, packet.bytes, now, outbox);
            }
            _ => {
                let hint = self.hints.remove(&flow);
                let was_only_owner = hint.is_some_and(|hint| hint.is_only_owner());
                self.search_for_owner(packet, now, outbox);
                if let Ok(index) = self.find_search(&flow) {
                    let search = &mut self.searches[index];
                    search.was_denied_by_owner = was_only_owner;
                    search.remove_host(from);
                }
            }
        }
    }

    /// Ends a search that found the owner, and forwards the queued packets to it.
    pub(super) fn complete_search(
        &mut self,
        flow: &FlowKey,
        owner: Ipv4Addr,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let Ok(index) = self.find_search(flow) else {
            return;
        };
        let search = self.searches.remove(index);
        // A probed host already has the first packet.
        let delivered_count = usize::from(search.probing.contains(&owner));
        for bytes in search.packets.iter().skip(delivered_count) {
            self.forward_to_owner(flow, owner, bytes, now, outbox);
        }
    }

    /// Handles a host's answer that it does not hold a flow, or cannot tell.
    pub(super) fn record_denial(
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
        if let Some(asked_at) = search.asked_at(host) {
            self.reply_time.record(now.since(asked_at));
        }
        search.remove_host(host);
        if !is_certain {
            search.uncertain.push(host);
        }
        self.continue_search(index, now, outbox);
        self.finish_if_denied(index, now, outbox);
    }

    /// Queries a newly discovered host in all pending searches.
    pub(super) fn query_new_host(
        &mut self,
        host: Ipv4Addr,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        for index in 0..self.searches.len() {
            let search = &mut self.searches[index];
            search.remove_host(host);
            search.remaining.push(host);
            self.continue_search(index, now, outbox);
        }
    }

    /// Queries a host that has learned which flows its server holds in all pending searches
    /// that would otherwise probe its server.
    pub(super) fn query_decided_host(&mut self, host: Ipv4Addr, now: MonotonicTime) {
        for index in 0..self.searches.len() {
            let search = &mut self.searches[index];
            let uncertain_count = search.uncertain.len();
            search.uncertain.retain(|listed| *listed != host);
            if search.uncertain.len() < uncertain_count {
                self.query_host(index, host, now);
            }
        }
    }

    /// Times out rounds and searches, and repeats the queries to hosts that have not
    /// answered.
    pub(super) fn advance_searches(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        let round_timeout = self.reply_time.timeout(ROUND_TIMEOUT);
        let retry_interval = self.reply_time.timeout(RETRY_INTERVAL);
        let is_after_outage = self.members.is_after_full_outage();
        for index in (0..self.searches.len()).rev() {
            let search = &mut self.searches[index];
            if now.since(search.started_at) >= SEARCH_TIMEOUT {
                let search = self.searches.remove(index);
                self.record_unowned_flow(&search, now, outbox);
                continue;
            }
            if now.since(search.last_query_at) >= round_timeout {
                search.time_out_round();
            }
            search.remove_gone_hosts(&self.members, is_after_outage, now);
            if now.since(search.last_query_at) >= retry_interval && search.remaining.is_empty() {
                search.remaining = std::mem::take(&mut search.unanswered);
                search.is_retried = true;
            }
            self.continue_search(index, now, outbox);
            self.finish_if_denied(index, now, outbox);
        }
    }

    fn record_unowned_flow(
        &self,
        search: &PendingSearch,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let silence = |host| {
            let record = self.members.host(host)?;
            Some(now.since(record.peer.last_seen_at).as_millis() as u32)
        };
        let undecided = search.undecided_hosts().take(MAX_LOGGED_HOSTS);
        outbox.record_event(FlowEvent::Unowned {
            flow: search.flow,
            undecided: undecided
                .map(|host| UnresponsiveHost {
                    host,
                    silent_millis: silence(host),
                })
                .collect(),
        });
    }

    /// Returns the time at which queued questions are to be sent, if there are any.
    pub(super) fn questions_due_at(&self) -> Option<MonotonicTime> {
        let queued_at = self.questions_queued_at?;
        Some((queued_at + QUESTION_BATCH_DELAY).max(self.questions_allowed_at))
    }

    /// Sends the queued questions to each host.
    pub(super) fn send_questions(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        self.questions_queued_at = None;
        self.questions_allowed_at = now;
        for (host, questions) in std::mem::take(&mut self.queued_questions) {
            for batch in questions.chunks(MAX_QUESTIONS) {
                self.questions_allowed_at = self.questions_allowed_at + QUESTION_DATAGRAM_INTERVAL;
                let flow = batch[0].flow;
                let questions = batch.to_vec();
                let message = CarryMessage::Locate { questions };
                let way = self.detours.way_to(host, &flow, &self.members, now);
                self.detours.send(way, host, &message, &[], outbox);
            }
        }
    }

    /// Returns whether a search for the owner of the flow is pending.
    pub(super) fn is_searched(&self, flow: &FlowKey) -> bool {
        self.find_search(flow).is_ok()
    }

    fn find_search(&self, flow: &FlowKey) -> Result<usize, usize> {
        self.searches
            .binary_search_by_key(flow, |search| search.flow)
    }

    /// Returns the hosts that may hold a flow, the most likely last. Hosts of other
    /// services are included, because an open flow stays at its host when its route
    /// changes to another service.
    fn rank_likely_hosts(&self, flow: &FlowKey, now: MonotonicTime) -> Vec<Ipv4Addr> {
        let route = self.routes.table().route(flow.target);
        let service = route.and_then(|route| route.service_of(flow));
        let serves_route = |host: &Ipv4Addr| {
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
        hosts.sort_by_key(serves_route);
        hosts
    }

    /// Queries the next round of hosts if the current one is complete, and probes the
    /// servers of uncertain hosts.
    fn continue_search(&mut self, index: usize, now: MonotonicTime, outbox: &mut FlowOutbox) {
        if self.searches[index].is_round_complete() {
            self.query_next_round(index, now);
        }
        let message = CarryMessage::Forward(self.build_forward_header(ForwardPurpose::Probe));
        let search = &mut self.searches[index];
        if !search.awaiting.is_empty() {
            // A host that was queried may claim the flow, which makes probes unnecessary.
            return;
        }
        while search.probing.len() < MAX_PROBES && !search.uncertain.is_empty() {
            let host = search.uncertain.remove(0);
            search.last_query_at = now;
            outbox.enqueue_message(host, &message, &search.packets[0]);
            search.probing.push(host);
        }
    }

    /// Queries the next round of hosts: first the most likely ones, then all others.
    fn query_next_round(&mut self, index: usize, now: MonotonicTime) {
        let search = &mut self.searches[index];
        let start = if search.is_first_round {
            search.remaining.len().saturating_sub(FIRST_ROUND_HOSTS)
        } else {
            0
        };
        search.is_first_round = false;
        let round = search.remaining.split_off(start);
        for host in round.into_iter().rev() {
            self.query_host(index, host, now);
        }
    }

    /// Queues a question to a host, or marks the host as uncertain if it is known to
    /// have lost its table.
    fn query_host(&mut self, index: usize, host: Ipv4Addr, now: MonotonicTime) {
        let record = self.members.host(host);
        let is_relearning = record.is_some_and(|record| record.is_relearning);
        let overdue_after = self.members.timeouts().overdue_after();
        let is_responsive =
            record.is_some_and(|record| now.since(record.peer.last_seen_at) < overdue_after);
        if is_relearning {
            self.searches[index].uncertain.push(host);
            return;
        }
        self.questions_queued_at.get_or_insert(now);
        let send_at = self.questions_due_at().unwrap_or(now);
        let search = &mut self.searches[index];
        search.last_query_at = send_at;
        if is_responsive {
            search.awaiting.push(host);
        } else {
            // The host is queried, but the round does not wait for its answer.
            search.unanswered.push(host);
        }
        let question = FlowQuestion {
            flow: search.flow,
            acknowledged: search.acknowledged,
        };
        match self
            .queued_questions
            .binary_search_by_key(&host, |(to, _)| *to)
        {
            Ok(index) => self.queued_questions[index].1.push(question),
            Err(index) => self.queued_questions.insert(index, (host, vec![question])),
        }
    }

    /// Ends the search and resets the flow if every host has denied it, unless another
    /// host may hold it.
    fn finish_if_denied(&mut self, index: usize, now: MonotonicTime, outbox: &mut FlowOutbox) {
        let search = &self.searches[index];
        if !search.is_denied_by_all() {
            return;
        }
        let is_certain = search.unanswered.is_empty() && self.is_membership_complete(now);
        if !(search.was_denied_by_owner || is_certain) {
            return;
        }
        let search = self.searches.remove(index);
        outbox.enqueue_reset(search.flow, search.acknowledged.unwrap_or_default());
        outbox.record_event(FlowEvent::Broken {
            flow: search.flow,
            reason: BreakReason::ServerForgot,
        });
    }

    /// Returns whether all hosts are taken as known, because none was discovered
    /// recently.
    pub(super) fn is_discovery_complete(&self, now: MonotonicTime) -> bool {
        if self.members.is_after_full_outage() {
            return self
                .first_host_joined_at
                .is_some_and(|joined_at| now.since(joined_at) >= OUTAGE_SETTLE_TIME);
        }
        self.last_host_joined_at
            .is_some_and(|joined_at| now.since(joined_at) >= SETTLE_TIME)
    }

    /// Returns whether every host that may hold a flow is known and can be queried: host
    /// discovery is complete, most hosts are reachable, none that may hold a flow is
    /// suspect, and no peer names or reaches hosts that this balancer does not.
    fn is_membership_complete(&self, now: MonotonicTime) -> bool {
        let timeouts = self.members.timeouts();
        let reachable_count = self.members.reachable_host_count(now);
        let is_partitioned = reachable_count * 2 <= self.members.possible_owners().count();
        let has_suspect_host = self.members.possible_owners().any(|record| {
            let silence = now.since(record.peer.last_seen_at);
            record.may_hold_flows(now) && silence >= timeouts.suspect_after
        });
        let has_unknown_owner = self.reported_owners.iter().any(|(owner, since)| {
            self.members.host(*owner).is_none() && now.since(*since) < HOST_UNREACHABLE_TIMEOUT
        });
        let do_peers_reach_more = self
            .members
            .balancers()
            .iter()
            .filter(|record| now.since(record.peer.last_seen_at) < timeouts.suspect_after)
            .any(|record| usize::from(record.reachable_host_count) > reachable_count);
        let may_miss_hosts =
            is_partitioned || has_suspect_host || has_unknown_owner || do_peers_reach_more;
        self.is_discovery_complete(now) && !may_miss_hosts
    }
}
