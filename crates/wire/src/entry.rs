//! Datagrams between the network fabric and a balancer.
//!
//! A fabric that does not keep the caller's address in the IP header puts a
//! PROXY protocol version 2 header before each datagram, in both directions.
//! The source is the sender and the destination the receiver of the datagram.

use std::net::SocketAddr;
use std::net::SocketAddrV4;

use ppp::v2::Addresses;
use ppp::v2::Builder;
use ppp::v2::Command;
use ppp::v2::Header;
use ppp::v2::IPv4;
use ppp::v2::Protocol;
use ppp::v2::Version;

/// The two ends of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryPath {
    /// Who sent the datagram.
    pub source: SocketAddrV4,
    /// Whom it was sent to.
    pub destination: SocketAddrV4,
}

/// Reads the header and returns it with the datagram behind it, or nothing
/// when the header is malformed or not one of UDP over IPv4.
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

/// Writes the header and the datagram to a new vector.
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

/// Returns the IPv4 form of an address, or nothing for IPv6.
pub fn to_ipv4(address: SocketAddr) -> Option<SocketAddrV4> {
    match address {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(_) => None,
    }
}
