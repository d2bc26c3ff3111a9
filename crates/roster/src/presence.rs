//! Whether this process may take new work.
//!
//! A process that starts does not know whether an earlier one at its address had a
//! higher incarnation, and one that was paused does not know whether it was
//! declared gone meanwhile. Both must hear from another member before they take
//! new work.

use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

use crate::watch::SUSPICION_TIMEOUT;

/// Shortest gap between two ticks that counts as a pause, because other members
/// may have taken it for a failure.
pub const PAUSE_LIMIT: Duration = SUSPICION_TIMEOUT;

/// How long a starting process waits for a first contact before it assumes that
/// it is alone.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a starting process waits for an answer of its contacts before it
/// assumes that it is alone.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether other members have confirmed this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PresencePhase {
    /// No member has answered since the process started.
    Starting { since: MonotonicTime },
    /// The process was paused or raised its incarnation. An answer to the ping
    /// with this number, or to a later one, confirms it.
    Reconfirming { first_ping: u32 },
    /// Another member has answered, or none is reachable.
    Confirmed,
}

/// Whether this process may take new work, according to the answers of other
/// members and to its own clock.
#[derive(Debug)]
pub struct PresenceState {
    phase: PresencePhase,
    last_tick: Option<MonotonicTime>,
}

impl Default for PresenceState {
    fn default() -> Self {
        Self {
            phase: PresencePhase::Starting {
                since: MonotonicTime::default(),
            },
            last_tick: None,
        }
    }
}

impl PresenceState {
    /// Returns whether the process may take new work. This is false if the last
    /// tick is too long ago, which covers the time between the end of a pause and
    /// the next tick.
    pub fn is_confirmed(&self, now: MonotonicTime) -> bool {
        let is_ticking = self
            .last_tick
            .is_some_and(|last| now.since(last) < PAUSE_LIMIT);
        is_ticking && self.phase == PresencePhase::Confirmed
    }

    /// Returns whether the process started and is not yet confirmed.
    pub fn is_starting(&self) -> bool {
        matches!(self.phase, PresencePhase::Starting { .. })
    }

    /// Returns whether the process must be confirmed again, after a pause or a
    /// raise of its incarnation.
    pub fn is_reconfirming(&self) -> bool {
        matches!(self.phase, PresencePhase::Reconfirming { .. })
    }

    /// Records a tick and returns the time since the previous one, or zero for the
    /// first.
    pub fn record_tick(&mut self, now: MonotonicTime) -> Duration {
        let gap = match self.last_tick {
            Some(last) => now.since(last),
            None => {
                self.phase = PresencePhase::Starting { since: now };
                Duration::ZERO
            }
        };
        self.last_tick = Some(now);
        gap
    }

    /// Records that the process must be confirmed again. `first_ping` is the number
    /// of the next ping: answers to earlier ones do not count. A starting process
    /// is not yet confirmed and stays in its phase.
    pub fn require_reconfirmation(&mut self, first_ping: u32) {
        if !self.is_starting() {
            self.phase = PresencePhase::Reconfirming { first_ping };
        }
    }

    /// Confirms a starting process that got no answer in time.
    pub fn check_start_timeout(&mut self, has_contact: bool, now: MonotonicTime) {
        let PresencePhase::Starting { since } = self.phase else {
            return;
        };
        let timeout = if has_contact {
            ANSWER_TIMEOUT
        } else {
            CONTACT_TIMEOUT
        };
        if now.since(since) >= timeout {
            self.phase = PresencePhase::Confirmed;
        }
    }

    /// Records that a member answered the ping with this number.
    pub fn record_pong(&mut self, ping_number: u32) {
        if let PresencePhase::Reconfirming { first_ping } = self.phase
            && ping_number >= first_ping
        {
            self.phase = PresencePhase::Confirmed;
        }
    }

    /// Records that a member sent a page of its roster.
    pub fn record_page(&mut self) {
        if self.is_starting() {
            self.phase = PresencePhase::Confirmed;
        }
    }

    /// Records that no other member is known that could confirm the process.
    pub fn record_no_peers(&mut self) {
        if self.is_reconfirming() {
            self.phase = PresencePhase::Confirmed;
        }
    }
}
