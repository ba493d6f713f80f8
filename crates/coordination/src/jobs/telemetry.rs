//! Telemetry of the leader: counters for metrics, and log lines about the load of the cell
//! and about accepted, ended and overdue jobs.

use super::admission::AdmissionCounters;
use super::cancellation::CancelCounters;
use super::leader::{Leader, Now};
use super::shares::QueueKey;
use yuccalink_state::jobs::{JobId, JobPhase, StepSpec};

/// Short queues named in one log line.
const SHORT_QUEUES_LOGGED: usize = 4;

/// Counters since the leader took over, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaderCounters {
    /// Jobs accepted.
    pub accepted: u64,
    /// Jobs refused.
    pub refused: u64,
    /// Runs ordered.
    pub starts: u64,
    /// Runs that finished successfully.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs stopped because they made no progress.
    pub stalled_runs: u64,
    /// Runs lost because their lease expired or their runner incarnation ended.
    pub lost: u64,
    /// Lost runs whose runner is known to have crashed; also counted in `lost`.
    pub crashed: u64,
    /// Runs of suspects that were started alone in a trial.
    pub tried: u64,
    /// Jobs that failed because a task lost too many runners.
    pub given_up: u64,
    /// Orders that put a zone under evacuation.
    pub zones_evacuated: u64,
    /// Orders that gave a zone work again.
    pub zones_restored: u64,
    /// Heartbeats received.
    pub heartbeats: u64,
    /// Heartbeats that only renewed a lease, because the leader did not keep up.
    pub brief_heartbeats: u64,
    /// Requests that expired while they waited for the leader.
    pub expired: u64,
    /// Orders for maintenance that were refused or not answered.
    pub maintenance_orders_failed: u64,
    /// Submissions for which there was no memory; also counted in `refused` unless an earlier copy
    /// was under way.
    pub refused_for_memory: u64,
    /// Submissions that were refused because commits stalled.
    pub refused_stalled: u64,
    /// Runners scanned other than the reporting ones. The work for one job, task or report
    /// must not grow with the size of the pool.
    pub runners_scanned: u64,
    /// Runners that took no tasks until their lease expired.
    pub expiries_awaited: u64,
    /// Orders with a short lease, so that it expires while a task runs.
    pub short_leases: u64,
    /// Runs whose order was repeated for a whole lease and that the runner never listed.
    pub orders_ignored: u64,
    /// Steps looked at to keep the ready queue up to date and to rank it. The work must not grow
    /// with the number of occurrences that are due or done.
    pub steps_examined: u64,
    /// Bytes of what was told to later leaders.
    pub knowledge_bytes: u64,
    /// Margin models that this leader took over from an earlier one.
    pub margins_recalled: u64,
    /// Distrusted runners that it took over.
    pub distrusted_recalled: u64,
    /// Accounts of delay that it took over.
    pub accounts_recalled: u64,
    /// Long-running tasks stopped so that a job with nothing at work gets their room.
    pub tasks_given: u64,
    /// Starts that waited because another queue was short of its share.
    pub starts_deferred: u64,
    /// Cancellations, and the stops of their runs.
    pub cancels: CancelCounters,
    /// Jobs that were refused by forecast.
    pub admission: AdmissionCounters,
    /// Jobs refused because no runner is large enough.
    pub oversized: u64,
}

/// Load of the runners.
#[derive(Default)]
struct Load {
    /// Runners that take tasks.
    runners: usize,
    /// Runners that drain or go down for maintenance.
    leaving: usize,
    serving: usize,
    mixed: usize,
    paced: usize,
    runs: usize,
    background_share: f64,
    /// CPU that is free on runners that take tasks, in millicores.
    free: u64,
    /// Runners with a serving task that exceeds its bound.
    bound_exceeded: usize,
    /// Runners in zones under evacuation.
    evacuated: usize,
}

impl Leader {
    /// Logs the load of the cell in one line.
    pub(super) fn log_load(&self, now: Now) {
        let mut load = Load::default();
        for runner in self.runners.values() {
            let colocation = self.colocation(now, runner);
            load.mixed += usize::from(colocation.serving.len() > 1);
            load.serving += usize::from(!colocation.serving.is_empty());
            load.paced += usize::from(runner.paces.values().any(|pace| *pace < 100));
            load.background_share +=
                colocation.background.iter().map(|used| used.share).sum::<f64>();
            load.runs += runner.running.len();
            if runner.takes_tasks() {
                load.runners += 1;
                load.free += runner.free.millicores;
            }
            load.leaving += usize::from(runner.is_leaving());
            load.bound_exceeded += usize::from(runner.bound_exceeded_since.is_some());
            load.evacuated += usize::from(runner.zone_evacuated);
        }
        log::info!(
            "load runners={} leaving={} serving={} mixed={} paced={} runs={} filling-runners={:.1} \
             free-cores={} over={} down={} evacuated={} waiting-steps={} waiting-tasks={} jobs-memory={}",
            load.runners,
            load.leaving,
            load.serving,
            load.mixed,
            load.paced,
            load.runs,
            load.background_share,
            load.free / 1000,
            load.bound_exceeded,
            self.moving_long_running,
            load.evacuated,
            self.ready.len(),
            self.ready.waiting_tasks(&self.state),
            self.state.memory().total()
        );
    }

    /// Logs what the long-running jobs of each queue lacked since the last call, in one line.
    pub(super) fn log_lacks(&mut self) {
        let lacks = self.scarcity.take_lacks();
        if lacks.is_empty() {
            return;
        }
        let parts = lacks.iter().map(|(queue, lack)| {
            format!(
                " {queue}=jobs:{},tasks:{},nothing:{},missing-ms:{},nothing-ms:{}",
                lack.jobs,
                lack.tasks,
                lack.nothing,
                lack.missing.as_millis(),
                lack.nothing_for.as_millis()
            )
        });
        let parts: Vec<String> = parts.collect();
        log::info!("long-running lacks{}", parts.concat());
    }

    /// Logs one line about a queue whose tasks waited for those of others.
    pub(super) fn log_deferred(&self, key: QueueKey, count: u64) {
        let Some(share) = self.shares.share(key) else { return };
        let beside = self.shares.short_beside(key).into_iter().take(SHORT_QUEUES_LOGGED);
        let short: Vec<&str> = beside.map(|key| self.ready.queue_name(key)).collect();
        log::info!(
            "queue={} held back offers={count} cores-in-use={:.1} share={:.1} waiting={:.1} \
             short=[{}]",
            self.ready.queue_name(key),
            cores(share.used),
            cores(share.share),
            cores(share.waiting),
            short.join(" ")
        );
    }

    pub(super) fn log_accepted(&self, id: JobId) {
        let Some(job) = self.state.job(id) else { return };
        let steps: Vec<Box<str>> = job.spec.steps.iter().map(format_step).collect();
        log::info!("job={id} accepted queue={} steps=[{}]", job.queue, steps.join(" "));
    }

    /// Logs one line when a job has ended, with its age and its objective.
    pub(super) fn log_ended(&mut self, id: JobId, now: Now) {
        let Some(job) = self.state.job(id).filter(|job| job.phase != JobPhase::Active) else {
            return;
        };
        if job.phase == JobPhase::Cancelled {
            // The cancellation is logged when its command is committed.
            return;
        }
        let (age, objective) = self.ready.age_and_objective(id, now.at).unwrap_or_default();
        let failures: u32 = job
            .occurrences
            .iter()
            .flat_map(|occurrence| &occurrence.steps)
            .flat_map(|step| step.tasks.begun())
            .map(|(_, task)| task.failures)
            .sum();
        let losses = self.state.losses();
        let given_up = losses.of_job(id).any(|(task, _)| self.state.exceeds_loss_limit(task));
        let why = if given_up { " why=crashes" } else { "" };
        log::info!(
            "job={id} ended state={:?} after={age:?} objective={objective:?} held-up={} \
             failures={failures}{why}",
            job.phase,
            self.accounts.get(id)
        );
        self.counts.given_up += u64::from(given_up);
    }

    /// Logs one line when a job is so late that no caller waits for it any more. Such a job
    /// may never end.
    pub(super) fn log_overdue(&self, id: JobId, now: Now) {
        let (age, objective) = self.ready.age_and_objective(id, now.at).unwrap_or_default();
        let held_up = self.accounts.get(id);
        log::info!("job={id} overdue after={age:?} objective={objective:?} held-up={held_up}");
    }
}

fn cores(millicores: u64) -> f64 {
    millicores as f64 / 1e3
}

/// Formats a step as one word: tasks, millicores, MiB, estimate, and special properties.
fn format_step(step: &StepSpec) -> Box<str> {
    let mut f = format!(
        "{}x{}m/{}M/{}ms",
        step.count, step.need.millicores, step.need.memory_mib, step.estimate_ms
    );
    let marks = [
        ("+saves", step.checkpointing),
        ("+gang", step.gang),
        ("+rack", step.rack_affinity),
        ("+copies", step.speculative),
        ("+lasts", step.long_running),
        ("+spare", step.opportunistic),
        ("+apart", step.per_runner_max > 0),
        ("+label", step.required_label.is_some()),
        ("+data", step.data_rack.is_some()),
    ];
    for (mark, on) in marks {
        if on {
            f.push_str(mark);
        }
    }
    if let Some(image) = &step.image {
        f.push_str("+image=");
        f.push_str(image);
    }
    if step.tail_bound_ms > 0 {
        f.push_str(&format!("+tail={}ms", step.tail_bound_ms));
    }
    f.into()
}
