//! The bytes that a process may send.

use hyssopstair_wire::time::MonotonicTime;

/// Bytes that a process may send per second, IP and UDP headers included.
pub const BYTES_PER_SECOND: u64 = 2_400;

/// Bytes that may be sent at once after a quiet time.
pub const BURST_BYTES: u64 = 24_000;

/// Bytes of the IPv4 and UDP headers of a datagram.
pub const DATAGRAM_OVERHEAD: u64 = 28;

/// Bytes that are kept back from repairs, for changes.
const REPAIR_RESERVE: u64 = BURST_BYTES / 4;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// What a message is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendClass {
    /// Failure detection and the joining of this process: always sent. The
    /// number of watchers bounds the one, the size of the fleet the other.
    Probe,
    /// Changes: sent as far as the budget goes.
    Change,
    /// Repairs and pages for others: sent when there is room.
    Repair,
}

/// A token bucket over bytes sent.
#[derive(Debug)]
pub struct SendBudget {
    /// Bytes that may be sent, times a million.
    tokens: u64,
    filled: MonotonicTime,
}

impl Default for SendBudget {
    fn default() -> Self {
        Self {
            tokens: BURST_BYTES * MICROS_PER_SECOND,
            filled: MonotonicTime::default(),
        }
    }
}

impl SendBudget {
    /// Charges a datagram of `length` bytes, and returns whether it may be
    /// sent.
    pub fn take(&mut self, class: SendClass, length: usize, now: MonotonicTime) -> bool {
        self.fill(now);
        let bytes = length as u64 + DATAGRAM_OVERHEAD;
        let needed = match class {
            SendClass::Probe => 0,
            SendClass::Change => bytes,
            SendClass::Repair => bytes + REPAIR_RESERVE,
        };
        if self.tokens < needed * MICROS_PER_SECOND {
            return false;
        }
        self.tokens = self.tokens.saturating_sub(bytes * MICROS_PER_SECOND);
        true
    }

    /// Returns whether a message of the longest form may be sent.
    pub fn has_room(&mut self, class: SendClass, now: MonotonicTime) -> bool {
        self.fill(now);
        let reserve = match class {
            SendClass::Probe => return true,
            SendClass::Change => 0,
            SendClass::Repair => REPAIR_RESERVE,
        };
        let longest = hyssopstair_wire::control::MAX_CONTROL_LENGTH as u64;
        self.tokens >= (longest + DATAGRAM_OVERHEAD + reserve) * MICROS_PER_SECOND
    }

    fn fill(&mut self, now: MonotonicTime) {
        let micros = now.since(self.filled).as_micros() as u64;
        let added = micros.saturating_mul(BYTES_PER_SECOND);
        let limit = BURST_BYTES * MICROS_PER_SECOND;
        self.tokens = self.tokens.saturating_add(added).min(limit);
        self.filled = now;
    }
}
