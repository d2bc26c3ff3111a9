//! A budget for retries at a second host.

/// Retries that one successful request adds to the budget.
const RETRIES_PER_SUCCESS: f64 = 0.1;

/// Maximum number of retries in the budget.
const MAX_BALANCE: f64 = 10.0;

/// Limits the retries of one service to a fraction of its successful requests,
/// so that a failing service does not receive additional load from retries.
#[derive(Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_BALANCE,
        }
    }
}

impl RetryBudget {
    /// Adds to the budget for a request that completed at its first host.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_SUCCESS).min(MAX_BALANCE);
    }

    /// Withdraws one retry and returns `true`, or returns `false` if the budget
    /// is exhausted.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
