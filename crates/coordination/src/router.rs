//! Request routing at one entry VM: decides which of this entry's runners gets a request, which
//! requests wait, and which are refused at once.
//!
//! Each runner is owned by one entry at a time, so local counters are enough to keep it within
//! its slots. Binding is late: a request waits for the service and not for a runner, and the
//! waiting request with the highest worth gets the next free slot.

use crate::moment::Moment;
use crate::retry::Budget;
use slotmap::{SlotMap, new_key_type};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use yuccalink_state::id::Name;
use yuccalink_state::target::RunnerSpec;

/// Consecutive failures after which a runner is ejected for some time.
pub const EJECT_AFTER: u32 = 5;
/// Duration of the first ejection; it doubles with each further ejection.
pub const EJECT_FIRST: Duration = Duration::from_secs(1);
/// Longest ejection.
pub const EJECT_MAX: Duration = Duration::from_secs(30);
/// At most one in this many of a service's runners is ejected at once, but always one if there
/// are several. Random failures or a fault of the service itself therefore cannot eject them
/// all.
pub const EJECT_ONE_IN: usize = 3;
/// Maximum number of waiting requests per slot of the service.
pub const QUEUE_PER_SLOT: usize = 4;
/// Service time assumed before the first measurement.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(10);
/// The newest service time has a weight of one in this many.
const SERVICE_TIME_SMOOTHING: u32 = 8;

new_key_type! {
    /// Key of a runner at this entry.
    pub struct RunnerKey;
    /// Key of a service's pool of runners at this entry.
    struct PoolKey;
}

/// A request that needs a runner.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest<'a> {
    /// The requested service.
    pub service: &'a Name,
    /// When its caller stops waiting.
    pub deadline: Moment,
    /// The worth of a correct answer.
    pub worth: u32,
    /// A runner on which this request already failed.
    pub avoid: Option<RunnerKey>,
}

/// A slot of a runner, in use until [`Router::release`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The runner.
    pub runner: RunnerKey,
    /// When the slot was granted.
    pub at: Moment,
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Why a request was refused without being executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Refusal {
    /// no runner of this service is known here
    NoRunner,
    /// every runner of this service is ejected, leaving or silent
    NoneHealthy,
    /// the queue of this service is full
    QueueFull,
    /// the deadline would pass while waiting
    TooLate,
}

/// Decision about an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent now.
    Granted(Grant),
    /// The request waits under this ticket until [`Router::release`] or another call returns the
    /// ticket with a slot, or [`Router::abandon`] removes it.
    Wait(Ticket),
    /// The request is refused; the caller may try again after the given time.
    Refuse(Refusal, Duration),
}

/// How a granted request ended at its runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerOutcome {
    /// The complete response arrived.
    Answered,
    /// The runner could not be reached, cut off the response or failed.
    Failed,
    /// The caller disconnected, which says nothing about the runner.
    Abandoned,
}

/// A waiting request that now has a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DequeuedRequest {
    /// The request.
    pub ticket: Ticket,
    /// Its slot.
    pub grant: Grant,
}

/// Whether a runner may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerStatus {
    /// The runner may get requests.
    Open,
    /// The runner gets no requests until this moment.
    Ejected(Moment),
    /// The runner announced that it leaves, or it is silent.
    Closed,
}

/// A runner as this entry knows it.
#[derive(Clone, Debug)]
pub struct Runner {
    /// The specification that it announced.
    pub spec: RunnerSpec,
    /// Whether it may get requests.
    pub status: RunnerStatus,
    /// Requests of this entry in flight at the runner.
    pub busy: u32,
    /// Requests of a previous owner that may still be in flight at the runner.
    pub reserved: u32,
    /// Highest value of `busy` since the last heartbeat.
    pub peak: u32,
    failures: u32,
    ejections: u32,
    pool: PoolKey,
}

impl Runner {
    fn is_available(&self, now: Moment) -> bool {
        match self.status {
            RunnerStatus::Open => true,
            RunnerStatus::Ejected(until) => now >= until && self.busy == 0,
            RunnerStatus::Closed => false,
        }
    }

    fn free(&self) -> u32 {
        self.spec.slots.saturating_sub(self.busy + self.reserved)
    }
}

#[derive(Clone, Debug)]
struct WaitingRequest {
    ticket: Ticket,
    deadline: Moment,
    avoid: Option<RunnerKey>,
}

#[derive(Debug)]
struct Pool {
    runners: Vec<RunnerKey>,
    queue: BTreeMap<(Reverse<u32>, Ticket), WaitingRequest>,
    service_time: Duration,
    budget: Budget,
    rotation: usize,
}

/// Counters since the start, for metrics and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that got a slot.
    pub granted: u64,
    /// Requests that had to wait.
    pub waited: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Ejections of runners.
    pub ejected: u64,
}

/// Routing state of one entry VM.
///
/// ```
/// use yuccalink_coordination::{Moment, router::*};
/// use yuccalink_state::{id::{Incarnation, Name}, target::RunnerSpec};
/// let (quotes, now) = (Name::new("quotes")?, Moment::from_millis(1));
/// let mut router = Router::new(Name::new("brno")?);
/// let mut dequeued = Vec::new();
/// let spec = RunnerSpec {
///     name: Name::new("r1")?, incarnation: Incarnation(1), service: quotes.clone(),
///     address: "127.0.0.1:9".into(), slots: 1, connections: 8, zone: Name::new("brno")?,
/// };
/// router.add_runner(now, spec, 0, &mut dequeued);
/// let deadline = Moment::from_millis(9_000);
/// let request = RoutingRequest { service: &quotes, deadline, worth: 1, avoid: None };
/// let Admission::Granted(grant) = router.admit(now, request) else { panic!("a free slot") };
/// let Admission::Wait(ticket) = router.admit(now, request) else { panic!("a queue") };
/// assert_eq!(router.queued(&quotes), 1);
/// router.release(now, grant, RunnerOutcome::Answered, &mut dequeued);
/// assert_eq!(dequeued[0].ticket, ticket, "the waiting one is next");
/// router.stop_routing_to(&Name::new("r1")?);
/// assert!(!router.abandon(ticket), "its turn has come already");
/// assert!(matches!(router.admit(now, request), Admission::Refuse(Refusal::NoneHealthy, _)));
/// # Ok::<(), yuccalink_state::id::BadName>(())
/// ```
#[derive(Debug)]
pub struct Router {
    zone: Name,
    runners: SlotMap<RunnerKey, Runner>,
    by_name: HashMap<Name, RunnerKey>,
    pools: SlotMap<PoolKey, Pool>,
    pool_by_name: HashMap<Name, PoolKey>,
    tickets: HashMap<Ticket, (PoolKey, Reverse<u32>)>,
    last_ticket: u64,
    counts: Counts,
}

impl Router {
    /// Creates a router without runners for an entry VM in `zone`.
    ///
    /// ```
    /// use yuccalink_coordination::{Moment, router::*};
    /// use yuccalink_state::id::Name;
    /// let mut router = Router::new(Name::new("brno")?);
    /// let quotes = Name::new("quotes")?;
    /// let request = RoutingRequest { service: &quotes, deadline: Moment::from_millis(9), worth: 1, avoid: None };
    /// assert!(matches!(router.admit(Moment::ZERO, request), Admission::Refuse(Refusal::NoRunner, _)));
    /// # Ok::<(), yuccalink_state::id::BadName>(())
    /// ```
    pub fn new(zone: Name) -> Self {
        Self {
            zone,
            runners: SlotMap::with_key(),
            by_name: HashMap::new(),
            pools: SlotMap::with_key(),
            pool_by_name: HashMap::new(),
            tickets: HashMap::new(),
            last_ticket: 0,
            counts: Counts::default(),
        }
    }

    /// Adds a runner that this entry now owns, or updates its specification. `reserved` is the
    /// number of requests that may still be in flight there for a previous owner. Waiting requests
    /// that get a slot are pushed to `dequeued`.
    pub fn add_runner(
        &mut self,
        now: Moment,
        spec: RunnerSpec,
        reserved: u32,
        dequeued: &mut Vec<DequeuedRequest>,
    ) {
        if let Some(key) = self.by_name.get(&spec.name).copied()
            && let Some(runner) = self.runners.get_mut(key)
        {
            let same_pool = runner.spec.service == spec.service;
            if same_pool && runner.spec.incarnation == spec.incarnation {
                if runner.status == RunnerStatus::Closed {
                    runner.status = RunnerStatus::Open;
                }
                runner.spec = spec;
                self.serve_queue_of(now, key, dequeued);
                return;
            }
            self.remove_runner(&spec.name);
        }
        let pool = self.pool(&spec.service);
        let name = spec.name.clone();
        let key = self.runners.insert(Runner {
            spec,
            status: RunnerStatus::Open,
            busy: 0,
            reserved,
            peak: 0,
            failures: 0,
            ejections: 0,
            pool,
        });
        self.by_name.insert(name, key);
        self.pools[pool].runners.push(key);
        self.serve_queue_of(now, key, dequeued);
    }

    /// Removes a runner. [`Router::release`] has no effect for its requests that end later.
    pub fn remove_runner(&mut self, name: &Name) {
        let Some(key) = self.by_name.remove(name) else { return };
        if let Some(runner) = self.runners.remove(key) {
            self.pools[runner.pool].runners.retain(|other| *other != key);
        }
    }

    /// Sends no new requests to a runner; requests in flight continue.
    pub fn stop_routing_to(&mut self, name: &Name) {
        if let Some(runner) = self.by_name.get(name).and_then(|key| self.runners.get_mut(*key)) {
            runner.status = RunnerStatus::Closed;
        }
    }

    /// Applies a runner's own count of its requests, which may be outdated: only the excess over
    /// the highest count of this entry belongs to a previous owner.
    pub fn update_busy_count(
        &mut self,
        now: Moment,
        name: &Name,
        busy: u32,
        dequeued: &mut Vec<DequeuedRequest>,
    ) {
        let Some(key) = self.by_name.get(name).copied() else { return };
        let Some(runner) = self.runners.get_mut(key) else { return };
        runner.reserved = busy.saturating_sub(runner.peak).min(runner.reserved);
        runner.peak = runner.busy;
        self.serve_queue_of(now, key, dequeued);
    }

    /// Decides whether a request gets a slot, waits or is refused.
    pub fn admit(&mut self, now: Moment, request: RoutingRequest<'_>) -> Admission {
        let Some(pool_key) = self.pool_by_name.get(request.service).copied() else {
            return self.refuse(Refusal::NoRunner, Duration::from_secs(1));
        };
        if self.pools[pool_key].runners.is_empty() {
            return self.refuse(Refusal::NoRunner, Duration::from_secs(1));
        }
        // Waiting requests go first: a new request takes a free slot only if none waits.
        if self.pools[pool_key].queue.is_empty()
            && let Some(key) = self.choose(now, pool_key, request.avoid)
        {
            return Admission::Granted(self.grant(now, key));
        }
        self.enqueue(now, pool_key, request)
    }

    fn enqueue(
        &mut self,
        now: Moment,
        pool_key: PoolKey,
        request: RoutingRequest<'_>,
    ) -> Admission {
        let pool = &self.pools[pool_key];
        let slots = self.available_slots(now, pool);
        if slots == 0 {
            return self.refuse(Refusal::NoneHealthy, EJECT_FIRST);
        }
        let ahead = pool.queue.range(..(Reverse(request.worth), Ticket(u64::MAX))).count();
        let rounds = u32::try_from(ahead / slots + 1).unwrap_or(u32::MAX);
        let wait = pool.service_time.saturating_mul(rounds);
        if now + wait > request.deadline {
            return self.refuse(Refusal::TooLate, wait);
        }
        if pool.queue.len() >= slots * QUEUE_PER_SLOT {
            return self.refuse(Refusal::QueueFull, wait);
        }
        self.last_ticket += 1;
        self.counts.waited += 1;
        let ticket = Ticket(self.last_ticket);
        let rank = Reverse(request.worth);
        let waiting = WaitingRequest { ticket, deadline: request.deadline, avoid: request.avoid };
        self.pools[pool_key].queue.insert((rank, ticket), waiting);
        self.tickets.insert(ticket, (pool_key, rank));
        Admission::Wait(ticket)
    }

    fn refuse(&mut self, why: Refusal, retry: Duration) -> Admission {
        self.counts.refused += 1;
        Admission::Refuse(why, retry)
    }

    /// Removes a request from the queue; returns false if it already has a slot or is not queued.
    pub fn abandon(&mut self, ticket: Ticket) -> bool {
        let Some((pool, rank)) = self.tickets.remove(&ticket) else { return false };
        self.pools[pool].queue.remove(&(rank, ticket));
        true
    }

    /// Returns a slot and gives it to the next waiting request.
    pub fn release(
        &mut self,
        now: Moment,
        grant: Grant,
        outcome: RunnerOutcome,
        dequeued: &mut Vec<DequeuedRequest>,
    ) {
        let Some(runner) = self.runners.get_mut(grant.runner) else { return };
        runner.busy = runner.busy.saturating_sub(1);
        let pool = runner.pool;
        match outcome {
            RunnerOutcome::Answered => {
                runner.failures = 0;
                runner.ejections = 0;
                if matches!(runner.status, RunnerStatus::Ejected(_)) {
                    runner.status = RunnerStatus::Open;
                }
                let pool = &mut self.pools[pool];
                let took = now.since(grant.at);
                pool.service_time = (pool.service_time * (SERVICE_TIME_SMOOTHING - 1) + took)
                    / SERVICE_TIME_SMOOTHING;
                pool.budget.earn();
            }
            RunnerOutcome::Failed => self.record_failure(now, grant.runner),
            RunnerOutcome::Abandoned => {}
        }
        self.serve_queue(now, pool, dequeued);
    }

    /// Whether a failed request of `service` may be retried; spends one retry of the budget.
    pub fn may_retry(&mut self, service: &Name) -> bool {
        let key = self.pool(service);
        self.pools[key].budget.spend()
    }

    /// Records a success at another entry, which earns a fraction of a retry.
    pub fn earn_retry(&mut self, service: &Name) {
        let key = self.pool(service);
        self.pools[key].budget.earn();
    }

    /// The runner with `key`, if this entry still owns it.
    pub fn runner(&self, key: RunnerKey) -> Option<&Runner> {
        self.runners.get(key)
    }

    /// All runners that this entry owns.
    pub fn runners(&self) -> impl Iterator<Item = &Runner> {
        self.runners.values()
    }

    /// Number of requests waiting for `service`.
    pub fn queued(&self, service: &Name) -> usize {
        self.pool_by_name.get(service).map_or(0, |key| self.pools[*key].queue.len())
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn pool(&mut self, service: &Name) -> PoolKey {
        if let Some(key) = self.pool_by_name.get(service) {
            return *key;
        }
        let key = self.pools.insert(Pool {
            runners: Vec::new(),
            queue: BTreeMap::new(),
            service_time: INITIAL_SERVICE_TIME,
            budget: Budget::default(),
            rotation: 0,
        });
        self.pool_by_name.insert(service.clone(), key);
        key
    }

    fn available_slots(&self, now: Moment, pool: &Pool) -> usize {
        let open = pool.runners.iter().filter_map(|key| self.runners.get(*key));
        open.filter(|runner| runner.is_available(now))
            .map(|runner| runner.spec.slots as usize)
            .sum()
    }

    /// The available runner with the smallest share of its slots in use; on a tie, one in the
    /// entry's own zone, then by rotation.
    fn choose(
        &mut self,
        now: Moment,
        pool: PoolKey,
        avoid: Option<RunnerKey>,
    ) -> Option<RunnerKey> {
        let pool = &mut self.pools[pool];
        let count = pool.runners.len();
        pool.rotation = (pool.rotation + 1) % count.max(1);
        let mut best = None;
        for step in 0..count {
            let key = pool.runners[(pool.rotation + step) % count];
            let Some(runner) = self.runners.get(key) else { continue };
            if runner.free() == 0 || !runner.is_available(now) || avoid == Some(key) && count > 1 {
                continue;
            }
            let share = (runner.busy + runner.reserved) * 1024 / runner.spec.slots.max(1);
            let rank = (share, runner.spec.zone != self.zone);
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, key));
            }
        }
        best.map(|(_, key)| key)
    }

    fn grant(&mut self, now: Moment, key: RunnerKey) -> Grant {
        let runner = &mut self.runners[key];
        runner.busy += 1;
        runner.peak = runner.peak.max(runner.busy);
        self.counts.granted += 1;
        Grant { runner: key, at: now }
    }

    fn serve_queue_of(&mut self, now: Moment, key: RunnerKey, dequeued: &mut Vec<DequeuedRequest>) {
        if let Some(runner) = self.runners.get(key) {
            self.serve_queue(now, runner.pool, dequeued);
        }
    }

    fn serve_queue(&mut self, now: Moment, pool: PoolKey, dequeued: &mut Vec<DequeuedRequest>) {
        while let Some((rank, waiting)) = self.pools[pool].queue.first_key_value() {
            let (rank, waiting) = (*rank, waiting.clone());
            if waiting.deadline <= now {
                // The request's own timer responds to its caller; a slot for it would be wasted.
                self.pools[pool].queue.remove(&rank);
                self.tickets.remove(&waiting.ticket);
                continue;
            }
            let Some(key) = self.choose(now, pool, waiting.avoid) else { return };
            self.pools[pool].queue.remove(&rank);
            self.tickets.remove(&waiting.ticket);
            dequeued.push(DequeuedRequest { ticket: waiting.ticket, grant: self.grant(now, key) });
        }
    }

    fn record_failure(&mut self, now: Moment, key: RunnerKey) {
        let runner = &mut self.runners[key];
        runner.failures += 1;
        let probe_failed = matches!(runner.status, RunnerStatus::Ejected(_));
        if runner.status == RunnerStatus::Closed || (runner.failures < EJECT_AFTER && !probe_failed)
        {
            return;
        }
        let pool = &self.pools[runner.pool];
        let all = pool.runners.len();
        let ejected = pool
            .runners
            .iter()
            .filter(|key| matches!(self.runners[**key].status, RunnerStatus::Ejected(_)))
            .count();
        let most = (all / EJECT_ONE_IN).max(1).min(all.saturating_sub(1));
        if !probe_failed && ejected >= most {
            return;
        }
        let runner = &mut self.runners[key];
        let span = EJECT_FIRST.saturating_mul(1 << runner.ejections.min(5)).min(EJECT_MAX);
        runner.ejections += 1;
        runner.status = RunnerStatus::Ejected(now + span);
        self.counts.ejected += 1;
    }

    /// Requests of this entry in flight at a runner, if this entry owns the runner.
    pub fn in_flight(&self, name: &Name) -> Option<u32> {
        self.by_name.get(name).and_then(|key| self.runners.get(*key)).map(|runner| runner.busy)
    }
}
