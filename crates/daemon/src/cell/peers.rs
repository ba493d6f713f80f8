//! Server for the other processes of the cell.

use crate::cell::frame::{self, FrameReader, PeerMessage};
use crate::cell::node::SharedNode;
use crate::cell::requests::ReplyTo;
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Time without a received message after which a connection is closed. The peer sends a
/// `Hello` every 400 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for one write; the connection is closed if the peer does not read in time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Messages that may wait to be sent on one connection.
const QUEUE_MAX_MESSAGES: usize = 1_024;
/// Delay after a failed accept, for example because no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until the process ends.
pub(crate) async fn serve(node: SharedNode, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(node.clone(), stream));
            }
            Err(error) => {
                log::warn!("cannot accept a daemon's connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(node: SharedNode, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        return log::warn!("cannot set TCP_NODELAY on a daemon's connection: {error}");
    }
    let (from, into) = stream.into_split();
    let (tx, rx) = mpsc::channel(QUEUE_MAX_MESSAGES);
    let result = tokio::select! {
        result = read(&node, FrameReader::new(from), tx) => result,
        result = write(into, rx) => result,
    };
    if let Err(error) = result {
        log::debug!("connection of a daemon failed: {error}");
    }
}

async fn read<R>(
    node: &SharedNode,
    mut reader: FrameReader<R>,
    tx: mpsc::Sender<PeerMessage>,
) -> io::Result<()>
where
    R: tokio::io::AsyncRead + Unpin,
{
    loop {
        let message = match timeout(SILENCE_TIMEOUT, reader.next()).await {
            Ok(message) => message?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        match message {
            PeerMessage::Hello(info) => {
                let _ = tx.try_send(node.handle_hello(info));
            }
            PeerMessage::Raft(envelopes) => node.handle_raft_messages(envelopes),
            PeerMessage::Ask { id, request } => {
                node.queue_request(request, ReplyTo::Peer { id, tx: tx.clone() });
            }
            PeerMessage::Welcome { .. } | PeerMessage::Answer { .. } => {}
        }
    }
}

async fn write(mut into: OwnedWriteHalf, mut rx: mpsc::Receiver<PeerMessage>) -> io::Result<()> {
    let mut buf = Vec::new();
    while let Some(message) = rx.recv().await {
        frame::encode(&message, &mut buf);
        while let Ok(message) = rx.try_recv() {
            frame::encode(&message, &mut buf);
        }
        match timeout(WRITE_TIMEOUT, into.write_all(&buf)).await {
            Ok(result) => result?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        }
        buf = Vec::new();
    }
    Ok(())
}
