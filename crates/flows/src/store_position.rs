//! Positions in the history of the platform's store.
//!
//! The store counts its changes. After a disaster it may come back from a copy: the
//! changes since the copy are gone, and their revisions are given out again to others. It
//! then begins a new era. A revision therefore names a change only together with its era,
//! and so do the identifiers of leases.

/// Number of times that the store has come back from a copy; 0 if it does not report one.
pub type StoreEra = u64;

/// A position in the history of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StorePosition {
    /// The era.
    pub era: StoreEra,
    /// The revision, within the era.
    pub revision: u64,
}
