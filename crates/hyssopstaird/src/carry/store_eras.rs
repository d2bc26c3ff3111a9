//! The newest era of the store that a process has seen.

use std::sync::Arc;

use hyssopstair_wire::carried::StoreEra;
use tokio::sync::watch;

/// The newest era of the store that any task of the process has seen in a response.
#[derive(Debug, Clone)]
pub struct StoreEras {
    era_sender: Arc<watch::Sender<Option<StoreEra>>>,
}

impl StoreEras {
    /// Returns the newest era that the store has reported, if any.
    pub fn reported(&self) -> Option<StoreEra> {
        *self.era_sender.borrow()
    }

    /// Returns the newest era; 0 if the store has reported none.
    pub fn newest(&self) -> StoreEra {
        self.reported().unwrap_or(0)
    }

    /// Waits until an era after `era` is known.
    pub async fn wait_for_newer(&self, era: StoreEra) {
        let mut receiver = self.era_sender.subscribe();
        // Waiting fails only when the sender is dropped, and `self` holds it.
        let _ = receiver.wait_for(|newest| *newest > Some(era)).await;
    }

    /// Records an era that the store has reported, unless a newer one is known.
    pub fn record(&self, era: StoreEra) {
        self.era_sender.send_if_modified(|newest| {
            let is_newer = Some(era) > *newest;
            *newest = (*newest).max(Some(era));
            is_newer
        });
    }
}

impl Default for StoreEras {
    fn default() -> Self {
        Self {
            era_sender: Arc::new(watch::Sender::new(None)),
        }
    }
}
