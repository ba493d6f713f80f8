//! Decides how a replica acts while its store is slow, full or failed: whether it votes and
//! stands for election, when its leader hands over, and whether the leader accepts new work.

use crate::moment::Moment;
use crate::raft::{ELECTION_MAX, Raft, Role};
use serde::Serialize;
use std::time::Duration;

/// Interval at which a write that found no room is repeated.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Duration of an operation from which on the store counts as slow. An entry waits 2 s for the
/// leader's response, which leaves time for a handover and for the next leader's commit.
pub const SLOW_AFTER: Duration = Duration::from_secs(1);
/// Time limit for another replica to take over. A handover skips the election timeout, so one
/// that takes longer than this has failed.
pub const HANDOVER_MAX: Duration = ELECTION_MAX;
/// Time without a commit, while entries wait for one, from which on new work is refused. It is
/// half of what an entry waits for the leader's response.
pub const COMMIT_STALL: Duration = Duration::from_secs(1);

/// State of the store of one replica.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum StoreState {
    /// Operations succeed.
    #[default]
    #[display("writable")]
    Writable,
    /// An operation has taken longer than [`SLOW_AFTER`] and has not ended.
    #[display("slow")]
    Slow,
    /// A write found no room. It is repeated, and the state ends once the reserve is in place.
    #[display("full")]
    Full,
    /// It is unknown what the disk holds; the process ends.
    #[display("failed")]
    Failed,
}

impl StoreState {
    /// All states, in the order of their severity.
    pub const ALL: [Self; 4] = [Self::Writable, Self::Slow, Self::Full, Self::Failed];
}

/// A change of the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateChange {
    /// The previous state.
    pub from: StoreState,
    /// The new state.
    pub to: StoreState,
    /// How long the previous state lasted.
    pub lasted: Duration,
}

/// What a leader does about its leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipAction {
    /// It continues as it is.
    Keep,
    /// It asks another replica to take over.
    HandOver,
    /// It follows, because nobody took over in time.
    StepDown,
}

/// The leader's view on which its leadership is decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaderView {
    /// Whether this replica leads.
    pub leads: bool,
    /// Whether the other replicas have committed entries that this replica's store still lacks.
    pub others_commit: bool,
}

/// State of a replica's store over time.
#[derive(Clone, Debug, Default)]
pub struct StoreHealth {
    state: StoreState,
    changed_at: Moment,
    change: Option<StateChange>,
    /// When the current operation began.
    operation_started: Option<Moment>,
    /// When this leader asked another replica to take over.
    handover_requested: Option<Moment>,
    /// The last commit index, and since when entries have waited for a newer one.
    commit: u64,
    waiting_since: Option<Moment>,
}

impl StoreHealth {
    /// Creates the health of a store that works.
    ///
    /// ```
    /// use yuccalink_coordination::Moment;
    /// use yuccalink_coordination::store_health::{SLOW_AFTER, StoreHealth, StoreState};
    /// let mut health = StoreHealth::new(Moment::ZERO);
    /// health.operation_started(Moment::ZERO);
    /// health.tick(Moment::ZERO + SLOW_AFTER);
    /// assert_eq!(health.state(), StoreState::Slow);
    /// health.operation_completed(Moment::from_millis(1_200));
    /// assert_eq!(health.state(), StoreState::Writable);
    /// ```
    pub fn new(now: Moment) -> Self {
        Self { changed_at: now, ..Self::default() }
    }

    /// The current state.
    pub fn state(&self) -> StoreState {
        self.state
    }

    /// Takes the change of the state since the last call, if there is one.
    pub fn take_change(&mut self) -> Option<StateChange> {
        self.change.take()
    }

    /// Records that an operation begins, or is repeated.
    pub fn operation_started(&mut self, now: Moment) {
        self.operation_started = Some(now);
    }

    /// Records that an operation succeeded. A full store stays full until its reserve is in place.
    pub fn operation_completed(&mut self, now: Moment) {
        self.operation_started = None;
        if self.state == StoreState::Slow {
            self.set_state(now, StoreState::Writable);
        }
    }

    /// Records that the reserve is in place, so there is room for writes.
    pub fn reserve_filled(&mut self, now: Moment) {
        self.operation_started = None;
        self.set_state(now, StoreState::Writable);
    }

    /// Records that an operation found no room.
    pub fn operation_refused(&mut self, now: Moment) {
        self.operation_started = None;
        self.set_state(now, StoreState::Full);
    }

    /// Records that an operation failed, so it is unknown what the disk holds.
    pub fn operation_failed(&mut self, now: Moment) {
        self.operation_started = None;
        self.set_state(now, StoreState::Failed);
    }

    /// Performs what is due at `now`.
    pub fn tick(&mut self, now: Moment) {
        let hangs = self.operation_started.is_some_and(|at| now.since(at) >= SLOW_AFTER);
        if hangs && self.state == StoreState::Writable {
            self.set_state(now, StoreState::Slow);
        }
    }

    /// Whether votes and entries can be stored: only then may the replica vote and be elected.
    pub fn accepts_writes(&self) -> bool {
        matches!(self.state, StoreState::Writable | StoreState::Slow)
    }

    /// Records the commit index, and whether entries wait for a newer one.
    pub fn record_commit(&mut self, now: Moment, commit: u64, entries_wait: bool) {
        if !entries_wait {
            self.waiting_since = None;
        } else if self.waiting_since.is_none() || commit != self.commit {
            self.waiting_since = Some(now);
        }
        self.commit = commit;
    }

    /// Whether a leader accepts new work. It does not while a majority of the stores stalls: what
    /// it proposed now would not be committed while its caller waits.
    pub fn accepts_new_work(&self, now: Moment) -> bool {
        let limit = if self.accepts_writes() { COMMIT_STALL } else { RETRY_INTERVAL };
        self.waiting_since.is_none_or(|since| now.since(since) < limit)
    }

    /// Decides what a leader does. It hands over only if the others commit without it: otherwise
    /// no other replica could serve better, and it still answers reads and extends leases.
    ///
    /// ```
    /// use yuccalink_coordination::Moment;
    /// use yuccalink_coordination::store_health::{LeaderView, LeadershipAction, StoreHealth};
    /// let mut health = StoreHealth::new(Moment::ZERO);
    /// health.operation_refused(Moment::from_millis(5));
    /// let view = LeaderView { leads: true, others_commit: true };
    /// assert_eq!(health.leadership(Moment::from_millis(5), view), LeadershipAction::HandOver);
    /// ```
    pub fn leadership(&mut self, now: Moment, view: LeaderView) -> LeadershipAction {
        if !view.leads {
            self.handover_requested = None;
            return LeadershipAction::Keep;
        }
        match self.handover_requested {
            // A leader that asked for a handover grants no leases until it is elected again.
            Some(at) if now.since(at) >= HANDOVER_MAX => {
                self.handover_requested = None;
                LeadershipAction::StepDown
            }
            Some(_) => LeadershipAction::Keep,
            None if self.state != StoreState::Writable && view.others_commit => {
                LeadershipAction::HandOver
            }
            None => LeadershipAction::Keep,
        }
    }

    fn set_state(&mut self, now: Moment, to: StoreState) {
        if to == self.state {
            return;
        }
        let from = self.change.map_or(self.state, |change| change.from);
        let lasted = now.since(self.changed_at);
        self.change = Some(StateChange { from, to, lasted });
        self.state = to;
        self.changed_at = now;
    }
}

/// Applies the state of the store to the replica, and returns what was done about its
/// leadership. Call it after each operation of the store, at each tick, and before a proposal.
pub fn govern(health: &mut StoreHealth, raft: &mut Raft, now: Moment) -> LeadershipAction {
    health.tick(now);
    raft.set_accepts_writes(now, health.accepts_writes());
    let leads = raft.role() == Role::Leader;
    health.record_commit(now, raft.commit(), leads && raft.commit() < raft.last());
    let others_commit = raft.commit() == raft.last() && raft.lacks_synced_entries();
    let action = health.leadership(now, LeaderView { leads, others_commit });
    match action {
        LeadershipAction::Keep => action,
        LeadershipAction::HandOver if raft.transfer_leadership() => {
            health.handover_requested = Some(now);
            action
        }
        LeadershipAction::HandOver => LeadershipAction::Keep,
        LeadershipAction::StepDown => {
            raft.step_down(now);
            action
        }
    }
}
