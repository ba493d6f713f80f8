//! One outgoing connection to another process of the cell, re-established whenever it is
//! lost. A connection can fail without a reset; missing responses to `Hello` messages
//! reveal this.

use crate::cell::frame::{self, FrameReader, PeerMessage};
use crate::cell::node::SharedNode;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};
use yuccalink_coordination::jobs::{CellRequest, CellResponse};
use yuccalink_coordination::peer_table::CONFIRMED_HELLO_INTERVAL;
use yuccalink_transport::account::ClientClass;

/// Interval between `Hello` messages, short enough to detect a lost leader within 2 s.
const HELLO_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a received message after which a connection is closed: two `Hello` intervals
/// and a margin.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time limit for connecting. An address in the same region responds within 10 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit for one write; the connection is closed if the peer does not read in time.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay between connection attempts.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);
/// Messages that may wait to be sent; any more are dropped, as on a lost connection.
const QUEUE_MAX_MESSAGES: usize = 1_024;
/// Bytes after which no further message is added to a write.
const WRITE_BATCH_BYTES: usize = 256 * 1024;

type PendingResponses = Rc<RefCell<HashMap<u64, oneshot::Sender<CellResponse>>>>;

/// Handle of a connection; dropping it closes the connection.
pub(crate) struct PeerConnection {
    outgoing: mpsc::Sender<PeerMessage>,
    pending_responses: PendingResponses,
    next_id: u64,
}

impl PeerConnection {
    /// Maintains a connection to `to` until the handle is dropped.
    pub(crate) fn open(node: SharedNode, to: SocketAddr) -> Self {
        let (outgoing, rx) = mpsc::channel(QUEUE_MAX_MESSAGES);
        let pending_responses = PendingResponses::default();
        tokio::task::spawn_local(maintain(node, to, rx, pending_responses.clone()));
        Self { outgoing, pending_responses, next_id: 0 }
    }

    /// Queues a message, or drops it if the queue is full. Senders repeat all messages
    /// except requests.
    pub(crate) fn send(&self, message: PeerMessage) {
        let _ = self.outgoing.try_send(message);
    }

    /// Sends a request to the other process; the receiver fails once the connection is lost.
    pub(crate) fn request(&mut self, request: CellRequest) -> oneshot::Receiver<CellResponse> {
        let (tx, rx) = oneshot::channel();
        let id = self.next_id;
        self.next_id += 1;
        // If the queue is full, `tx` is dropped and `rx` fails.
        if self.outgoing.try_send(PeerMessage::Ask { id, request }).is_ok() {
            self.pending_responses.borrow_mut().insert(id, tx);
        }
        rx
    }
}

async fn maintain(
    node: SharedNode,
    to: SocketAddr,
    mut rx: mpsc::Receiver<PeerMessage>,
    pending_responses: PendingResponses,
) {
    let mut connected = false;
    loop {
        let result = match timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await {
            Ok(Ok(stream)) => {
                if !connected {
                    log::info!("peer={to} connected");
                }
                connected = true;
                serve(&node, to, stream, &mut rx, &pending_responses).await
            }
            Ok(Err(error)) => Err(error),
            Err(_) => Err(timed_out("it does not accept the connection in time")),
        };
        pending_responses.borrow_mut().clear();
        match result {
            Ok(()) => return,
            Err(error) => {
                if connected {
                    log::warn!("peer={to} lost why={error}");
                }
                connected = false;
                node.with(|node| {
                    node.metrics.connections_lost += 1;
                    node.clear_leader(to, "connection");
                });
            }
        }
        // Drops the queued messages, which were meant for the lost connection.
        loop {
            match rx.try_recv() {
                Ok(_) => {}
                Err(mpsc::error::TryRecvError::Empty) => break,
                Err(mpsc::error::TryRecvError::Disconnected) => return,
            }
        }
        pending_responses.borrow_mut().clear();
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Serves one connection; returns `Ok` once the handle is dropped.
async fn serve(
    node: &SharedNode,
    to: SocketAddr,
    stream: TcpStream,
    rx: &mut mpsc::Receiver<PeerMessage>,
    pending_responses: &PendingResponses,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (from, into) = stream.into_split();
    let last_received = Rc::new(std::cell::Cell::new(Instant::now()));
    tokio::select! {
        result = read(node, to, from, pending_responses, &last_received) => result,
        result = write(node, to, into, rx, &last_received) => result,
    }
}

async fn read(
    node: &SharedNode,
    to: SocketAddr,
    from: OwnedReadHalf,
    pending_responses: &PendingResponses,
    last_received: &std::cell::Cell<Instant>,
) -> io::Result<()> {
    let client = Arc::new(node.account().open(ClientClass::Peers));
    let mut reader = FrameReader::outgoing(from, client);
    loop {
        let (message, _holding) = reader.next().await?;
        last_received.set(Instant::now());
        match message {
            PeerMessage::Answer { id, response } => {
                node.note_response(to, &response);
                if let Some(tx) = pending_responses.borrow_mut().remove(&id) {
                    let _ = tx.send(response);
                }
            }
            PeerMessage::Welcome { sender, leader, disks, bootstrapper, limits } => {
                node.handle_welcome(to, sender, leader, &disks, bootstrapper, limits);
            }
            PeerMessage::Hello(_) | PeerMessage::Raft(_) | PeerMessage::Ask { .. } => {}
        }
    }
}

async fn write(
    node: &SharedNode,
    to: SocketAddr,
    mut into: OwnedWriteHalf,
    rx: &mut mpsc::Receiver<PeerMessage>,
    last_received: &std::cell::Cell<Instant>,
) -> io::Result<()> {
    let mut hello_interval = tokio::time::interval(HELLO_INTERVAL);
    hello_interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buf = Vec::new();
    let mut hello_at: Option<Instant> = None;
    loop {
        tokio::select! {
            message = rx.recv() => match message {
                Some(message) => frame::encode(&message, &mut buf),
                None => return Ok(()),
            },
            _ = hello_interval.tick() => {
                let silence = last_received.get().elapsed();
                if silence > SILENCE_TIMEOUT {
                    return Err(timed_out("it is silent"));
                }
                let recent = hello_at.is_some_and(|at| at.elapsed() < CONFIRMED_HELLO_INTERVAL);
                if recent && silence < HELLO_INTERVAL && node.is_confirmed_by_responses(to) {
                    continue;
                }
                hello_at = Some(Instant::now());
                frame::encode(&PeerMessage::Hello(node.info()), &mut buf);
            }
        }
        while buf.len() < WRITE_BATCH_BYTES
            && let Ok(message) = rx.try_recv()
        {
            frame::encode(&message, &mut buf);
        }
        match timeout(WRITE_TIMEOUT, into.write_all(&buf)).await {
            Ok(result) => result?,
            Err(_) => return Err(timed_out("it does not read in time")),
        }
        buf.clear();
        buf.shrink_to(WRITE_BATCH_BYTES);
    }
}

fn timed_out(why: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, why)
}
