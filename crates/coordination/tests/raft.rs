//! Tests Raft under random histories: messages lost, delayed, duplicated and reordered, crashes
//! that lose unsynced writes, one-way partitions, replaced disks, disks lost while all other VMs
//! lose power, and drifting clocks.
//! `YUCCALINK_SEED=n` runs one history, `YUCCALINK_HISTORIES=n` sets the number of histories.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_coordination::raft::{
    Envelope, HardState, LogEntry, LogWrite, Member, Members, Payload, Raft, ReplicaId, Restored,
    Role, SnapshotMeta,
};
use yuccalink_coordination::voters::{self, MembershipView};
use yuccalink_state::id::Name;

const HISTORIES: u64 = 10_000;
const STEPS: usize = 500;
/// Histories in which disks are lost while all other VMs lose power.
const DARK_HISTORIES: u64 = 2_000;
/// Disks of a cell, and how many of them may be lost at once.
const CELLS: [(usize, usize); 4] = [(8, 2), (5, 2), (4, 1), (3, 1)];

/// Durable state of a replica, and writes that are not synced yet.
#[derive(Clone, Default)]
struct Disk {
    hard: HardState,
    snapshot: SnapshotMeta,
    state: Vec<u64>,
    entries: Vec<LogEntry>,
    unsynced: VecDeque<LogWrite>,
}

impl Disk {
    fn sync_one(&mut self) -> Option<u64> {
        let write = self.unsynced.pop_front()?;
        self.hard = write.hard;
        let keep = write.first.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(usize::try_from(keep).expect("small"));
        self.entries.extend(write.entries);
        Some(write.seq)
    }
}

struct Node {
    disk: Disk,
    raft: Option<Raft>,
    applied: Vec<u64>,
    awaiting_sync: Vec<(u64, Envelope)>,
    synced: u64,
    /// Clock drift in parts per million; positive if the clock is fast.
    drift_ppm: i64,
    snapshot_pending: BTreeSet<ReplicaId>,
}

struct World {
    rng: Pcg64Mcg,
    now: u64,
    nodes: BTreeMap<ReplicaId, Node>,
    current_replicas: Vec<ReplicaId>,
    next_id: u64,
    network: Vec<(u64, Envelope)>,
    blocked_links: BTreeSet<(ReplicaId, ReplicaId)>,
    leaders: BTreeMap<u64, ReplicaId>,
    log: Vec<Option<u64>>,
    proposals: u64,
    acknowledged: BTreeSet<u64>,
    pending_proposals: BTreeMap<u64, (u64, ReplicaId, u64)>,
    faults_off: bool,
    time_step: Duration,
    max_delay_us: u64,
    /// Disk losses that the cell tolerates, if its members are chosen like by the daemon.
    tolerance: Option<usize>,
}

fn member(id: ReplicaId, position: usize) -> Member {
    Member {
        id,
        name: Name::new(&format!("e{position}")).expect("a name"),
        address: format!("a{position}").into(),
    }
}

fn command_number(entry: &LogEntry) -> Option<u64> {
    match &entry.payload {
        Payload::Command(bytes) => Some(u64::from_le_bytes(bytes[..8].try_into().expect("eight"))),
        Payload::Empty | Payload::Members(_) => None,
    }
}

impl World {
    fn new(seed: u64, replicas: usize) -> Self {
        Self::with_tolerance(seed, replicas, None)
    }

    fn with_tolerance(seed: u64, replicas: usize, tolerance: Option<usize>) -> Self {
        // Half of the networks are fast, to expose rules that depend on time.
        let fast = seed % 2 == 1;
        let mut world = Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 1_000_000,
            nodes: BTreeMap::new(),
            current_replicas: Vec::new(),
            next_id: 0,
            network: Vec::new(),
            blocked_links: BTreeSet::new(),
            leaders: BTreeMap::new(),
            log: vec![None],
            proposals: 0,
            acknowledged: BTreeSet::new(),
            pending_proposals: BTreeMap::new(),
            faults_off: false,
            time_step: Duration::from_millis(if fast { 5 } else { 20 }),
            max_delay_us: if fast { 8_000 } else { 150_000 },
            tolerance,
        };
        for _ in 0..replicas {
            let id = world.new_node();
            world.current_replicas.push(id);
        }
        world.bootstrap();
        world
    }

    /// Bootstraps the group if every replica reports that it is empty, as the daemons do.
    fn bootstrap(&mut self) {
        if self.nodes.values().any(|node| node.raft.as_ref().is_none_or(|raft| !raft.is_empty())) {
            return;
        }
        let first_voters = if self.tolerance.is_some() { 1 } else { usize::MAX };
        let all = self.current_replicas.iter().enumerate().take(first_voters);
        let voters = all.map(|(at, id)| member(*id, at)).collect();
        let first = self.current_replicas[0];
        let at = self.clock(first);
        let bootstrapper = self.nodes.get_mut(&first).expect("a node").raft.as_mut().expect("up");
        bootstrapper.bootstrap(Members { voters, learners: Vec::new() }, at);
        self.process_output(first);
    }

    fn new_node(&mut self) -> ReplicaId {
        self.next_id += 1;
        let id = ReplicaId(self.next_id);
        let node = Node {
            disk: Disk::default(),
            raft: None,
            applied: Vec::new(),
            awaiting_sync: Vec::new(),
            synced: 0,
            drift_ppm: self.rng.random_range(-9_000..=9_000),
            snapshot_pending: BTreeSet::new(),
        };
        self.nodes.insert(id, node);
        self.start(id);
        id
    }

    /// The node's own clock, which drifts within the allowed bound.
    fn clock(&self, id: ReplicaId) -> Moment {
        let drift_ppm = self.nodes[&id].drift_ppm;
        let now = i64::try_from(self.now).expect("small");
        Moment(u64::try_from(now + now / 1_000_000 * drift_ppm + 1_000_000).expect("positive"))
    }

    fn start(&mut self, id: ReplicaId) {
        let at = self.clock(id);
        let seed = self.rng.random_range(0..u64::MAX);
        let node = self.nodes.get_mut(&id).expect("a node");
        let restored = Restored {
            hard: node.disk.hard,
            snapshot: node.disk.snapshot.clone(),
            entries: node.disk.entries.clone(),
        };
        node.applied = node.disk.state.clone();
        node.synced = 0;
        node.awaiting_sync.clear();
        node.snapshot_pending.clear();
        node.raft = Some(Raft::new(id, restored, seed, at));
    }

    /// Simulates a power loss: a prefix of the unsynced writes may have reached the disk.
    fn crash(&mut self, id: ReplicaId) {
        let surviving_writes = self.rng.random_range(0..3);
        let node = self.nodes.get_mut(&id).expect("a node");
        for _ in 0..surviving_writes {
            node.disk.sync_one();
        }
        node.disk.unsynced.clear();
        node.raft = None;
    }

    fn process_output(&mut self, id: ReplicaId) {
        loop {
            let at = self.clock(id);
            let node = self.nodes.get_mut(&id).expect("a node");
            let Some(raft) = &mut node.raft else { return };
            let output = raft.take();
            let idle = output.persist.is_empty()
                && output.messages.is_empty()
                && output.committed.is_empty()
                && output.need_snapshot.is_empty()
                && output.install.is_none();
            if idle {
                break;
            }
            node.disk.unsynced.extend(output.persist);
            node.awaiting_sync.extend(output.messages);
            node.snapshot_pending.extend(output.need_snapshot);
            if let Some((meta, bytes)) = output.install {
                let state: Vec<u64> = bytes
                    .chunks(8)
                    .map(|part| u64::from_le_bytes(part.try_into().expect("eight")))
                    .collect();
                // Installing a snapshot also syncs everything written before.
                while node.disk.sync_one().is_some() {}
                node.synced = u64::MAX;
                node.disk.install(&meta, &state);
                node.applied = state;
                raft.installed(Some(meta));
                node.synced = synced_seq(&node.disk, node.synced);
            }
            for (index, entry) in output.committed {
                self.check_committed(id, index, &entry);
                let node = self.nodes.get_mut(&id).expect("a node");
                node.applied.extend(command_number(&entry));
                self.acknowledge(id, index, &entry);
            }
            let _ = at;
        }
        self.offer_snapshots(id);
        self.send_synced(id);
        self.check_single_leader(id);
    }

    fn offer_snapshots(&mut self, id: ReplicaId) {
        let at = self.clock(id);
        let node = self.nodes.get_mut(&id).expect("a node");
        let Some(raft) = &mut node.raft else { return };
        let pending = std::mem::take(&mut node.snapshot_pending);
        if pending.is_empty() {
            return;
        }
        let meta = SnapshotMeta {
            index: raft.commit(),
            term: raft.term_at(raft.commit()).expect("in memory"),
            members: raft.members_at(raft.commit()),
        };
        let bytes: Vec<u8> = node.applied.iter().flat_map(|n| n.to_le_bytes()).collect();
        let bytes: Arc<[u8]> = bytes.into();
        for to in pending {
            raft.offer_snapshot(at, to, meta.clone(), bytes.clone());
        }
        self.process_output(id);
    }

    /// Sends the messages whose writes are synced.
    fn send_synced(&mut self, id: ReplicaId) {
        let node = self.nodes.get_mut(&id).expect("a node");
        let synced = node.synced;
        let (ready, awaiting_sync) = std::mem::take(&mut node.awaiting_sync)
            .into_iter()
            .partition(|(seq, _)| *seq <= synced);
        node.awaiting_sync = awaiting_sync;
        let ready: Vec<(u64, Envelope)> = ready;
        for (_, envelope) in ready {
            let copies = if self.faults_off || self.rng.random_range(0..20) > 0 { 1 } else { 2 };
            for _ in 0..copies {
                if !self.faults_off && self.rng.random_range(0..12) == 0 {
                    continue;
                }
                let max_delay = if self.faults_off { 5_000 } else { self.max_delay_us };
                let delay = self.rng.random_range(500..max_delay);
                self.network.push((self.now + delay, envelope.clone()));
            }
        }
    }

    fn check_single_leader(&mut self, id: ReplicaId) {
        let Some(raft) = &self.nodes[&id].raft else { return };
        if raft.role() == Role::Leader {
            let other = self.leaders.insert(raft.term(), id);
            assert!(
                other.is_none_or(|other| other == id),
                "several leaders in term {}",
                raft.term()
            );
        }
    }

    fn check_committed(&mut self, id: ReplicaId, index: u64, entry: &LogEntry) {
        let index = usize::try_from(index).expect("small");
        let value = Some(command_number(entry).unwrap_or(u64::MAX - entry.term));
        if self.log.len() <= index {
            self.log.resize(index + 1, None);
        }
        match self.log[index] {
            None => self.log[index] = value,
            committed => {
                assert_eq!(committed, value, "{id} committed a different entry at {index}")
            }
        }
    }

    fn acknowledge(&mut self, id: ReplicaId, index: u64, entry: &LogEntry) {
        if let Some((expected_number, leader, term)) = self.pending_proposals.get(&index).copied()
            && leader == id
            && entry.term == term
            && command_number(entry) == Some(expected_number)
        {
            self.acknowledged.insert(expected_number);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.network).into_iter().partition(|(at, _)| *at <= now);
        self.network = later;
        for (_, envelope) in due {
            let link = (envelope.from, envelope.to);
            let to = envelope.to;
            if self.blocked_links.contains(&link) || !self.nodes.contains_key(&to) {
                continue;
            }
            let at = self.clock(to);
            if let Some(raft) = &mut self.nodes.get_mut(&to).expect("a node").raft {
                raft.step(at, envelope);
                self.process_output(to);
                self.check_leases();
            }
        }
    }

    fn sync_disks(&mut self) {
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        for id in ids {
            if !self.faults_off && self.rng.random_range(0..3) == 0 {
                continue;
            }
            let at = self.clock(id);
            let node = self.nodes.get_mut(&id).expect("a node");
            let mut last = None;
            while let Some(seq) = node.disk.sync_one() {
                last = Some(seq);
            }
            if let (Some(seq), Some(raft)) = (last, &mut node.raft) {
                node.synced = seq;
                raft.persisted(seq, at);
                self.process_output(id);
            }
        }
    }

    fn tick(&mut self) {
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        for id in ids {
            let at = self.clock(id);
            if let Some(raft) = &mut self.nodes.get_mut(&id).expect("a node").raft {
                raft.tick(at);
                self.process_output(id);
            }
        }
    }

    /// At any moment, at most one replica may consider itself allowed to grant leases.
    fn check_leases(&self) {
        let holders: Vec<ReplicaId> = self
            .nodes
            .iter()
            .filter(|(id, node)| {
                node.raft.as_ref().is_some_and(|raft| raft.has_lease(self.clock(**id)))
            })
            .map(|(id, _)| *id)
            .collect();
        assert!(holders.len() <= 1, "several replicas may grant leases: {holders:?}");
    }

    fn propose(&mut self) {
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        for id in ids {
            let at = self.clock(id);
            let Some(raft) = &mut self.nodes.get_mut(&id).expect("a node").raft else { continue };
            let command_number = self.proposals + 1;
            let bytes: Arc<[u8]> = command_number.to_le_bytes().to_vec().into();
            if let Ok(index) = raft.propose(at, vec![bytes]) {
                self.proposals = command_number;
                self.pending_proposals.insert(index, (command_number, id, raft.term()));
                self.process_output(id);
            }
        }
    }

    fn compact(&mut self, id: ReplicaId) {
        let keep = self.rng.random_range(0..6);
        let node = self.nodes.get_mut(&id).expect("a node");
        let Some(raft) = &mut node.raft else { return };
        let index = raft.commit();
        let Some(term) = raft.term_at(index) else { return };
        let durable = node.disk.snapshot.index + node.disk.entries.len() as u64;
        if index <= node.disk.snapshot.index || index > durable || !node.disk.unsynced.is_empty() {
            return;
        }
        let meta = SnapshotMeta { index, term, members: raft.members_at(index) };
        node.disk.install(&meta, &node.applied);
        raft.compact(index, keep);
    }

    /// Replaces a VM: its old disk is gone, and the new one must catch up first.
    fn replace(&mut self) {
        let position = self.rng.random_range(0..self.current_replicas.len());
        let old = self.current_replicas[position];
        if self.nodes[&old].raft.as_ref().is_some_and(|raft| raft.role() == Role::Leader) {
            return;
        }
        // A disk may be lost right after another was repaired, but not before.
        let repaired = |raft: &Raft| {
            raft.has_committed_in_term()
                && raft.members_committed()
                && self.current_replicas.iter().all(|id| raft.members().is_voter(*id))
        };
        if !self.nodes.iter().any(|(id, node)| {
            node.raft.as_ref().is_some_and(|raft| raft.has_lease(self.clock(*id)) && repaired(raft))
        }) {
            return;
        }
        self.nodes.remove(&old);
        self.current_replicas[position] = self.new_node();
    }

    /// Changes members after a disk was replaced, as the daemon of the leader does.
    fn repair(&mut self) {
        if let Some(tolerance) = self.tolerance {
            return self.repair_by_policy(tolerance);
        }
        for (position, id) in self.current_replicas.clone().into_iter().enumerate() {
            let leaders: Vec<ReplicaId> = self.nodes.keys().copied().collect();
            for leader in leaders {
                let at = self.clock(leader);
                let nodes = &mut self.nodes;
                let Some(raft) = &mut nodes.get_mut(&leader).expect("a node").raft else {
                    continue;
                };
                if !raft.has_committed_in_term() || raft.members().is_voter(id) {
                    continue;
                }
                let mut members = raft.members().clone();
                let name = Name::new(&format!("e{position}")).expect("a name");
                if !members.learners.iter().any(|learner| learner.id == id) {
                    members.learners.retain(|learner| learner.name != name);
                    members.learners.push(member(id, position));
                } else if !raft.is_caught_up(id) {
                    continue;
                } else if members.voters.iter().any(|voter| voter.name == name) {
                    members.voters.retain(|voter| voter.name != name);
                } else {
                    members.learners.retain(|learner| learner.id != id);
                    members.voters.push(member(id, position));
                }
                let _ = raft.change_members(at, members);
                self.process_output(leader);
            }
        }
    }

    fn repair_by_policy(&mut self, tolerance: usize) {
        let up = |(_, id): &(usize, &ReplicaId)| self.nodes[*id].raft.is_some();
        let disk = |(at, id): (usize, &ReplicaId)| voters::Disk {
            member: member(*id, at),
            zone: format!("z{}", at % 3).into(),
            silent: Duration::ZERO,
        };
        let disks: Vec<voters::Disk> =
            self.current_replicas.iter().enumerate().filter(up).map(disk).collect();
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        for leader in ids {
            let at = self.clock(leader);
            let Some(raft) = &mut self.nodes.get_mut(&leader).expect("a node").raft else {
                continue;
            };
            if !raft.has_committed_in_term() || !raft.members_committed() {
                continue;
            }
            let members = raft.members().clone();
            let ids = || members.all().map(|member| member.id);
            let heard = |id| Some((id, at.since(raft.last_heard(id)?)));
            let view = MembershipView {
                own: leader,
                silent: ids().filter_map(heard).collect(),
                caught_up: ids().filter(|id| raft.is_caught_up(*id)).collect(),
                disks: disks.iter().filter(|disk| disk.member.id != leader).cloned().collect(),
                members: members.clone(),
            };
            if let Some((members, _)) = voters::next(&view, voters::wanted(tolerance)) {
                let _ = raft.change_members(at, members);
                self.process_output(leader);
            }
        }
    }

    /// Whether a leader has all voters that the tolerance requires, each with its disk.
    fn is_whole(&self, tolerance: usize) -> bool {
        let whole = |(id, node): (&ReplicaId, &Node)| {
            let Some(raft) = &node.raft else { return false };
            let voters = &raft.members().voters;
            let sound = |voter: &Member| {
                self.current_replicas.contains(&voter.id)
                    && (voter.id == *id || raft.is_caught_up(voter.id))
            };
            raft.has_lease(self.clock(*id))
                && raft.members_committed()
                && voters.len() == voters::wanted(tolerance)
                && voters.iter().all(sound)
        };
        self.nodes.iter().any(whole)
    }

    /// Ends all faults and waits until the voters are whole.
    fn make_whole(&mut self, tolerance: usize) {
        const STEPS_MAX: usize = 3_000;
        self.faults_off = true;
        self.blocked_links.clear();
        self.start_all();
        for _ in 0..STEPS_MAX {
            self.step();
            self.repair();
            if self.is_whole(tolerance) {
                self.faults_off = false;
                return;
            }
        }
        panic!("the voters are not whole: {}", self.describe());
    }

    fn start_all(&mut self) {
        let down: Vec<ReplicaId> =
            self.nodes.keys().copied().filter(|id| self.nodes[id].raft.is_none()).collect();
        down.into_iter().for_each(|id| self.start(id));
    }

    /// The VM at this position gets an empty disk, and starts later.
    fn lose_disk(&mut self, position: usize) {
        self.nodes.remove(&self.current_replicas[position]);
        let id = self.new_node();
        self.nodes.get_mut(&id).expect("a node").raft = None;
        self.current_replicas[position] = id;
    }

    /// Loses disks, the leader's or not, while all other VMs lose power; the VMs start again in
    /// any order.
    fn lose_disks_and_power(&mut self, disks: usize) {
        let mut left: Vec<usize> = (0..self.current_replicas.len()).collect();
        let leads = |at: &usize| {
            let raft = self.nodes[&self.current_replicas[*at]].raft.as_ref();
            raft.is_some_and(|raft| raft.role() == Role::Leader)
        };
        let leader = left.iter().position(leads);
        for lost in 0..disks {
            let at = match leader.filter(|_| lost == 0) {
                Some(at) if self.rng.random_range(0..2) == 0 => at,
                _ => self.rng.random_range(0..left.len()),
            };
            let position = left.swap_remove(at);
            self.lose_disk(position);
        }
        for position in left {
            self.crash(self.current_replicas[position]);
        }
        if self.rng.random_range(0..2) == 0 {
            self.network.clear();
        }
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        for _ in 0..self.rng.random_range(0..200) {
            for id in &ids {
                if self.nodes[id].raft.is_none() && self.rng.random_range(0..40) == 0 {
                    self.start(*id);
                }
            }
            self.step();
            self.repair();
        }
    }

    /// Proposes until something is acknowledged, for at most some steps.
    fn acknowledge_one(&mut self) {
        const STEPS_MAX: usize = 100;
        let before = self.acknowledged.len();
        for _ in 0..STEPS_MAX {
            self.propose();
            self.step();
            if self.acknowledged.len() > before {
                return;
            }
        }
    }

    fn inject_fault(&mut self) {
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        let id = ids[self.rng.random_range(0..ids.len())];
        let other = ids[self.rng.random_range(0..ids.len())];
        match self.rng.random_range(0..15) {
            0 | 1 => self.crash(id),
            2 => {
                self.blocked_links.insert((id, other));
            }
            3 => {
                for peer in ids {
                    self.blocked_links.insert((id, peer));
                    if self.rng.random_range(0..2) == 0 {
                        self.blocked_links.insert((peer, id));
                    }
                }
            }
            4 | 5 => self.blocked_links.clear(),
            6 => self.compact(id),
            14 => {
                if let Some(raft) = &mut self.nodes.get_mut(&id).expect("a node").raft {
                    raft.transfer_leadership();
                    self.process_output(id);
                }
            }
            7 if self.rng.random_range(0..4) == 0 => self.replace(),
            8..=10 => {
                let down: Vec<ReplicaId> =
                    ids.into_iter().filter(|id| self.nodes[id].raft.is_none()).collect();
                down.into_iter().for_each(|id| self.start(id));
                self.bootstrap();
            }
            _ => {}
        }
    }

    fn step(&mut self) {
        self.now += u64::try_from(self.time_step.as_micros()).expect("small");
        self.deliver();
        self.sync_disks();
        self.tick();
        self.check_leases();
    }

    /// Ends all faults and checks that the group makes progress and has lost nothing.
    fn check_recovery(&mut self) {
        self.faults_off = true;
        self.blocked_links.clear();
        let down: Vec<ReplicaId> =
            self.nodes.keys().copied().filter(|id| self.nodes[id].raft.is_none()).collect();
        down.into_iter().for_each(|id| self.start(id));
        self.bootstrap();
        self.time_step = Duration::from_millis(20);
        for _ in 0..400 {
            self.step();
            self.repair();
        }
        let before = self.acknowledged.len();
        self.propose();
        for _ in 0..200 {
            self.step();
        }
        assert!(
            self.acknowledged.len() > before,
            "no progress after the faults ended: {}",
            self.describe()
        );
        let longest = self
            .nodes
            .values()
            .max_by_key(|node| node.applied.len())
            .expect("a node")
            .applied
            .clone();
        let applied_numbers: BTreeSet<u64> = longest.iter().copied().collect();
        let lost_numbers: Vec<&u64> = self.acknowledged.difference(&applied_numbers).collect();
        assert!(lost_numbers.is_empty(), "acknowledged entries were lost: {lost_numbers:?}");
        assert_eq!(applied_numbers.len(), longest.len(), "an entry was applied twice");
        for (id, node) in &self.nodes {
            assert!(longest.starts_with(&node.applied), "{id} applied a different entry");
        }
    }
}

impl World {
    fn describe(&self) -> String {
        let show = |(id, node): (&ReplicaId, &Node)| {
            let Some(raft) = &node.raft else { return format!("{id} is down") };
            let ids = |all: &[Member]| all.iter().map(|m| m.id.0).collect::<Vec<_>>();
            let Members { voters, learners } = raft.members();
            format!(
                "{} {:?} term {} commit {} last {} voters {:?} learners {:?} leader {:?}",
                id.0,
                raft.role(),
                raft.term(),
                raft.commit(),
                raft.last(),
                ids(voters),
                ids(learners),
                raft.leader()
            )
        };
        self.nodes.iter().map(show).collect::<Vec<_>>().join("; ")
    }
}

/// Messages that wait for writes overtaken by an installed snapshot may be sent.
fn synced_seq(disk: &Disk, synced: u64) -> u64 {
    disk.unsynced.front().map_or(synced, |write| write.seq - 1)
}

impl Disk {
    fn install(&mut self, meta: &SnapshotMeta, state: &[u64]) {
        let have = self.snapshot.index + self.entries.len() as u64;
        let term = match meta.index.checked_sub(self.snapshot.index + 1) {
            Some(at) => self.entries.get(usize::try_from(at).expect("small")).map(|e| e.term),
            None => Some(self.snapshot.term),
        };
        if term == Some(meta.term) && meta.index <= have {
            let drop = usize::try_from(meta.index - self.snapshot.index).expect("small");
            self.entries.drain(..drop);
        } else {
            self.entries.clear();
        }
        self.snapshot = meta.clone();
        self.state = state.to_vec();
    }
}

fn run_history(seed: u64) {
    let replicas = if seed.is_multiple_of(3) { 5 } else { 3 };
    let mut world = World::new(seed, replicas);
    // Some histories have frequent faults, others leave time to recover between two.
    let fault_one_in = [3, 8, 30][usize::try_from(seed % 7 % 3).expect("small")];
    for _ in 0..STEPS {
        world.step();
        if world.rng.random_range(0..3) == 0 {
            world.propose();
        }
        if world.rng.random_range(0..fault_one_in) == 0 {
            world.inject_fault();
        }
        if world.rng.random_range(0..5) == 0 {
            world.repair();
        }
    }
    world.check_recovery();
}

/// Several times in a row, disks are lost while all other VMs lose power, right after an
/// acknowledgement and at any step of the repair of an earlier loss.
fn run_dark_history(seed: u64) {
    const LOSSES: usize = 3;
    const REPAIR_STEPS_MAX: usize = 60;
    let (disks, tolerance) = CELLS[usize::try_from(seed % 4).expect("small")];
    let mut world = World::with_tolerance(seed, disks, Some(tolerance));
    for _ in 0..LOSSES {
        world.make_whole(tolerance);
        for _ in 0..world.rng.random_range(0..60) {
            world.step();
            world.repair();
            world.propose();
        }
        let mut still_to_lose = tolerance;
        if tolerance > 1 && world.is_whole(tolerance) && world.rng.random_range(0..2) == 0 {
            still_to_lose -= 1;
            let position = world.rng.random_range(0..disks);
            world.lose_disk(position);
            world.start_all();
            for _ in 0..world.rng.random_range(0..REPAIR_STEPS_MAX) {
                world.step();
                world.repair();
            }
        }
        world.acknowledge_one();
        world.lose_disks_and_power(still_to_lose);
    }
    world.check_recovery();
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

/// Voters crash, lose unsynced writes, are partitioned in one or both directions and replaced by
/// empty disks, while messages are lost, duplicated and reordered. Each term has at most one
/// leader, and at most one lease is held at a time. No acknowledged entry is lost or applied
/// twice, and the group makes progress once the faults end.
#[test]
fn random_histories_violate_no_invariant() {
    run_histories(HISTORIES, run_history);
}

/// Guards against an acknowledged command, or the cell, lost with disks while all else is dark.
#[test]
fn disks_lost_while_all_other_vms_lose_power_lose_nothing() {
    run_histories(DARK_HISTORIES, run_dark_history);
}

fn run_histories(count: u64, run: fn(u64)) {
    if let Some(seed) = env_number("YUCCALINK_SEED") {
        return run(seed);
    }
    let count = env_number("YUCCALINK_HISTORIES").unwrap_or(count);
    let threads = std::thread::available_parallelism().map_or(2, usize::from) as u64;
    let handles: Vec<_> = (0..threads)
        .map(|thread| {
            std::thread::spawn(move || {
                for seed in (0..count).filter(|seed| seed % threads == thread) {
                    let run = std::panic::catch_unwind(|| run(seed));
                    assert!(run.is_ok(), "reproduce with YUCCALINK_SEED={seed}");
                }
            })
        })
        .collect();
    let failed_threads = handles.into_iter().map(|h| h.join()).filter(Result::is_err).count();
    assert_eq!(failed_threads, 0);
}
