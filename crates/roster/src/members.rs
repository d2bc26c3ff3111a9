//! The entries of a roster.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::time::MonotonicTime;
use rand::RngExt;
use rand::rngs::StdRng;

/// How long an entry is kept after its member is gone, so that an older
/// announcement cannot bring it back.
pub const TOMBSTONE_TIME: Duration = Duration::from_secs(3_600);

/// Draws of a random member before a search gives up.
const MAX_DRAWS: usize = 32;

/// When a member was found gone.
#[derive(Debug, Clone, Copy)]
struct TombstoneRecord {
    address: SocketAddrV4,
    since: MonotonicTime,
}

/// The entries of a roster, sorted by address.
#[derive(Debug, Default)]
pub struct MemberTable {
    entries: Vec<MemberEntry>,
    tombstones: Vec<TombstoneRecord>,
    changes: u64,
}

impl MemberTable {
    /// Returns all entries, sorted by address.
    pub fn entries(&self) -> &[MemberEntry] {
        &self.entries
    }

    /// Returns a number that grows with each change.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the number of members that are not gone.
    pub fn live(&self) -> usize {
        self.entries.len() - self.tombstones.len()
    }

    /// Returns the entry of an address.
    pub fn find(&self, address: SocketAddrV4) -> Option<&MemberEntry> {
        let index = self.position(address).ok()?;
        Some(&self.entries[index])
    }

    /// Returns whether an entry says more than what is known.
    pub fn is_news(&self, entry: &MemberEntry) -> bool {
        self.find(entry.process.address)
            .is_none_or(|known| entry.precedence() > known.precedence())
    }

    /// Takes an entry if it says more than what is known, and returns whether
    /// it did.
    pub fn merge(&mut self, entry: &MemberEntry, now: MonotonicTime) -> bool {
        match self.position(entry.process.address) {
            Ok(index) if entry.precedence() > self.entries[index].precedence() => {
                self.entries[index] = *entry;
            }
            Ok(_) => return false,
            Err(index) => self.entries.insert(index, *entry),
        }
        self.changes += 1;
        self.note_state(entry, now);
        true
    }

    /// Drops the members that have been gone for long.
    pub fn forget_gone(&mut self, now: MonotonicTime) {
        let expired = |record: &TombstoneRecord| now.since(record.since) >= TOMBSTONE_TIME;
        if !self.tombstones.iter().any(expired) {
            return;
        }
        let tombstones = std::mem::take(&mut self.tombstones);
        self.entries.retain(|entry| {
            let found =
                tombstones.binary_search_by_key(&entry.process.address, |item| item.address);
            found.is_err() || found.is_ok_and(|index| !expired(&tombstones[index]))
        });
        self.tombstones = tombstones;
        self.tombstones.retain(|record| !expired(record));
        self.changes += 1;
    }

    /// Drops all members but the one at `address`.
    pub fn clear_others(&mut self, address: SocketAddrV4) {
        self.entries
            .retain(|entry| entry.process.address == address);
        self.tombstones.retain(|record| record.address == address);
        self.changes += 1;
    }

    /// Draws a member that is not gone, other than `me`.
    pub fn random_live(&self, me: SocketAddrV4, random: &mut StdRng) -> Option<SocketAddrV4> {
        for _ in 0..MAX_DRAWS {
            let index = random.random_range(0..self.entries.len().max(1));
            let entry = self.entries.get(index)?;
            if entry.state != MemberState::Gone && entry.process.address != me {
                return Some(entry.process.address);
            }
        }
        self.entries
            .iter()
            .find(|entry| entry.state != MemberState::Gone && entry.process.address != me)
            .map(|entry| entry.process.address)
    }

    /// Draws a member that is gone.
    pub fn random_gone(&self, random: &mut StdRng) -> Option<SocketAddrV4> {
        if self.tombstones.is_empty() {
            return None;
        }
        let index = random.random_range(0..self.tombstones.len());
        Some(self.tombstones[index].address)
    }

    /// Returns the entries with addresses above `after`.
    pub fn above(&self, after: Option<SocketAddrV4>) -> &[MemberEntry] {
        let start = match after {
            Some(address) => self
                .entries
                .partition_point(|entry| entry.process.address <= address),
            None => 0,
        };
        &self.entries[start..]
    }

    fn note_state(&mut self, entry: &MemberEntry, now: MonotonicTime) {
        let address = entry.process.address;
        let found = self
            .tombstones
            .binary_search_by_key(&address, |record| record.address);
        let gone = entry.state == MemberState::Gone;
        match (found, gone) {
            (Ok(index), true) => self.tombstones[index].since = now,
            (Err(index), true) => {
                let record = TombstoneRecord {
                    address,
                    since: now,
                };
                self.tombstones.insert(index, record);
            }
            (Ok(index), false) => {
                self.tombstones.remove(index);
            }
            (Err(_), false) => {}
        }
    }

    fn position(&self, address: SocketAddrV4) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&address, |entry| entry.process.address)
    }
}
