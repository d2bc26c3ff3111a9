//! Monitors the backend server beside a host.
//!
//! The state of the server is derived from its heartbeats, its packets and the results of
//! checks: a connection attempt while the state is unknown, and when the server stops answering
//! or has deregistered. Only a refused connection or a heartbeat of a new incarnation shows that
//! the server has ended; silence alone does not. Only heartbeats show which service it runs.

use std::time::Duration;

use hyssopstair_wire::carried::ServerState;
use hyssopstair_wire::time::MonotonicTime;

use crate::event::FlowEvent;
use crate::event::ServerStateSource;
use crate::heartbeat::HeartbeatOrder;
use crate::heartbeat::HeartbeatTracker;
use crate::heartbeat::HeartbeatVerdict;
use crate::heartbeat::IgnoreReason;
use crate::heartbeat::ServerHeartbeat;
use crate::heartbeat::is_same_incarnation;
use crate::host::FlowHost;
use crate::outbox::FlowOutbox;
use crate::service_proof::ServiceEvidence;
use crate::service_proof::ServiceProof;

/// Time without a packet from the server, since one was delivered to it, after which the
/// host attempts to connect. Requests take up to 180 ms, but a busy server answers others
/// in the meantime.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(120);

/// Minimum interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after its start for which a server counts as new. After an outage all servers
/// start within a second of each other.
const NEW_SERVER_MAX_AGE: Duration = Duration::from_secs(3);

/// Time between the start times of a host and its server up to which the server counts as
/// started together with the host. After a loss of power a server is up some 50 ms before the
/// host.
const COMMON_START_MILLIS: u64 = 200;

/// Age of a server up to which its first heartbeat shows that it has just started. A server
/// sends a heartbeat about every 1,200 ms once they are confirmed.
const MAX_START_AGE_MILLIS: u64 = 1_000;

/// The result of a connection attempt that checks whether the server still runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckResult {
    /// The server accepted the connection.
    Connected,
    /// The connection was refused: nothing listens on the address.
    Refused,
    /// The check timed out or failed for another reason.
    NoResponse,
}

/// The state of one server and the evidence for it.
#[derive(Debug)]
pub(super) struct ServerMonitor {
    state: ServerState,
    heartbeats: HeartbeatTracker,
    service_proof: ServiceProof,
    last_response_at: MonotonicTime,
    /// Time of the first delivery since the last packet from the server.
    unanswered_since: Option<MonotonicTime>,
    last_check_at: Option<MonotonicTime>,
    /// Whether the server has deregistered because it is about to end.
    is_ending: bool,
    /// When the first heartbeat of the server arrived; `None` if the host has not observed
    /// the start of the server.
    started_at: Option<MonotonicTime>,
}

impl ServerMonitor {
    pub(super) fn new(address_reuse_time: Duration, now: MonotonicTime) -> Self {
        Self {
            state: ServerState::Unknown,
            heartbeats: HeartbeatTracker::default(),
            service_proof: ServiceProof::new(address_reuse_time),
            last_response_at: now,
            unanswered_since: None,
            last_check_at: None,
            is_ending: false,
            started_at: None,
        }
    }

    pub(super) fn state(&self) -> ServerState {
        self.state
    }

    /// Returns the number of requests that the server processes concurrently, 1 or more;
    /// `None` before the first heartbeat.
    pub(super) fn slots(&self) -> Option<u16> {
        self.heartbeats
            .newest()
            .map(|heartbeat| heartbeat.slots.max(1))
    }

    /// Returns the newest heartbeat, or `None` before the first.
    pub(super) fn newest_heartbeat(&self) -> Option<&ServerHeartbeat> {
        self.heartbeats.newest()
    }

    /// Returns the time at which the newest heartbeat arrived, or the start of the clock
    /// before the first.
    pub(super) fn last_heartbeat_at(&self) -> MonotonicTime {
        self.heartbeats.newest_received_at()
    }

    /// Records that the server has sent a packet or accepted a connection.
    pub(super) fn record_response(&mut self, now: MonotonicTime) {
        self.last_response_at = now;
        self.unanswered_since = None;
        self.service_proof.record_response(now);
    }

    /// Records that a packet was delivered to the server.
    pub(super) fn record_delivery(&mut self, now: MonotonicTime) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Returns whether the server started a short while ago.
    pub(super) fn is_new(&self, now: MonotonicTime) -> bool {
        self.started_at
            .is_some_and(|started_at| now.since(started_at) < NEW_SERVER_MAX_AGE)
    }

    fn is_unresponsive(&self, now: MonotonicTime) -> bool {
        self.unanswered_since
            .is_some_and(|unanswered_since| now.since(unanswered_since) >= RESPONSE_TIMEOUT)
    }
}

impl FlowHost {
    /// Handles a heartbeat of the server, and returns whether it was accepted. The first
    /// heartbeat of a new incarnation resets the flows of the previous one. A heartbeat that
    /// cannot be from the server beside the host changes nothing.
    pub fn receive_heartbeat(
        &mut self,
        heartbeat: &ServerHeartbeat,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) -> HeartbeatVerdict {
        if let Some(reason) = self.check_heartbeat(heartbeat) {
            return ignore_heartbeat(heartbeat, reason, outbox);
        }
        let proof = &mut self.server.service_proof;
        let (known, assigned) = (&self.identity.service, &self.assigned_service);
        let Some(evidence) = proof.judge_heartbeat(heartbeat, known, assigned, now) else {
            proof.record_unconfirmed(heartbeat, assigned, now);
            return ignore_heartbeat(heartbeat, IgnoreReason::UnconfirmedService, outbox);
        };
        let is_first = self.server.newest_heartbeat().is_none();
        let former_heartbeat = self.server.newest_heartbeat();
        let former_id = former_heartbeat.map_or(String::new(), |former| former.id.clone());
        let order = self.server.heartbeats.record(heartbeat, now);
        let was_relearning = self.is_relearning;
        match order {
            HeartbeatOrder::Stale => {
                return ignore_heartbeat(heartbeat, IgnoreReason::Stale, outbox);
            }
            HeartbeatOrder::NewIncarnation { former_running_at } => {
                outbox.record_event(FlowEvent::ServerReplaced {
                    former_id,
                    server_id: heartbeat.id.clone(),
                    started_unix_millis: heartbeat.started_unix_millis,
                });
                // Flows that were opened later may be those of the successor, whose start time
                // does not tell: the time of day may have jumped.
                self.reset_flows_before(Some(former_running_at), outbox);
                self.is_relearning = false;
                self.server.started_at = Some(now);
                self.load.restart_pace(heartbeat.slots.max(1));
            }
            HeartbeatOrder::OtherIncarnation => {
                outbox.record_event(FlowEvent::ServerUncertain {
                    former_id,
                    server_id: heartbeat.id.clone(),
                    started_unix_millis: heartbeat.started_unix_millis,
                });
            }
            HeartbeatOrder::InSequence if is_first && self.server.state == ServerState::Down => {
                // Nothing listened at its address, so the server has started since.
                self.server.started_at = Some(now);
                self.load.restart_pace(heartbeat.slots.max(1));
            }
            HeartbeatOrder::InSequence if is_first && self.seems_just_started(heartbeat, now) => {
                self.load.restart_pace(heartbeat.slots.max(1));
            }
            HeartbeatOrder::InSequence => {}
        }
        if was_relearning && !self.is_relearning {
            // Balancers stop probing the server.
            self.schedule_hellos();
        }
        self.record_service_evidence(evidence, &heartbeat.service, now, outbox);
        let cold_remaining = Duration::from_millis(u64::from(heartbeat.cold_remaining_millis));
        self.cold.record_heartbeat(cold_remaining, now);
        self.server.is_ending = false;
        if heartbeat.service != self.identity.service {
            self.set_service(&heartbeat.service, now, outbox);
        }
        let state = if heartbeat.is_draining {
            ServerState::Draining
        } else {
            ServerState::Ready
        };
        self.set_server_state(state, ServerStateSource::Heartbeat, outbox);
        self.resolve_former_flows(now, outbox);
        HeartbeatVerdict::Accepted
    }

    /// Returns why a heartbeat cannot be from the server beside the host, if that is so. This
    /// includes the first heartbeat, with which no other one can be compared. A service that
    /// only a heartbeat names is no evidence that the server was replaced.
    fn check_heartbeat(&self, heartbeat: &ServerHeartbeat) -> Option<IgnoreReason> {
        if !self.identity.is_server_address(heartbeat.address) {
            return Some(IgnoreReason::OtherAddress);
        }
        let is_known = heartbeat.service == self.identity.service
            || heartbeat.service == self.assigned_service
            || self.routes.table().has_service(&heartbeat.service);
        if !is_known {
            return Some(IgnoreReason::UnknownService);
        }
        let newest = self.server.newest_heartbeat()?;
        let is_changed =
            is_same_incarnation(newest, heartbeat) && newest.service != heartbeat.service;
        is_changed.then_some(IgnoreReason::ChangedService)
    }

    /// Returns whether the server that sent `heartbeat` started together with the host, by the
    /// time of day. Only for the pace of requests: the time of day may have jumped between the
    /// two starts, so it does not show which flows the server holds.
    fn seems_just_started(&self, heartbeat: &ServerHeartbeat, now: MonotonicTime) -> bool {
        let host_started = self.identity.started_unix_millis;
        let server_started = heartbeat.started_unix_millis;
        let server_age = self.unix_millis(now).checked_sub(server_started);
        host_started.saturating_sub(server_started) <= COMMON_START_MILLIS
            && server_age.is_some_and(|age| age < MAX_START_AGE_MILLIS)
    }

    /// Handles a deregistration: the server with this `id` is about to end. Ignores it if
    /// the newest heartbeat came from a server with another ID.
    pub fn receive_deregistration(&mut self, id: &str, outbox: &mut FlowOutbox) {
        let is_current = self
            .server
            .heartbeats
            .newest()
            .is_none_or(|heartbeat| heartbeat.id == id);
        if is_current {
            self.server.is_ending = true;
            self.set_server_state(ServerState::Draining, ServerStateSource::Heartbeat, outbox);
        }
    }

    fn record_service_evidence(
        &mut self,
        evidence: ServiceEvidence,
        service: &str,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let proof = &mut self.server.service_proof;
        if proof.evidence(now) != Some(evidence) {
            outbox.record_event(FlowEvent::ServiceShown {
                service: service.to_owned(),
                evidence,
            });
        }
        proof.record_evidence(evidence, now);
    }

    /// Returns the service of the server, or `None` if nothing shows at the moment which one it
    /// runs.
    pub(super) fn proven_service(&self, now: MonotonicTime) -> Option<&str> {
        self.server.service_proof.evidence(now)?;
        Some(&self.identity.service)
    }

    /// Returns whether a check of the server is due, and records that it is made at `now`.
    pub fn take_due_check(&mut self, now: MonotonicTime) -> bool {
        let is_recent = self
            .server
            .last_check_at
            .is_some_and(|last_check_at| now.since(last_check_at) < CHECK_INTERVAL);
        let is_doubtful = match self.server.state {
            ServerState::Unknown => true,
            ServerState::Ready | ServerState::Draining => {
                self.server.is_ending || self.server.is_unresponsive(now)
            }
            ServerState::Down => false,
        };
        let is_due = is_doubtful && !is_recent;
        if is_due {
            self.server.last_check_at = Some(now);
        }
        is_due
    }

    /// Handles the result of a check.
    pub fn receive_check_result(
        &mut self,
        result: CheckResult,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let before = self.server.state;
        match result {
            CheckResult::Refused => {
                self.set_server_state(ServerState::Down, ServerStateSource::Connect, outbox);
                if before != ServerState::Down {
                    self.reset_all_flows(outbox);
                }
                self.server.service_proof.record_end();
                self.abandon_former_flows(now, outbox);
                self.is_relearning = false;
                self.server.unanswered_since = None;
            }
            CheckResult::Connected => {
                self.server.record_response(now);
                if before == ServerState::Unknown {
                    // It may hold flows, and gets new ones once a heartbeat names its service.
                    self.set_server_state(
                        ServerState::Draining,
                        ServerStateSource::Connect,
                        outbox,
                    );
                }
            }
            CheckResult::NoResponse => {}
        }
    }

    fn set_server_state(
        &mut self,
        state: ServerState,
        source: ServerStateSource,
        outbox: &mut FlowOutbox,
    ) {
        let before = self.server.state;
        if before == state {
            return;
        }
        self.server.state = state;
        outbox.record_event(FlowEvent::Server {
            before,
            state,
            source,
        });
        self.schedule_hellos();
    }
}

fn ignore_heartbeat(
    heartbeat: &ServerHeartbeat,
    reason: IgnoreReason,
    outbox: &mut FlowOutbox,
) -> HeartbeatVerdict {
    outbox.record_event(FlowEvent::HeartbeatIgnored {
        server_id: heartbeat.id.clone(),
        reason,
    });
    HeartbeatVerdict::Ignored(reason)
}
