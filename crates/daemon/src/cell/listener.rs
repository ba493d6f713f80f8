//! Listening sockets with bounded buffers, which accepted connections inherit.

use crate::cell::http::Endpoint;
use crate::error::{Error, Result};
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Sizes of the buffers of a socket, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SocketBuffers {
    receive: u32,
    send: u32,
}

impl SocketBuffers {
    /// Bytes that the kernel may hold for one connection.
    pub(crate) fn bytes(self) -> usize {
        (self.receive + self.send) as usize
    }
}

impl Endpoint {
    /// Buffers of the sockets of this endpoint. Runners and operators send and receive change sets
    /// of some MiB.
    pub(crate) fn socket_buffers(self) -> SocketBuffers {
        match self {
            Self::Control => SocketBuffers { receive: 64 * 1024, send: 64 * 1024 },
            Self::Callers => SocketBuffers { receive: 16 * 1024, send: 16 * 1024 },
            Self::Ready | Self::Metrics => SocketBuffers { receive: 8 * 1024, send: 32 * 1024 },
        }
    }
}

/// Buffers of connections from other processes of the cell, which send batches of log entries.
pub(crate) const PEER_BUFFERS: SocketBuffers =
    SocketBuffers { receive: 64 * 1024, send: 256 * 1024 };

/// Listens at `at`.
///
/// # Errors
/// [`Error::Listen`] if the address cannot be used.
pub(crate) fn bind(
    at: SocketAddr,
    buffers: SocketBuffers,
    clients: &'static str,
    flag: &'static str,
) -> Result<TcpListener> {
    let listen = || {
        let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.set_recv_buffer_size(buffers.receive)?;
        socket.set_send_buffer_size(buffers.send)?;
        socket.bind(at)?;
        socket.listen(BACKLOG)
    };
    let address = at.to_string().into();
    listen().map_err(|source| Error::Listen { address, clients, flag, source })
}
