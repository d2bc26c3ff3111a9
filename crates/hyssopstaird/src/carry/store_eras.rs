//! The newest era of the store that a process knows.

use std::sync::Arc;

use hyssopstair_wire::carried::StoreEra;
use tokio::sync::watch;

/// The newest era of the store that any task of the process has seen in a response.
#[derive(Debug, Clone)]
pub struct StoreEras {
    era_sender: Arc<watch::Sender<StoreEra>>,
}

impl StoreEras {
    /// Returns the newest known era; 0 if none is known.
    pub fn newest(&self) -> StoreEra {
        *self.era_sender.borrow()
    }

    /// Waits until an era after `era` is known.
    pub async fn wait_for_newer(&self, era: StoreEra) {
        let mut receiver = self.era_sender.subscribe();
        // Waiting fails only when the sender is dropped, and `self` holds it.
        let _ = receiver.wait_for(|newest| *newest > era).await;
    }

    /// Records an era, unless a newer one is known.
    pub fn record(&self, era: StoreEra) {
        self.era_sender.send_if_modified(|newest| {
            let is_newer = era > *newest;
            *newest = era.max(*newest);
            is_newer
        });
    }
}

impl Default for StoreEras {
    fn default() -> Self {
        Self {
            era_sender: Arc::new(watch::Sender::new(0)),
        }
    }
}
