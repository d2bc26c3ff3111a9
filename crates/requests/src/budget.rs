//! How many requests may be tried at a second host.

/// Tries that one success pays for.
const TRIES_PER_SUCCESS: f64 = 0.1;

/// Most tries that are saved up.
const MAX_SAVED: f64 = 10.0;

/// A bound on second tries of one service, as a share of its successes, so
/// that a service that fails is not asked more often for it.
#[derive(Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// Counts a request that completed at its first host.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + TRIES_PER_SUCCESS).min(MAX_SAVED);
    }

    /// Takes one second try, if one is saved.
    pub fn try_withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
