//! The leader's part: what is under way to the log, what waits for it, and time.

use super::account::{Accounts, LOOK_EVERY};
use super::advice::Advice;
use super::ask::{Answer, Ask, Orders, Report};
use super::interference::Interference;
use super::outside::{Call, CallId, Told};
use super::place::KeptFree;
use super::policy::Policy;
use super::ready::{GroupKey, Ready};
use super::report::Counts;
use super::routes::Routes;
use super::runner::{Runner, lease_surely_ended_after};
use super::swing::Loads;
use super::waves::Waves;
use crate::moment::Moment;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;
use yuccalink_state::jobs::{
    End, How, JobCommand, JobId, JobOutcome, JobPhase, Jobs, LifeKey, Start, TaskKey,
};

/// Commands waiting for the log; more are refused as "not run".
const QUEUE_MAX: usize = 8 * 1024;
/// Longest wait of a heartbeat for the log: a runner drops what comes later than
/// a second, and the way back takes time as well.
const HEARTBEAT_WAIT: Duration = Duration::from_millis(600);
/// How often waiting steps are ranked anew: well under the shortest objective.
const RANK_EVERY: Duration = Duration::from_millis(100);
/// Jobs forgotten at once, so that no batch for the log grows large.
const FORGET_MAX: usize = 256;
/// How often ended jobs are looked through.
const FORGET_EVERY: Duration = Duration::from_secs(2);

/// The present, on the clock of leases and on the wall.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// On the clock that counts suspension.
    pub at: Moment,
    /// Unix milliseconds; may jump.
    pub unix_ms: u64,
}

/// Names one ask until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// What the leader is told at its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaderConfig {
    /// Lease on runs, the same in all processes.
    pub lease: Duration,
    /// How long the state of an ended job is remembered.
    pub remember: Duration,
    /// How long a runner may wait between reports at most.
    pub heartbeat: Duration,
    /// Whether a start may come before its due time, and by how much.
    pub early: Duration,
    /// What it decides by.
    pub policy: Policy,
}

impl Default for LeaderConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(5_000),
            remember: Duration::from_secs(130),
            heartbeat: Duration::from_millis(1_500),
            early: Duration::ZERO,
            policy: Policy::default(),
        }
    }
}

/// What to do with the outcome of a command.
pub(super) enum Then {
    Submitted { id: JobId, token: Token },
    Cancelled { id: JobId, token: Token },
    Changed { version: u64, token: Token },
    Met { token: Token, report: Box<Report> },
    Heartbeat(u64),
    Acknowledged(Token),
    Nothing,
}

/// A heartbeat whose answer waits for the log.
pub(super) struct Waiting {
    pub(super) token: Token,
    pub(super) life: LifeKey,
    pub(super) commands: u32,
    /// Ends up to this number are noted once the log has them.
    pub(super) noted: u64,
    pub(super) since: Moment,
    /// It was answered before the log had them all.
    pub(super) answered: bool,
}

/// Leads one job cell while its replica leads the log.
pub struct Leader {
    pub(super) cfg: LeaderConfig,
    pub(super) term: u64,
    pub(super) started: Moment,
    pub(super) jobs: Jobs,
    pub(super) runners: BTreeMap<LifeKey, Runner>,
    pub(super) by_id: HashMap<Box<str>, LifeKey>,
    pub(super) routes: Routes,
    pub(super) ready: Ready,
    pub(super) interference: Interference,
    pub(super) loads: Loads<GroupKey>,
    /// Tasks whose start is under way to the log.
    pub(super) starting: BTreeMap<TaskKey, Start>,
    /// Runs whose end is under way to the log.
    pub(super) ending: BTreeSet<(TaskKey, u32)>,
    pub(super) heartbeats: BTreeMap<u64, Waiting>,
    pub(super) next_heartbeat: u64,
    proposed: VecDeque<(JobCommand, Then)>,
    batch: Vec<Then>,
    committing: VecDeque<(u64, Then)>,
    pub(super) answers: Vec<(Token, Answer)>,
    calls: Vec<(CallId, Call)>,
    next_call: u64,
    pub(super) advice: Advice,
    pub(super) waves: Waves,
    /// Runners on which no short work starts until then.
    pub(super) kept_free: BTreeMap<LifeKey, KeptFree>,
    /// Tasks that lag and may have a copy, as of the last ranking, the worst first.
    pub(super) laggards: Vec<TaskKey>,
    /// Tasks that last and are to leave their runner or wait for another, as of the last
    /// ranking and since.
    pub(super) moving_out: u32,
    /// Pools of which half is idle, as of the last ranking.
    pub(super) idle_pools: BTreeSet<Box<str>>,
    /// Returns of machines that are under way to the log.
    pub(super) noting: BTreeSet<(u64, Box<str>)>,
    /// How this process names itself to the platform.
    pub(super) cfg_name: Box<str>,
    /// Lives that are over, though a late report of theirs may still come.
    pub(super) over: BTreeSet<LifeKey>,
    pub(super) accounts: Accounts,
    ranked: Moment,
    looked: Moment,
    forgot: Moment,
    pub(super) counts: Counts,
}

impl Leader {
    /// Takes over `jobs` in `term`, all earlier commands applied.
    ///
    /// ```
    /// use yuccalink_coordination::jobs::*;
    /// use yuccalink_state::jobs::Jobs;
    /// let mut leader = Leader::new(LeaderConfig::default(), 1, Jobs::new(), Now::default());
    /// leader.ask(Now::default(), Token(1), Ask::Document);
    /// let answers = leader.take_answers();
    /// assert!(matches!(answers[0], (Token(1), Answer::NotServing { .. })));
    /// ```
    pub fn new(cfg: LeaderConfig, term: u64, jobs: Jobs, now: Now) -> Self {
        let mut leader = Self {
            cfg,
            term,
            started: now.at,
            jobs,
            runners: BTreeMap::new(),
            by_id: HashMap::new(),
            routes: Routes::default(),
            ready: Ready::new(cfg.policy.order),
            interference: Interference::new(cfg.policy.interference),
            loads: Loads::new(cfg.policy.forecast),
            starting: BTreeMap::new(),
            ending: BTreeSet::new(),
            heartbeats: BTreeMap::new(),
            next_heartbeat: 0,
            proposed: VecDeque::new(),
            batch: Vec::new(),
            committing: VecDeque::new(),
            answers: Vec::new(),
            calls: Vec::new(),
            next_call: 0,
            advice: Advice::default(),
            waves: Waves::default(),
            kept_free: BTreeMap::new(),
            laggards: Vec::new(),
            moving_out: 0,
            idle_pools: BTreeSet::new(),
            noting: BTreeSet::new(),
            cfg_name: Box::default(),
            over: BTreeSet::new(),
            accounts: Accounts::default(),
            ranked: now.at,
            looked: now.at,
            forgot: now.at,
            counts: Counts::default(),
        };
        leader.routes = Routes::new(leader.jobs.change());
        leader.index_lives();
        leader.interference.recall(leader.jobs.learnt());
        let active: Vec<JobId> = leader.jobs.all().map(|(id, _)| id).collect();
        for id in active {
            leader.meet_job(id, now);
            leader.refresh(id, now.at);
        }
        leader
    }

    /// The state, for a replica that no longer leads. Whoever waits for an answer
    /// is told nothing: what it asked may yet be decided.
    pub fn into_jobs(self) -> Jobs {
        self.jobs
    }

    /// The state.
    pub fn jobs(&self) -> &Jobs {
        &self.jobs
    }

    /// Counts since this leader began.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Runners that reported to this leader.
    pub fn runners_len(&self) -> usize {
        self.runners.len()
    }

    /// Steps with tasks that wait.
    pub fn waiting_len(&self) -> usize {
        self.ready.len()
    }

    /// Answers since the last call.
    pub fn take_answers(&mut self) -> Vec<(Token, Answer)> {
        std::mem::take(&mut self.answers)
    }

    /// How this process names itself where it orders something outside.
    pub fn set_name(&mut self, name: &str) {
        self.cfg_name = name.into();
    }

    /// Calls to services outside since the last call.
    pub fn take_calls(&mut self) -> Vec<(CallId, Call)> {
        std::mem::take(&mut self.calls)
    }

    /// A service outside has answered.
    pub fn told(&mut self, now: Now, call: CallId, told: Told) {
        if !self.advice.told(call, &told) {
            self.machines_told(now, call, told);
        }
    }

    pub(super) fn call(&mut self, call: Call) -> CallId {
        let id = CallId(self.next_call);
        self.next_call += 1;
        self.calls.push((id, call));
        id
    }

    /// Takes in one ask; its answer comes at once or after a commit.
    pub fn ask(&mut self, now: Now, token: Token, ask: Ask) {
        match ask {
            Ask::Heartbeat(report) => self.heartbeat(now, token, report),
            other => self.ask_other(now, token, other),
        }
    }

    pub(super) fn answer(&mut self, token: Token, answer: Answer) {
        self.answers.push((token, answer));
    }

    // ---- the log ----

    /// Whether the log has so much to write that more must be refused.
    pub(super) fn is_full(&self) -> bool {
        self.proposed.len() >= QUEUE_MAX
    }

    pub(super) fn propose(&mut self, command: JobCommand, then: Then) {
        self.proposed.push_back((command, then));
    }

    /// The next batch for the log, if none is under way: what comes meanwhile
    /// shares the next sync.
    pub fn next_batch(&mut self, most: usize) -> Vec<JobCommand> {
        if !self.committing.is_empty() || !self.batch.is_empty() {
            return Vec::new();
        }
        let count = self.proposed.len().min(most);
        let mut commands = Vec::with_capacity(count);
        for (command, then) in self.proposed.drain(..count) {
            commands.push(command);
            self.batch.push(then);
        }
        commands
    }

    /// The batch stands in the log from index `first` on.
    pub fn proposed(&mut self, first: u64) {
        self.committing.extend((first..).zip(self.batch.drain(..)));
    }

    /// A command is agreed on: applies it and answers.
    pub fn committed(&mut self, now: Now, index: u64, command: JobCommand) {
        let touched = touched(&command);
        let detail = command.clone();
        let open: Vec<JobId> =
            touched.iter().copied().filter(|id| self.jobs.is_active(*id)).collect();
        let outcome = self.jobs.apply(command);
        self.after(now, &detail, &outcome);
        for id in open {
            self.log_ended(id, now);
            if !self.jobs.is_active(id) {
                self.accounts.close(id);
            }
        }
        for id in touched {
            self.refresh(id, now.at);
        }
        if self.committing.front().is_some_and(|(at, _)| *at == index)
            && let Some((_, then)) = self.committing.pop_front()
        {
            self.finish(now, then, &outcome);
        }
    }

    /// What follows from a command, whoever proposed it.
    fn after(&mut self, now: Now, command: &JobCommand, outcome: &JobOutcome) {
        match command {
            JobCommand::Submit(submit) => {
                if *outcome == (JobOutcome::Accepted { new: true }) {
                    self.meet_job(submit.id, now);
                }
            }
            JobCommand::Start(starts) => {
                for start in starts {
                    self.starting.remove(&start.task);
                }
            }
            JobCommand::End { ends, .. } => {
                for end in ends {
                    self.ending.remove(&(end.task, end.run));
                    self.note_end(now, end);
                }
            }
            JobCommand::Forget(ids) => {
                for id in ids {
                    self.ready.drop_job(*id);
                }
            }
            JobCommand::Change(_) => {
                self.routes = Routes::new(self.jobs.change());
                self.ready.changed(&self.jobs, &self.routes);
            }
            JobCommand::UpkeepDone { wave, machine } => {
                self.noting.remove(&(*wave, machine.clone()));
            }
            JobCommand::Cancel { .. }
            | JobCommand::Meet(_)
            | JobCommand::Learn(_)
            | JobCommand::Wave(_)
            | JobCommand::UpkeepBegun { .. } => {}
        }
    }

    fn note_end(&mut self, now: Now, end: &End) {
        let runner = self.runners.get_mut(&end.life);
        let name: &str = runner.as_ref().map_or("unheard", |runner| &runner.id);
        log::info!("end task={} run={} runner={name} how={:?}", end.task, end.run, end.how);
        let lasts = self.jobs.step_spec(end.task).is_some_and(|step| step.long_running);
        match end.how {
            How::Done => self.counts.done += 1,
            How::Failed => self.counts.failed += 1,
            How::Gone | How::Lapsed => self.counts.lost += 1,
            How::Stopped | How::Broken | How::Alone | How::Refused => {}
        }
        if let Some(runner) = runner {
            match end.how {
                How::Done => runner.health.went_well(),
                How::Failed if !lasts => runner.health.went_badly(now.at),
                _ => {}
            }
        }
    }

    fn finish(&mut self, now: Now, then: Then, outcome: &JobOutcome) {
        match then {
            Then::Submitted { id, token } => {
                if *outcome == (JobOutcome::Accepted { new: true }) {
                    self.counts.accepted += 1;
                    self.log_accepted(id);
                }
                self.answer(token, Answer::Accepted);
            }
            Then::Cancelled { id, token } => {
                log::info!("job={id} cancelled");
                let known = *outcome == JobOutcome::Cancelled(true);
                self.answer(token, if known { Answer::Ok } else { Answer::Gone });
            }
            Then::Changed { version, token } => {
                let now_in_force = *outcome == JobOutcome::Changed(true);
                log::info!("change version={version} in-force={now_in_force}");
                self.answer(token, Answer::Ok);
            }
            Then::Met { token, report } => self.met(now, token, &report, outcome),
            Then::Heartbeat(at) => self.heartbeat_committed(now, at),
            Then::Acknowledged(token) => self.answer(token, Answer::Ok),
            Then::Nothing => {}
        }
    }

    // ---- jobs ----

    fn meet_job(&mut self, id: JobId, now: Now) {
        let Some(job) = self.jobs.job(id) else { return };
        // The wall clock may have jumped since; a job is never taken to be from
        // the future, or older than any objective.
        const AGE_MAX_MS: u64 = 60_000;
        let age = now.unix_ms.saturating_sub(job.at_ms).min(AGE_MAX_MS);
        let came = now.at - Duration::from_millis(age);
        self.ready.meet(id, job, came, &self.routes, &mut self.interference);
        self.accounts.open(id, Duration::from_millis(age));
    }

    /// Finds the steps of a job that have tasks to start.
    pub(super) fn refresh(&mut self, id: JobId, now: Moment) {
        let keys = match self.jobs.job(id) {
            Some(job) if job.phase == JobPhase::Active => startable(id, job),
            _ => Vec::new(),
        };
        self.ready.set_groups(id, &keys, &self.jobs, now);
    }

    // ---- time ----

    /// Does what is due.
    pub fn tick(&mut self, now: Now) {
        if now.at.since(self.ranked) >= RANK_EVERY {
            self.ranked = now.at;
            self.ready.rank_all(&self.jobs, now.at);
            self.find_idle_pools();
            self.count_moving_out();
            self.find_laggards(now);
            self.keep_room(now);
            self.place_gangs(now);
            self.ask_advice(now);
            self.keep_waves(now);
        }
        if now.at.since(self.looked) >= LOOK_EVERY {
            self.looked = now.at;
            self.keep_accounts(now);
        }
        self.give_up_late_heartbeats(now);
        self.end_lapsed(now);
        self.open_due(now);
        if now.at.since(self.forgot) >= FORGET_EVERY {
            self.forgot = now.at;
            self.forget(now);
            self.forget_loads();
            self.log_load(now);
            self.remember();
        }
    }

    fn give_up_late_heartbeats(&mut self, now: Now) {
        let mut late = Vec::new();
        for waiting in self.heartbeats.values_mut() {
            if !waiting.answered && now.at.since(waiting.since) > HEARTBEAT_WAIT {
                waiting.answered = true;
                late.push((waiting.token, waiting.life));
            }
        }
        for (token, life) in late {
            // The log is slow: the lease is renewed all the same, since this process
            // still leads; what was decided comes with the next heartbeat.
            self.send_orders(now, token, life);
        }
    }

    /// Gives up runs whose lease has surely ended. Starting them elsewhere any
    /// earlier could run a task twice.
    fn end_lapsed(&mut self, now: Now) {
        let inherited = self.started + lease_surely_ended_after(self.cfg.lease);
        let mut ends = Vec::new();
        for life in self.jobs.lives_with_holds() {
            let granted = self.runners.get(&life).map_or(inherited, |runner| runner.lease_end);
            let until = granted.max(inherited);
            if now.at > until {
                self.collect_ends(life, How::Lapsed, &mut ends);
            }
        }
        self.propose_ends(now, ends, Then::Nothing);
    }

    /// All runs that may be running in a life.
    pub(super) fn collect_ends(&self, life: LifeKey, how: How, ends: &mut Vec<End>) {
        let runner = self.runners.get(&life);
        for (task, run) in self.jobs.held(life) {
            if self.ending.contains(&(task, run)) {
                continue;
            }
            let view = runner.and_then(|r| r.running.get(&task)).filter(|view| view.run == run);
            let saved = view.map_or_else(Box::default, |view| view.saved.clone());
            ends.push(End { task, run, life, how, saved });
        }
    }

    pub(super) fn propose_ends(&mut self, now: Now, ends: Vec<End>, then: Then) {
        if ends.is_empty() {
            return;
        }
        self.ending.extend(ends.iter().map(|end| (end.task, end.run)));
        self.propose(JobCommand::End { ends, at_ms: now.unix_ms }, then);
    }

    /// Occurrences of scheduled jobs whose time has come.
    fn open_due(&mut self, now: Now) {
        let due: Vec<JobId> = self.ready.scheduled();
        for id in due {
            let Some(job) = self.jobs.job(id) else { continue };
            let keys = if job.phase == JobPhase::Active {
                let mut keys = startable(id, job);
                keys.extend(due_occurrences(id, job, now.unix_ms));
                keys
            } else {
                Vec::new()
            };
            self.ready.set_groups(id, &keys, &self.jobs, now.at);
        }
    }

    /// Leaves what was learnt to a later leader: relearning costs serving tasks their
    /// bounds for some ten seconds, with each change of leader.
    fn remember(&mut self) {
        let learnt = self.interference.remember();
        if !learnt.is_empty() && learnt != self.jobs.learnt() {
            self.propose(JobCommand::Learn(learnt), Then::Nothing);
        }
    }

    fn forget(&mut self, now: Now) {
        let keep = u64::try_from(self.cfg.remember.as_millis()).unwrap_or(u64::MAX);
        let ids = self.jobs.forgettable(now.unix_ms.saturating_sub(keep), FORGET_MAX);
        if !ids.is_empty() {
            self.propose(JobCommand::Forget(ids), Then::Nothing);
        }
    }

    fn forget_loads(&mut self) {
        let jobs = &self.jobs;
        self.loads.keep(|group| jobs.is_active(group.job));
    }

    pub(super) fn empty_orders(&self) -> Answer {
        Answer::Orders(Box::new(Orders { token: self.term, ..Orders::default() }))
    }
}

/// Steps of begun occurrences with tasks that neither run nor are done.
fn startable(id: JobId, job: &yuccalink_state::jobs::Job) -> Vec<GroupKey> {
    let mut keys = Vec::new();
    for (k, occurrence) in job.occurrences.iter().enumerate() {
        let k = u32::try_from(k).unwrap_or(u32::MAX);
        for (s, step) in occurrence.steps.iter().enumerate() {
            let s = u16::try_from(s).unwrap_or(u16::MAX);
            let waits = step.left > 0
                && step.tasks.iter().any(|task| !task.done && task.holds.is_empty())
                && job.may_run(k, s);
            if waits {
                keys.push(GroupKey { job: id, occurrence: k, step: s });
            }
        }
    }
    keys
}

/// First steps of occurrences that are due and have not begun.
fn due_occurrences(id: JobId, job: &yuccalink_state::jobs::Job, unix_ms: u64) -> Vec<GroupKey> {
    let Some(schedule) = job.spec.schedule else { return Vec::new() };
    let begun = u32::try_from(job.occurrences.len()).unwrap_or(u32::MAX);
    let mut keys = Vec::new();
    for k in begun..schedule.count {
        let due = schedule.first_ms + u64::from(k) * schedule.interval_ms;
        if due > unix_ms {
            break;
        }
        for (s, step) in job.spec.steps.iter().enumerate() {
            if step.after.is_empty() {
                let s = u16::try_from(s).unwrap_or(u16::MAX);
                keys.push(GroupKey { job: id, occurrence: k, step: s });
            }
        }
    }
    keys
}

fn touched(command: &JobCommand) -> BTreeSet<JobId> {
    match command {
        JobCommand::Submit(submit) => BTreeSet::from([submit.id]),
        JobCommand::Cancel { id, .. } => BTreeSet::from([*id]),
        JobCommand::Start(starts) => starts.iter().map(|start| start.task.job).collect(),
        JobCommand::End { ends, .. } => ends.iter().map(|end| end.task.job).collect(),
        JobCommand::Change(_)
        | JobCommand::Meet(_)
        | JobCommand::Forget(_)
        | JobCommand::Learn(_)
        | JobCommand::Wave(_)
        | JobCommand::UpkeepBegun { .. }
        | JobCommand::UpkeepDone { .. } => BTreeSet::new(),
    }
}
