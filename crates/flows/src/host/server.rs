//! What a host believes of the server beside it.

use std::time::Duration;

use hyssopstair_wire::carried::ServerState;
use hyssopstair_wire::time::MonotonicTime;

use crate::event::FlowEvent;
use crate::event::ServerStateSource;
use crate::heartbeat::HeartbeatOrder;
use crate::heartbeat::HeartbeatTracker;
use crate::heartbeat::HeartbeatVerdict;
use crate::heartbeat::ServerHeartbeat;
use crate::host::FlowHost;
use crate::outbox::FlowOutbox;

/// Silence of a server that was handed a packet after which the host tries to
/// connect. Requests take up to 180 ms, and while a server is busy it answers
/// others in between.
const SUSPICIOUS_SILENCE: Duration = Duration::from_millis(120);

/// Time between two attempts to connect.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Age up to which a server counts as new: servers that an outage has ended all
/// start within a second.
const NEW_SERVER_AGE: Duration = Duration::from_secs(3);

/// What an attempt to reach the server showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckResult {
    /// It answered that it takes work.
    Healthy,
    /// It answered that it takes none.
    Unhealthy,
    /// It accepted a connection.
    Connected,
    /// Nothing listens there.
    Refused,
    /// There was no answer.
    NoResponse,
}

/// Which attempt the host is to make next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerCheck {
    /// A health check, to learn the state of a server that was running before.
    Health,
    /// A connection, to learn whether the server still runs.
    Connect,
}

/// The evidence about one server.
#[derive(Debug)]
pub(super) struct ServerWatch {
    state: ServerState,
    beats: HeartbeatTracker,
    heard: MonotonicTime,
    delivered: Option<MonotonicTime>,
    checked: Option<MonotonicTime>,
    /// Whether the server has said that it ends now.
    is_ending: bool,
    /// When the server started, if the host was there.
    started: Option<MonotonicTime>,
}

impl ServerWatch {
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            state: ServerState::Unknown,
            beats: HeartbeatTracker::default(),
            heard: now,
            delivered: None,
            checked: None,
            is_ending: false,
            started: None,
        }
    }

    pub(super) fn state(&self) -> ServerState {
        self.state
    }

    pub(super) fn slots(&self) -> Option<u16> {
        self.beats.last().map(|beat| beat.slots.max(1))
    }

    pub(super) fn note_heard(&mut self, now: MonotonicTime) {
        self.heard = now;
        self.delivered = None;
    }

    pub(super) fn note_delivered(&mut self, now: MonotonicTime) {
        self.delivered.get_or_insert(now);
    }

    pub(super) fn is_new(&self, now: MonotonicTime) -> bool {
        self.started
            .is_some_and(|started| now.since(started) < NEW_SERVER_AGE)
    }

    fn is_suspicious(&self, now: MonotonicTime) -> bool {
        self.delivered
            .is_some_and(|delivered| now.since(delivered) >= SUSPICIOUS_SILENCE)
    }
}

impl FlowHost {
    /// Takes a heartbeat of the server.
    pub fn receive_heartbeat(
        &mut self,
        beat: &ServerHeartbeat,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) -> HeartbeatVerdict {
        let is_first = self.server.beats.last().is_none();
        let order = self.server.beats.record(beat, now);
        match order {
            HeartbeatOrder::Late => return HeartbeatVerdict::Outdated,
            HeartbeatOrder::NewIncarnation => {
                self.break_all(outbox);
                self.is_relearning = false;
                self.server.started = Some(now);
            }
            HeartbeatOrder::Next if is_first && beat.sequence <= 1 => {
                // The server has just started, so there is nothing to learn.
                self.is_relearning = false;
                self.deny_asked(outbox);
                self.server.started = Some(now);
            }
            HeartbeatOrder::Next => {}
        }
        self.server.is_ending = false;
        if beat.service != self.identity.service {
            self.set_service(&beat.service, now, outbox);
        }
        let state = if beat.is_draining {
            ServerState::Draining
        } else {
            ServerState::Ready
        };
        self.set_server_state(state, ServerStateSource::Heartbeat, outbox);
        HeartbeatVerdict::Accepted
    }

    /// Notes that the server has said that it ends now.
    pub fn receive_deregistration(&mut self, id: &str, outbox: &mut FlowOutbox) {
        let is_present = self.server.beats.last().is_none_or(|beat| beat.id == id);
        if is_present {
            self.server.is_ending = true;
            self.set_server_state(ServerState::Draining, ServerStateSource::Heartbeat, outbox);
        }
    }

    /// Returns the attempt to reach the server that is due, if any.
    pub fn take_due_check(&mut self, now: MonotonicTime) -> Option<ServerCheck> {
        let recent = self
            .server
            .checked
            .is_some_and(|checked| now.since(checked) < CHECK_INTERVAL);
        if recent {
            return None;
        }
        let check = match self.server.state {
            ServerState::Unknown if self.health_path().is_some() => ServerCheck::Health,
            ServerState::Ready | ServerState::Draining
                if self.server.is_ending || self.server.is_suspicious(now) =>
            {
                ServerCheck::Connect
            }
            _ => return None,
        };
        self.server.checked = Some(now);
        Some(check)
    }

    /// Takes the result of an attempt to reach the server.
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
                    self.break_all(outbox);
                }
                self.is_relearning = false;
                self.server.delivered = None;
            }
            CheckResult::Healthy if before == ServerState::Unknown => {
                self.set_server_state(ServerState::Ready, ServerStateSource::HealthCheck, outbox);
            }
            CheckResult::Unhealthy if before == ServerState::Unknown => {
                self.set_server_state(
                    ServerState::Draining,
                    ServerStateSource::HealthCheck,
                    outbox,
                );
            }
            CheckResult::Connected => self.server.note_heard(now),
            CheckResult::Healthy | CheckResult::Unhealthy | CheckResult::NoResponse => {}
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
        self.say_hello_soon();
    }
}
