//! A compact encoding of many changes.
//!
//! When an availability zone is lost or a partition heals, thousands of entries
//! change at once, all in the same way: only the state changes. Such entries are
//! sent as runs of nearby addresses, with 3 bytes per member instead of about 20.
//! Each member of a run carries a checksum of its entry before the change, so
//! that a receiver that holds a different entry ignores the change. Digests then
//! repair that entry.

use std::hash::Hasher;
use std::net::SocketAddrV4;

use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::control::RunMember;
use siphasher::sip::SipHasher13;

/// Maximum number of members of a run.
pub const MAX_RUN_MEMBERS: usize = 350;

/// Minimum number of members of a run. Fewer changes are sent as whole entries.
pub const MIN_RUN_MEMBERS: usize = 60;

/// Returns the longest run of changed members that starts with the first of
/// `entries`, which must be sorted by address.
pub fn encode_run(entries: &[MemberEntry]) -> Vec<RunMember> {
    let Some(first) = entries.first() else {
        return Vec::new();
    };
    let mut members = Vec::new();
    let mut last = first.process.address;
    for entry in entries.iter().take(MAX_RUN_MEMBERS) {
        let distance = entry.process.address.ip().to_bits() - last.ip().to_bits();
        let Ok(skip) = u8::try_from(distance) else {
            break;
        };
        if entry.process.address.port() != last.port() || entry.state != first.state {
            break;
        }
        let Some(check) = previous_checksum(entry) else {
            break;
        };
        members.push(RunMember { skip, check });
        last = entry.process.address;
    }
    members
}

/// Returns the address and the checksum of each member of a run.
pub fn decode_run(
    first: SocketAddrV4,
    members: &[RunMember],
) -> impl Iterator<Item = (SocketAddrV4, [u8; 2])> {
    let mut bits = first.ip().to_bits();
    members.iter().map(move |member| {
        bits = bits.saturating_add(u32::from(member.skip));
        let address = SocketAddrV4::new(bits.into(), first.port());
        (address, member.check)
    })
}

/// Returns `known` after its change to `state`, or `None` if `check` is not the
/// checksum of `known`.
pub fn apply_run_change(
    known: &MemberEntry,
    state: MemberState,
    check: [u8; 2],
) -> Option<MemberEntry> {
    let matches = entry_checksum(known, known.counter) == check;
    let counter = known.counter.checked_add(counter_increment(state))?;
    matches.then_some(MemberEntry {
        counter,
        state,
        ..*known
    })
}

/// Returns the checksum of an entry before its last change, or `None` if the
/// change is the first announcement of the member.
fn previous_checksum(entry: &MemberEntry) -> Option<[u8; 2]> {
    let counter = entry.counter.checked_sub(counter_increment(entry.state))?;
    Some(entry_checksum(entry, counter))
}

/// Returns by how much a change to `state` raises the counter. Other members
/// declare a member suspect or gone without raising its counter.
fn counter_increment(state: MemberState) -> u32 {
    match state {
        MemberState::Gone | MemberState::Suspect => 0,
        MemberState::Alive | MemberState::Draining => 1,
    }
}

/// Returns a checksum of `entry`, with `counter` in place of its own counter and
/// without its state.
fn entry_checksum(entry: &MemberEntry, counter: u32) -> [u8; 2] {
    let mut hasher = SipHasher13::new();
    hasher.write_u32(entry.process.address.ip().to_bits());
    hasher.write_u32(entry.process.incarnation.0);
    hasher.write_u32(counter);
    if let MemberRole::Host {
        service,
        zone,
        weight,
    } = entry.role
    {
        hasher.write_u16(service.0);
        hasher.write_u8(zone);
        hasher.write_u16(weight);
    }
    (hasher.finish() as u16).to_be_bytes()
}
