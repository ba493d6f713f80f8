//! A small HTTP/1.1 client and server, one request a connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub body: String,
    pub location: Option<String>,
}

pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub headers: &'a str,
    pub body: &'a str,
}

pub fn call(to: SocketAddr, call: &Call<'_>, limit: Duration) -> io::Result<Reply> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_nodelay(true)?;
    let Call { method, path, host, headers, body } = call;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n{headers}\r\n{body}",
        body.len()
    );
    stream.set_write_timeout(Some(limit))?;
    stream.write_all(text.as_bytes())?;
    let mut received = Vec::new();
    let mut buf = [0; 16 * 1024];
    loop {
        if let Some(reply) = complete(&received) {
            return Ok(reply);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut buf)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            size => received.extend_from_slice(&buf[..size]),
        }
    }
}

fn head_of(received: &[u8]) -> Option<(&str, &[u8])> {
    let end = received.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some((std::str::from_utf8(&received[..end]).ok()?, &received[end + 4..]))
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let fields = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    fields.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()).next()
}

fn complete(received: &[u8]) -> Option<Reply> {
    let (head, body) = head_of(received)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let size = header(head, "content-length").map_or(0, |text| text.parse().unwrap_or(0));
    (body.len() >= size).then(|| Reply {
        status,
        body: String::from_utf8_lossy(&body[..size]).into_owned(),
        location: header(head, "location").map(Into::into),
    })
}

pub struct Request {
    pub method: String,
    pub path: String,
    pub head: String,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        header(&self.head, name).unwrap_or_default()
    }
}

/// Serves one request a connection, each in its own thread. `answer` returns the status and the
/// body, or `None` to close the connection without an answer after `silence`.
pub fn serve<F>(at: SocketAddr, silence: Duration, answer: F) -> io::Result<()>
where
    F: Fn(&Request) -> Option<(u16, String)> + Clone + Send + 'static,
{
    let listener = TcpListener::bind(at)?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let _ = respond(stream, silence, &answer);
            });
        }
    });
    Ok(())
}

fn respond<F>(mut stream: TcpStream, silence: Duration, answer: &F) -> io::Result<()>
where
    F: Fn(&Request) -> Option<(u16, String)>,
{
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut received = Vec::new();
    let mut buf = [0; 16 * 1024];
    let request = loop {
        if let Some((head, body)) = head_of(&received) {
            let size = header(head, "content-length").map_or(0, |text| text.parse().unwrap_or(0));
            if body.len() >= size {
                let mut words = head.split(' ');
                break Request {
                    method: words.next().unwrap_or_default().into(),
                    path: words.next().unwrap_or_default().into(),
                    head: head.into(),
                    body: String::from_utf8_lossy(&body[..size]).into_owned(),
                };
            }
        }
        match stream.read(&mut buf)? {
            0 => return Ok(()),
            size => received.extend_from_slice(&buf[..size]),
        }
    };
    match answer(&request) {
        Some((status, body)) => write!(
            stream,
            "HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n{body}",
            body.len()
        ),
        None => {
            std::thread::sleep(silence);
            Ok(())
        }
    }
}
