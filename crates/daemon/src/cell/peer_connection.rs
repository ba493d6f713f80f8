//! One outgoing connection to another process of the cell, made again whenever it
//! is lost. A connection may go silent without a reset; greetings that stay
//! unanswered show it.

use crate::cell::frame::{self, PeerMessage, Reader};
use crate::cell::node::Shared;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};
use yuccalink_coordination::jobs::{CellRequest, CellResponse};

/// Between greetings: short enough to notice a lost leader within two seconds.
const GREET: Duration = Duration::from_millis(400);
/// Silence after which a connection is given up, two greetings and a margin.
const SILENT: Duration = Duration::from_millis(1_000);
/// Longest wait for a connection; an address in the same region answers in 10 ms.
const CONNECT: Duration = Duration::from_millis(400);
/// Longest wait for a full socket to take more.
const STUCK: Duration = Duration::from_millis(1_000);
/// Between tries.
const PAUSE: Duration = Duration::from_millis(150);
/// Frames that may wait; more are dropped, as on a lost connection.
const WAITING_MAX: usize = 1_024;
/// Bytes gathered for one write.
const BATCH_BYTES: usize = 256 * 1024;

type Answers = Rc<RefCell<HashMap<u64, oneshot::Sender<CellResponse>>>>;

/// Handle of a connection; dropping it closes the connection.
pub(crate) struct PeerConnection {
    frames: mpsc::Sender<PeerMessage>,
    answers: Answers,
    next: u64,
}

impl PeerConnection {
    /// Keeps a connection to `to` until dropped.
    pub(crate) fn open(node: Shared, to: SocketAddr) -> Self {
        let (frames, rx) = mpsc::channel(WAITING_MAX);
        let answers = Answers::default();
        tokio::task::spawn_local(keep(node, to, rx, answers.clone()));
        Self { frames, answers, next: 0 }
    }

    /// Sends a frame, or drops it where too many wait: all frames but asks are
    /// sent again by whoever needs them.
    pub(crate) fn send(&self, frame: PeerMessage) {
        let _ = self.frames.try_send(frame);
    }

    /// Asks the other process; the receiver fails once the connection is lost.
    pub(crate) fn ask(&mut self, ask: CellRequest) -> oneshot::Receiver<CellResponse> {
        let (tx, rx) = oneshot::channel();
        let id = self.next;
        self.next += 1;
        // Where the channel is full `tx` goes with the frame, and `rx` fails.
        if self.frames.try_send(PeerMessage::Ask { id, ask }).is_ok() {
            self.answers.borrow_mut().insert(id, tx);
        }
        rx
    }
}

async fn keep(node: Shared, to: SocketAddr, mut rx: mpsc::Receiver<PeerMessage>, answers: Answers) {
    let mut up = false;
    loop {
        let result = match timeout(CONNECT, TcpStream::connect(to)).await {
            Ok(Ok(stream)) => {
                if !up {
                    log::info!("peer={to} connected");
                }
                up = true;
                run(&node, to, stream, &mut rx, &answers).await
            }
            Ok(Err(error)) => Err(error),
            Err(_) => Err(timed_out("it does not accept a connection")),
        };
        answers.borrow_mut().clear();
        match result {
            Ok(()) => return,
            Err(error) => {
                if up {
                    log::warn!("peer={to} lost why={error}");
                }
                up = false;
                node.with(|node| {
                    node.metrics.links_lost += 1;
                    node.clear_leader(to, "connection");
                });
            }
        }
        // What waited was for a connection that is gone.
        loop {
            match rx.try_recv() {
                Ok(_) => {}
                Err(mpsc::error::TryRecvError::Empty) => break,
                Err(mpsc::error::TryRecvError::Disconnected) => return,
            }
        }
        answers.borrow_mut().clear();
        tokio::time::sleep(PAUSE).await;
    }
}

/// Serves one connection; `Ok` when the link is no longer wanted.
async fn run(
    node: &Shared,
    to: SocketAddr,
    stream: TcpStream,
    rx: &mut mpsc::Receiver<PeerMessage>,
    answers: &Answers,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (from, into) = stream.into_split();
    let heard = Rc::new(std::cell::Cell::new(Instant::now()));
    tokio::select! {
        result = read(node, to, from, answers, &heard) => result,
        result = write(node, into, rx, &heard) => result,
    }
}

async fn read(
    node: &Shared,
    to: SocketAddr,
    from: OwnedReadHalf,
    answers: &Answers,
    heard: &std::cell::Cell<Instant>,
) -> io::Result<()> {
    let mut reader = Reader::new(from);
    loop {
        let frame = reader.next().await?;
        heard.set(Instant::now());
        match frame {
            PeerMessage::Answer { id, answer } => {
                if let Some(tx) = answers.borrow_mut().remove(&id) {
                    let _ = tx.send(answer);
                }
            }
            PeerMessage::Welcome { me, lead, disks, founder } => {
                node.welcomed(to, me, lead, &disks, founder);
            }
            PeerMessage::Hello(_) | PeerMessage::Raft(_) | PeerMessage::Ask { .. } => {}
        }
    }
}

async fn write(
    node: &Shared,
    mut into: OwnedWriteHalf,
    rx: &mut mpsc::Receiver<PeerMessage>,
    heard: &std::cell::Cell<Instant>,
) -> io::Result<()> {
    let mut greet = tokio::time::interval(GREET);
    greet.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buf = Vec::new();
    loop {
        tokio::select! {
            frame = rx.recv() => match frame {
                Some(frame) => frame::encode(&frame, &mut buf),
                None => return Ok(()),
            },
            _ = greet.tick() => {
                if heard.get().elapsed() > SILENT {
                    return Err(timed_out("it is silent"));
                }
                frame::encode(&PeerMessage::Hello(node.info()), &mut buf);
            }
        }
        while buf.len() < BATCH_BYTES
            && let Ok(frame) = rx.try_recv()
        {
            frame::encode(&frame, &mut buf);
        }
        match timeout(STUCK, into.write_all(&buf)).await {
            Ok(result) => result?,
            Err(_) => return Err(timed_out("it does not read")),
        }
        buf.clear();
        buf.shrink_to(BATCH_BYTES);
    }
}

fn timed_out(why: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, why)
}
