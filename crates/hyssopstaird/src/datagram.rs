//! Opens the UDP sockets of a daemon.

use std::io;
use std::net::SocketAddrV4;

use socket2::SockRef;
use tokio::net::UdpSocket;

/// Space for datagrams that wait in the kernel, in bytes. Many flows that open
/// at once bring more than the usual default of 208 KiB holds, and a lost first
/// packet is repeated only after a second.
const BUFFER_LENGTH: usize = 4 << 20;

/// Opens a UDP socket with large buffers. The kernel may grant less; that is no
/// error.
///
/// # Errors
///
/// Returns an error when the address cannot be used.
pub async fn open(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address).await?;
    let options = SockRef::from(&socket);
    let _ = options.set_recv_buffer_size(BUFFER_LENGTH);
    let _ = options.set_send_buffer_size(BUFFER_LENGTH);
    Ok(socket)
}
