//! The limit on the bytes that a process may send.

use hyssopstair_wire::time::MonotonicTime;

/// Bytes that a process may send per second, IP and UDP headers included.
pub const BYTES_PER_SECOND: u64 = 2_400;

/// Bytes that may be sent at once after an idle period. Together with the rate,
/// this limits a process to 3,000 bytes per second over any 15 seconds.
pub const BURST_BYTES: u64 = 9_000;

/// Bytes of the IPv4 and UDP headers of a datagram.
pub const DATAGRAM_OVERHEAD_BYTES: u64 = 28;

/// Bytes that repairs must leave in the budget for changes.
const REPAIR_RESERVE_BYTES: u64 = BURST_BYTES / 4;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// The purpose of a message, which decides whether the budget limits it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendClass {
    /// Failure detection, and messages with which this process joins or announces
    /// itself: always sent. The number of watchers bounds failure detection, and
    /// the size of the fleet bounds joining.
    Probe,
    /// Changes of members: sent while the budget lasts.
    Change,
    /// Repairs, and pages for joining processes: sent while the budget exceeds the
    /// reserve for changes.
    Repair,
}

/// A token bucket that limits the bytes sent.
#[derive(Debug)]
pub struct SendBudget {
    /// The tokens in the bucket, each of which permits a millionth of a byte.
    tokens: u64,
    last_refill: MonotonicTime,
}

impl Default for SendBudget {
    fn default() -> Self {
        Self {
            tokens: BURST_BYTES * MICROS_PER_SECOND,
            last_refill: MonotonicTime::default(),
        }
    }
}

impl SendBudget {
    /// Charges a datagram with a payload of `length` bytes to the budget if it may
    /// be sent, and returns whether it may.
    pub fn try_charge(&mut self, class: SendClass, length: usize, now: MonotonicTime) -> bool {
        self.refill(now);
        let bytes = length as u64 + DATAGRAM_OVERHEAD_BYTES;
        let needed = match class {
            SendClass::Probe => 0,
            SendClass::Change => bytes,
            SendClass::Repair => bytes + REPAIR_RESERVE_BYTES,
        };
        if self.tokens < needed * MICROS_PER_SECOND {
            return false;
        }
        self.tokens = self.tokens.saturating_sub(bytes * MICROS_PER_SECOND);
        true
    }

    /// Returns whether a message of the greatest length may be sent.
    pub fn can_send_longest(&mut self, class: SendClass, now: MonotonicTime) -> bool {
        self.refill(now);
        let reserve = match class {
            SendClass::Probe => return true,
            SendClass::Change => 0,
            SendClass::Repair => REPAIR_RESERVE_BYTES,
        };
        let longest = hyssopstair_wire::control::MAX_CONTROL_LENGTH as u64;
        self.tokens >= (longest + DATAGRAM_OVERHEAD_BYTES + reserve) * MICROS_PER_SECOND
    }

    fn refill(&mut self, now: MonotonicTime) {
        let micros = now.since(self.last_refill).as_micros() as u64;
        let added = micros.saturating_mul(BYTES_PER_SECOND);
        let limit = BURST_BYTES * MICROS_PER_SECOND;
        self.tokens = self.tokens.saturating_add(added).min(limit);
        self.last_refill = now;
    }
}
