//! Which requests a host hands to its backend server.

/// Counts the requests that run on one host.
#[derive(Debug, Default)]
pub struct AdmissionState {
    running: u32,
}

impl AdmissionState {
    /// Takes a slot if fewer than `slots` are taken, and returns whether it
    /// did.
    pub fn try_admit(&mut self, slots: u32) -> bool {
        if self.running >= slots {
            return false;
        }
        self.running += 1;
        true
    }

    /// Gives a slot back.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the number of slots that are taken.
    pub fn running(&self) -> u32 {
        self.running
    }
}
