//! UDP sockets with large kernel buffers.

use std::io;
use std::net::SocketAddrV4;

use socket2::SockRef;
use tokio::net::UdpSocket;

/// Requested size of the receive buffer and of the send buffer in the kernel, in bytes.
/// The usual default of 208 KiB overflows when many flows open at once, and a caller
/// retransmits a lost first packet only after a second.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Opens a UDP socket that is bound to `address`. The kernel may grant smaller buffers
/// than requested, which is not an error.
///
/// # Errors
///
/// Returns an error if the socket cannot be bound.
pub async fn open_socket(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address).await?;
    let options = SockRef::from(&socket);
    let _ = options.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = options.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    Ok(socket)
}
