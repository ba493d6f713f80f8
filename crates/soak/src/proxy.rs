//! A TCP proxy in front of one process that can delay, block and reset connections.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const BUFFER_BYTES: usize = 16 * 1024;
/// Time between two checks whether a blocked connection may continue.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Throughput of the link of a process without a disk, in bytes per second (2 Mbit/s).
const SLOW_LINK_BYTES_PER_S: u64 = 250_000;

/// The faults that a proxy currently applies to its connections.
#[derive(Debug, Default)]
pub(crate) struct ProxyFaults {
    pub(crate) delay: Cell<Duration>,
    /// Nothing is forwarded in either direction.
    pub(crate) silent: Cell<bool>,
    /// Nothing that the process sends back is forwarded.
    pub(crate) one_way: Cell<bool>,
    /// Number of resets; each increment closes all connections that are open then.
    pub(crate) resets: Cell<u64>,
}

/// A proxy that forwards connections from `at` to `to`.
#[derive(Clone)]
pub(crate) struct Proxy {
    pub(crate) listen_address: SocketAddr,
    pub(crate) process_address: SocketAddr,
    pub(crate) faults: Rc<ProxyFaults>,
    /// Names of the processes whose connections are not limited to [`SLOW_LINK_BYTES_PER_S`].
    pub(crate) fast: Rc<[Box<str>]>,
}

impl Proxy {
    /// Starts to forward connections, until the soak ends.
    pub(crate) async fn serve(self) -> io::Result<()> {
        let listener = TcpListener::bind(self.listen_address).await?;
        tokio::task::spawn_local(async move {
            while let Ok((from, _)) = listener.accept().await {
                tokio::task::spawn_local(forward(from, self.clone()));
            }
        });
        Ok(())
    }

    fn names_fast_process(&self, bytes: &[u8]) -> bool {
        let names = |name: &[u8]| bytes.windows(name.len()).any(|part| part == name);
        self.fast.iter().any(|name| names(name.as_bytes()))
    }
}

async fn forward(from: TcpStream, proxy: Proxy) {
    let Ok(into) = TcpStream::connect(proxy.process_address).await else { return };
    let (from_rx, from_tx) = from.into_split();
    let (into_rx, into_tx) = into.into_split();
    // A process sends its name when it greets its peer; until then its connection is slow.
    let fast = Cell::new(false);
    tokio::select! {
        () = copy(from_rx, into_tx, &proxy, &fast, Direction::ToProcess) => {}
        () = copy(into_rx, from_tx, &proxy, &fast, Direction::FromProcess) => {}
        () = wait_for_reset(&proxy.faults) => {}
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToProcess,
    FromProcess,
}

async fn copy<R, W>(mut rx: R, mut tx: W, proxy: &Proxy, fast: &Cell<bool>, direction: Direction)
where
    R: tokio::io::AsyncRead + Unpin,
    W: tokio::io::AsyncWrite + Unpin,
{
    let faults = &proxy.faults;
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count) = rx.read(&mut buf).await else { return };
        if count == 0 {
            return;
        }
        if direction == Direction::ToProcess && !fast.get() {
            fast.set(proxy.names_fast_process(&buf[..count]));
        }
        let transfer_time = match fast.get() {
            true => Duration::ZERO,
            false => Duration::from_micros(count as u64 * 1_000_000 / SLOW_LINK_BYTES_PER_S),
        };
        tokio::time::sleep(faults.delay.get() + transfer_time).await;
        while faults.silent.get() || (direction == Direction::FromProcess && faults.one_way.get()) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if tx.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}

async fn wait_for_reset(faults: &ProxyFaults) {
    let count = faults.resets.get();
    while faults.resets.get() == count {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
