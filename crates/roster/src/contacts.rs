//! Addresses at which members may be reachable, in addition to those of known
//! members.

use std::net::SocketAddrV4;

use rand::RngExt;
use rand::rngs::StdRng;

/// Maximum number of addresses in the list.
pub(crate) const MAX_CONTACTS: usize = 64;

/// A bounded set of addresses at which members may be reachable.
#[derive(Debug, Default)]
pub(crate) struct ContactList {
    addresses: Vec<SocketAddrV4>,
}

impl ContactList {
    pub(crate) fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    /// Adds an address. It replaces a random one if the list is full.
    pub(crate) fn add(&mut self, address: SocketAddrV4, rng: &mut StdRng) {
        if self.addresses.contains(&address) {
            return;
        }
        if self.addresses.len() == MAX_CONTACTS {
            let index = rng.random_range(0..MAX_CONTACTS);
            self.addresses.swap_remove(index);
        }
        self.addresses.push(address);
    }

    /// Returns a random address, or `None` if the list is empty.
    pub(crate) fn choose(&self, rng: &mut StdRng) -> Option<SocketAddrV4> {
        if self.is_empty() {
            return None;
        }
        let index = rng.random_range(0..self.addresses.len());
        Some(self.addresses[index])
    }
}
