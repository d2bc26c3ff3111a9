//! Positions in the history of the platform's store.
//!
//! The store counts its changes. After a disaster it may come back from a copy: the
//! changes since the copy are gone, and their revisions are given out again to others. It
//! then begins a new era. A revision therefore names a change only together with its era,
//! and so do the identifiers of leases.

use hyssopstair_wire::carried::StoreEra;

/// A position in the history of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StorePosition {
    /// The era; 0 if the store reports none.
    pub era: StoreEra,
    /// The revision, within the era.
    pub revision: u64,
}

/// Whether the history of the store goes on from a known position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryVerdict {
    /// All changes after the known position are in the response, or come after it.
    Continued,
    /// The store has come back from a copy: changes may be missing that were made at
    /// revisions up to the known one.
    Restored,
    /// The response was sent before the store came back from a copy.
    Outdated,
}

impl StorePosition {
    /// Returns whether this position is in a later era than `other`, or at a higher revision
    /// of the same.
    pub fn is_after(self, other: Self) -> bool {
        (self.era, self.revision) > (other.era, other.revision)
    }

    /// Judges a response of the store at `other` that was requested from this position. A
    /// lower revision shows that the store has come back from a copy, even if the store
    /// reports no eras.
    pub fn judge_response(self, other: Self) -> HistoryVerdict {
        if other.era < self.era {
            HistoryVerdict::Outdated
        } else if other.era > self.era || other.revision < self.revision {
            HistoryVerdict::Restored
        } else {
            HistoryVerdict::Continued
        }
    }
}
