//! How many slots may be in use, learnt from completed requests.

use crate::admission::AdmissionRules;

/// Working limit after a start, a shed answer or a long idle time.
const INITIAL_LIMIT: f64 = 1.0;

/// A bound on the slots in use, learnt from completed requests.
#[derive(Debug, Clone, Copy)]
pub struct WorkingLimit(f64);

impl Default for WorkingLimit {
    fn default() -> Self {
        Self(INITIAL_LIMIT)
    }
}

impl WorkingLimit {
    /// Returns the slots that may be in use.
    pub fn whole(self, rules: &AdmissionRules) -> u32 {
        (self.0 as u32).clamp(1, rules.slots.max(1))
    }

    /// Grows by one slot for each limit's worth of completed requests.
    pub fn grow(&mut self, rules: &AdmissionRules) {
        let grown = self.0 + 1.0 / self.0;
        self.0 = grown.min(f64::from(rules.slots.max(1)));
    }
}
