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

/// How long a member may be silent before its flows are given up. A flow that
/// waits costs less than one that is cut.
pub const GIVE_UP_TIME: Duration = Duration::from_secs(8);

/// Draws of a random member before a search gives up.
const MAX_DRAWS: usize = 32;

/// When a member was found suspect or gone.
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
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Returns the number of members that are present.
    pub fn live_count(&self) -> usize {
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
        let found = self.position(entry.process.address);
        let known = found.ok().map(|index| &self.entries[index]);
        let entry = &without_hearsay(entry, known);
        match found {
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

    /// Gives up the members that have been suspect for long. Every process does
    /// so by itself, which takes no messages.
    pub fn give_up_suspects(&mut self, now: MonotonicTime) {
        for record in &self.tombstones {
            if now.since(record.since) < GIVE_UP_TIME {
                continue;
            }
            let found = self
                .entries
                .binary_search_by_key(&record.address, |entry| entry.process.address);
            if let Ok(index) = found
                && self.entries[index].state == MemberState::Suspect
            {
                self.entries[index].state = MemberState::Gone;
                self.changes += 1;
            }
        }
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

    /// Draws a member that is present, other than `me`.
    pub fn random_live(&self, me: SocketAddrV4, random: &mut StdRng) -> Option<SocketAddrV4> {
        for _ in 0..MAX_DRAWS {
            let index = random.random_range(0..self.entries.len().max(1));
            let entry = self.entries.get(index)?;
            if entry.state.is_present() && entry.process.address != me {
                return Some(entry.process.address);
            }
        }
        self.entries
            .iter()
            .find(|entry| entry.state.is_present() && entry.process.address != me)
            .map(|entry| entry.process.address)
    }

    /// Returns the next member after `address` that is suspect or gone, the first
    /// one again after the last.
    pub fn absent_after(&self, address: SocketAddrV4) -> Option<SocketAddrV4> {
        let next = self
            .tombstones
            .partition_point(|record| record.address <= address);
        let record = self.tombstones.get(next).or(self.tombstones.first());
        record.map(|record| record.address)
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
        let gone = !entry.state.is_present();
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

/// Returns an entry as far as it can be believed. A member that leaves raises
/// its counter with its last word. That it is gone at a counter at which it was
/// present is the word of others, who may have been cut off from it: it is
/// suspect, and given up only if it stays silent.
fn without_hearsay(entry: &MemberEntry, known: Option<&MemberEntry>) -> MemberEntry {
    let is_hearsay =
        known.is_some_and(|known| known.process == entry.process && known.counter == entry.counter);
    let state = match entry.state {
        MemberState::Gone if is_hearsay => MemberState::Suspect,
        state => state,
    };
    MemberEntry { state, ..*entry }
}
