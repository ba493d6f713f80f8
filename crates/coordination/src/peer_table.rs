//! Whom a process of a job cell knows: seeds, disks, and who leads. Sans-IO: tell it what
//! other processes say, with the current [`Moment`], and ask it.

use crate::moment::Moment;
use crate::raft::{Member, ReplicaId};
use crate::voters::Disk;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use yuccalink_state::id::Name;

/// Silence after which a leader is no longer believed in: three missed answers.
pub const LEAD_FRESH: Duration = Duration::from_millis(1_300);
/// Silence after which a disk that is no member is forgotten.
const DISK_FORGET: Duration = Duration::from_secs(30);

/// What a process says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Its name.
    pub name: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Where other processes of the cell reach it.
    pub peer: SocketAddr,
    /// Where runners and operators reach it.
    pub control: Option<SocketAddr>,
    /// Its disk, where it has one.
    pub replica: Option<ReplicaId>,
    /// It has a disk with nothing on it and may found a new cell.
    #[serde(rename = "may_found")]
    pub may_bootstrap: bool,
}

/// Who leads, as far as the sender knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderInfo {
    /// Its term.
    pub term: u64,
    /// Where other processes of the cell reach it.
    pub peer: SocketAddr,
    /// Where runners and operators reach it.
    pub control: Option<SocketAddr>,
    /// Said by the leader of itself: it holds its lease and a change set.
    pub serving: bool,
}

#[derive(Debug)]
struct Known {
    info: NodeInfo,
    /// When it was heard itself; never for one that others told of.
    heard: Option<Moment>,
    told: Moment,
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
    /// Processes to ask first, in an order that all share at the first start.
    pub seeds: Vec<SocketAddr>,
    bootstrap: bool,
    known: BTreeMap<SocketAddr, Known>,
    lead: Option<(LeaderInfo, Moment)>,
    /// Whom this process, being the first seed and without a disk, lets found.
    designated: Option<ReplicaId>,
    /// What the first seed said to that.
    founder: Option<ReplicaId>,
    /// Some process of the cell says that there is a leader or a state.
    founded: bool,
}

impl PeerTable {
    /// One that knows its seeds only; `bootstrap` at the very first start of a cell.
    pub fn new(me: NodeInfo, seeds: Vec<SocketAddr>, bootstrap: bool) -> Self {
        let known = BTreeMap::new();
        Self {
            me,
            seeds,
            bootstrap,
            known,
            lead: None,
            designated: None,
            founder: None,
            founded: false,
        }
    }

    /// Another process says who it is.
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
        self.known.insert(info.peer, Known { info, heard: Some(now), told: now });
    }

    /// Another process tells of a disk that it has heard.
    pub fn record_reported_peer(&mut self, info: &NodeInfo, now: Moment) {
        if info.peer == self.me.peer {
            return;
        }
        match self.known.get_mut(&info.peer) {
            // What a process says of itself is newer than what others tell.
            Some(known) if known.heard.is_some_and(|at| now.since(at) < DISK_FORGET) => {}
            Some(known) => known.told = now,
            None => {
                let known = Known { info: info.clone(), heard: None, told: now };
                self.known.insert(info.peer, known);
            }
        }
    }

    /// Another process tells who leads.
    pub fn record_leader(&mut self, lead: LeaderInfo, from: SocketAddr, now: Moment) {
        self.founded = true;
        // Whether this process leads its own replica knows best.
        if lead.peer == self.me.peer {
            return;
        }
        let by_itself = lead.peer == from;
        match &mut self.lead {
            Some((known, _)) if known.term > lead.term => {}
            Some((known, at)) if known.term == lead.term && known.peer == lead.peer => {
                if by_itself {
                    (*known, *at) = (lead, now);
                }
            }
            other => {
                let lead = LeaderInfo { serving: lead.serving && by_itself, ..lead };
                if other.as_ref().is_none_or(|(known, _)| known.peer != lead.peer) {
                    log::info!("leader={} term={} told-by={from}", lead.peer, lead.term);
                }
                *other = Some((lead, now));
            }
        }
    }

    /// The process believed to lead does not, or does not answer.
    pub fn clear_leader(&mut self, peer: SocketAddr, why: &str) {
        if self.lead.is_some_and(|(lead, _)| lead.peer == peer) {
            log::warn!("leader={peer} lost why={why}");
            self.lead = None;
        }
    }

    /// Drops a leader that has not been heard for long.
    pub fn tick(&mut self, now: Moment) {
        if let Some((lead, at)) = self.lead
            && now.since(at) > LEAD_FRESH
        {
            self.clear_leader(lead.peer, "silent");
        }
        self.known.retain(|_, known| now.since(known.told) < DISK_FORGET);
    }

    /// Who leads, as far as is known.
    pub fn lead(&self) -> Option<LeaderInfo> {
        self.lead.map(|(lead, _)| lead)
    }

    /// Another process tells whom the first seed lets found; only that one's word counts.
    pub fn record_bootstrapper(&mut self, founder: Option<ReplicaId>, from: SocketAddr) {
        if self.seeds.first() == Some(&from) && founder.is_some() {
            self.founder = founder;
        }
    }

    /// Whom this process, as the first seed and without a disk, lets found.
    pub fn designated(&self) -> Option<ReplicaId> {
        self.designated
    }

    /// Disks that this process has heard itself lately, for others to know.
    pub fn disks(&self, now: Moment) -> Vec<NodeInfo> {
        let fresh = |known: &&Known| known.heard.is_some_and(|at| now.since(at) < DISK_FORGET);
        let disks = self.known.values().filter(fresh).map(|known| &known.info);
        disks.filter(|info| info.replica.is_some()).cloned().collect()
    }

    /// The same, as candidates for a vote.
    pub fn candidates(&self, now: Moment) -> Vec<Disk> {
        let candidate = |known: &Known| {
            let info = &known.info;
            let silent = now.since(known.heard?);
            let member = member_of(info)?;
            Some(Disk { member, zone: info.zone.clone(), silent })
        };
        self.known.values().filter_map(candidate).collect()
    }

    /// Where a replica's daemon is, by its own word.
    pub fn address_of(&self, id: ReplicaId) -> Option<SocketAddr> {
        let is = |known: &&Known| known.info.replica == Some(id);
        self.known.values().find(is).map(|known| known.info.peer)
    }

    /// Where runners and operators reach a daemon.
    pub fn control_of(&self, peer: SocketAddr) -> Option<SocketAddr> {
        self.known.get(&peer).and_then(|known| known.info.control)
    }

    /// Whom this process keeps a connection to. Without a leader: whoever may know
    /// one. With one: the leader, and from a disk every other disk.
    pub fn wanted_links(&self, members: &[SocketAddr]) -> BTreeSet<SocketAddr> {
        let mut wanted = BTreeSet::new();
        let has_disk = self.me.replica.is_some();
        if let Some((lead, _)) = &self.lead {
            wanted.insert(lead.peer);
        }
        if self.lead.is_none() || has_disk {
            let disks = self.known.values().filter(|known| known.info.replica.is_some());
            wanted.extend(disks.map(|known| known.info.peer));
            wanted.extend(members);
        }
        if self.lead.is_none() {
            wanted.extend(&self.seeds);
        }
        wanted.remove(&self.me.peer);
        wanted
    }

    /// Whether this process is to found the cell: it has an empty disk, the cell is
    /// new, and it is the first seed with a disk. Exactly one may: two founders
    /// would make two cells that both believe to be the only one. A seed that does
    /// not answer may have a disk, so nobody founds before it does.
    pub fn should_bootstrap(&self, empty: bool) -> bool {
        if !self.bootstrap || !empty || self.founded || self.lead.is_some() {
            return false;
        }
        for seed in &self.seeds {
            if *seed == self.me.peer {
                return true;
            }
            match self.known.get(seed) {
                Some(known) if known.heard.is_some() && known.info.replica.is_none() => {}
                _ => return false,
            }
        }
        match self.seeds.is_empty() {
            true => true,
            false => self.founder.is_some() && self.founder == self.me.replica,
        }
    }
}

/// A process with a disk as a member of the consensus.
pub fn member_of(info: &NodeInfo) -> Option<Member> {
    let name = Name::new(&info.name).ok()?;
    Some(Member { id: info.replica?, name, address: info.peer.to_string().into() })
}
