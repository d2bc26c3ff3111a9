//! The entries of a roster, and when those of absent members expire.
//!
//! A member is absent while its state is suspect or gone.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::time::MonotonicTime;
use rand::RngExt;
use rand::rngs::StdRng;

/// How long the entry of a gone member is kept, so that an older announcement
/// cannot add the member again.
pub const TOMBSTONE_TTL: Duration = Duration::from_secs(3_600);

/// How long a member stays suspect before it is declared gone and its flows are
/// dropped. A flow that waits for its host costs less than one that is broken.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(8);

/// Number of random draws before the search for a live member falls back to a
/// linear scan.
const MAX_DRAWS: usize = 32;

/// When a member became suspect or gone.
#[derive(Debug, Clone, Copy)]
struct AbsenceRecord {
    address: SocketAddrV4,
    since: MonotonicTime,
}

/// The entries of a roster, sorted by address.
#[derive(Debug, Default)]
pub struct MemberTable {
    entries: Vec<MemberEntry>,
    absences: Vec<AbsenceRecord>,
    change_count: u64,
}

impl MemberTable {
    /// Returns all entries, sorted by address.
    pub fn entries(&self) -> &[MemberEntry] {
        &self.entries
    }

    /// Returns a counter that is incremented whenever the entries change.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns the number of members that are alive or draining.
    pub fn live_count(&self) -> usize {
        self.entries.len() - self.absences.len()
    }

    /// Returns the entry of the member at `address`.
    pub fn find(&self, address: SocketAddrV4) -> Option<&MemberEntry> {
        let index = self.find_index(address).ok()?;
        Some(&self.entries[index])
    }

    /// Returns whether an entry overrides the known one of the same address.
    pub fn is_newer(&self, entry: &MemberEntry) -> bool {
        self.find(entry.process.address)
            .is_none_or(|known| entry.precedence() > known.precedence())
    }

    /// Stores an entry if it overrides the known one of the same address, and
    /// returns whether it did.
    pub fn merge(&mut self, entry: &MemberEntry, now: MonotonicTime) -> bool {
        let found = self.find_index(entry.process.address);
        let known = found.ok().map(|index| &self.entries[index]);
        let entry = &demote_unconfirmed_gone(entry, known);
        match found {
            Ok(index) if entry.precedence() > self.entries[index].precedence() => {
                self.entries[index] = *entry;
            }
            Ok(_) => return false,
            Err(index) => self.entries.insert(index, *entry),
        }
        self.change_count += 1;
        self.update_absence(entry, now);
        true
    }

    /// Declares members gone that have been suspect for [`SUSPECT_TIMEOUT`]. Every
    /// process does so independently, which takes no messages.
    pub fn expire_suspects(&mut self, now: MonotonicTime) {
        for record in &self.absences {
            if now.since(record.since) < SUSPECT_TIMEOUT {
                continue;
            }
            let found = self
                .entries
                .binary_search_by_key(&record.address, |entry| entry.process.address);
            if let Ok(index) = found
                && self.entries[index].state == MemberState::Suspect
            {
                self.entries[index].state = MemberState::Gone;
                self.change_count += 1;
            }
        }
    }

    /// Removes members that have been gone for [`TOMBSTONE_TTL`].
    pub fn evict_tombstones(&mut self, now: MonotonicTime) {
        let is_expired = |record: &AbsenceRecord| now.since(record.since) >= TOMBSTONE_TTL;
        if !self.absences.iter().any(is_expired) {
            return;
        }
        let absences = std::mem::take(&mut self.absences);
        self.entries.retain(|entry| {
            let found = absences.binary_search_by_key(&entry.process.address, |item| item.address);
            found.is_err() || found.is_ok_and(|index| !is_expired(&absences[index]))
        });
        self.absences = absences;
        self.absences.retain(|record| !is_expired(record));
        self.change_count += 1;
    }

    /// Removes all members except the one at `address`.
    pub fn retain_only(&mut self, address: SocketAddrV4) {
        self.entries
            .retain(|entry| entry.process.address == address);
        self.absences.retain(|record| record.address == address);
        self.change_count += 1;
    }

    /// Returns the address of a random live member other than `own_address`.
    pub fn random_live(&self, own_address: SocketAddrV4, rng: &mut StdRng) -> Option<SocketAddrV4> {
        for _ in 0..MAX_DRAWS {
            let index = rng.random_range(0..self.entries.len().max(1));
            let entry = self.entries.get(index)?;
            if entry.state.is_present() && entry.process.address != own_address {
                return Some(entry.process.address);
            }
        }
        self.entries
            .iter()
            .find(|entry| entry.state.is_present() && entry.process.address != own_address)
            .map(|entry| entry.process.address)
    }

    /// Returns the address of the first absent member after `address`, or of the
    /// first one of all if there is none.
    pub fn next_absent(&self, address: SocketAddrV4) -> Option<SocketAddrV4> {
        let next = self
            .absences
            .partition_point(|record| record.address <= address);
        let record = self.absences.get(next).or(self.absences.first());
        record.map(|record| record.address)
    }

    /// Returns the address of the first suspect member after `address`, or of the first one
    /// of all if there is none.
    pub fn next_suspect(&self, address: SocketAddrV4) -> Option<SocketAddrV4> {
        let next = self
            .absences
            .partition_point(|record| record.address <= address);
        let (before, after) = self.absences.split_at(next);
        let is_suspect = |record: &&AbsenceRecord| {
            let entry = self.find(record.address);
            entry.is_some_and(|entry| entry.state == MemberState::Suspect)
        };
        let record = after.iter().chain(before).find(is_suspect);
        record.map(|record| record.address)
    }

    /// Returns the entries with addresses above `after`, or all if it is `None`.
    pub fn entries_above(&self, after: Option<SocketAddrV4>) -> &[MemberEntry] {
        let start = match after {
            Some(address) => self
                .entries
                .partition_point(|entry| entry.process.address <= address),
            None => 0,
        };
        &self.entries[start..]
    }

    /// Records since when the member of an entry is absent, or removes the record
    /// if it is not.
    fn update_absence(&mut self, entry: &MemberEntry, now: MonotonicTime) {
        let address = entry.process.address;
        let found = self
            .absences
            .binary_search_by_key(&address, |record| record.address);
        let is_absent = !entry.state.is_present();
        match (found, is_absent) {
            (Ok(index), true) => self.absences[index].since = now,
            (Err(index), true) => {
                let record = AbsenceRecord {
                    address,
                    since: now,
                };
                self.absences.insert(index, record);
            }
            (Ok(index), false) => {
                self.absences.remove(index);
            }
            (Err(_), false) => {}
        }
    }

    fn find_index(&self, address: SocketAddrV4) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&address, |entry| entry.process.address)
    }
}

/// Returns `entry`, with state suspect in place of gone if only other processes
/// declared the member gone.
///
/// A member that leaves raises its counter with its last announcement. An entry
/// that is gone at the counter already known therefore comes from other
/// processes, which may have been partitioned from the member. It becomes gone
/// here only if it stays silent for [`SUSPECT_TIMEOUT`].
fn demote_unconfirmed_gone(entry: &MemberEntry, known: Option<&MemberEntry>) -> MemberEntry {
    let is_secondhand =
        known.is_some_and(|known| known.process == entry.process && known.counter == entry.counter);
    let state = match entry.state {
        MemberState::Gone if is_secondhand => MemberState::Suspect,
        state => state,
    };
    MemberEntry { state, ..*entry }
}
