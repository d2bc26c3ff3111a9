//! The UDP sockets of a process.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use error_stack::Report;
use error_stack::ResultExt;
use tokio::net::UdpSocket;

use crate::error::DaemonError;

/// Room for any datagram that is sent here.
pub const DATAGRAM_BYTES: usize = 2_048;

/// A UDP socket that is read when it is readable and written at once.
#[derive(Debug)]
pub struct DatagramSocket {
    reader: UdpSocket,
    // Writing does not go through the event loop: a datagram that cannot be sent
    // at once is lost like one on the network.
    writer: std::net::UdpSocket,
}

impl DatagramSocket {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// Returns an error when the address is in use.
    pub fn bind(address: SocketAddrV4) -> Result<Self, Report<DaemonError>> {
        let context = || DaemonError::new(format!("failed to bind {address} for datagrams"));
        let writer = std::net::UdpSocket::bind(address).change_context_lazy(context)?;
        writer.set_nonblocking(true).change_context_lazy(context)?;
        let reader = writer.try_clone().change_context_lazy(context)?;
        let reader = UdpSocket::from_std(reader).change_context_lazy(context)?;
        Ok(Self { reader, writer })
    }

    /// Waits until there is something to read.
    pub async fn readable(&self) {
        // An error shows at the next read.
        let _ = self.reader.readable().await;
    }

    /// Reads a datagram; nothing when there is none.
    pub fn read(&self, buffer: &mut [u8]) -> Option<(usize, Ipv4Addr)> {
        loop {
            match self.reader.try_recv_from(buffer) {
                Ok((length, SocketAddr::V4(from))) => return Some((length, *from.ip())),
                Ok(_) => {}
                // An earlier datagram found nobody listening.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(_) => return None,
            }
        }
    }

    /// Writes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error when it is lost.
    pub fn write(&self, bytes: &[u8], to: SocketAddrV4) -> io::Result<()> {
        self.writer.send_to(bytes, to).map(|_| ())
    }
}
