//! Whether a process may act on what it knows.
//!
//! A process that starts does not know whether an earlier one at its address
//! had a higher incarnation, and one that was paused does not know whether it
//! was declared gone. Both ask before they act.

use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

use crate::watch::SUSPICION_TIME;

/// A gap between two ticks that others may have taken for a failure.
pub const PAUSE_LIMIT: Duration = SUSPICION_TIME;

/// How long a process that starts waits for a first contact.
pub const CONTACT_WAIT: Duration = Duration::from_secs(2);

/// How long a process that starts waits for an answer of its contacts.
pub const ANSWER_WAIT: Duration = Duration::from_secs(5);

/// How a process stands with the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PresencePhase {
    /// It has just started.
    Starting { since: MonotonicTime },
    /// It was paused; pings from this number on count.
    Waking { number: u32 },
    /// Another member has answered, or there is none.
    Confirmed,
}

/// Whether a process may act, as far as its own clock and the answers of others
/// tell.
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
    /// Returns whether the process may act. The time since the last tick
    /// counts, so that it may not between a pause and the tick that follows.
    pub fn is_confirmed(&self, now: MonotonicTime) -> bool {
        let ticking = self
            .last_tick
            .is_some_and(|last| now.since(last) < PAUSE_LIMIT);
        ticking && self.phase == PresencePhase::Confirmed
    }

    /// Returns whether no member has answered since the start.
    pub fn is_starting(&self) -> bool {
        matches!(self.phase, PresencePhase::Starting { .. })
    }

    /// Returns whether the process was paused and no member has answered since.
    pub fn is_waking(&self) -> bool {
        matches!(self.phase, PresencePhase::Waking { .. })
    }

    /// Notes a tick and returns the time since the one before.
    pub fn tick(&mut self, now: MonotonicTime) -> Duration {
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

    /// Notes that the process was paused; pings from `number` on are sent after
    /// it.
    pub fn wake(&mut self, number: u32) {
        if !self.is_starting() {
            self.phase = PresencePhase::Waking { number };
        }
    }

    /// Ends the wait of a process that found nobody.
    pub fn wait(&mut self, has_contact: bool, now: MonotonicTime) {
        let PresencePhase::Starting { since } = self.phase else {
            return;
        };
        let limit = if has_contact {
            ANSWER_WAIT
        } else {
            CONTACT_WAIT
        };
        if now.since(since) >= limit {
            self.phase = PresencePhase::Confirmed;
        }
    }

    /// Notes that a member answered ping `number`.
    pub fn answer(&mut self, number: u32) {
        if let PresencePhase::Waking { number: first } = self.phase
            && number >= first
        {
            self.phase = PresencePhase::Confirmed;
        }
    }

    /// Notes that a member gave a page of its roster.
    pub fn welcome(&mut self) {
        if self.is_starting() {
            self.phase = PresencePhase::Confirmed;
        }
    }

    /// Notes that there is nobody to ask.
    pub fn stay_alone(&mut self) {
        if self.is_waking() {
            self.phase = PresencePhase::Confirmed;
        }
    }
}
