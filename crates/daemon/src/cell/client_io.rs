//! A client's connection: charges its buffers to the account and notes what the client is doing.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;
use yuccalink_transport::account::{Client, Phase};

/// Bytes of one message that fit into the first buffers of a connection.
const FIRST_BUFFER_BYTES: usize = 8 * 1024;
/// Time for which a refused client may go on sending before its connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that a refused client may go on sending.
const LINGER_BYTES_MAX: usize = 4 * 1024 * 1024;

/// What is charged for the buffers of a connection beyond the first ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Charged {
    Nothing,
    /// The buffers of the HTTP server, which keep their size.
    Http,
    /// Those of the socket as well, which are empty while the connection is idle.
    All,
}

/// A connection that the HTTP server uses through [`ClientIo`].
pub(crate) struct Connection {
    pub(crate) client: Arc<Client>,
    stream: RefCell<TcpStream>,
    /// Bytes received since the connection was last idle.
    message_bytes: Cell<usize>,
    /// Largest buffers of the HTTP server.
    http_buffers: usize,
    /// Largest buffers of the socket.
    socket_buffers: usize,
    charged: Cell<Charged>,
    /// A request was answered before all of it was received.
    answered_early: Cell<bool>,
}

impl Connection {
    /// `read_max` is the largest read buffer of the HTTP server, `socket_buffers` what the kernel
    /// may hold, both in bytes.
    pub(crate) fn new(
        stream: TcpStream,
        client: Arc<Client>,
        read_max: usize,
        socket_buffers: usize,
    ) -> Rc<Self> {
        Rc::new(Self {
            client,
            stream: RefCell::new(stream),
            message_bytes: Cell::new(0),
            // A full buffer is extended by as much as may be read at once.
            http_buffers: 2 * read_max,
            socket_buffers,
            charged: Cell::new(Charged::Nothing),
            answered_early: Cell::new(false),
        })
    }

    pub(crate) fn set_answered_early(&self) {
        self.answered_early.set(true);
    }

    /// Notes that the response to the last request is ready to be sent.
    pub(crate) fn request_ended(&self) {
        self.client.enter(Phase::Idle);
        self.client.set_known();
        if self.charged.get() == Charged::All {
            self.client.release(self.socket_buffers);
            self.charged.set(Charged::Http);
        }
    }

    fn received(&self, bytes: usize) -> io::Result<()> {
        if self.client.phase() == Phase::Idle {
            self.client.enter(Phase::Head);
            self.message_bytes.set(0);
        }
        if self.client.phase() == Phase::Head {
            self.client.transferred(bytes);
        }
        self.message_bytes.set(self.message_bytes.get() + bytes);
        match self.message_bytes.get() > FIRST_BUFFER_BYTES {
            true => self.charge_buffers(),
            false => Ok(()),
        }
    }

    fn charge_buffers(&self) -> io::Result<()> {
        let bytes = match self.charged.get() {
            Charged::Nothing => self.http_buffers + self.socket_buffers,
            Charged::Http => self.socket_buffers,
            Charged::All => return Ok(()),
        };
        self.client.charge(bytes).map_err(|error| {
            self.client.count_refusal();
            io::Error::new(io::ErrorKind::OutOfMemory, error)
        })?;
        self.charged.set(Charged::All);
        Ok(())
    }

    fn written(&self, written: &Poll<io::Result<usize>>) -> io::Result<()> {
        match written {
            Poll::Pending => {
                self.client.enter(Phase::Unread);
                self.charge_buffers()
            }
            Poll::Ready(Ok(bytes)) if self.client.phase() == Phase::Unread => {
                self.client.transferred(*bytes);
                Ok(())
            }
            Poll::Ready(_) => Ok(()),
        }
    }

    /// Reads on for a while if the client was answered early: closed with bytes unread, the
    /// connection would be reset, and the client might lose the response.
    #[expect(clippy::await_holding_refcell_ref, reason = "the HTTP server has released the stream")]
    pub(crate) async fn linger(&self) {
        if self.answered_early.get() {
            linger(&mut self.stream.borrow_mut()).await;
        }
    }
}

/// Reads on for a while, after the last response is sent.
pub(crate) async fn linger(stream: &mut TcpStream) {
    let discard = async {
        let mut buf = [0; 4 * 1024];
        let mut discarded = 0;
        while discarded < LINGER_BYTES_MAX {
            match stream.read(&mut buf).await {
                Ok(read) if read > 0 => discarded += read,
                _ => return,
            }
        }
    };
    let _ = timeout(LINGER_TIMEOUT, discard).await;
}

/// The side of a [`Connection`] that the HTTP server reads and writes.
pub(crate) struct ClientIo(pub(crate) Rc<Connection>);

impl ClientIo {
    fn poll_stream<F, T>(&self, poll: F) -> T
    where
        F: FnOnce(Pin<&mut TcpStream>) -> T,
    {
        poll(Pin::new(&mut *self.0.stream.borrow_mut()))
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(self.poll_stream(|stream| stream.poll_read(cx, buf)))?;
        let read = buf.filled().len() - before;
        Poll::Ready(if read > 0 { self.0.received(read) } else { Ok(()) })
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = self.poll_stream(|stream| stream.poll_write(cx, buf));
        self.0.written(&written)?;
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.poll_stream(|stream| stream.poll_write_vectored(cx, bufs));
        self.0.written(&written)?;
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_stream(|stream| stream.poll_flush(cx)))?;
        // The HTTP server flushes once everything is written.
        if self.0.client.phase() == Phase::Unread {
            self.0.client.enter(Phase::Idle);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_stream(|stream| stream.poll_shutdown(cx))
    }
}
