//! Requests to the leader: they wait in the leader's process by class, and in every other process
//! for the leader's response.

use crate::cell::frame::PeerMessage;
use crate::cell::node::{Node, SharedNode};
use crate::cell::replica::Replica;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};
use yuccalink_coordination::Moment;
use yuccalink_coordination::intake::{Next, RequestClass};
use yuccalink_coordination::jobs::report_rate::{millis, spread};
use yuccalink_coordination::jobs::{CellRequest, CellResponse, RequestToken, RunnerOrders};
use yuccalink_coordination::raft::ReplicaId;
use yuccalink_transport::request_body::Holding;

/// Delay before a request without a reachable leader is tried again.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Shortest and longest time for which requests are handled before other tasks run. In between it
/// is as long as the other tasks have taken: if they got more, a busy leader would read requests
/// that it never handles; if they got less, requests would wait unread, and nothing would show it.
const BATCH_TIME_MIN: Duration = Duration::from_millis(1);
const BATCH_TIME_MAX: Duration = Duration::from_millis(15);
/// Interval at which a request in flight is checked for a change of the leader.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a leader after which requests are refused at once. An election takes 1 s, and
/// a longer outage is not likely to end soon.
const LEADERLESS_REFUSE_AFTER: Duration = Duration::from_millis(1_500);
/// Mean delay until the next report of a runner whose report was not answered in time.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Retry delay sent to clients while no leader is known.
const LEADERLESS_RETRY_AFTER_MS: u64 = 2_000;

/// Largest operator request or response that is forwarded between an entry and the leader. It
/// occupies a 2 Mbit/s link for 0.13 s, during which all other messages on the link wait.
const FORWARD_MAX_BYTES: usize = 32 * 1024;

/// A request that waits for the leader in this process.
pub(crate) struct WaitingRequest {
    request: CellRequest,
    reply_to: ReplyTo,
    /// What the request takes, if its connection is in another process. In this one, the client's
    /// connection is charged until it is answered.
    _holding: Option<Holding>,
}

/// Where the response to a request goes.
pub(crate) enum ReplyTo {
    /// A task of this process.
    Local(oneshot::Sender<CellResponse>),
    /// Another process, which numbered its request.
    Peer { id: u64, tx: mpsc::Sender<PeerMessage> },
}

impl ReplyTo {
    /// Sends the response. For another process, a document above [`FORWARD_MAX_BYTES`] is
    /// replaced by a redirect to `control`, so that the client fetches it from this process.
    pub(crate) fn send(self, response: CellResponse, control: Option<SocketAddr>) {
        // A receiver that is gone, or does not read, waits for no response any more.
        match self {
            Self::Local(tx) => drop(tx.send(response)),
            Self::Peer { id, tx } => {
                let response = match (&response, control) {
                    (CellResponse::Document(text), Some(control))
                        if text.len() > FORWARD_MAX_BYTES =>
                    {
                        CellResponse::AskLeader { control }
                    }
                    _ => response,
                };
                drop(tx.try_send(PeerMessage::Answer { id, response }));
            }
        }
    }
}

/// How a request reaches the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaderRoute {
    /// This process forwards the request to the leader.
    Forward,
    /// The client is redirected to the leader, if the leader's address is known.
    Redirect,
}

impl LeaderRoute {
    /// Chooses the route of a request with a body of `size` bytes.
    pub(crate) fn for_body_size(size: usize) -> Self {
        match size <= FORWARD_MAX_BYTES {
            true => Self::Forward,
            false => Self::Redirect,
        }
    }
}

impl SharedNode {
    /// Queues a request for the leader in this process; `None` if this process does not lead.
    fn request_local_leader(
        &self,
        request: &CellRequest,
    ) -> Option<oneshot::Receiver<CellResponse>> {
        self.with(|node| {
            if !node.is_leader() {
                return None;
            }
            let (tx, rx) = oneshot::channel();
            let at = node.clock.now();
            let reply_to = ReplyTo::Local(tx);
            let waiting = WaitingRequest { request: request.clone(), reply_to, _holding: None };
            node.intake.push(RequestClass::of(request), waiting, at);
            self.0.intake_wake.notify_one();
            Some(rx)
        })
    }

    /// Queues a request of another process for the leader in this process, or tells it that this
    /// process does not lead.
    pub(crate) fn queue_request(&self, request: CellRequest, reply_to: ReplyTo, holding: Holding) {
        self.with(|node| {
            if !node.is_leader() {
                return reply_to.send(node.not_leader(), node.cfg.control);
            }
            let at = node.clock.now();
            let class = RequestClass::of(&request);
            let waiting = WaitingRequest { request, reply_to, _holding: Some(holding) };
            node.intake.push(class, waiting, at);
            self.0.intake_wake.notify_one();
        });
    }

    /// Tells the leader in this process how late its work is.
    pub(crate) fn note_lateness(&self, late: Duration) {
        self.with(|node| {
            if let Some(leader) = node.replica.as_mut().and_then(|r| r.leader.as_mut()) {
                leader.note_wait(late);
            }
        });
    }

    /// Handles waiting requests for a while. Returns whether there may be more to do now.
    pub(crate) fn handle_waiting_requests(&self) -> bool {
        self.with(|node| {
            let may_continue = node.handle_waiting_requests();
            node.flush(self);
            may_continue && !node.intake.is_empty()
        })
    }

    /// Sends a request to the current leader and retries until `time_limit` has passed.
    pub(crate) async fn request_leader(
        &self,
        request: CellRequest,
        route: LeaderRoute,
        time_limit: Duration,
    ) -> CellResponse {
        let deadline = Instant::now() + time_limit;
        let mut sent = false;
        while Instant::now() < deadline {
            let attempt = match self.request_local_leader(&request) {
                Some(rx) => Some((None, rx)),
                None if route == LeaderRoute::Redirect
                    && let Some(control) = self.leader_control() =>
                {
                    return CellResponse::AskLeader { control };
                }
                None => self.send_to_leader(&request),
            };
            let Some((peer, rx)) = attempt else {
                if !sent && self.is_leaderless_too_long() {
                    break;
                }
                tokio::time::sleep(LEADER_POLL_INTERVAL).await;
                continue;
            };
            let resent = std::mem::replace(&mut sent, true);
            match self.await_response(peer, rx, deadline).await {
                Some(CellResponse::NotLeader { leader }) => {
                    self.correct_leader(peer, leader);
                    tokio::time::sleep(LEADER_POLL_INTERVAL).await;
                }
                // An earlier attempt without a response may have been executed.
                Some(CellResponse::Refused { .. } | CellResponse::NotServing { .. }) if resent => {
                    return CellResponse::Unknown;
                }
                Some(response) => return response,
                None => tokio::time::sleep(LEADER_POLL_INTERVAL).await,
            }
        }
        match sent {
            true => self.response_for_unanswered(&request),
            false => CellResponse::NotServing { after_ms: LEADERLESS_RETRY_AFTER_MS },
        }
    }

    /// Response to a request that was sent to the leader and not answered in time. While the
    /// leader is there and only slow, a runner is asked to return later: if its report failed, it
    /// would send the next one to another process at once, and the leader would get even more.
    fn response_for_unanswered(&self, request: &CellRequest) -> CellResponse {
        let is_report = RequestClass::of(request) == RequestClass::Report;
        match is_report && self.with(|node| node.peer_table.lead().is_some()) {
            true => CellResponse::Orders(Box::new(RunnerOrders {
                retry_after_ms: self.with(|node| {
                    node.metrics.reports_unanswered += 1;
                    millis(spread(UNANSWERED_RETRY_AFTER, node.metrics.reports_unanswered))
                }),
                ..RunnerOrders::default()
            })),
            false => CellResponse::Unknown,
        }
    }

    /// Waits for the response to an attempt. Returns `None` if none can come any more: the
    /// connection is lost, or another process leads. A leader that is slow to respond is still
    /// asked for nothing twice, and it is not given up: its answers to `Hello` show that it
    /// leads.
    async fn await_response(
        &self,
        peer: Option<SocketAddr>,
        mut rx: oneshot::Receiver<CellResponse>,
        deadline: Instant,
    ) -> Option<CellResponse> {
        loop {
            let check_at = deadline.min(Instant::now() + LEADER_CHECK_INTERVAL);
            match timeout_at(check_at, &mut rx).await {
                Ok(response) => return response.ok(),
                Err(_) if Instant::now() >= deadline => return None,
                Err(_) => {}
            }
            let leader = self.with(|node| node.peer_table.lead().map(|leader| leader.peer));
            if peer.is_some() && leader != peer {
                return None;
            }
        }
    }

    fn send_to_leader(
        &self,
        request: &CellRequest,
    ) -> Option<(Option<SocketAddr>, oneshot::Receiver<CellResponse>)> {
        self.with(|node| {
            let leader = node.peer_table.lead()?;
            let connection = node.connections.get_mut(&leader.peer)?;
            Some((Some(leader.peer), connection.request(request.clone())))
        })
    }

    /// Handles the statement of `peer` that it cannot serve as the leader, with the leader that
    /// it knows.
    fn correct_leader(&self, peer: Option<SocketAddr>, leader: Option<ReplicaId>) {
        let Some(peer) = peer else { return };
        self.with(|node| {
            let named = leader.and_then(|id| node.address_of(id));
            // A leader that names itself has only lost its lease for the moment.
            if named != Some(peer) {
                node.clear_leader(peer, "it does not lead");
            }
        });
    }

    fn is_leaderless_too_long(&self) -> bool {
        self.with(|node| node.clock.now().since(node.leader_known_at) > LEADERLESS_REFUSE_AFTER)
    }
}

impl Node {
    pub(crate) fn is_leader(&self) -> bool {
        self.replica.as_ref().is_some_and(Replica::is_leader)
    }

    /// Response of a process that cannot act as the leader, with the leader that it knows.
    pub(crate) fn not_leader(&self) -> CellResponse {
        let leader = self.replica.as_ref().and_then(|replica| replica.raft.leader());
        CellResponse::NotLeader { leader }
    }

    /// Returns false if the remaining requests must wait, for example for the lease.
    fn handle_waiting_requests(&mut self) -> bool {
        let mut now = self.now();
        let others = now.at.since(self.requests_handled_at);
        let until = now.at + others.clamp(BATCH_TIME_MIN, BATCH_TIME_MAX);
        if !self.is_leader() {
            while let Some(
                Next::Handle(waiting, _) | Next::Brief(waiting, _) | Next::Expired(waiting),
            ) = self.intake.pop(now.at)
            {
                waiting.reply_to.send(self.not_leader(), self.cfg.control);
            }
            return false;
        }
        while now.at <= until {
            let accepts = self.accepts_new_work(now.at);
            let Some(leader) = self.replica.as_mut().and_then(|replica| replica.leader(now.at))
            else {
                self.reject_expired(now.at);
                return false;
            };
            let token = RequestToken(self.next_token);
            match self.intake.pop(now.at) {
                None => break,
                Some(Next::Expired(waiting)) => {
                    let response = leader.reject(now, &waiting.request);
                    waiting.reply_to.send(response, self.cfg.control);
                    continue;
                }
                Some(Next::Handle(waiting, waited)) => {
                    leader.note_wait(waited);
                    if !accepts && let Some(response) = leader.refuse_new_work(&waiting.request) {
                        waiting.reply_to.send(response, self.cfg.control);
                        continue;
                    }
                    leader.handle_request(now, token, waiting.request);
                    self.pending_responses.insert(token, waiting.reply_to);
                }
                Some(Next::Brief(waiting, waited)) => {
                    leader.note_wait(waited);
                    leader.handle_briefly(now, token, waiting.request);
                    self.pending_responses.insert(token, waiting.reply_to);
                }
            }
            self.next_token += 1;
            now = self.now();
        }
        self.requests_handled_at = now.at;
        if let Some(replica) = &mut self.replica {
            replica.propose(now);
        }
        true
    }

    fn accepts_new_work(&self, now: Moment) -> bool {
        self.replica.as_ref().is_some_and(|replica| replica.store.accepts_new_work(now))
    }

    /// Rejects the requests that have waited too long for a leader without its lease.
    fn reject_expired(&mut self, now: Moment) {
        while let Some(waiting) = self.intake.pop_expired(now) {
            let response = CellResponse::NotServing { after_ms: LEADERLESS_RETRY_AFTER_MS };
            waiting.reply_to.send(response, self.cfg.control);
        }
    }
}
