//! Server for the other processes of the cell.

use crate::cell::frame::{self, FrameReader, PeerMessage};
use crate::cell::node::SharedNode;
use crate::cell::requests::ReplyTo;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use yuccalink_transport::account::{Client, ClientClass};

/// Time without a received message after which a connection is closed. The peer sends a
/// `Hello` every 400 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for one write; the connection is closed if the peer does not read in time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Messages that may wait to be sent on one connection.
const QUEUE_MAX_MESSAGES: usize = 1_024;
/// Bytes after which no further message is added to a write.
const WRITE_BATCH_BYTES: usize = 256 * 1024;
/// Delay after a failed accept, for example because no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until the process ends.
pub(crate) async fn serve(node: SharedNode, listener: TcpListener) {
    let account = node.account();
    loop {
        match listener.accept().await {
            Ok((stream, from)) => match account.connect(ClientClass::Peers) {
                Ok(client) => {
                    tokio::task::spawn_local(serve_connection(node.clone(), stream, client));
                }
                Err(why) => log::debug!("connection of a daemon at {from} refused: {why}"),
            },
            Err(error) => {
                log::warn!("cannot accept a daemon's connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(node: SharedNode, stream: TcpStream, client: Client) {
    if let Err(error) = stream.set_nodelay(true) {
        return log::warn!("cannot set TCP_NODELAY on a daemon's connection: {error}");
    }
    let (from, into) = stream.into_split();
    let (tx, rx) = mpsc::channel(QUEUE_MAX_MESSAGES);
    let client = Arc::new(client);
    let result = tokio::select! {
        result = read(&node, FrameReader::incoming(from, client.clone()), &client, tx) => result,
        result = write(&node, into, rx) => result,
        () = client.sent_away() => Err(io::ErrorKind::TimedOut.into()),
    };
    if let Err(error) = result {
        log::debug!("connection of a daemon failed: {error}");
    }
}

async fn read<R>(
    node: &SharedNode,
    mut reader: FrameReader<R>,
    client: &Client,
    tx: mpsc::Sender<PeerMessage>,
) -> io::Result<()>
where
    R: tokio::io::AsyncRead + Unpin,
{
    loop {
        let (message, holding) = match timeout(SILENCE_TIMEOUT, reader.next()).await {
            Ok(message) => message?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        match message {
            PeerMessage::Hello(info) => {
                reader.set_trusted();
                client.set_known();
                let _ = tx.try_send(node.handle_hello(info));
            }
            PeerMessage::Raft(envelopes) => node.handle_raft_messages(envelopes),
            PeerMessage::Ask { id, request } => {
                let reply_to = ReplyTo::Peer { id, tx: tx.clone() };
                node.queue_request(request, reply_to, holding);
            }
            PeerMessage::Welcome { .. } | PeerMessage::Answer { .. } => {}
        }
    }
}

async fn write(
    node: &SharedNode,
    mut into: OwnedWriteHalf,
    mut rx: mpsc::Receiver<PeerMessage>,
) -> io::Result<()> {
    let mut limits = node.limits();
    let mut buf = Vec::new();
    loop {
        tokio::select! {
            message = rx.recv() => match message {
                Some(message) => frame::encode(&message, &mut buf),
                None => return Ok(()),
            },
            // The next `Hello` may be seconds away.
            _ = limits.changed() => frame::encode(&node.welcome(), &mut buf),
        }
        while buf.len() < WRITE_BATCH_BYTES
            && let Ok(message) = rx.try_recv()
        {
            frame::encode(&message, &mut buf);
        }
        match timeout(WRITE_TIMEOUT, into.write_all(&buf)).await {
            Ok(result) => result?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        }
        buf = Vec::new();
    }
}
