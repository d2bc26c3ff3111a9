//! Saves the open flows of a host, and decides about those of its former process.

use std::net::Ipv4Addr;
use std::time::Duration;

use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::carried::StoreEra;
use hyssopstair_wire::time::MonotonicTime;

use crate::event::BreakReason;
use crate::event::FlowEvent;
use crate::event::FormerFlowsVerdict;
use crate::heartbeat::ServerHeartbeat;
use crate::host::FlowHost;
use crate::host::records::FlowPhase;
use crate::host::records::FlowRecord;
use crate::members::BalancerRecord;
use crate::outbox::FlowOutbox;
use crate::saved_flows::MAX_LIST_PARTS;
use crate::saved_flows::MAX_PART_FLOWS;
use crate::saved_flows::SaveSchedule;
use crate::saved_flows::SavedFlow;
use crate::saved_flows::SavedFlowList;
use crate::store_era::KnownEra;

/// Interval at which the host checks whether its flows are to be saved.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Age from which a flow is saved. Flows that end with their first request are younger.
const MIN_FLOW_AGE: Duration = Duration::from_millis(300);

/// What a host saves, and what its former process has saved.
#[derive(Debug)]
pub(super) struct SavedFlowState {
    schedule: SaveSchedule,
    next_check_at: MonotonicTime,
    /// Number of the last request to a balancer.
    request_number: u32,
    /// The flows of the requests that no balancer has confirmed yet, by number.
    pending_parts: Vec<(u32, Vec<SavedFlow>)>,
    /// Number of lists that were not confirmed as a whole.
    failed_saves: usize,
    store_era: KnownEra,
    /// The list of the former process, until the server shows whether it holds the flows.
    former_list: Option<SavedFlowList>,
}

impl SavedFlowState {
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            schedule: SaveSchedule::default(),
            next_check_at: now + CHECK_INTERVAL,
            request_number: 0,
            pending_parts: Vec::new(),
            failed_saves: 0,
            store_era: KnownEra::default(),
            former_list: None,
        }
    }
}

impl FlowHost {
    /// Sends the open flows to a balancer if they are to be saved now.
    pub(super) fn save_due_flows(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        if now < self.saved.next_check_at {
            return;
        }
        self.saved.next_check_at = now + CHECK_INTERVAL;
        let flows = self.collect_long_flows(now);
        if !self.saved.schedule.is_due(&flows, now) {
            return;
        }
        if !self.saved.pending_parts.is_empty() {
            // The balancer that was asked last did not confirm everything.
            self.saved.failed_saves = self.saved.failed_saves.wrapping_add(1);
            self.saved.pending_parts.clear();
        }
        if let Some(balancer) = self.select_saving_balancer(now) {
            self.saved.schedule.record_request(&flows, now);
            self.send_flow_list(balancer, &flows, now, outbox);
        }
    }

    /// Records the newest era of the store. If the store has come back from a copy, the saved
    /// lists may be gone, and all flows are to be saved again.
    pub fn record_store_era(&mut self, era: Option<StoreEra>, outbox: &mut FlowOutbox) {
        if self.saved.store_era.record(era, outbox) {
            self.saved.schedule.forget_saved();
            // A confirmation that is under way may be of the former era.
            self.saved.pending_parts.clear();
        }
    }

    /// Sends a list of flows to a balancer in parts, each of which fits into a datagram.
    fn send_flow_list(
        &mut self,
        balancer: Ipv4Addr,
        flows: &[SavedFlow],
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let Some(heartbeat) = self.server.newest_heartbeat() else {
            return;
        };
        let template = SavedFlowList {
            saved_unix_millis: self.unix_millis(now),
            service: self.identity.service.clone(),
            server_id: heartbeat.id.clone(),
            server_started_unix_millis: heartbeat.started_unix_millis,
            flows: Vec::new(),
        };
        for (part, part_flows) in flows.chunks(MAX_PART_FLOWS).enumerate() {
            self.saved.request_number = self.saved.request_number.wrapping_add(1);
            let number = self.saved.request_number;
            let list = SavedFlowList {
                flows: part_flows.to_vec(),
                ..template.clone()
            };
            let message = CarryMessage::SaveFlows {
                number,
                part: part as u8,
            };
            outbox.enqueue_message(balancer, &message, &list.encode());
            self.saved.pending_parts.push((number, list.flows));
        }
    }

    /// Records that a balancer has confirmed a part of the list.
    pub(super) fn record_saved_part(&mut self, number: u32) {
        let pending_parts = &mut self.saved.pending_parts;
        if let Some(index) = pending_parts.iter().position(|(sent, _)| *sent == number) {
            let (_, flows) = pending_parts.swap_remove(index);
            self.saved.schedule.record_saved(&flows);
        }
    }

    /// Returns the balancer that saves the lists of this host: the first one of its
    /// availability zone, so that few balancers save the lists of many hosts, and the next
    /// one after each failure.
    fn select_saving_balancer(&self, now: MonotonicTime) -> Option<Ipv4Addr> {
        let suspect_after = self.members.timeouts().suspect_after;
        let is_usable = |record: &&BalancerRecord| {
            !record.is_stopping && now.since(record.peer.last_seen_at) < suspect_after
        };
        let usable: Vec<&BalancerRecord> =
            self.members.balancers().iter().filter(is_usable).collect();
        let (near, far): (Vec<&BalancerRecord>, Vec<&BalancerRecord>) = usable
            .into_iter()
            .partition(|record| record.peer.zone == self.identity.zone);
        let balancers = if near.is_empty() { far } else { near };
        let index = self.saved.failed_saves.checked_rem(balancers.len())?;
        Some(balancers[index].peer.address)
    }

    /// Handles the list that the former process of this host has saved. Its flows are
    /// reset, or expected, once the heartbeats of the server have shown whether it is the
    /// one that held them.
    pub fn receive_former_flows(
        &mut self,
        list: SavedFlowList,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let age = self.unix_millis(now).checked_sub(list.saved_unix_millis);
        let max_age = self.identity.max_flow_age.as_millis();
        let verdict = match age {
            _ if list.service != self.identity.service => FormerFlowsVerdict::OtherService,
            Some(age) if u128::from(age) < max_age => {
                self.saved.former_list = Some(list);
                self.resolve_former_flows(now, outbox);
                return;
            }
            // The list is too old, or the clock was set back since it was saved.
            _ => FormerFlowsVerdict::Expired,
        };
        self.record_former_flows(&list, verdict, now, outbox);
    }

    /// Resets or expects the flows of the former process, if its list was read and a
    /// heartbeat tells which server runs now.
    pub(super) fn resolve_former_flows(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        let Some(heartbeat) = self.server.newest_heartbeat() else {
            return;
        };
        let Some(list) = self.saved.former_list.take() else {
            return;
        };
        let verdict = judge_former_server(&list, heartbeat);
        match verdict {
            FormerFlowsVerdict::Reset => self.reset_former_flows(&list, outbox),
            FormerFlowsVerdict::Expected => self.expect_former_flows(&list, now),
            FormerFlowsVerdict::OtherService
            | FormerFlowsVerdict::Expired
            | FormerFlowsVerdict::Undecided => {}
        }
        self.record_former_flows(&list, verdict, now, outbox);
    }

    /// Resets the flows of the former process because nothing listens at the server's
    /// address, so the server that held them has ended.
    pub(super) fn abandon_former_flows(&mut self, now: MonotonicTime, outbox: &mut FlowOutbox) {
        if let Some(list) = self.saved.former_list.take() {
            self.reset_former_flows(&list, outbox);
            self.record_former_flows(&list, FormerFlowsVerdict::Reset, now, outbox);
        }
    }

    /// Returns the open flows that are old enough to be saved, sorted by flow. Flows that were
    /// opened after the last heartbeat are left out, because a server that has been replaced
    /// since may not hold them.
    fn collect_long_flows(&self, now: MonotonicTime) -> Vec<SavedFlow> {
        let last_heartbeat_at = self.server.last_heartbeat_at();
        let mut flows: Vec<SavedFlow> = self
            .flows
            .iter()
            .filter(|(_, record)| {
                let is_old = now.since(record.offered_at) >= MIN_FLOW_AGE
                    && record.offered_at <= last_heartbeat_at;
                record.phase == FlowPhase::Open && record.acknowledged != 0 && is_old
            })
            .map(|(flow, record)| SavedFlow {
                flow: *flow,
                acknowledged: record.acknowledged,
            })
            .take(MAX_PART_FLOWS * MAX_LIST_PARTS)
            .collect();
        flows.sort_unstable_by_key(|saved| saved.flow);
        flows
    }

    fn reset_former_flows(&mut self, list: &SavedFlowList, outbox: &mut FlowOutbox) {
        for saved in &list.flows {
            let is_held = self.flows.get(&saved.flow).is_some_and(|record| {
                !matches!(record.phase, FlowPhase::Probed | FlowPhase::Absent)
            });
            if is_held {
                // The caller has opened the flow anew at the present server.
                continue;
            }
            outbox.enqueue_reset(saved.flow, saved.acknowledged);
            outbox.record_event(FlowEvent::Broken {
                flow: saved.flow,
                reason: BreakReason::ServerReplaced,
            });
        }
    }

    fn expect_former_flows(&mut self, list: &SavedFlowList, now: MonotonicTime) {
        for saved in &list.flows {
            if self.is_relearning && self.flows.get(&saved.flow).is_none() {
                let record = FlowRecord::reported(now);
                self.flows.insert(saved.flow, record);
            }
        }
    }

    fn record_former_flows(
        &self,
        list: &SavedFlowList,
        verdict: FormerFlowsVerdict,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let age = self.unix_millis(now).checked_sub(list.saved_unix_millis);
        outbox.record_event(FlowEvent::FormerFlows {
            flows: list.flows.len(),
            age_millis: age,
            server_id: list.server_id.clone(),
            verdict,
        });
    }

    /// Returns the time of day by the clock at the start of the process.
    pub(super) fn unix_millis(&self, now: MonotonicTime) -> u64 {
        self.identity.started_unix_millis + now.since(self.created_at).as_millis() as u64
    }
}

/// Decides about the flows of a list by the server that sent `heartbeat`: a server that
/// started later has replaced the one that held them.
fn judge_former_server(list: &SavedFlowList, heartbeat: &ServerHeartbeat) -> FormerFlowsVerdict {
    let started = heartbeat.started_unix_millis;
    if started > list.server_started_unix_millis {
        FormerFlowsVerdict::Reset
    } else if started == list.server_started_unix_millis && heartbeat.id == list.server_id {
        FormerFlowsVerdict::Expected
    } else {
        // The heartbeat is from an earlier server, or the clock was set back.
        FormerFlowsVerdict::Undecided
    }
}
