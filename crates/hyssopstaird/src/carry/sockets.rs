//! Non-blocking UDP sockets.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use error_stack::Report;
use error_stack::ResultExt;
use tokio::net::UdpSocket;

use crate::error::DaemonError;

/// Size of a receive buffer, in bytes. Every datagram that is sent between callers,
/// servers and processes fits in it.
pub const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// A UDP socket that the event loop waits on for reads, and whose writes never block.
#[derive(Debug)]
pub struct DatagramSocket {
    reader: UdpSocket,
    // Writes bypass the event loop: a datagram that cannot be sent immediately is
    // dropped, like one that is lost on the network.
    writer: std::net::UdpSocket,
}

impl DatagramSocket {
    /// Binds a socket to an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use or the socket cannot be set up.
    pub fn bind(address: SocketAddrV4) -> Result<Self, Report<DaemonError>> {
        let context = || DaemonError::new(format!("failed to bind UDP address {address}"));
        let writer = std::net::UdpSocket::bind(address).change_context_lazy(context)?;
        writer.set_nonblocking(true).change_context_lazy(context)?;
        let reader = writer.try_clone().change_context_lazy(context)?;
        let reader = UdpSocket::from_std(reader).change_context_lazy(context)?;
        Ok(Self { reader, writer })
    }

    /// Waits until a datagram can be received.
    pub async fn wait_readable(&self) {
        // An error is ignored here, because the next read returns it again.
        let _ = self.reader.readable().await;
    }

    /// Receives a datagram into the buffer and returns its length and sender. Returns
    /// `None` if no datagram is waiting or the read fails.
    pub fn try_receive(&self, buffer: &mut [u8]) -> Option<(usize, Ipv4Addr)> {
        loop {
            match self.reader.try_recv_from(buffer) {
                Ok((length, SocketAddr::V4(from))) => return Some((length, *from.ip())),
                Ok(_) => {}
                // An earlier datagram was sent to an address on which nothing listens.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(_) => return None,
            }
        }
    }

    /// Sends a datagram without waiting.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram was not sent; it is not sent again.
    pub fn try_send(&self, bytes: &[u8], to: SocketAddrV4) -> io::Result<()> {
        self.writer.send_to(bytes, to).map(|_| ())
    }
}
