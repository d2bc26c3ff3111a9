//! An adaptive limit on the number of requests that run concurrently.

use crate::admission::AdmissionRules;

/// Limit in slots at the start and after each reset, such as after a shed, failed or
/// timed-out request or a long idle period.
const INITIAL_LIMIT: f64 = 1.0;

/// A limit on the slots in use that grows with completed requests.
///
/// It is kept as a fraction so that one completed request can raise it by less
/// than one slot.
#[derive(Debug, Clone, Copy)]
pub struct ConcurrencyLimit(f64);

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self(INITIAL_LIMIT)
    }
}

impl ConcurrencyLimit {
    /// Returns the number of slots that may be in use: at least one and at most
    /// the slots of the rules.
    pub fn slot_count(self, rules: &AdmissionRules) -> u32 {
        (self.0 as u32).clamp(1, rules.slots.max(1))
    }

    /// Raises the limit after a completed request. The limit grows by one slot
    /// after as many completed requests as it has slots.
    pub fn increase(&mut self, rules: &AdmissionRules) {
        let increased = self.0 + 1.0 / self.0;
        self.0 = increased.min(f64::from(rules.slots.max(1)));
    }
}
