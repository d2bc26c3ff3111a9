//! Availability zones that operators have emptied: new flows stay away from their hosts.
//!
//! Each set of zones is complete at a position of the platform's store. A set of a later
//! position replaces an earlier one as a whole, wherever a process has it from.

use hyssopstair_wire::carried::EvacuationNotice;
use hyssopstair_wire::carried::MAX_EVACUATED_ZONES;
use hyssopstair_wire::carried::MAX_ZONE_NAME_BYTES;

use crate::event::FlowEvent;
use crate::event::RouteSource;
use crate::outbox::FlowOutbox;
use crate::store_position::StorePosition;

/// The emptied zones at a position of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuatedZones {
    position: StorePosition,
    /// Ascending.
    zones: Vec<String>,
}

impl EvacuatedZones {
    /// Creates a set of which no zone is known to be emptied.
    pub fn new(position: StorePosition) -> Self {
        Self {
            position,
            zones: Vec::new(),
        }
    }

    /// Returns the position at which the set is complete.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Returns the names of the zones, ascending.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// Returns whether `zone` is emptied.
    pub fn contains(&self, zone: &str) -> bool {
        self.find(zone).is_ok()
    }

    /// Adds a zone, and returns whether the set has it then. Names that no zone can have, and
    /// zones beyond [`MAX_EVACUATED_ZONES`], are left out.
    pub fn add(&mut self, zone: &str) -> bool {
        let is_valid = !zone.is_empty() && zone.len() <= MAX_ZONE_NAME_BYTES;
        match self.find(zone) {
            Ok(_) => true,
            Err(index) if is_valid && self.zones.len() < MAX_EVACUATED_ZONES => {
                self.zones.insert(index, zone.to_owned());
                true
            }
            Err(_) => false,
        }
    }

    /// Removes a zone that has been taken back.
    pub fn remove(&mut self, zone: &str) {
        if let Ok(index) = self.find(zone) {
            self.zones.remove(index);
        }
    }

    /// Records that the set is complete at a later position.
    pub fn advance(&mut self, position: StorePosition) {
        self.position = position;
    }

    fn find(&self, zone: &str) -> Result<usize, usize> {
        self.zones
            .binary_search_by(|known| known.as_str().cmp(zone))
    }
}

impl From<&EvacuatedZones> for EvacuationNotice {
    fn from(evacuated: &EvacuatedZones) -> Self {
        Self {
            era: evacuated.position.era,
            revision: evacuated.position.revision,
            zones: evacuated.zones.clone(),
        }
    }
}

impl From<&EvacuationNotice> for EvacuatedZones {
    fn from(notice: &EvacuationNotice) -> Self {
        let mut evacuated = Self::new(StorePosition {
            era: notice.era,
            revision: notice.revision,
        });
        for zone in &notice.zones {
            evacuated.add(zone);
        }
        evacuated
    }
}

/// The newest set of emptied zones that a process knows.
#[derive(Debug, Default)]
pub struct EvacuationReplica {
    newest: Option<EvacuatedZones>,
}

impl EvacuationReplica {
    /// Returns whether `zone` is known to be emptied.
    pub fn contains(&self, zone: &str) -> bool {
        self.newest
            .as_ref()
            .is_some_and(|evacuated| evacuated.contains(zone))
    }

    /// Returns the names of the emptied zones, ascending.
    pub fn zones(&self) -> &[String] {
        self.newest
            .as_ref()
            .map_or(&[], |evacuated| evacuated.zones())
    }

    /// Returns the set for a hello, or `None` if none is known.
    pub fn notice(&self) -> Option<EvacuationNotice> {
        self.newest.as_ref().map(EvacuationNotice::from)
    }

    /// Installs a set if its position is later than that of the known one, and returns
    /// whether other zones are emptied now.
    pub fn install(
        &mut self,
        evacuated: EvacuatedZones,
        source: RouteSource,
        outbox: &mut FlowOutbox,
    ) -> bool {
        let is_newer = self
            .newest
            .as_ref()
            .is_none_or(|newest| evacuated.position.is_after(newest.position));
        if !is_newer {
            return false;
        }
        let has_changed = evacuated.zones() != self.zones();
        if has_changed {
            outbox.record_event(FlowEvent::ZonesEvacuated {
                zones: evacuated.zones.clone(),
                former_zones: self.zones().to_vec(),
                position: evacuated.position,
                source,
            });
        }
        self.newest = Some(evacuated);
        has_changed
    }

    /// Installs the set that a peer's hello names, if it does. See [`Self::install`].
    pub fn receive_notice(
        &mut self,
        notice: Option<&EvacuationNotice>,
        outbox: &mut FlowOutbox,
    ) -> bool {
        notice.is_some_and(|notice| self.install(notice.into(), RouteSource::Peer, outbox))
    }
}
