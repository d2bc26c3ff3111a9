//! Counts the flows of a host whose handshake is in progress.
//!
//! Handshakes are counted in time slots. Those that never complete are no longer
//! counted once their slot has expired.

use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

/// Age at which a handshake is no longer counted as pending. Most handshakes have
/// ended by then, and a packet that only resembles the start of a handshake stops
/// counting as load.
pub const HANDSHAKE_LIFETIME: Duration = Duration::from_secs(4);

/// Time span covered by a slot.
const SLOT_TIME: Duration = Duration::from_millis(500);

/// Number of slots in [`HANDSHAKE_LIFETIME`].
const SLOT_COUNT: usize = 8;

/// The pending handshakes that started within one period of [`SLOT_TIME`].
#[derive(Debug, Clone, Copy, Default)]
struct PendingSlot {
    period: u64,
    flows: u32,
}

/// The number of pending handshakes, grouped by start time in a ring of slots.
#[derive(Debug, Default)]
pub(crate) struct PendingCount {
    slots: [PendingSlot; SLOT_COUNT],
}

impl PendingCount {
    /// Counts a handshake that starts at `now`.
    pub(crate) fn begin(&mut self, now: MonotonicTime) {
        let period = period_of(now);
        let slot = &mut self.slots[slot_index(period)];
        if slot.period < period {
            *slot = PendingSlot { period, flows: 0 };
        }
        slot.flows += 1;
    }

    /// Removes a handshake that started at `started_at`, unless it has expired.
    pub(crate) fn end(&mut self, started_at: MonotonicTime) {
        let period = period_of(started_at);
        let slot = &mut self.slots[slot_index(period)];
        if slot.period == period {
            slot.flows = slot.flows.saturating_sub(1);
        }
    }

    /// Returns the number of pending handshakes that have not expired.
    pub(crate) fn count(&self, now: MonotonicTime) -> u32 {
        let oldest = period_of(now).saturating_sub(SLOT_COUNT as u64 - 1);
        let recent = self.slots.iter().filter(|slot| slot.period >= oldest);
        recent.map(|slot| slot.flows).sum()
    }
}

fn period_of(time: MonotonicTime) -> u64 {
    time.0 / SLOT_TIME.as_micros() as u64
}

fn slot_index(period: u64) -> usize {
    period as usize % SLOT_COUNT
}
