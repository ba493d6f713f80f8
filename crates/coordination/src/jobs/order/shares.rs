//! Shares of the contended CPU of a pool between its queues.
//!
//! The load: callers who together ask for 1.3 to 5 times the CPU of their pool, in steady
//! overload or in bursts at 2.6 times the usual rate, or ten callers of which one sends half.
//! Without shares, whoever sends the most short tasks gets the most CPU.
//!
//! Where CPU is short, each queue gets CPU in proportion to its weight, and what one leaves is
//! divided between the others in the same way. Tasks within the share start in the common order.
//! A queue whose next task would go beyond its share yields: the task starts where no queue that
//! is short of its share, or uses less in proportion to it, has a task that fits. Nothing is
//! stopped, so lent CPU comes back as tasks end. Use is the CPU of the runs multiplied by the
//! time from start to end, as observed. Use above or below the share is made up for by up to
//! [`CORRECTION`] of the share, and forgotten beyond [`SharesPolicy::memory`].

use crate::jobs::policy::{Millis, Switch};
use crate::moment::Moment;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Weight of a queue that has none, in a pool where another queue has one.
pub const WEIGHT_DEFAULT: u32 = 1;
/// Part of its share by which a queue is given more or less than it, to make up for earlier use.
pub const CORRECTION: f64 = 0.25;
/// Interval of the log lines about one queue that yields.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Gives each queue with a weight its share of a pool whose CPU is short. Pools in which no queue
/// has a weight have no shares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct SharesPolicy {
    /// Whether weights are heeded.
    pub mode: Switch,
    /// For how long use above or below the share is made up for, in milliseconds.
    #[serde(rename = "memory-ms")]
    pub memory: Millis,
    /// Time, in milliseconds, for which a queue is short and starts nothing, after which a runner
    /// takes no short tasks of other queues until one of the queue's tasks fits.
    #[serde(rename = "reclaim-ms")]
    pub reclaim: Millis,
}

impl Default for SharesPolicy {
    fn default() -> Self {
        Self { mode: Switch::On, memory: Millis(2_000), reclaim: Millis(1_000) }
    }
}

/// A queue, numbered by its leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueKey(pub u32);

/// Load of one queue without its long-running tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueLoad {
    /// Weight of the queue, if one is set.
    pub weight: Option<u32>,
    /// CPU of the runs that may be running, in millicores.
    pub used: u64,
    /// CPU of the tasks that could start, in millicores.
    pub waiting: u64,
    /// CPU of the smallest of these tasks, in millicores.
    pub task: u64,
}

/// Load of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// CPU that is not reserved for long-running tasks, in millicores.
    pub capacity: u64,
    /// The queues of the pool.
    pub queues: BTreeMap<QueueKey, QueueLoad>,
}

/// What a queue has and what it is due, in millicores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// CPU of the runs that may be running.
    pub used: u64,
    /// CPU of the tasks that could start.
    pub waiting: u64,
    /// CPU that is due to the queue by its weight.
    pub share: u64,
    /// Whether the queue has less than its share and tasks that could start.
    pub short: bool,
    /// Whether the queue yields to others that are short.
    pub yields: bool,
}

/// Share of a queue in a contended pool.
#[derive(Clone, Copy, Debug)]
struct Account {
    pool: usize,
    used: u64,
    waiting: u64,
    task: u64,
    share: f64,
    /// The share, corrected by the balance.
    target: f64,
    /// CPU that the queue's weight alone gives it, which bounds the balance.
    fair: f64,
    /// Millicore-milliseconds that the queue is owed, or that it owes if negative.
    balance: f64,
    charged_at: Moment,
    started_at: Moment,
    turn: Turn,
    /// Since when the queue is short and has started nothing.
    short_since: Option<Moment>,
}

impl Account {
    /// The turn of the queue's next task beside `chosen` more millicores.
    fn turn(&self, chosen: u64) -> Turn {
        let used = self.used + chosen;
        if (used + self.task) as f64 <= self.target {
            return Turn::WithinShare;
        }
        // Thousandths; a queue without any target comes last.
        let used_ratio = (used as f64 * 1e3 / self.target.max(1e-3)) as u64;
        Turn::Beyond { used_ratio, started_at: self.started_at }
    }

    fn is_short(&self) -> bool {
        self.waiting > 0 && (self.used == 0 || self.turn == Turn::WithinShare)
    }

    /// Adds the use since the last call to the balance.
    fn charge(&mut self, now: Moment, memory_ms: f64) {
        let elapsed_ms = now.since(self.charged_at).as_secs_f64() * 1e3;
        self.charged_at = now;
        let most = self.fair * memory_ms;
        let due = (self.share - self.used as f64) * elapsed_ms;
        self.balance = (self.balance + due).clamp(-most, most);
    }
}

/// When the next task of a queue starts; an earlier value comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    /// In the common order.
    WithinShare,
    /// By the use in proportion to the share, then by the last start.
    Beyond { used_ratio: u64, started_at: Moment },
}

/// The queues of a contended pool that have tasks to start.
#[derive(Debug, Default)]
struct PoolTurns {
    turns: BTreeSet<(Turn, QueueKey)>,
    /// CPU of the smallest task that could start.
    task_min: u64,
}

/// The shares of all queues, as of the last ranking and of the starts and ends since.
#[derive(Debug, Default)]
pub struct Shares {
    policy: SharesPolicy,
    /// Accounts by the number of their queue.
    accounts: Vec<Option<Account>>,
    /// The contended pools.
    pools: Vec<PoolTurns>,
    deferred: HashMap<QueueKey, Deferred>,
    deferred_total: u64,
    visited: Cell<u64>,
}

/// Starts of a queue that waited for others.
#[derive(Clone, Copy, Debug, Default)]
struct Deferred {
    count: u64,
    logged: u64,
    logged_at: Option<Moment>,
}

impl Shares {
    /// No shares yet.
    pub fn new(policy: SharesPolicy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Computes the shares from the loads of all pools.
    ///
    /// ```
    /// use yuccalink_coordination::Moment;
    /// use yuccalink_coordination::jobs::shares::{PoolLoad, QueueKey, QueueLoad, Shares};
    /// let load = |weight, used| QueueLoad { weight: Some(weight), used, waiting: 9_000, task: 1_000 };
    /// let queues = [(QueueKey(0), load(1, 8_000)), (QueueKey(1), load(3, 0))];
    /// let mut shares = Shares::default();
    /// shares.measure(Moment::ZERO, &[PoolLoad { capacity: 8_000, queues: queues.into() }]);
    /// assert_eq!(shares.share(QueueKey(1)).unwrap().share, 6_000);
    /// assert!(shares.must_yield(QueueKey(0), 0) && !shares.must_yield(QueueKey(1), 0));
    /// ```
    pub fn measure(&mut self, now: Moment, pools: &[PoolLoad]) {
        let former = std::mem::take(&mut self.accounts);
        self.pools.clear();
        let mode = self.policy.mode;
        for pool in pools.iter().filter(|pool| mode.is_on() && is_contended(pool)) {
            let at = self.pools.len();
            let waiting = pool.queues.values().filter(|load| load.waiting > 0);
            let task_min = waiting.map(|load| load.task).min().unwrap_or(0);
            self.pools.push(PoolTurns { task_min, ..PoolTurns::default() });
            let mut accounts = Vec::with_capacity(pool.queues.len());
            for (key, fair, share) in divide(pool) {
                self.visit();
                let load = pool.queues[&key];
                let mut account = Account {
                    pool: at,
                    used: load.used,
                    waiting: load.waiting,
                    task: load.task,
                    share,
                    target: share,
                    fair,
                    balance: 0.0,
                    charged_at: now,
                    started_at: Moment::ZERO,
                    turn: Turn::WithinShare,
                    short_since: None,
                };
                if let Some(mut known) = former.get(key.0 as usize).copied().flatten() {
                    known.charge(now, self.memory_ms());
                    let most = fair * self.memory_ms();
                    account.balance = known.balance.clamp(-most, most);
                    account.short_since = known.short_since;
                    account.started_at = known.started_at;
                }
                accounts.push((key, account));
            }
            correct(&mut accounts, self.memory_ms());
            for (key, account) in accounts {
                let index = key.0 as usize;
                if self.accounts.len() <= index {
                    self.accounts.resize(index + 1, None);
                }
                self.accounts[index] = Some(account);
                self.update(key, now);
            }
        }
    }

    /// Records that a run of a queue starts.
    pub fn started(&mut self, now: Moment, key: QueueKey, millicores: u64) {
        let memory_ms = self.memory_ms();
        let Some(account) = self.account_mut(key) else { return };
        account.charge(now, memory_ms);
        account.used += millicores;
        account.waiting = account.waiting.saturating_sub(millicores);
        account.short_since = None;
        account.started_at = now;
        self.update(key, now);
    }

    /// Records that a run of a queue has ended.
    pub fn ended(&mut self, now: Moment, key: QueueKey, millicores: u64) {
        let memory_ms = self.memory_ms();
        let Some(account) = self.account_mut(key) else { return };
        account.charge(now, memory_ms);
        account.used = account.used.saturating_sub(millicores);
        self.update(key, now);
    }

    /// Whether the next task of a queue starts only where no task of a short queue fits. `chosen`
    /// is the CPU of the tasks that are chosen and not recorded yet, in millicores.
    pub fn must_yield(&self, key: QueueKey, chosen: u64) -> bool {
        let Some(account) = self.account(key) else { return false };
        self.visit();
        let own = account.turn(chosen);
        let mut turns = self.pools[account.pool].turns.iter();
        let first = turns.find(|(_, other)| *other != key);
        own != Turn::WithinShare && first.is_some_and(|first| *first < (own, key))
    }

    /// Whether any pool is contended.
    pub fn is_active(&self) -> bool {
        !self.pools.is_empty()
    }

    /// The queues that have been short for so long that a runner must be kept for them.
    pub fn to_reclaim(&self, now: Moment) -> Vec<QueueKey> {
        let wait = self.policy.reclaim.to_duration();
        let waited = |account: &Account| {
            // Smaller tasks would fill each gap before it is large enough.
            account.task > self.pools[account.pool].task_min
                && account.short_since.is_some_and(|since| now.since(since) >= wait)
        };
        self.all().filter(|(_, account)| waited(account)).map(|(key, _)| key).collect()
    }

    /// Records that a start of a queue waited for other queues.
    pub fn note_deferred(&mut self, key: QueueKey) {
        self.deferred.entry(key).or_default().count += 1;
        self.deferred_total += 1;
    }

    /// Starts of a queue that waited for other queues.
    pub fn deferred(&self, key: QueueKey) -> u64 {
        self.deferred.get(&key).map_or(0, |deferred| deferred.count)
    }

    /// Starts of all queues that waited for other queues.
    pub fn deferred_total(&self) -> u64 {
        self.deferred_total
    }

    /// Queues whose deferred starts are to be logged now, with the number since the last line.
    pub fn take_deferred_to_log(&mut self, now: Moment) -> Vec<(QueueKey, u64)> {
        let mut found = Vec::new();
        for (key, deferred) in &mut self.deferred {
            let due = deferred.logged_at.is_none_or(|at| now.since(at) >= LOG_INTERVAL);
            if due && deferred.count > deferred.logged {
                found.push((*key, deferred.count - deferred.logged));
                deferred.logged = deferred.count;
                deferred.logged_at = Some(now);
            }
        }
        found.sort_unstable();
        found
    }

    /// The share of a queue; `None` while its pool has no contention or no weights.
    pub fn share(&self, key: QueueKey) -> Option<Share> {
        self.account(key).map(|account| Share {
            used: account.used,
            waiting: account.waiting,
            share: account.share as u64,
            short: account.is_short(),
            yields: self.must_yield(key, 0),
        })
    }

    /// The short queues that share a pool with `key`.
    pub fn short_beside(&self, key: QueueKey) -> Vec<QueueKey> {
        let pool = self.account(key).map(|account| account.pool);
        let beside = |(other, account): &(QueueKey, &Account)| {
            *other != key && account.is_short() && Some(account.pool) == pool
        };
        self.all().filter(beside).map(|(key, _)| key).collect()
    }

    /// Number of accounts that were read or written, by which the cost is counted.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }

    fn account(&self, key: QueueKey) -> Option<&Account> {
        self.accounts.get(key.0 as usize)?.as_ref()
    }

    fn account_mut(&mut self, key: QueueKey) -> Option<&mut Account> {
        self.accounts.get_mut(key.0 as usize)?.as_mut()
    }

    /// All accounts, in the order of their queues.
    fn all(&self) -> impl Iterator<Item = (QueueKey, &Account)> {
        let numbered = (0..).map(QueueKey).zip(&self.accounts);
        numbered.filter_map(|(key, account)| Some((key, account.as_ref()?)))
    }

    fn visit(&self) {
        self.visited.set(self.visited.get() + 1);
    }

    fn memory_ms(&self) -> f64 {
        f64::from(self.policy.memory.0.max(1))
    }

    /// Updates the turn of a queue.
    fn update(&mut self, key: QueueKey, now: Moment) {
        let Some(account) = self.accounts.get_mut(key.0 as usize).and_then(Option::as_mut) else {
            return;
        };
        let turns = &mut self.pools[account.pool].turns;
        turns.remove(&(account.turn, key));
        account.turn = account.turn(0);
        if account.waiting > 0 {
            turns.insert((account.turn, key));
        }
        let short = account.is_short();
        account.short_since = short.then(|| account.short_since.unwrap_or(now));
        self.visit();
    }
}

/// Corrects the shares of one pool by the balances. What some get above their share, others get
/// below it, so that the targets together are not more than the CPU.
fn correct(accounts: &mut [(QueueKey, Account)], memory_ms: f64) {
    let correction = |account: &Account| CORRECTION * account.balance / memory_ms;
    let all = accounts.iter().map(|(_, account)| correction(account));
    let (above, below) = all.fold((0.0, 0.0), |(above, below): (f64, f64), one| {
        (above + one.max(0.0), below - one.min(0.0))
    });
    let moved = above.min(below);
    for (_, account) in accounts {
        let own = correction(account);
        let part = if own > 0.0 { moved / above } else { moved / below.max(f64::MIN_POSITIVE) };
        account.target = (account.share + own * part).max(0.0);
    }
}

fn is_contended(pool: &PoolLoad) -> bool {
    let demand: u64 = pool.queues.values().map(|load| load.used + load.waiting).sum();
    demand > pool.capacity && pool.queues.values().any(|load| load.weight.is_some())
}

/// Divides the CPU of a pool: for each queue what its weight alone gives it among the queues with
/// a demand, and its share, to which the others add what they do not ask for.
fn divide(pool: &PoolLoad) -> Vec<(QueueKey, f64, f64)> {
    let weight = |load: &QueueLoad| f64::from(load.weight.unwrap_or(WEIGHT_DEFAULT).max(1));
    let demand = |load: &QueueLoad| (load.used + load.waiting) as f64;
    let mut queues: Vec<_> = pool.queues.iter().collect();
    queues.sort_by(|(_, a), (_, b)| (demand(a) / weight(a)).total_cmp(&(demand(b) / weight(b))));
    let with_demand = queues.iter().filter(|(_, load)| demand(load) > 0.0);
    let weights: f64 = with_demand.map(|(_, load)| weight(load)).sum();
    let capacity = pool.capacity as f64;
    let (mut weights_left, mut capacity_left) = (weights, capacity);
    let mut divided = Vec::with_capacity(queues.len());
    for (key, load) in queues {
        if demand(load) == 0.0 {
            divided.push((*key, 0.0, 0.0));
            continue;
        }
        let share = demand(load).min(capacity_left * weight(load) / weights_left);
        weights_left -= weight(load);
        capacity_left -= share;
        divided.push((*key, capacity * weight(load) / weights, share));
    }
    divided
}
