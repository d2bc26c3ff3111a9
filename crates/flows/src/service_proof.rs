//! What shows which service the server beside a host runs.
//!
//! Settings may name the next service before the server is replaced, and any server accepts
//! connections, so neither makes a server one of a service. A heartbeat alone may have been held
//! up since an earlier server at the address. Each kind of evidence therefore takes two things
//! that agree. It holds for as long as the address cannot have been given to another service:
//! until the server has given no sign of life for the time for which an address stays unused.

use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

use crate::heartbeat::MIN_HEARTBEAT_DISTANCE;
use crate::heartbeat::ServerHeartbeat;
use crate::heartbeat::is_same_incarnation;

/// What shows which service a server runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceEvidence {
    /// A heartbeat names the service that the settings name. An instance gets its settings for
    /// the server that runs there, and only a server of the instance reaches the host.
    SettingsAgree,
    /// Two heartbeats of one incarnation name it, the second so much later than the first that
    /// they were not held up together. So their sender was running in between.
    SenderRuns,
}

/// What a host knows about the service of its server.
#[derive(Debug)]
pub struct ServiceProof {
    evidence: Option<ServiceEvidence>,
    /// When the server gave its last sign of life.
    seen_at: MonotonicTime,
    /// A heartbeat that names another service and that nothing else confirms yet, with the time
    /// at which the first of its incarnation arrived.
    unconfirmed: Option<(ServerHeartbeat, MonotonicTime)>,
    /// Whether a heartbeat has named another service than the settings since there was evidence.
    are_settings_contradicted: bool,
    /// Time for which the address of an instance that has ended stays unused.
    reuse_time: Duration,
}

impl ServiceProof {
    /// Creates the proof of a host that knows nothing of its server. `reuse_time` is the time for
    /// which the address of an instance that has ended stays unused.
    pub fn new(reuse_time: Duration) -> Self {
        Self {
            evidence: None,
            seen_at: MonotonicTime::default(),
            unconfirmed: None,
            are_settings_contradicted: false,
            reuse_time,
        }
    }

    /// Returns the evidence that the server still runs the service that was shown last; `None` if
    /// there is none, or if a heartbeat of another server contradicts it.
    pub fn evidence(&self, now: MonotonicTime) -> Option<ServiceEvidence> {
        self.unexpired_evidence(now)
            .filter(|_| self.unconfirmed.is_none())
    }

    /// Returns the evidence unless the address of the server may have been reused since.
    fn unexpired_evidence(&self, now: MonotonicTime) -> Option<ServiceEvidence> {
        let is_current = now.since(self.seen_at) < self.reuse_time;
        self.evidence.filter(|_| is_current)
    }

    /// Returns how a heartbeat shows which service the server runs, if it does. `known_service` is
    /// the service that was shown last, and `assigned_service` that of the settings.
    pub fn judge_heartbeat(
        &self,
        heartbeat: &ServerHeartbeat,
        known_service: &str,
        assigned_service: &str,
        now: MonotonicTime,
    ) -> Option<ServiceEvidence> {
        let are_settings_credible = !self.are_settings_contradicted || self.evidence.is_some();
        let known_evidence = self.unexpired_evidence(now);
        if heartbeat.service == assigned_service && are_settings_credible {
            Some(ServiceEvidence::SettingsAgree)
        } else if heartbeat.service == known_service && known_evidence.is_some() {
            known_evidence
        } else if self.is_sender_running(heartbeat, now) {
            Some(ServiceEvidence::SenderRuns)
        } else {
            None
        }
    }

    /// Records that the newest heartbeat of the server shows its service.
    pub fn record_evidence(&mut self, evidence: ServiceEvidence, now: MonotonicTime) {
        self.evidence = Some(evidence);
        self.seen_at = now;
        self.unconfirmed = None;
        self.are_settings_contradicted = false;
    }

    /// Records a heartbeat that does not show which service the server runs. It casts doubt on
    /// what was shown before, until the next one that does.
    pub fn record_unconfirmed(
        &mut self,
        heartbeat: &ServerHeartbeat,
        assigned_service: &str,
        now: MonotonicTime,
    ) {
        self.are_settings_contradicted |= heartbeat.service != assigned_service;
        let is_known = self.unconfirmed.as_ref().is_some_and(|(first, _)| {
            is_same_incarnation(first, heartbeat) && first.service == heartbeat.service
        });
        if !is_known {
            self.unconfirmed = Some((heartbeat.clone(), now));
        }
    }

    /// Records that the server has sent a packet or accepted a connection. It is the same server
    /// as before unless its address may have been reused since the last sign of life.
    pub fn record_response(&mut self, now: MonotonicTime) {
        if self.evidence(now).is_some() {
            self.seen_at = now;
        }
    }

    /// Records that nothing listens at the address of the server.
    pub fn record_end(&mut self) {
        self.evidence = None;
        self.unconfirmed = None;
        self.are_settings_contradicted = false;
    }

    fn is_sender_running(&self, heartbeat: &ServerHeartbeat, now: MonotonicTime) -> bool {
        self.unconfirmed.as_ref().is_some_and(|(first, first_at)| {
            is_same_incarnation(first, heartbeat)
                && first.service == heartbeat.service
                && heartbeat.sequence > first.sequence
                && now.since(*first_at) >= MIN_HEARTBEAT_DISTANCE
        })
    }
}
