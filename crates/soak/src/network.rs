//! Addresses and ports of a run.
//!
//! Each run reserves a loopback network of its own, so that several runs can share a
//! machine.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;

use error_stack::Report;

use crate::SoakError;

/// Port for the packets of flows, at callers, balancers and hosts.
pub const PACKET_PORT: u16 = 8_172;

/// Port to which processes send messages for each other. The relay listens there.
pub const INNER_PORT: u16 = 7_720;

/// Port on which a process receives the messages that the relay forwards.
pub const INNER_BIND_PORT: u16 = 7_721;

/// Port of the readiness endpoint of a process.
pub const READINESS_PORT: u16 = 8_167;

/// Port of the metrics endpoint of a process.
pub const METRICS_PORT: u16 = 9_464;

/// Port on which a host receives the heartbeats of its backend server.
pub const HEARTBEAT_PORT: u16 = 8_166;

/// Port of a backend server, for packets and for health checks.
pub const SERVER_PORT: u16 = 8_165;

/// Port of a host to which its backend server sends packets.
pub const OUTBOUND_PORT: u16 = 8_162;

/// Port of the store, and of the relay in front of it.
pub const STORE_PORT: u16 = 8_169;

/// A reserved loopback network, 127.n.0.0/16, where n is `second_octet`.
#[derive(Debug)]
pub struct SoakNetwork {
    second_octet: u8,
    // Holds the port that marks the network as reserved.
    _guard: TcpListener,
}

impl SoakNetwork {
    /// Reserves a network that no other run uses.
    ///
    /// # Errors
    ///
    /// Returns an error if all networks are in use.
    pub fn reserve() -> Result<Self, Report<SoakError>> {
        let process_id = std::process::id();
        (0..200)
            .map(|attempt| 20 + ((process_id + attempt) % 200) as u8)
            .find_map(|second_octet| {
                let guard = TcpListener::bind((Ipv4Addr::new(127, second_octet, 0, 1), 9)).ok()?;
                Some(Self {
                    second_octet,
                    _guard: guard,
                })
            })
            .ok_or_else(|| Report::new(SoakError("no loopback network is free".to_owned())))
    }

    /// Returns the address of a balancer.
    pub fn balancer_address(&self, number: usize) -> Ipv4Addr {
        self.address(1, number)
    }

    /// Returns the address of a host.
    pub fn host_address(&self, number: usize) -> Ipv4Addr {
        self.address(2, number)
    }

    /// Returns the address of a caller.
    pub fn caller_address(&self, number: usize) -> Ipv4Addr {
        self.address(3, number)
    }

    /// Returns the address of the store.
    pub fn store_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.address(5, 0), STORE_PORT)
    }

    /// Returns the address at which a process reaches the store through the relay.
    pub fn store_relay_address(&self, process: Ipv4Addr) -> SocketAddrV4 {
        let [_, _, third_octet, last_octet] = process.octets();
        SocketAddrV4::new(
            Ipv4Addr::new(127, self.second_octet, third_octet + 5, last_octet),
            STORE_PORT,
        )
    }

    fn address(&self, third_octet: u8, number: usize) -> Ipv4Addr {
        Ipv4Addr::new(
            127,
            self.second_octet,
            third_octet,
            (number % 250) as u8 + 1,
        )
    }
}
