//! The processes of a job cell that one process knows: seeds, disks and the leader. Sans-IO:
//! the caller passes in the messages of other processes with the current [`Moment`] and queries
//! the result.

use crate::moment::Moment;
use crate::raft::{Member, ReplicaId};
use crate::voters::Disk;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::net::SocketAddr;
use std::time::Duration;
use yuccalink_state::id::Name;

/// Time without an answer after which the leader is dropped: three missed answers.
pub const LEADER_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Longest interval between two `Hello` messages of a process without a disk to a leader whose
/// answers show that it leads. The `Welcome` also reports the disks.
pub const CONFIRMED_HELLO_INTERVAL: Duration = Duration::from_secs(2);
/// Processes that a process without a disk asks for the leader at once. With all of them, each
/// change of leader would bring every disk a connection from every process of the cell.
const SEARCH_LINKS: usize = 3;
/// Time after which a process that has not found the leader asks other processes.
const SEARCH_ROUND: Duration = Duration::from_millis(1_000);
/// Time without a report by or about a process after which it is removed from the table.
const PEER_RETENTION: Duration = Duration::from_secs(30);

/// What a process reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Its name.
    pub name: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Address for other processes of the cell.
    pub peer: SocketAddr,
    /// Address for runners and operators.
    pub control: Option<SocketAddr>,
    /// The replica on its disk, if it has a disk.
    pub replica: Option<ReplicaId>,
    /// It has an empty disk and may bootstrap a new cell.
    #[serde(rename = "may_found")]
    pub may_bootstrap: bool,
}

/// The leader as known to the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderInfo {
    /// Its term.
    pub term: u64,
    /// Its address for other processes of the cell.
    pub peer: SocketAddr,
    /// Its address for runners and operators.
    pub control: Option<SocketAddr>,
    /// Reported by the leader about itself: it holds its lease and has a change set.
    pub serving: bool,
}

#[derive(Debug)]
struct KnownPeer {
    info: NodeInfo,
    /// When its own last message arrived; none if only other processes reported it.
    last_heard: Option<Moment>,
    last_reported: Moment,
}

/// What one process knows of the others.
///
/// ```
/// use yuccalink_coordination::Moment;
/// use yuccalink_coordination::raft::ReplicaId;
/// use yuccalink_coordination::peer_table::{NodeInfo, PeerTable};
/// let me = NodeInfo {
///     name: "e1".into(),
///     zone: "brno".into(),
///     peer: "10.0.0.1:8082".parse().unwrap(),
///     control: None,
///     replica: Some(ReplicaId(7)),
///     may_bootstrap: true,
/// };
/// let alone = PeerTable::new(me.clone(), vec![me.peer], true);
/// assert!(alone.should_bootstrap(true), "the first seed, with an empty disk");
/// assert!(!alone.should_bootstrap(false), "its disk holds a cell already");
/// ```
#[derive(Debug)]
pub struct PeerTable {
    /// This process.
    pub me: NodeInfo,
    /// Addresses to contact first, in an order that all processes share at the first start.
    pub seeds: Vec<SocketAddr>,
    bootstrap: bool,
    known: BTreeMap<SocketAddr, KnownPeer>,
    leader: Option<(LeaderInfo, Moment)>,
    /// The replica that this process, as the first seed and without a disk, chose to bootstrap the
    /// cell.
    designated: Option<ReplicaId>,
    /// The replica that the first seed chose to bootstrap the cell, as the first seed reported it.
    bootstrapper: Option<ReplicaId>,
    /// Another process has reported a leader, so the cell exists.
    cell_exists: bool,
    /// How often the search for the leader has moved on to other processes.
    search_round: usize,
    search_round_at: Moment,
    /// The processes asked in this round.
    asked: BTreeSet<SocketAddr>,
}

impl PeerTable {
    /// Creates a table that contains only the seeds; `bootstrap` is set at the very first start of
    /// a cell.
    pub fn new(me: NodeInfo, seeds: Vec<SocketAddr>, bootstrap: bool) -> Self {
        let known = BTreeMap::new();
        Self {
            me,
            seeds,
            bootstrap,
            known,
            leader: None,
            designated: None,
            bootstrapper: None,
            cell_exists: false,
            search_round: 0,
            search_round_at: Moment::ZERO,
            asked: BTreeSet::new(),
        }
    }

    /// Records a process that reports about itself.
    pub fn record_peer(&mut self, info: NodeInfo, now: Moment) {
        if info.peer == self.me.peer {
            return;
        }
        let first_seed = self.seeds.first() == Some(&self.me.peer);
        if first_seed
            && self.me.replica.is_none()
            && info.may_bootstrap
            && self.designated.is_none()
        {
            self.designated = info.replica;
        }
        self.known.insert(info.peer, KnownPeer { info, last_heard: Some(now), last_reported: now });
    }

    /// Records a disk that another process reports.
    pub fn record_reported_peer(&mut self, info: &NodeInfo, now: Moment) {
        if info.peer == self.me.peer {
            return;
        }
        match self.known.get_mut(&info.peer) {
            // A recent report of the process about itself takes precedence over what others report.
            Some(known) if known.last_heard.is_some_and(|at| now.since(at) < PEER_RETENTION) => {}
            Some(known) => known.last_reported = now,
            None => {
                let known = KnownPeer { info: info.clone(), last_heard: None, last_reported: now };
                self.known.insert(info.peer, known);
            }
        }
    }

    /// Records the leader that another process reports.
    pub fn record_leader(&mut self, leader: LeaderInfo, from: SocketAddr, now: Moment) {
        self.cell_exists = true;
        // Whether this process leads is decided by its own replica.
        if leader.peer == self.me.peer {
            return;
        }
        let by_itself = leader.peer == from;
        match &mut self.leader {
            Some((known, _)) if known.term > leader.term => {}
            Some((known, at)) if known.term == leader.term && known.peer == leader.peer => {
                if by_itself {
                    (*known, *at) = (leader, now);
                }
            }
            other => {
                let leader = LeaderInfo { serving: leader.serving && by_itself, ..leader };
                if other.as_ref().is_none_or(|(known, _)| known.peer != leader.peer) {
                    log::info!("leader={} term={} told-by={from}", leader.peer, leader.term);
                }
                *other = Some((leader, now));
            }
        }
    }

    /// Records that the leader answered a request, which shows that it leads, as a `Welcome` of
    /// its own does.
    pub fn confirm_leader(&mut self, peer: SocketAddr, now: Moment) {
        if let Some((leader, at)) = &mut self.leader
            && leader.peer == peer
            && leader.serving
        {
            *at = now;
        }
    }

    /// Removes the leader if it is `peer`, because it does not answer or no longer leads.
    pub fn clear_leader(&mut self, peer: SocketAddr, why: &str) {
        if self.leader.is_some_and(|(leader, _)| leader.peer == peer) {
            log::warn!("leader={peer} lost why={why}");
            self.leader = None;
        }
    }

    /// Drops a leader that has been silent for longer than [`LEADER_TIMEOUT`], and processes that
    /// were not reported for `PEER_RETENTION`.
    pub fn tick(&mut self, now: Moment) {
        if let Some((leader, at)) = self.leader
            && now.since(at) > LEADER_TIMEOUT
        {
            self.clear_leader(leader.peer, "silent");
        }
        if self.leader.is_some() {
            self.search_round_at = now;
            self.asked.clear();
        } else if now.since(self.search_round_at) > SEARCH_ROUND {
            self.search_round += 1;
            self.search_round_at = now;
            self.asked.clear();
        }
        self.known.retain(|_, known| now.since(known.last_reported) < PEER_RETENTION);
    }

    /// The leader, if one is known.
    pub fn lead(&self) -> Option<LeaderInfo> {
        self.leader.map(|(leader, _)| leader)
    }

    /// Records the replica that the first seed chose to bootstrap the cell; only the first seed's
    /// message counts.
    pub fn record_bootstrapper(&mut self, bootstrapper: Option<ReplicaId>, from: SocketAddr) {
        if self.seeds.first() == Some(&from) && bootstrapper.is_some() {
            self.bootstrapper = bootstrapper;
        }
    }

    /// The replica that this process, as the first seed and without a disk, chose to bootstrap the
    /// cell.
    pub fn designated(&self) -> Option<ReplicaId> {
        self.designated
    }

    /// Disks that recently reported to this process, for other processes.
    pub fn disks(&self, now: Moment) -> Vec<NodeInfo> {
        let fresh =
            |known: &&KnownPeer| known.last_heard.is_some_and(|at| now.since(at) < PEER_RETENTION);
        let disks = self.known.values().filter(fresh).map(|known| &known.info);
        disks.filter(|info| info.replica.is_some()).cloned().collect()
    }

    /// Disks that have reported to this process, as candidates for voters.
    pub fn candidates(&self, now: Moment) -> Vec<Disk> {
        let candidate = |known: &KnownPeer| {
            let info = &known.info;
            let silent = now.since(known.last_heard?);
            let member = member_of(info)?;
            Some(Disk { member, zone: info.zone.clone(), silent })
        };
        self.known.values().filter_map(candidate).collect()
    }

    /// Address of the process whose disk holds this replica.
    pub fn address_of(&self, id: ReplicaId) -> Option<SocketAddr> {
        let is = |known: &&KnownPeer| known.info.replica == Some(id);
        self.known.values().find(is).map(|known| known.info.peer)
    }

    /// Address at which runners and operators reach a process.
    pub fn control_of(&self, peer: SocketAddr) -> Option<SocketAddr> {
        self.known.get(&peer).and_then(|known| known.info.control)
    }

    /// The processes that this one keeps a connection to. With a leader: the leader and, if this
    /// process has a disk, every other disk. Without a leader: processes that may know one, all of
    /// them if this process has a disk, else a few at a time.
    pub fn wanted_links(&mut self, members: &[SocketAddr]) -> BTreeSet<SocketAddr> {
        let mut wanted = BTreeSet::new();
        let has_disk = self.me.replica.is_some();
        if let Some((leader, _)) = &self.leader {
            wanted.insert(leader.peer);
        }
        if self.leader.is_none() || has_disk {
            let disks = self.known.values().filter(|known| known.info.replica.is_some());
            wanted.extend(disks.map(|known| known.info.peer));
            wanted.extend(members);
        }
        if self.leader.is_none() {
            wanted.extend(&self.seeds);
        }
        wanted.remove(&self.me.peer);
        match self.leader.is_none() && !has_disk {
            true => self.few_to_ask(&wanted),
            false => wanted,
        }
    }

    /// A few of the processes that may know the leader, the same ones for one round of the search.
    /// Each process starts at another one, so that the questions are spread.
    fn few_to_ask(&mut self, candidates: &BTreeSet<SocketAddr>) -> BTreeSet<SocketAddr> {
        self.asked.retain(|peer| candidates.contains(peer));
        let mut hasher = DefaultHasher::new();
        self.me.peer.hash(&mut hasher);
        let count = candidates.len().max(1);
        let own_start = hasher.finish() as usize % count;
        let start = (own_start + self.search_round * SEARCH_LINKS) % count;
        let from_start = candidates.iter().skip(start).chain(candidates.iter().take(start));
        for peer in from_start {
            if self.asked.len() >= SEARCH_LINKS {
                break;
            }
            self.asked.insert(*peer);
        }
        self.asked.clone()
    }

    /// Whether this process is to bootstrap the cell: the cell is new, this process has an empty
    /// disk, and it is the first seed with a disk. At most one process may do so: two would make
    /// two cells that each consider themselves the only one. A seed that does not answer may have a
    /// disk, so no process after it bootstraps until it answers.
    pub fn should_bootstrap(&self, empty: bool) -> bool {
        if !self.bootstrap || !empty || self.cell_exists || self.leader.is_some() {
            return false;
        }
        for seed in &self.seeds {
            if *seed == self.me.peer {
                return true;
            }
            match self.known.get(seed) {
                Some(known) if known.last_heard.is_some() && known.info.replica.is_none() => {}
                _ => return false,
            }
        }
        match self.seeds.is_empty() {
            true => true,
            false => self.bootstrapper.is_some() && self.bootstrapper == self.me.replica,
        }
    }
}

/// The process as a Raft member, if it has a disk and a valid name.
pub fn member_of(info: &NodeInfo) -> Option<Member> {
    let name = Name::new(&info.name).ok()?;
    Some(Member { id: info.replica?, name, address: info.peer.to_string().into() })
}
