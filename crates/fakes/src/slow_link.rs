//! A TCP forwarder that limits the throughput between two processes.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Largest number of bytes forwarded at once.
const CHUNK_BYTES: usize = 1_000;

/// Forwards connections from `at` to `to` until the process exits. Each direction of each
/// connection carries `rate` bytes per second.
///
/// # Errors
/// If `at` cannot be bound, for example because it is in use.
///
/// ```
/// use std::io::{Read, Write};
/// use std::net::{SocketAddr, TcpListener, TcpStream};
/// let far = TcpListener::bind("127.0.0.1:0")?;
/// let any = SocketAddr::from(([127, 0, 0, 1], 0));
/// let near = yuccalink_fakes::slow_link::forward(any, far.local_addr()?, 100_000)?;
/// TcpStream::connect(near)?.write_all(b"slowly")?;
/// let mut received = String::new();
/// far.accept()?.0.read_to_string(&mut received)?;
/// assert_eq!(received, "slowly");
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn forward(at: SocketAddr, to: SocketAddr, rate: u64) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(at)?;
    let at = listener.local_addr()?;
    thread::spawn(move || {
        for from in listener.incoming().flatten() {
            if let Ok(into) = TcpStream::connect(to) {
                let _ = forward_both_ways(&from, &into, rate);
            }
        }
    });
    Ok(at)
}

fn forward_both_ways(from: &TcpStream, into: &TcpStream, rate: u64) -> io::Result<()> {
    for (from, into) in [(from, into), (into, from)] {
        let (from, into) = (from.try_clone()?, into.try_clone()?);
        thread::spawn(move || copy_throttled(from, into, rate));
    }
    Ok(())
}

fn copy_throttled(mut from: TcpStream, mut into: TcpStream, rate: u64) {
    let mut buf = [0; CHUNK_BYTES];
    while let Ok(count) = from.read(&mut buf) {
        thread::sleep(Duration::from_micros(count as u64 * 1_000_000 / rate));
        if count == 0 || into.write_all(&buf[..count]).is_err() {
            break;
        }
    }
    // Either socket may be closed already.
    let _ = into.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
