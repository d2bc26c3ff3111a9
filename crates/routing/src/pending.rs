//! Counts flows whose handshake is under way.

use std::time::Duration;

use hyssopstair_wire::time::MonotonicTime;

/// Age at which a handshake no longer counts: most have ended by then, and a
/// packet that only looks like the start of one is not counted for longer.
pub const HANDSHAKE_LIFETIME: Duration = Duration::from_secs(4);

/// Time that one slot covers.
const SLOT_TIME: Duration = Duration::from_millis(500);

/// Slots in [`HANDSHAKE_LIFETIME`].
const SLOT_COUNT: usize = 8;

/// Handshakes that began in one period.
#[derive(Debug, Clone, Copy, Default)]
struct PendingSlot {
    period: u64,
    flows: u32,
}

/// The number of flows whose handshake is under way, by the time of its start.
#[derive(Debug, Default)]
pub(crate) struct PendingCount {
    slots: [PendingSlot; SLOT_COUNT],
}

impl PendingCount {
    /// Counts a handshake that starts.
    pub(crate) fn enter(&mut self, now: MonotonicTime) {
        let period = period_of(now);
        let slot = &mut self.slots[index_of(period)];
        if slot.period < period {
            *slot = PendingSlot { period, flows: 0 };
        }
        slot.flows += 1;
    }

    /// Counts the end of a handshake that started at `entered`.
    pub(crate) fn leave(&mut self, entered: MonotonicTime) {
        let period = period_of(entered);
        let slot = &mut self.slots[index_of(period)];
        if slot.period == period {
            slot.flows = slot.flows.saturating_sub(1);
        }
    }

    /// Returns the handshakes that are under way and not too old.
    pub(crate) fn count(&self, now: MonotonicTime) -> u32 {
        let oldest = period_of(now).saturating_sub(SLOT_COUNT as u64 - 1);
        let recent = self.slots.iter().filter(|slot| slot.period >= oldest);
        recent.map(|slot| slot.flows).sum()
    }
}

fn period_of(time: MonotonicTime) -> u64 {
    time.0 / SLOT_TIME.as_micros() as u64
}

fn index_of(period: u64) -> usize {
    period as usize % SLOT_COUNT
}
