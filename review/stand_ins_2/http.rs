//! HTTP/1.1 with blocking sockets: one request on each connection.

use crate::json::Json;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Response {
    pub status: u16,
    pub location: Option<String>,
    pub body: String,
}

impl Response {
    pub fn json(&self) -> Json {
        Json::parse(&self.body).unwrap_or(Json::Null)
    }
}

pub struct Request {
    pub method: String,
    pub path: String,
    pub head: String,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> String {
        header(&self.head, name).unwrap_or_default()
    }
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_string())
    })
}

/// Reads a head and the body whose length it states.
fn read_message(stream: &mut TcpStream, until: Instant) -> io::Result<(String, String)> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(end) = head_end {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length = header(&head, "content-length").and_then(|text| text.parse().ok());
            let length: usize = length.unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&bytes[end + 4..end + 4 + length]).into_owned();
                return Ok((head, body));
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => bytes.extend_from_slice(&chunk[..read]),
        }
    }
}

/// Sends a request and reads its response; `None` without a whole response in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    limit: Duration,
) -> Option<Response> {
    call_with(to, method, path, &format!("Host: {host}\r\n"), body, limit)
}

/// Same as [`call`], with these lines of the head.
pub fn call_with(
    to: SocketAddr,
    method: &str,
    path: &str,
    head: &str,
    body: &str,
    limit: Duration,
) -> Option<Response> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    let length = body.len();
    let message = format!(
        "{method} {path} HTTP/1.1\r\n{head}Content-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(message.as_bytes()).ok()?;
    let (head, body) = read_message(&mut stream, until).ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Response { status, location: header(&head, "location"), body })
}

/// Serves requests until the process ends. A handler that returns `None` closes the connection
/// without an answer.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(Request) -> Option<(u16, String)> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || answer(stream, &*handler));
        }
    });
}

fn answer<F>(mut stream: TcpStream, handler: &F)
where
    F: Fn(Request) -> Option<(u16, String)>,
{
    let until = Instant::now() + Duration::from_secs(10);
    let Ok((head, body)) = read_message(&mut stream, until) else { return };
    let mut words = head.split(' ');
    let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let request = Request { method: method.into(), path: path.into(), head: head.clone(), body };
    if let Some((status, body)) = handler(request) {
        let message = format!(
            "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let _ = stream.write_all(message.as_bytes());
    }
}
