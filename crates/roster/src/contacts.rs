//! Addresses where a member may be found, beside those of members.

use std::net::SocketAddrV4;

use rand::RngExt;
use rand::rngs::StdRng;

/// Addresses that are kept beside those of members.
pub(crate) const MAX_CONTACTS: usize = 64;

/// A bounded set of addresses.
#[derive(Debug, Default)]
pub(crate) struct ContactList {
    addresses: Vec<SocketAddrV4>,
}

impl ContactList {
    pub(crate) fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    /// Adds an address, in the place of any other one if the list is full.
    pub(crate) fn add(&mut self, address: SocketAddrV4, random: &mut StdRng) {
        if self.addresses.contains(&address) {
            return;
        }
        if self.addresses.len() == MAX_CONTACTS {
            let index = random.random_range(0..MAX_CONTACTS);
            self.addresses.swap_remove(index);
        }
        self.addresses.push(address);
    }

    /// Returns one of the addresses.
    pub(crate) fn choose(&self, random: &mut StdRng) -> Option<SocketAddrV4> {
        if self.is_empty() {
            return None;
        }
        let index = random.random_range(0..self.addresses.len());
        Some(self.addresses[index])
    }
}
