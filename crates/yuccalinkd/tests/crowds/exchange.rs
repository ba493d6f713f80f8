//! Single requests on connections of their own, byte for byte as a test writes them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// With `Content-Length`.
    Length,
    /// In chunks of this many bytes.
    Chunks(usize),
}

/// A request with a body of its own.
#[derive(Clone, Debug)]
pub struct Request {
    head: String,
    body: Vec<u8>,
    framing: Framing,
}

impl Request {
    pub fn new(method: &str, path: &str) -> Self {
        let head = format!("{method} {path} HTTP/1.1\r\nHost: duty.example\r\n");
        Self { head, body: Vec::new(), framing: Framing::Length }
    }

    pub fn body(mut self, body: &[u8]) -> Self {
        self.body = body.to_vec();
        self
    }

    pub fn framing(mut self, framing: Framing) -> Self {
        self.framing = framing;
        self
    }

    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.head.push_str(&format!("{name}: {value}\r\n"));
        self
    }

    /// The whole request; the connection is closed after its response.
    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = self.clone().header("Connection", "close").endless();
        if matches!(self.framing, Framing::Chunks(_)) {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        bytes
    }

    /// The request without the end of a body in chunks.
    pub fn endless(&self) -> Vec<u8> {
        let mut bytes = self.head.clone().into_bytes();
        match self.framing {
            Framing::Length => {
                bytes.extend(format!("Content-Length: {}\r\n\r\n", self.body.len()).bytes());
                bytes.extend_from_slice(&self.body);
            }
            Framing::Chunks(size) => {
                bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
                for chunk in self.body.chunks(size) {
                    bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
                    bytes.extend_from_slice(chunk);
                    bytes.extend_from_slice(b"\r\n");
                }
            }
        }
        bytes
    }
}

/// A response as far as the tests look at it.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub text: String,
}

/// Sends `bytes` and reads until the connection is closed. A response may come before all of the
/// request is sent.
pub fn exchange(to: SocketAddr, bytes: &[u8]) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&to, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    let mut sender = stream.try_clone()?;
    let received = std::thread::scope(|scope| {
        let sending = scope.spawn(move || sender.write_all(bytes));
        let mut received = Vec::new();
        let read = stream.read_to_end(&mut received);
        let _ = sending.join();
        // A response that was read before a reset is complete.
        if received.is_empty() { read.map(|_| received) } else { Ok(received) }
    })?;
    parse(&received).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

fn parse(received: &[u8]) -> Option<Response> {
    let text = String::from_utf8_lossy(received).into_owned();
    let status = text.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()?;
    text.contains("\r\n\r\n").then_some(Response { status, text })
}

/// Sends `bytes` on an open connection.
pub fn send_on(mut stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.set_write_timeout(Some(TIMEOUT))?;
    stream.write_all(bytes)
}

/// Reads the response to a request that asked for the connection to be closed.
pub fn receive_on(mut stream: &TcpStream) -> io::Result<Response> {
    stream.set_read_timeout(Some(TIMEOUT))?;
    let mut received = Vec::new();
    stream.read_to_end(&mut received)?;
    parse(&received).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
