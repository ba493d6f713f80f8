//! Serves other processes of the cell.

use crate::cell::frame::{self, PeerMessage, Reader};
use crate::cell::node::Shared;
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use yuccalink_coordination::jobs::{CellRequest, CellResponse};

/// Silence after which a connection is closed; its other end greets every 400 ms.
const SILENT: Duration = Duration::from_secs(5);
/// Longest wait for a full socket to take more.
const STUCK: Duration = Duration::from_secs(1);
/// Frames that may wait for one connection.
const WAITING_MAX: usize = 1_024;
/// Pause after a failed accept, as when no descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the process ends.
pub(crate) async fn serve(node: Shared, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(node.clone(), stream));
            }
            Err(error) => {
                log::warn!("cannot accept a daemon's connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(node: Shared, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        return log::warn!("a daemon's connection is of no use: {error}");
    }
    let (from, into) = stream.into_split();
    let (tx, rx) = mpsc::channel(WAITING_MAX);
    let result = tokio::select! {
        result = read(&node, Reader::new(from), tx) => result,
        result = write(into, rx) => result,
    };
    if let Err(error) = result {
        log::debug!("a daemon's connection has ended: {error}");
    }
}

async fn read<R>(
    node: &Shared,
    mut reader: Reader<R>,
    tx: mpsc::Sender<PeerMessage>,
) -> io::Result<()>
where
    R: tokio::io::AsyncRead + Unpin,
{
    loop {
        let frame = match timeout(SILENT, reader.next()).await {
            Ok(frame) => frame?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        match frame {
            PeerMessage::Hello(info) => {
                let _ = tx.try_send(node.greeted(info));
            }
            PeerMessage::Raft(envelopes) => node.step(envelopes),
            PeerMessage::Ask { id, ask } => {
                tokio::task::spawn_local(answer(node.clone(), id, ask, tx.clone()));
            }
            PeerMessage::Welcome { .. } | PeerMessage::Answer { .. } => {}
        }
    }
}

async fn answer(node: Shared, id: u64, ask: CellRequest, tx: mpsc::Sender<PeerMessage>) {
    let answer = match node.ask_here(ask) {
        // The leader's part ends without an answer when it leads no more.
        Some(rx) => node.to_pass_on(rx.await.unwrap_or(CellResponse::NotLeader { leader: None })),
        None => CellResponse::NotLeader { leader: None },
    };
    let _ = tx.send(PeerMessage::Answer { id, answer }).await;
}

async fn write(mut into: OwnedWriteHalf, mut rx: mpsc::Receiver<PeerMessage>) -> io::Result<()> {
    let mut buf = Vec::new();
    while let Some(frame) = rx.recv().await {
        frame::encode(&frame, &mut buf);
        while let Ok(frame) = rx.try_recv() {
            frame::encode(&frame, &mut buf);
        }
        match timeout(STUCK, into.write_all(&buf)).await {
            Ok(result) => result?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        }
        buf = Vec::new();
    }
    Ok(())
}
