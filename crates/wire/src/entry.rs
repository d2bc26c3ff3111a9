//! Datagrams exchanged between the network fabric and a balancer.
//!
//! A fabric that does not preserve the caller's address in the IP header
//! prepends a PROXY protocol version 2 header to each datagram, in both
//! directions. The source address of the header is the sender of the datagram,
//! the destination address its receiver.

use std::net::SocketAddr;
use std::net::SocketAddrV4;

use ppp::v2::Addresses;
use ppp::v2::Builder;
use ppp::v2::Command;
use ppp::v2::Header;
use ppp::v2::IPv4;
use ppp::v2::Protocol;
use ppp::v2::Version;

/// The original source and destination of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryPath {
    /// The sender.
    pub source: SocketAddrV4,
    /// The receiver.
    pub destination: SocketAddrV4,
}

/// Decodes the PROXY header and returns its addresses and the datagram that
/// follows it, or `None` if the header is malformed or not for UDP over IPv4.
pub fn split_entry(packet: &[u8]) -> Option<(EntryPath, &[u8])> {
    let header = Header::try_from(packet).ok()?;
    if header.protocol != Protocol::Datagram {
        return None;
    }
    let Addresses::IPv4(addresses) = header.addresses else {
        return None;
    };
    let path = EntryPath {
        source: SocketAddrV4::new(addresses.source_address, addresses.source_port),
        destination: SocketAddrV4::new(addresses.destination_address, addresses.destination_port),
    };
    let length = header.len();
    Some((path, &packet[length..]))
}

/// Returns `datagram` with a PROXY header for `path` prepended.
pub fn encode_entry(path: &EntryPath, datagram: &[u8]) -> Vec<u8> {
    let addresses = IPv4::new(
        *path.source.ip(),
        *path.destination.ip(),
        path.source.port(),
        path.destination.port(),
    );
    let mut packet =
        Builder::with_addresses(Version::Two | Command::Proxy, Protocol::Datagram, addresses)
            .build()
            .unwrap_or_default();
    packet.extend_from_slice(datagram);
    packet
}

/// Returns the address if it is IPv4, or `None` if it is IPv6.
pub fn to_ipv4(address: SocketAddr) -> Option<SocketAddrV4> {
    match address {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(_) => None,
    }
}
