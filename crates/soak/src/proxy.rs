//! A forwarder in front of one process that can be told to misbehave.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const BUF: usize = 16 * 1024;
/// How often a held connection looks whether it may go on.
const LOOK: Duration = Duration::from_millis(20);

/// How a proxy treats its connections now.
#[derive(Debug, Default)]
pub(crate) struct Mood {
    pub(crate) delay: Cell<Duration>,
    /// Nothing passes, either way.
    pub(crate) silent: Cell<bool>,
    /// Nothing passes back.
    pub(crate) one_way: Cell<bool>,
    /// Connections of an older count are closed.
    pub(crate) resets: Cell<u64>,
}

/// Forwards connections at `at` to `to` until the soak ends.
pub(crate) async fn serve(at: SocketAddr, to: SocketAddr, mood: Rc<Mood>) -> io::Result<()> {
    let listener = TcpListener::bind(at).await?;
    tokio::task::spawn_local(async move {
        while let Ok((from, _)) = listener.accept().await {
            tokio::task::spawn_local(forward(from, to, mood.clone()));
        }
    });
    Ok(())
}

async fn forward(from: TcpStream, to: SocketAddr, mood: Rc<Mood>) {
    let Ok(into) = TcpStream::connect(to).await else { return };
    let (from_rx, from_tx) = from.into_split();
    let (into_rx, into_tx) = into.into_split();
    tokio::select! {
        () = pump(from_rx, into_tx, &mood, false) => {}
        () = pump(into_rx, from_tx, &mood, true) => {}
        () = reset(&mood) => {}
    }
}

async fn pump<R, W>(mut rx: R, mut tx: W, mood: &Mood, back: bool)
where
    R: tokio::io::AsyncRead + Unpin,
    W: tokio::io::AsyncWrite + Unpin,
{
    let mut buf = vec![0; BUF];
    loop {
        let Ok(count) = rx.read(&mut buf).await else { return };
        if count == 0 {
            return;
        }
        tokio::time::sleep(mood.delay.get()).await;
        while mood.silent.get() || (back && mood.one_way.get()) {
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
