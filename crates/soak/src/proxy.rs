//! A TCP proxy in front of one process that can delay, block and reset connections.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const BUF: usize = 16 * 1024;
/// Time between two checks whether a blocked connection may continue.
const LOOK: Duration = Duration::from_millis(20);

/// Throughput of the link of a process without a disk, in bytes per second (2 Mbit/s).
const SLOW: u64 = 250_000;

/// The faults that a proxy currently applies to its connections.
#[derive(Debug, Default)]
pub(crate) struct Mood {
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
    pub(crate) at: SocketAddr,
    pub(crate) to: SocketAddr,
    pub(crate) mood: Rc<Mood>,
    /// Names of the processes whose connections are not limited to [`SLOW`].
    pub(crate) fast: Rc<[Box<str>]>,
}

impl Proxy {
    /// Starts to forward connections, until the soak ends.
    pub(crate) async fn serve(self) -> io::Result<()> {
        let listener = TcpListener::bind(self.at).await?;
        tokio::task::spawn_local(async move {
            while let Ok((from, _)) = listener.accept().await {
                tokio::task::spawn_local(forward(from, self.clone()));
            }
        });
        Ok(())
    }

    fn names_fast(&self, bytes: &[u8]) -> bool {
        let names = |name: &[u8]| bytes.windows(name.len()).any(|part| part == name);
        self.fast.iter().any(|name| names(name.as_bytes()))
    }
}

async fn forward(from: TcpStream, proxy: Proxy) {
    let Ok(into) = TcpStream::connect(proxy.to).await else { return };
    let (from_rx, from_tx) = from.into_split();
    let (into_rx, into_tx) = into.into_split();
    // A process sends its name when it greets its peer; until then its connection is slow.
    let fast = Cell::new(false);
    tokio::select! {
        () = pump(from_rx, into_tx, &proxy, &fast, Way::There) => {}
        () = pump(into_rx, from_tx, &proxy, &fast, Way::Back) => {}
        () = reset(&proxy.mood) => {}
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

async fn pump<R, W>(mut rx: R, mut tx: W, proxy: &Proxy, fast: &Cell<bool>, way: Way)
where
    R: tokio::io::AsyncRead + Unpin,
    W: tokio::io::AsyncWrite + Unpin,
{
    let mood = &proxy.mood;
    let mut buf = vec![0; BUF];
    loop {
        let Ok(count) = rx.read(&mut buf).await else { return };
        if count == 0 {
            return;
        }
        if way == Way::There && !fast.get() {
            fast.set(proxy.names_fast(&buf[..count]));
        }
        let carried = match fast.get() {
            true => Duration::ZERO,
            false => Duration::from_micros(count as u64 * 1_000_000 / SLOW),
        };
        tokio::time::sleep(mood.delay.get() + carried).await;
        while mood.silent.get() || (way == Way::Back && mood.one_way.get()) {
            tokio::time::sleep(LOOK).await;
        }
        if tx.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}

async fn reset(mood: &Mood) {
    let count = mood.resets.get();
    while mood.resets.get() == count {
        tokio::time::sleep(LOOK).await;
    }
}
