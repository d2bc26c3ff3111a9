//! The era of the platform's store that a process knows.

use hyssopstair_wire::carried::StoreEra;

use crate::event::FlowEvent;
use crate::outbox::FlowOutbox;

/// The newest era of the store that a process knows, if any.
#[derive(Debug, Default)]
pub struct KnownEra(Option<StoreEra>);

impl KnownEra {
    /// Returns the era.
    pub fn get(&self) -> Option<StoreEra> {
        self.0
    }

    /// Records an era, unless a newer one is known, and returns whether the store has come
    /// back from a copy since the known one.
    pub fn record(&mut self, era: Option<StoreEra>, outbox: &mut FlowOutbox) -> bool {
        let Some(era) = era.filter(|era| Some(*era) > self.0) else {
            return false;
        };
        let Some(former_era) = self.0.replace(era) else {
            return false;
        };
        outbox.record_event(FlowEvent::StoreRestored { era, former_era });
        true
    }
}
