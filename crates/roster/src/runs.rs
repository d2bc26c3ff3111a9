//! Many changes in few bytes.
//!
//! When an availability zone is lost, or two parts of the fleet meet again,
//! thousands of entries change at once, and each change is the same: the state
//! alone. Such entries are sent as runs of neighbouring addresses, three bytes
//! a member in place of about twenty. A check over the entry before the change
//! keeps a receiver that holds another entry from taking it; digests repair
//! that.

use std::hash::Hasher;
use std::net::SocketAddrV4;

use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::control::RunMember;
use siphasher::sip::SipHasher13;

/// Members of a run at most.
pub const MAX_RUN: usize = 350;

/// Members of a run at least; fewer are sent as whole entries.
pub const MIN_RUN: usize = 60;

/// Returns the run of changed members that starts with the first of `entries`,
/// which are sorted by address.
pub fn encode_run(entries: &[MemberEntry]) -> Vec<RunMember> {
    let Some(first) = entries.first() else {
        return Vec::new();
    };
    let mut members = Vec::new();
    let mut last = first.process.address;
    for entry in entries.iter().take(MAX_RUN) {
        let distance = entry.process.address.ip().to_bits() - last.ip().to_bits();
        let Ok(skip) = u8::try_from(distance) else {
            break;
        };
        if entry.process.address.port() != last.port() || entry.state != first.state {
            break;
        }
        let Some(check) = check_before(entry) else {
            break;
        };
        members.push(RunMember { skip, check });
        last = entry.process.address;
    }
    members
}

/// Returns the addresses and checks of a run.
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

/// Returns the entry that follows `known` in `state`, if the check is that of
/// `known`.
pub fn entry_after(known: &MemberEntry, state: MemberState, check: [u8; 2]) -> Option<MemberEntry> {
    let matches = entry_check(known, known.counter) == check;
    let counter = known.counter.checked_add(raised_by(state))?;
    matches.then_some(MemberEntry {
        counter,
        state,
        ..*known
    })
}

/// Returns the check of the entry before a change, or nothing when the member
/// has said nothing before.
fn check_before(entry: &MemberEntry) -> Option<[u8; 2]> {
    let counter = entry.counter.checked_sub(raised_by(entry.state))?;
    Some(entry_check(entry, counter))
}

/// Returns how far the counter grows with a change to `state`. Others declare a
/// member gone without raising its counter.
fn raised_by(state: MemberState) -> u32 {
    match state {
        MemberState::Gone | MemberState::Suspect => 0,
        MemberState::Alive | MemberState::Draining => 1,
    }
}

fn entry_check(entry: &MemberEntry, counter: u32) -> [u8; 2] {
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
